package httpapi

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/url"
	"strconv"
	"strings"
	"sync"

	"github.com/valyala/fasthttp"

	"monsoonkeel.example/monsoonkeel/internal/platform"
	"monsoonkeel.example/monsoonkeel/internal/rawjson"
)

// HostList implements platform.HostList over HTTP. It stores the ETag of the
// last list for conditional requests, since a list of 13,500 hosts has 3 MB and
// is polled every second.
type HostList struct {
	// OnInvalid, if set, is called for each entry that is left out because it cannot be decoded or used.
	OnInvalid func(error)
	c         *client

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
	if err == nil && resp.status != fasthttp.StatusOK {
		err = statusError(resp)
	}
	var hosts []platform.Host
	if err == nil {
		hosts, err = l.decode(resp.body)
	}
	if err != nil {
		return nil, fmt.Errorf("read host list: %w", err)
	}
	l.etag = resp.etag
	return hosts, nil
}

// decode decodes a host list. An entry that another writer has spoiled costs only itself.
func (l *HostList) decode(body []byte) ([]platform.Host, error) {
	fields, err := rawjson.Object(body)
	if err != nil {
		return nil, fmt.Errorf("decode response: %w", err)
	}
	entries, err := rawjson.Array(fields["hosts"])
	if err != nil {
		return nil, fmt.Errorf("%w: hosts: %w", errMissingFields, err)
	}
	hosts := make([]platform.Host, 0, len(entries))
	for _, raw := range entries {
		host, err := decodeHost(raw)
		if err == nil {
			hosts = append(hosts, host)
		} else if l.OnInvalid != nil {
			l.OnInvalid(err)
		}
	}
	return hosts, nil
}

// maxIDBytes limits the ID of a host, which is repeated in messages and log lines.
const maxIDBytes = 256

func decodeHost(raw []byte) (platform.Host, error) {
	var host platform.Host
	if err := json.Unmarshal(raw, &host); err != nil {
		return host, fmt.Errorf("entry of the host list: %w", err)
	}
	switch {
	case host.ID == "" || len(host.ID) > maxIDBytes:
		return host, fmt.Errorf("entry of the host list: ID of %d bytes", len(host.ID))
	case host.State != platform.HostLive && host.State != platform.HostLeaving:
		return host, fmt.Errorf("entry of the host list: %s: state %.40q", host.ID, host.State)
	}
	for _, address := range []string{host.Address, host.PeerAddress} {
		if err := checkAddress(address); err != nil {
			return host, fmt.Errorf("entry of the host list: %s: %w", host.ID, err)
		}
	}
	return host, nil
}

// checkAddress checks an address, host:port, which may be missing.
func checkAddress(address string) error {
	if address == "" {
		return nil
	}
	name, port, err := net.SplitHostPort(address)
	if err != nil {
		return err
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 || name == "" || strings.ContainsAny(name, "%\r\n /") {
		return fmt.Errorf("address %.60q cannot be used", address)
	}
	return nil
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
