package httpapi

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"monsoonkeel.example/monsoonkeel/internal/platform"
)

// watchTimeoutMargin is added to the wait of a watch to get the client's
// timeout, so that a response sent at the end of the wait still arrives.
const watchTimeoutMargin = 5 * time.Second

// ObjectStore implements platform.ObjectStore over HTTP. Its errors wrap those
// of package platform; compare them with errors.Is.
type ObjectStore struct{ c *client }

var _ platform.ObjectStore = (*ObjectStore)(nil)

// NewObjectStore returns a client of the object API at the base URL, for
// example "http://127.0.0.1:7001".
func NewObjectStore(base string) *ObjectStore { return &ObjectStore{newClient(base)} }

// Get implements platform.ObjectStore.
func (s *ObjectStore) Get(ctx context.Context, key string) (platform.Object, error) {
	return s.read(ctx, key, "", 0)
}

// Watch implements platform.ObjectStore with a long poll on its own connection.
func (s *ObjectStore) Watch(ctx context.Context, key string, after platform.Version, wait time.Duration) (platform.Object, error) {
	query := fmt.Sprintf("?watch=%d&timeout_ms=%d", after, wait.Milliseconds())
	return s.read(ctx, key, query, wait+watchTimeoutMargin)
}

func (s *ObjectStore) read(ctx context.Context, key, query string, timeout time.Duration) (platform.Object, error) {
	path, err := escapePath(key)
	if err != nil {
		return platform.Object{}, err
	}
	resp, err := s.c.do(ctx, call{method: fasthttp.MethodGet, path: "/objects/" + path + query, timeout: timeout, ownConnection: true})
	if err != nil {
		return platform.Object{}, fmt.Errorf("get %s: %w", key, err)
	}
	if resp.status == fasthttp.StatusNotModified {
		return platform.Object{}, platform.ErrUnchanged
	}
	if resp.status != fasthttp.StatusOK {
		return platform.Object{}, fmt.Errorf("get %s: %w", key, statusError(resp))
	}
	version, err := parseVersion(resp.etag)
	if err != nil {
		return platform.Object{}, fmt.Errorf("get %s: %w", key, err)
	}
	return platform.Object{Key: key, Version: version, Value: resp.body}, nil
}

// Put implements platform.ObjectStore. An error that matches none of
// ErrConflict, ErrUnavailable and ErrOutcomeUnknown means that the request was
// invalid and nothing was written.
func (s *ObjectStore) Put(ctx context.Context, key string, expected platform.Version, value []byte) (platform.Version, error) {
	if len(value) > platform.MaxObjectBytes {
		return 0, fmt.Errorf("put %s: value has %d bytes, the limit is %d", key, len(value), platform.MaxObjectBytes)
	}
	if value == nil {
		value = []byte{}
	}
	resp, err := s.write(ctx, fasthttp.MethodPut, key, expected, value)
	if err != nil {
		return 0, err
	}
	version, err := parseVersion(resp.etag)
	if err != nil {
		return 0, fmt.Errorf("put %s: %w: %w", key, platform.ErrOutcomeUnknown, err)
	}
	return version, nil
}

// Delete implements platform.ObjectStore, with the errors of Put.
func (s *ObjectStore) Delete(ctx context.Context, key string, expected platform.Version) error {
	_, err := s.write(ctx, fasthttp.MethodDelete, key, expected, nil)
	return err
}

func (s *ObjectStore) write(ctx context.Context, method, key string, expected platform.Version, body []byte) (response, error) {
	path, err := escapePath(key)
	if err != nil {
		return response{}, err
	}
	condition := []string{fasthttp.HeaderIfNoneMatch, "*"}
	if expected != 0 || method == fasthttp.MethodDelete {
		condition = []string{fasthttp.HeaderIfMatch, fmt.Sprintf("%q", strconv.FormatUint(uint64(expected), 10))}
	}
	resp, err := s.c.do(ctx, call{method: method, path: "/objects/" + path, header: condition, body: body, ownConnection: true})
	if err == nil {
		err = writeResultError(resp)
	} else if !errors.Is(err, platform.ErrUnavailable) {
		err = fmt.Errorf("%w: %w", platform.ErrOutcomeUnknown, err)
	}
	if err != nil {
		return resp, fmt.Errorf("%s %s: %w", strings.ToLower(method), key, err)
	}
	return resp, nil
}

// writeResultError maps the response to a write to its error, nil for success.
// After a 408 or a 5xx other than 503 the outcome is unknown: the response may
// come from an intermediary although the server applied the write.
func writeResultError(resp response) error {
	switch {
	case resp.status >= 200 && resp.status < 300:
		return nil
	case resp.status == fasthttp.StatusPreconditionFailed:
		return platform.ErrConflict
	case resp.status >= 500 && resp.status != fasthttp.StatusServiceUnavailable, resp.status == fasthttp.StatusRequestTimeout:
		return fmt.Errorf("%w: %w", platform.ErrOutcomeUnknown, statusError(resp))
	}
	return statusError(resp)
}

// List implements platform.ObjectStore.
func (s *ObjectStore) List(ctx context.Context, prefix string) ([]platform.Object, error) {
	resp, err := s.c.do(ctx, call{method: fasthttp.MethodGet, path: "/objects?prefix=" + url.QueryEscape(prefix), ownConnection: true})
	if err == nil && resp.status != fasthttp.StatusOK {
		err = statusError(resp)
	}
	var entries []struct {
		Key     string           `json:"key"`
		Version platform.Version `json:"version"`
	}
	if err == nil {
		err = json.Unmarshal(resp.body, &entries)
	}
	if err == nil && entries == nil {
		err = errMissingFields
	}
	if err != nil {
		return nil, fmt.Errorf("list %q: %w", prefix, err)
	}
	objects := make([]platform.Object, 0, len(entries))
	for _, e := range entries {
		objects = append(objects, platform.Object{Key: e.Key, Version: e.Version})
	}
	return objects, nil
}

func parseVersion(etag string) (platform.Version, error) {
	v, err := strconv.ParseUint(strings.Trim(etag, `"`), 10, 64)
	if err != nil || v == 0 {
		return 0, fmt.Errorf("response has no valid object version: ETag %q", etag)
	}
	return platform.Version(v), nil
}
