package issuer

import (
	"context"
	"errors"
	"slices"
	"time"

	"monsoonkeel.example/monsoonkeel/core/issuer"
	"monsoonkeel.example/monsoonkeel/core/verdict"
	"monsoonkeel.example/monsoonkeel/internal/platform"
)

const (
	// submitRetryDelay is the delay between two attempts to record a command.
	submitRetryDelay = 50 * time.Millisecond
)

// AcceptedCommand is the response to Submit, in the format of the admin API: the
// command is durably recorded for each of the backend servers.
type AcceptedCommand struct {
	ID       string   `json:"id"`
	Service  string   `json:"service"`
	Backends []string `json:"backends"`
}

// CommandList is the response to List, in the format of the admin API.
type CommandList struct {
	Service      string           `json:"service"`
	Holder       string           `json:"holder"`
	FencingToken uint64           `json:"fencing_number"`
	Commands     []issuer.Command `json:"commands"`
}

// List returns the recorded commands of a service in order of acceptance. The
// error is a *verdict.Error with NotRun.
func (m *Manager) List(ctx context.Context, service string) (CommandList, error) {
	if err := m.checkService(service); err != nil {
		return CommandList{}, err
	}
	doc, _, err := m.opt.readDocument(ctx, service)
	if err != nil {
		return CommandList{}, verdict.Wrap(err, verdict.NotRun, 503, "commands_unavailable", "the commands cannot be read")
	}
	return CommandList{Service: service, Holder: doc.Holder, FencingToken: doc.FencingToken, Commands: doc.Commands}, nil
}

// Submit records a command durably for the named backend servers, or for all live
// ones of the service if none is named. A repeated request with the same id and
// command returns the recorded one. The error is a *verdict.Error: NotRun means
// that the command was not and will not be recorded, MayHaveRun that the outcome
// was unknown when ctx ended.
func (m *Manager) Submit(ctx context.Context, service string, r issuer.Request) (AcceptedCommand, error) {
	if err := m.checkService(service); err != nil {
		return AcceptedCommand{}, err
	}
	s := submission{manager: m, service: service, request: r}
	for {
		accepted, done, err := s.attempt(ctx)
		if done {
			return accepted, err
		}
		timer := time.NewTimer(submitRetryDelay)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return AcceptedCommand{}, s.outcomeError(errors.Join(err, ctx.Err()))
		}
	}
}

func (m *Manager) checkService(service string) error {
	if !slices.Contains(m.services(), service) {
		return verdict.New(verdict.NotRun, 404, "unknown_service", "no engine service is named %.100q", service)
	}
	return nil
}

// submission is one Submit call.
type submission struct {
	manager *Manager
	service string
	request issuer.Request
	// openVersion is the version that a write with an unknown outcome expects.
	// The write can take effect while the document has this version. It is only
	// valid if outcomeUnknown is set.
	openVersion    platform.Version
	outcomeUnknown bool
}

func (s *submission) outcomeError(cause error) error {
	if s.outcomeUnknown {
		return verdict.Wrap(cause, verdict.MayHaveRun, 504, "command_undecided",
			"the outcome is unknown; list the commands or repeat the command with the same id")
	}
	return verdict.Wrap(cause, verdict.NotRun, 503, "commands_unavailable", "the command was not accepted")
}

// attempt reads the document and makes one conditional update. The returned bool
// is false if another attempt can determine the outcome.
func (s *submission) attempt(ctx context.Context) (AcceptedCommand, bool, error) {
	doc, version, err := s.manager.opt.readDocument(ctx, s.service)
	if err != nil {
		// If no write can take effect, the call fails at once, so that the
		// operator's tool can try another daemon.
		return AcceptedCommand{}, !s.outcomeUnknown, s.outcomeError(err)
	}
	if s.outcomeUnknown && version > s.openVersion {
		s.outcomeUnknown = false
	}
	recorded, err := doc.AlreadyAccepted(s.request)
	if recorded {
		return s.accepted(doc), true, nil
	}
	if err != nil {
		return AcceptedCommand{}, true, verdict.Wrap(err, verdict.NotRun, 409, "command_id_reused", "the command was not accepted")
	}
	request := s.request
	if request.Backends, err = s.backends(); err != nil {
		return AcceptedCommand{}, !s.outcomeUnknown, err
	}
	next, err := doc.Submit(request)
	var raw []byte
	if err == nil {
		raw, err = next.Encode()
	}
	if errors.Is(err, issuer.ErrFull) {
		return AcceptedCommand{}, !s.outcomeUnknown, verdict.Wrap(err, verdict.NotRun, 503, "commands_full", "the command was not accepted")
	}
	if err != nil {
		return AcceptedCommand{}, !s.outcomeUnknown, verdict.Wrap(err, verdict.NotRun, 422, "invalid_command", "the command was not accepted")
	}
	return s.write(ctx, next, version, raw)
}

func (s *submission) write(ctx context.Context, next *issuer.Document, version platform.Version, raw []byte) (AcceptedCommand, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := s.manager.opt.Store.Put(ctx, s.manager.opt.key(s.service), version, raw)
	switch {
	case err == nil:
		return s.accepted(next), true, nil
	case errors.Is(err, platform.ErrConflict):
		return AcceptedCommand{}, false, err
	case errors.Is(err, platform.ErrUnavailable):
		return AcceptedCommand{}, !s.outcomeUnknown, s.outcomeError(err)
	}
	s.outcomeUnknown, s.openVersion = true, version
	return AcceptedCommand{}, false, err
}

func (s *submission) accepted(doc *issuer.Document) AcceptedCommand {
	a := AcceptedCommand{ID: s.request.ID, Service: s.service}
	for _, c := range doc.Find(s.request.ID) {
		a.Backends = append(a.Backends, c.Backend)
	}
	return a
}

// backends returns the named backend servers, which must be listed, or all
// live ones of the service.
func (s *submission) backends() ([]string, error) {
	hosts, known := s.manager.opt.Hosts()
	if !known {
		return nil, verdict.New(verdict.NotRun, 503, "host_list_unknown", "the host list has not been read yet")
	}
	listed := engines(hosts, s.service)
	for _, b := range s.request.Backends {
		if _, ok := listed[b]; !ok {
			return nil, verdict.New(verdict.NotRun, 422, "unknown_backend", "the host list has no engine %.100q of service %q", b, s.service)
		}
	}
	if len(s.request.Backends) > 0 {
		return s.request.Backends, nil
	}
	var live []string
	for id, h := range listed {
		if h.State == platform.HostLive {
			live = append(live, id)
		}
	}
	if len(live) == 0 {
		return nil, verdict.New(verdict.NotRun, 422, "no_backend", "the host list has no live engine of service %q", s.service)
	}
	return live, nil
}
