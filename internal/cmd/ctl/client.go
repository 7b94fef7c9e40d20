package ctl

import (
	"bytes"
	"context"
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
)

const (
	// maxAnswerBytes bounds an answer; a dump is the largest.
	maxAnswerBytes = 64 << 20
	// roundPause is the pause before all servers are tried again.
	roundPause = 200 * time.Millisecond
	// roundsNotSent is the number of rounds if no daemon took the change.
	roundsNotSent = 2
)

// client calls the admin API of the first daemon that answers.
type client struct {
	servers []string
	token   string
	timeout time.Duration
	http    *http.Client
}

func newClient(servers []string, token string, timeout time.Duration) *client {
	return &client{servers: servers, token: token, timeout: timeout, http: &http.Client{Timeout: tryTimeout}}
}

// call makes one request. A status other than 200 is an *exitError with the
// daemon's problem document.
func (c *client) call(ctx context.Context, method, server, path string, body []byte, into any) error {
	request, err := http.NewRequestWithContext(ctx, method, strings.TrimRight(server, "/")+admin.Prefix+path, bytes.NewReader(body))
	if err != nil {
		return usageError("server %q: %w", server, err)
	}
	request.Header.Set("Authorization", "Bearer "+c.token)
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return fmt.Errorf("%s: answer cut off: %w", server, err)
	}
	if response.StatusCode != http.StatusOK {
		return problemError(server, response.StatusCode, raw)
	}
	if err := json.Unmarshal(raw, into); err != nil {
		return fmt.Errorf("%s: answer not readable: %w", server, err)
	}
	return nil
}

func problemError(server string, status int, raw []byte) error {
	p := &admin.Problem{}
	if err := json.Unmarshal(raw, p); err != nil || p.Status != status {
		err := fmt.Errorf("%s: status %d without a problem document", server, status)
		if status >= 400 && status < 500 && status != http.StatusRequestTimeout {
			return &exitError{code: exitRefused, err: err}
		}
		return err
	}
	code := exitRefused
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

// get reads from the first daemon that answers.
func (c *client) get(path string, into any) error {
	ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
	defer cancel()
	var failures error
	for _, server := range c.servers {
		err := c.call(ctx, http.MethodGet, server, path, nil, into)
		var e *exitError
		if err == nil || errors.As(err, &e) && (e.code == exitRefused || e.code == exitUsage) {
			return err
		}
		failures = errors.Join(failures, err)
	}
	return &exitError{code: exitUnreachable, err: fmt.Errorf("no daemon answered: %w", failures)}
}

// submission is the state of one change while its outcome is determined.
type submission struct {
	client *client
	change config.Change
	body   []byte
	// ambiguous is set once a daemon may have taken the change without answering.
	ambiguous bool
	failures  error
}

// submit sends the change, always with the same id, until a daemon decides it.
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
			if rev, done, err := s.try(ctx, server); done {
				return rev, err
			}
		}
		if !s.ambiguous && round >= roundsNotSent {
			break
		}
		pause(ctx, roundPause)
	}
	if s.ambiguous {
		return 0, &exitError{code: exitUnknown, err: fmt.Errorf(
			"the outcome of change %s is unknown; repeat the command with --change-id %s: %w", change.ID, change.ID, s.failures)}
	}
	return 0, &exitError{code: exitUnreachable, err: fmt.Errorf("change not accepted, no daemon could take it: %w", s.failures)}
}

// try sends the change to one daemon; after a lost answer it reads the change
// id back from there.
func (s *submission) try(ctx context.Context, server string) (config.Revision, bool, error) {
	var accepted admin.AcceptedChange
	err := s.client.call(ctx, http.MethodPost, server, "changes", s.body, &accepted)
	if err == nil && accepted.Revision > 0 {
		return accepted.Revision, true, nil
	}
	if err == nil {
		err = fmt.Errorf("%s: answer without a revision", server)
	}
	s.failures = errors.Join(s.failures, err)
	var e *exitError
	switch {
	case errors.As(err, &e) && e.code == exitUnreachable:
		return 0, false, err
	case errors.As(err, &e) && e.code != exitUnknown:
		return s.refused(e)
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

// refused decides whether a refusal is final. After an unanswered try it is
// final only if the expected revision of an existing item has passed, since
// revisions never return; otherwise the earlier try may still be accepted.
func (s *submission) refused(e *exitError) (config.Revision, bool, error) {
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

// notSent says that no connection was made, so the daemon has not seen the request.
func notSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
