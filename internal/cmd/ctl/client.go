package ctl

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"monsoonkeel.example/monsoonkeel/core/config"
	"monsoonkeel.example/monsoonkeel/core/verdict"
	"monsoonkeel.example/monsoonkeel/internal/process/admin"
	"monsoonkeel.example/monsoonkeel/internal/responsecheck"
)

const (
	// maxResponseBytes limits a response body; state dumps are the largest.
	maxResponseBytes = 64 << 20
	// retryInterval is the pause between two rounds over all servers.
	retryInterval = 200 * time.Millisecond
	// maxUnsentRounds limits the rounds while no daemon can have accepted the change
	// or command.
	maxUnsentRounds = 2
)

// client calls the admin API of the first of the daemons that responds.
type client struct {
	servers []string
	token   string
	timeout time.Duration
	http    *http.Client
}

func newClient(servers []string, token string, timeout time.Duration) *client {
	return &client{servers: servers, token: token, timeout: timeout, http: &http.Client{Timeout: attemptTimeout, Transport: newTransport()}}
}

// newTransport returns a transport whose connections fail when what a server sends is no HTTP response.
func newTransport() *http.Transport {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.DialContext = checkResponses(t.DialContext)
	t.DialTLSContext = checkResponses((&tls.Dialer{}).DialContext)
	return t
}

type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

func checkResponses(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return responsecheck.NewConn(conn), nil
	}
}

// call sends one request and decodes the response into out. The error is an
// *exitError for an invalid server URL, for a response with a problem document,
// which it then contains, and for a 4xx status other than 408 without one. After
// any other error the daemon may have processed the request, unless notSent
// reports that it was not sent.
func (c *client) call(ctx context.Context, method, server, path string, body []byte, out any) error {
	request, err := http.NewRequestWithContext(ctx, method, strings.TrimRight(server, "/")+admin.Prefix+path, bytes.NewReader(body))
	if err != nil {
		return usageError("invalid server URL %q: %w", server, err)
	}
	request.Header.Set("Authorization", "Bearer "+c.token)
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return fmt.Errorf("%s: read response: %w", server, err)
	}
	if response.StatusCode != http.StatusOK {
		return problemError(server, response.StatusCode, raw)
	}
	if err := json.Unmarshal(raw, out); err != nil {
		return fmt.Errorf("%s: decode response: %w", server, err)
	}
	return nil
}

func problemError(server string, status int, raw []byte) error {
	p := &admin.Problem{}
	if err := json.Unmarshal(raw, p); err != nil || p.Status != status {
		err := fmt.Errorf("%s: status %d without a problem document", server, status)
		if status >= 400 && status < 500 && status != http.StatusRequestTimeout {
			return &exitError{code: exitRejected, err: err}
		}
		return err
	}
	code := exitRejected
	switch {
	case status == http.StatusConflict:
		code = exitConflict
	case status >= 500 && p.Verdict == verdict.NotRun:
		code = exitUnreachable
	case status >= 500:
		code = exitUnknown
	}
	return &exitError{code: code, err: fmt.Errorf("%s: %s", server, p.Detail), problem: p}
}

// get reads from the first daemon that responds. A rejection is final; other
// errors lead to the next daemon.
func (c *client) get(path string, out any) error {
	ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
	defer cancel()
	var failures error
	for _, server := range c.servers {
		err := c.call(ctx, http.MethodGet, server, path, nil, out)
		var e *exitError
		if err == nil || errors.As(err, &e) && (e.code == exitRejected || e.code == exitUsage) {
			return err
		}
		failures = errors.Join(failures, err)
	}
	return &exitError{code: exitUnreachable, err: fmt.Errorf("no daemon responded: %w", failures)}
}

// submission is the state of one change until its outcome is known.
type submission struct {
	client *client
	change config.Change
	body   []byte
	// ambiguous is set once a daemon may have accepted the change although its
	// response was lost.
	ambiguous bool
	failures  error
}

// submit sends the change, always with the same id, until a daemon accepts or
// rejects it.
func (c *client) submit(change config.Change) (config.Revision, error) {
	body, err := config.Encode(&change)
	if err != nil {
		return 0, err
	}
	s := &submission{client: c, change: change, body: body}
	ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
	defer cancel()
	for round := 1; ctx.Err() == nil; round++ {
		s.failures = nil
		for _, server := range c.servers {
			if rev, done, err := s.attempt(ctx, server); done {
				return rev, err
			}
		}
		if !s.ambiguous && round >= maxUnsentRounds {
			break
		}
		sleep(ctx, retryInterval)
	}
	if s.ambiguous {
		return 0, &exitError{code: exitUnknown, err: fmt.Errorf(
			"the outcome of change %s is unknown; repeat the command with --change-id %s: %w", change.ID, change.ID, s.failures)}
	}
	return 0, &exitError{code: exitUnreachable, err: fmt.Errorf("change not accepted, no daemon was available: %w", s.failures)}
}

// attempt sends the change to one daemon. If the outcome of this or an earlier
// attempt is ambiguous, it then looks up the change by its id at the same daemon.
// The boolean result is true when the outcome is final.
func (s *submission) attempt(ctx context.Context, server string) (config.Revision, bool, error) {
	var accepted admin.AcceptedChange
	err := s.client.call(ctx, http.MethodPost, server, "changes", s.body, &accepted)
	if err == nil && accepted.Revision > 0 {
		return accepted.Revision, true, nil
	}
	if err == nil {
		err = fmt.Errorf("%s: response has no revision", server)
	}
	s.failures = errors.Join(s.failures, err)
	var e *exitError
	switch {
	case errors.As(err, &e) && e.code == exitUnreachable:
		return 0, false, err
	case errors.As(err, &e) && e.code != exitUnknown:
		return s.handleRejection(e)
	case !notSent(err):
		s.ambiguous = true
	}
	if !s.ambiguous {
		return 0, false, err
	}
	var state admin.ChangeState
	if s.client.call(ctx, http.MethodGet, server, "changes/"+url.PathEscape(s.change.ID), nil, &state) == nil &&
		state.State == admin.StateAccepted {
		return state.Revision, true, nil
	}
	return 0, false, err
}

// handleRejection reports whether a rejection is final. After an attempt with an
// unknown outcome it is final only if it is a conflict on an existing item:
// revisions are never reused, so the change can no longer be accepted. Otherwise
// the earlier attempt may still be accepted.
func (s *submission) handleRejection(e *exitError) (config.Revision, bool, error) {
	if !s.ambiguous {
		return 0, true, e
	}
	if e.problem != nil {
		for _, c := range e.problem.Conflicts {
			if c.Attempted.Expected > 0 {
				return 0, true, e
			}
		}
	}
	return 0, false, e
}

// notSent reports whether err is a failure to connect, so that the daemon cannot
// have received the request.
func notSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
