// Package standin holds small stand-ins for the systems around monsoonkeel:
// the object API, the host list, model engines, the weight store and plain
// services. Each has fault switches at /faults. They serve tests and the demo
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

// maxBodyBytes bounds request bodies; it leaves room for the largest object.
const maxBodyBytes = 4 * platform.MaxObjectBytes

// faultSwitch holds the active faults T and serves GET and PUT /faults.
type faultSwitch[T any] struct {
	mu     sync.Mutex
	faults T
	// onSet, if set, is called with the new faults before they are stored.
	onSet func(*T)
}

func (s *faultSwitch[T]) get() T {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// update changes the faults and returns f's result, for switches that count
// down or apply once.
func (s *faultSwitch[T]) update(f func(*T) bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return f(&s.faults)
}

// ServeHTTP answers the active faults; PUT replaces all of them, so a switch
// that is not named is turned off.
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
	_, _ = w.Write(append(body, '\n')) // the reader may be gone
}

func writeError(w http.ResponseWriter, status int, format string, args ...any) {
	writeJSON(w, status, map[string]string{"error": fmt.Sprintf(format, args...)})
}

func refuse(w http.ResponseWriter) {
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

// readJSON decodes the body into out and refuses unknown fields.
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

// sleep waits for the given time or until ctx ends.
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

// Server runs one stand-in.
type Server struct {
	Handler http.Handler
	// Registration, if set, is the entry announced to the host list while the
	// stand-in runs; its address is filled in from the listener.
	Registration *Registration
	// DrainTimeout bounds the wait for running requests on a stop.
	DrainTimeout time.Duration
	// BeforeLeaving, if set, is called before the entry is marked as leaving.
	BeforeLeaving func()
	// OnShutdown, if set, is called when the drain begins; it ends long polls.
	OnShutdown func()
	Log        zerolog.Logger
}

// Run serves until ctx ends and then stops gracefully: it marks the entry as
// leaving, waits the registration's LeaveWait, finishes running requests and
// removes the entry. It returns an error when the drain timed out.
func (s *Server) Run(ctx context.Context, listener net.Listener) error {
	server := &http.Server{Handler: s.Handler, ReadHeaderTimeout: 10 * time.Second, IdleTimeout: time.Minute}
	if s.OnShutdown != nil {
		server.RegisterOnShutdown(s.OnShutdown)
	}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	s.Log.Info().Str("address", listener.Addr().String()).Msg("listening")
	if s.Registration != nil {
		s.Registration.Host.Address = listener.Addr().String()
		if err := s.Registration.announce(ctx, s.Log); err != nil {
			s.Log.Warn().Err(err).Msg("not registered in the host list")
		}
	}
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
	}
	s.Log.Info().Msg("stopping")
	if s.BeforeLeaving != nil {
		s.BeforeLeaving()
	}
	if s.Registration != nil {
		if err := s.Registration.leave(); err != nil {
			s.Log.Warn().Err(err).Msg("cannot mark the host as leaving")
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

// Registration announces a host to the host list stand-in.
type Registration struct {
	// HostsURL is the base URL of the host list stand-in.
	HostsURL string
	Host     platform.Host
	// DrainDelay is the time between the leaving mark and the drain, in which
	// entry hosts learn of the mark.
	DrainDelay time.Duration
}

// announceRetry is the pause between tries while the host list is down.
const announceRetry = 500 * time.Millisecond

// announce registers the host as live and retries until it succeeds or ctx
// ends. It does not repeat later, so that a test can mark the host otherwise.
func (r *Registration) announce(ctx context.Context, log zerolog.Logger) error {
	r.Host.State = platform.HostLive
	for {
		err := r.send(ctx, http.MethodPut)
		if err == nil || ctx.Err() != nil {
			return err
		}
		log.Warn().Err(err).Msg("registration failed, retrying")
		sleep(ctx, announceRetry)
	}
}

func (r *Registration) leave() error {
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
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode >= 300 {
		return fmt.Errorf("%s host %s: status %d", method, r.Host.ID, answer.StatusCode)
	}
	return nil
}
