package httpapi

import (
	"context"
	"encoding/json"
	"fmt"
	"net/url"
	"sync"

	"github.com/valyala/fasthttp"

	"monsoonkeel.example/monsoonkeel/internal/platform"
)

// HostList is the host list over HTTP. It remembers the ETag of the last list,
// since a list of 13,500 hosts has 3 MB and is read every second.
type HostList struct {
	c *client

	mu   sync.Mutex
	etag string
}

// LoadReporter asks backend servers for their load over HTTP.
type LoadReporter struct{ c *client }

// WeightStore is the weight store over HTTP.
type WeightStore struct{ c *client }

var (
	_ platform.HostList     = (*HostList)(nil)
	_ platform.LoadReporter = (*LoadReporter)(nil)
	_ platform.WeightStore  = (*WeightStore)(nil)
)

// NewHostList returns an adapter for the host list at base.
func NewHostList(base string) *HostList { return &HostList{c: newClient(base)} }

// NewLoadReporter returns an adapter that reaches backend servers over plain HTTP.
func NewLoadReporter() *LoadReporter { return &LoadReporter{newClient("")} }

// NewWeightStore returns an adapter for the weight store at base.
func NewWeightStore(base string) *WeightStore { return &WeightStore{newClient(base)} }

// Hosts implements platform.HostList.
func (l *HostList) Hosts(ctx context.Context) ([]platform.Host, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	request := call{method: fasthttp.MethodGet, path: "/hosts"}
	if l.etag != "" {
		request.header = []string{fasthttp.HeaderIfNoneMatch, l.etag}
	}
	a, err := l.c.do(ctx, request)
	if err == nil && a.status == fasthttp.StatusNotModified && l.etag != "" {
		return nil, platform.ErrUnchanged
	}
	var list struct {
		Revision uint64          `json:"revision"`
		Hosts    []platform.Host `json:"hosts"`
	}
	if err == nil {
		err = decodeAnswer(a, &list)
	}
	if err != nil {
		return nil, fmt.Errorf("host list: %w", err)
	}
	l.etag = a.etag
	return list.Hosts, nil
}

// Load implements platform.LoadReporter.
func (r *LoadReporter) Load(ctx context.Context, address string) (platform.LoadReport, error) {
	var report platform.LoadReport
	if err := r.c.getJSON(ctx, "http://"+address+"/v1/load", &report); err != nil {
		return platform.LoadReport{}, fmt.Errorf("load of %s: %w", address, err)
	}
	return report, nil
}

// Weights implements platform.WeightStore.
func (s *WeightStore) Weights(ctx context.Context, model, version string) ([]byte, error) {
	path := "/weights/" + url.PathEscape(model) + "/" + url.PathEscape(version)
	a, err := s.c.do(ctx, call{method: fasthttp.MethodGet, path: path})
	if err == nil && a.status != fasthttp.StatusOK {
		err = statusError(a)
	}
	if err != nil {
		return nil, fmt.Errorf("weights of %s %s: %w", model, version, err)
	}
	return a.body, nil
}

func (c *client) getJSON(ctx context.Context, path string, out any) error {
	a, err := c.do(ctx, call{method: fasthttp.MethodGet, path: path})
	if err != nil {
		return err
	}
	return decodeAnswer(a, out)
}

func decodeAnswer(a answer, out any) error {
	if a.status != fasthttp.StatusOK {
		return statusError(a)
	}
	if err := json.Unmarshal(a.body, out); err != nil {
		return fmt.Errorf("decode answer: %w", err)
	}
	return nil
}
