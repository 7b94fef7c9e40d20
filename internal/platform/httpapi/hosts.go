package httpapi

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"sync"

	"github.com/valyala/fasthttp"

	"monsoonkeel.example/monsoonkeel/internal/platform"
)

// HostList implements platform.HostList over HTTP. It stores the ETag of the
// last list for conditional requests, since a list of 13,500 hosts has 3 MB and
// is polled every second.
type HostList struct {
	c *client

	mu   sync.Mutex
	etag string
}

// LoadReporter implements platform.LoadReporter over HTTP.
type LoadReporter struct{ c *client }

// WeightStore implements platform.WeightStore over HTTP.
type WeightStore struct{ c *client }

var (
	_ platform.HostList     = (*HostList)(nil)
	_ platform.LoadReporter = (*LoadReporter)(nil)
	_ platform.WeightStore  = (*WeightStore)(nil)
)

// NewHostList returns a client of the host list at the base URL.
func NewHostList(base string) *HostList { return &HostList{c: newClient(base)} }

// NewLoadReporter returns a client that polls backend servers over unencrypted HTTP.
func NewLoadReporter() *LoadReporter { return &LoadReporter{newClient("")} }

// NewWeightStore returns a client of the weight store at the base URL.
func NewWeightStore(base string) *WeightStore { return &WeightStore{newClient(base)} }

// Hosts implements platform.HostList.
func (l *HostList) Hosts(ctx context.Context) ([]platform.Host, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	request := call{method: fasthttp.MethodGet, path: "/hosts"}
	if l.etag != "" {
		request.header = []string{fasthttp.HeaderIfNoneMatch, l.etag}
	}
	resp, err := l.c.do(ctx, request)
	if err == nil && resp.status == fasthttp.StatusNotModified && l.etag != "" {
		return nil, platform.ErrUnchanged
	}
	var list struct {
		Revision uint64          `json:"revision"`
		Hosts    []platform.Host `json:"hosts"`
	}
	if err == nil {
		err = decodeResponse(resp, &list)
	}
	if err == nil && list.Hosts == nil {
		err = errMissingFields
	}
	if err != nil {
		return nil, fmt.Errorf("read host list: %w", err)
	}
	l.etag = resp.etag
	return list.Hosts, nil
}

// Load implements platform.LoadReporter.
func (r *LoadReporter) Load(ctx context.Context, address string) (platform.LoadReport, error) {
	var report platform.LoadReport
	if err := r.c.getJSON(ctx, "http://"+address+"/v1/load", &report); err != nil {
		return platform.LoadReport{}, fmt.Errorf("read load of %s: %w", address, err)
	}
	if report.Incarnation == "" {
		return platform.LoadReport{}, fmt.Errorf("read load of %s: %w", address, errMissingFields)
	}
	return report, nil
}

// Weights implements platform.WeightStore.
func (s *WeightStore) Weights(ctx context.Context, model, version string) ([]byte, error) {
	path := "/weights/" + url.PathEscape(model) + "/" + url.PathEscape(version)
	resp, err := s.c.do(ctx, call{method: fasthttp.MethodGet, path: path, ownConnection: true})
	if err == nil && resp.status != fasthttp.StatusOK {
		err = statusError(resp)
	}
	if err != nil {
		return nil, fmt.Errorf("read weights of %s %s: %w", model, version, err)
	}
	return resp.body, nil
}

func (c *client) getJSON(ctx context.Context, path string, out any) error {
	resp, err := c.do(ctx, call{method: fasthttp.MethodGet, path: path})
	if err != nil {
		return err
	}
	return decodeResponse(resp, out)
}

// errMissingFields is returned for JSON that is not the expected response.
var errMissingFields = errors.New("the response lacks required fields")

func decodeResponse(resp response, out any) error {
	if resp.status != fasthttp.StatusOK {
		return statusError(resp)
	}
	if err := json.Unmarshal(resp.body, out); err != nil {
		return fmt.Errorf("decode response: %w", err)
	}
	return nil
}
