// Package standin provides test doubles of the systems that monsoonkeel uses:
// the object API, the host list, model engines, the weight store and plain
// services. Each has fault switches at /faults. They are for tests and the demo
// and listen on loopback only.
package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"monsoonkeel.example/monsoonkeel/internal/platform"
)

// maxBodyBytes is the largest accepted request body; it admits the largest object.
const maxBodyBytes = 4 * platform.MaxObjectBytes

// faultSwitch holds the active faults and serves GET and PUT /faults.
type faultSwitch[T any] struct {
	mu     sync.Mutex
	faults T
	// onSet, if not nil, is called with the new faults before they are stored.
	onSet func(*T)
}

func (s *faultSwitch[T]) get() T {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// update calls f under the lock and returns its result; it serves switches that
// count down or apply once.
func (s *faultSwitch[T]) update(f func(*T) bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return f(&s.faults)
}

// ServeHTTP returns the active faults. PUT replaces all of them, so a switch
// that is absent from the body is turned off.
func (s *faultSwitch[T]) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method {
	case http.MethodGet:
	case http.MethodPut:
		var faults T
		if !readJSON(w, r, &faults) {
			return
		}
		if s.onSet != nil {
			s.onSet(&faults)
		}
		s.mu.Lock()
		s.faults = faults
		s.mu.Unlock()
	default:
		writeError(w, http.StatusMethodNotAllowed, "use GET or PUT")
		return
	}
	writeJSON(w, http.StatusOK, s.get())
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(body, '\n')) // the client may have disconnected
}

func writeError(w http.ResponseWriter, status int, format string, args ...any) {
	writeJSON(w, status, map[string]string{"error": fmt.Sprintf(format, args...)})
}

func writeUnavailable(w http.ResponseWriter) {
	writeError(w, http.StatusServiceUnavailable, "refused by fault switch")
}

func readBody(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		writeError(w, http.StatusRequestEntityTooLarge, "body is larger than %d bytes", maxBodyBytes)
	case err != nil:
		writeError(w, http.StatusBadRequest, "read body: %v", err)
	}
	return body, err == nil
}

// readJSON decodes the body into out. Unknown fields are an error, so that a
// misspelt switch is noticed.
func readJSON(w http.ResponseWriter, r *http.Request, out any) bool {
	body, ok := readBody(w, r)
	if !ok {
		return false
	}
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(out); err != nil {
		writeError(w, http.StatusBadRequest, "invalid JSON: %v", err)
		return false
	}
	return true
}

// sleep waits for d or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// Server runs one stand-in and registers it in the host list.
type Server struct {
	Handler http.Handler
	// Registration, if not nil, is the entry in the host list while the stand-in
	// runs; its address is set from the listener.
	Registration *Registration
	// DrainTimeout limits the wait for running requests during a graceful shutdown.
	DrainTimeout time.Duration
	// BeforeLeaving, if not nil, is called before the entry is marked as leaving.
	BeforeLeaving func()
	// OnShutdown, if not nil, is called when the drain begins; it ends long polls.
	OnShutdown func()
	Log        zerolog.Logger
}

// Run serves until ctx is done and then shuts down gracefully: it marks the entry
// as leaving, waits for the registration's DrainDelay, finishes running requests
// and removes the entry. It returns an error when the drain timed out.
func (s *Server) Run(ctx context.Context, listener net.Listener) error {
	server := &http.Server{Handler: s.Handler, ReadHeaderTimeout: 10 * time.Second, IdleTimeout: time.Minute}
	if s.OnShutdown != nil {
		server.RegisterOnShutdown(s.OnShutdown)
	}
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(listener) }()
	s.Log.Info().Str("address", listener.Addr().String()).Msg("listening")
	if s.Registration != nil {
		s.Registration.Host.Address = listener.Addr().String()
		if err := s.Registration.announce(ctx, s.Log); err != nil {
			s.Log.Warn().Err(err).Msg("registration in the host list aborted")
		}
	}
	select {
	case err := <-serveErr:
		return err
	case <-ctx.Done():
	}
	s.Log.Info().Msg("stopping")
	if s.BeforeLeaving != nil {
		s.BeforeLeaving()
	}
	if s.Registration != nil {
		if err := s.Registration.markLeaving(); err != nil {
			s.Log.Warn().Err(err).Msg("failed to mark the host as leaving in the host list")
		}
	}
	drain, cancel := context.WithTimeout(context.Background(), s.DrainTimeout)
	defer cancel()
	err := server.Shutdown(drain)
	if err != nil {
		err = errors.Join(fmt.Errorf("drain: %w", err), server.Close())
	}
	if s.Registration != nil {
		err = errors.Join(err, s.Registration.remove())
	}
	return err
}

// Registration is the entry of a stand-in in the host list stand-in.
type Registration struct {
	// HostsURL is the base URL of the host list stand-in.
	HostsURL string
	Host     platform.Host
	// DrainDelay is the time between the leaving mark and the drain; entry hosts
	// read the mark from the host list meanwhile.
	DrainDelay time.Duration
}

// announceRetryInterval is the delay between attempts while the host list is unavailable.
const announceRetryInterval = 500 * time.Millisecond

// announce registers the host as live and retries until it succeeds or ctx is
// done. The entry is not renewed later, so a test can change the host's state.
func (r *Registration) announce(ctx context.Context, log zerolog.Logger) error {
	r.Host.State = platform.HostLive
	for {
		err := r.send(ctx, http.MethodPut)
		if err == nil || ctx.Err() != nil {
			return err
		}
		log.Warn().Err(err).Msg("registration failed, retrying")
		sleep(ctx, announceRetryInterval)
	}
}

// markLeaving sets the host's state in the host list and then waits for DrainDelay,
// even if the request failed.
func (r *Registration) markLeaving() error {
	r.Host.State = platform.HostLeaving
	err := r.send(context.Background(), http.MethodPut)
	time.Sleep(r.DrainDelay)
	return err
}

func (r *Registration) remove() error { return r.send(context.Background(), http.MethodDelete) }

func (r *Registration) send(ctx context.Context, method string) error {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	body, err := json.Marshal(r.Host)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, method, r.HostsURL+"/hosts/"+r.Host.ID, bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode >= 300 {
		return fmt.Errorf("%s host %s in the host list: status %d", method, r.Host.ID, response.StatusCode)
	}
	return nil
}
