// Package peers runs the protocol between the daemons of a cell: heartbeats
// that relay configuration, view confirmations and cold sightings, and the
// calls that forward order claims and answers.
package peers

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"

	"monsoonkeel.example/monsoonkeel/core/config"
	"monsoonkeel.example/monsoonkeel/core/verdict"
	"monsoonkeel.example/monsoonkeel/core/view"
	"monsoonkeel.example/monsoonkeel/internal/peerpb"
	"monsoonkeel.example/monsoonkeel/internal/platform"
	"monsoonkeel.example/monsoonkeel/internal/process/membership"
)

const (
	// Protocol is the version of the messages.
	Protocol = 1
	// MaxMessageBytes bounds a message.
	MaxMessageBytes = 4 << 20

	syncEvery     = time.Second
	syncTimeout   = 500 * time.Millisecond
	dialTimeout   = 300 * time.Millisecond
	claimTimeout  = 2 * time.Second
	maxAnswerWait = 60 * time.Second
	// pushSpacing bounds the rate of pushes when changes come in a burst.
	pushSpacing = 50 * time.Millisecond
	// connIdle is how long an unused connection is kept.
	connIdle = time.Minute
	// fanOut is the number of members a round of Sync calls goes to.
	fanOut = 12
	// pushFanOut is the number of members that a push goes to. Each member that
	// learns something new pushes on, so a cell of 64 expects to miss 63/e^6 =
	// 0.2 members, which the next heartbeats reach. 12 doubled the bytes that a
	// change costs.
	pushFanOut = 6
	// frameReserve is the room left for the framing of a message.
	frameReserve = 4 << 10

	maxHostBytes = 256
	maxSightings = 256
)

// Error is the class of this package's errors.
var Error = errs.Class("peers")

// ConfigSource is the configuration loop, as far as peers need it.
type ConfigSource interface {
	Revision() config.Revision
	// ConfirmedAge returns the age of the newest confirmation that the revision is current.
	ConfirmedAge(now time.Time) (time.Duration, bool)
	// NoteConfirmation records a confirmation of rev that had the given age when
	// it answered a request sent at sentAt.
	NoteConfirmation(rev config.Revision, age time.Duration, sentAt time.Time)
	// ChangesSince returns the changes after rev, or the whole document.
	ChangesSince(rev config.Revision) (changes [][]byte, document []byte)
	// Merge takes over changes or a document. Two peers may send the same
	// changes at the same time, so it must ignore what is not newer.
	Merge(changes [][]byte, document []byte) error
}

// ClaimServer serves the claim calls of other daemons. Errors carry a verdict.
type ClaimServer interface {
	Claim(ctx context.Context, req *peerpb.ClaimRequest) (*peerpb.ClaimResponse, error)
	Answer(ctx context.Context, req *peerpb.AnswerRequest) (*peerpb.AnswerResponse, error)
}

// Config configures Peers.
type Config struct {
	Membership *membership.Manager
	Source     ConfigSource
	// Claims may be nil: claim calls are then refused as not run.
	Claims ClaimServer
	// TLS, if not nil, is used for both directions; clients are authenticated.
	TLS  *tls.Config
	Rand *rand.Rand
	Now  func() time.Time
	Log  zerolog.Logger
}

// Peers exchanges messages with the other daemons of the cell. Its methods are
// safe for concurrent use.
type Peers struct {
	cfg    Config
	caller *caller
	push   chan struct{}
	pulls  chan pull

	mu    sync.Mutex
	queue []string // hosts that the present rotation has not reached yet
}

// pull is a Sync call that is due because a host has a newer configuration.
type pull struct {
	host     string
	revision config.Revision
}

// New returns Peers. Run and Serve start it; Close ends its connections.
func New(cfg Config) *Peers {
	return &Peers{
		cfg:    cfg,
		caller: newCaller(cfg.TLS),
		push:   make(chan struct{}, 1),
		pulls:  make(chan pull, fanOut),
	}
}

// Close closes the pooled connections.
func (p *Peers) Close() error { return Error.Wrap(p.caller.pool.Close()) }

// Run syncs every second, and at once after a push, until ctx ends.
func (p *Peers) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return p.runPulls(ctx) })
	g.Go(func() error {
		ticker := time.NewTicker(syncEvery)
		defer ticker.Stop()
		p.SyncRound(ctx)
		for {
			select {
			case <-ctx.Done():
				return nil
			case <-time.After(pushSpacing):
			}
			select {
			case <-ctx.Done():
				return nil
			case <-ticker.C:
				p.SyncRound(ctx)
			case <-p.push:
				p.sync(ctx, p.pick(pushFanOut))
			}
		}
	})
	return g.Wait()
}

// SyncNow starts a round of Sync calls at once. The configuration loop calls it
// when the revision grows, and shutdown when draining begins.
func (p *Peers) SyncNow() {
	select {
	case p.push <- struct{}{}:
	default: // A round is already due.
	}
}

// ReportCold records a backend server that this host saw cold and pushes the
// sighting to peers.
func (p *Peers) ReportCold(s membership.ColdSighting) {
	if p.cfg.Membership.RecordCold(s) {
		p.SyncNow()
	}
}

// SyncRound syncs once with up to 12 peers, and with the renewer of the view if a
// confirmation is due, and returns when all calls have ended.
func (p *Peers) SyncRound(ctx context.Context) {
	hosts := p.pick(fanOut)
	// Without this, 31% of the members of a cell of 64 read the view object every
	// second, since confirmations relayed at random often take more than 2 s.
	renewer, ask := p.cfg.Membership.RenewerToSync(p.cfg.Now())
	if ask && renewer.PeerAddress != "" && !slices.Contains(hosts, renewer) {
		hosts = append(hosts, renewer)
	}
	p.sync(ctx, hosts)
}

func (p *Peers) sync(ctx context.Context, hosts []platform.Host) {
	var g errgroup.Group
	for _, h := range hosts {
		g.Go(func() error {
			if err := p.Sync(ctx, h); err != nil {
				p.cfg.Log.Debug().Err(err).Str("host", h.ID).Msg("sync failed")
			}
			return nil
		})
	}
	_ = g.Wait() // The calls log their errors.
}

// pick returns the next n hosts of a random rotation. A rotation reaches more
// distinct members than independent choices, which the freshness rule needs:
// 36 of 63 in 3 s instead of about 30.
func (p *Peers) pick(n int) []platform.Host {
	hosts := p.cfg.Membership.Peers()
	byID := make(map[string]platform.Host, len(hosts))
	for _, h := range hosts {
		byID[h.ID] = h
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []platform.Host
	for want := min(n, len(hosts)); len(out) < want; {
		if len(p.queue) == 0 {
			p.refill(hosts, out)
		}
		id := p.queue[0]
		p.queue = p.queue[1:]
		if h, ok := byID[id]; ok && !slices.Contains(out, h) {
			out = append(out, h)
		}
	}
	return out
}

func (p *Peers) refill(hosts, picked []platform.Host) {
	for _, h := range hosts {
		if !slices.Contains(picked, h) {
			p.queue = append(p.queue, h.ID)
		}
	}
	p.cfg.Rand.Shuffle(len(p.queue), func(i, j int) { p.queue[i], p.queue[j] = p.queue[j], p.queue[i] })
}

// Sync exchanges heartbeats with one host and takes over what it knows.
func (p *Peers) Sync(ctx context.Context, h platform.Host) error {
	sentAt := p.cfg.Now()
	req := &peerpb.SyncRequest{Heartbeat: p.heartbeat(false)}
	var resp *peerpb.SyncResponse
	err := p.caller.call(ctx, h.PeerAddress, syncTimeout, func(ctx context.Context, c peerpb.DRPCPeerClient) (err error) {
		resp, err = c.Sync(ctx, req)
		return err
	})
	if err == nil {
		err = checkAnswer(resp.GetHeartbeat(), h.ID)
	}
	if err != nil {
		p.cfg.Membership.RecordSyncFailure(h.ID)
		return err
	}
	return p.take(resp, sentAt)
}

// take applies an answer to a Sync call sent at sentAt.
func (p *Peers) take(resp *peerpb.SyncResponse, sentAt time.Time) error {
	beat := resp.Heartbeat
	before := p.cfg.Source.Revision()
	var failed errs.Group
	if len(resp.Changes) > 0 || len(resp.Document) > 0 {
		failed.Add(p.cfg.Source.Merge(resp.Changes, resp.Document))
	}
	configAge := ageOf(beat.ConfigAgeMs)
	if configAge.Known {
		p.cfg.Source.NoteConfirmation(config.Revision(beat.ConfigRevision), configAge.Value, sentAt)
	}
	failed.Add(p.cfg.Membership.ApplyPeerView(beat.ViewEpoch, ageOf(beat.ViewAgeMs), resp.View, sentAt))
	p.cfg.Membership.RecordSyncResponse(beat.Host, sentAt, configAge, beat.Draining)
	p.noteCold(beat, sentAt)
	if p.cfg.Source.Revision() > before {
		p.SyncNow()
	}
	return Error.Wrap(failed.Err())
}

// noteCold records the sender's cold sightings, whose ages count from at. New
// ones are pushed on, so that they reach members the sender does not sync with.
func (p *Peers) noteCold(beat *peerpb.Heartbeat, at time.Time) {
	for _, c := range beat.Cold {
		p.ReportCold(membership.ColdSighting{
			Backend:     c.Backend,
			Incarnation: c.Incarnation,
			At:          at.Add(-time.Duration(max(c.AgeMs, 0)) * time.Millisecond),
		})
	}
}

// heartbeat reads each age before the number that it confirms: a number that
// grows in between is newer than the age says, never older.
func (p *Peers) heartbeat(allSightings bool) *peerpb.Heartbeat {
	now := p.cfg.Now()
	age, known := p.cfg.Source.ConfirmedAge(now)
	revision := p.cfg.Source.Revision()
	epoch, viewAge, viewKnown := p.cfg.Membership.ViewAge(now)
	beat := &peerpb.Heartbeat{
		Protocol:       Protocol,
		Host:           p.cfg.Membership.Self(),
		ConfigRevision: uint64(revision),
		ConfigAgeMs:    ageMS(age, known),
		ViewEpoch:      epoch,
		ViewAgeMs:      ageMS(viewAge, viewKnown),
		Draining:       p.cfg.Membership.Draining(),
	}
	for _, s := range p.cfg.Membership.ColdSightings(allSightings) {
		beat.Cold = append(beat.Cold, &peerpb.ColdSighting{
			Backend: s.Backend, Incarnation: s.Incarnation, AgeMs: max(now.Sub(s.At), 0).Milliseconds(),
		})
	}
	return beat
}

// ageMS rounds up, so that a relayed confirmation never looks younger than it is.
func ageMS(age time.Duration, known bool) int64 {
	if !known {
		return -1
	}
	return (max(age, 0) + time.Millisecond - 1).Milliseconds()
}

// maxAgeMS bounds ages from peers so that they fit a time.Duration.
const maxAgeMS = int64(24 * time.Hour / time.Millisecond)

func ageOf(ms int64) view.Age {
	return view.Age{Known: ms >= 0, Value: time.Duration(min(max(ms, 0), maxAgeMS)) * time.Millisecond}
}

func checkHeartbeat(beat *peerpb.Heartbeat) error {
	switch {
	case beat == nil:
		return Error.New("heartbeat is missing")
	case beat.Protocol != Protocol:
		return Error.New("protocol %d is not supported, want %d", beat.Protocol, Protocol)
	case beat.Host == "" || len(beat.Host) > maxHostBytes:
		return Error.New("host id has %d bytes, want 1 to %d", len(beat.Host), maxHostBytes)
	case len(beat.Cold) > maxSightings:
		return Error.New("%d cold sightings, at most %d are allowed", len(beat.Cold), maxSightings)
	}
	return nil
}

// checkAnswer also refuses the answer of another host, which comes when an
// address was reused.
func checkAnswer(beat *peerpb.Heartbeat, want string) error {
	if err := checkHeartbeat(beat); err != nil {
		return err
	}
	if beat.Host != want {
		return Error.New("host %q answered for %q", beat.Host, want)
	}
	return nil
}

// requestPull schedules a Sync call to a host that has a newer configuration.
func (p *Peers) requestPull(host string, revision config.Revision) {
	select {
	case p.pulls <- pull{host, revision}:
	default: // The next round pulls it.
	}
}

func (p *Peers) runPulls(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case next := <-p.pulls:
			h, ok := p.cfg.Membership.HostByID(next.host)
			if !ok || h.PeerAddress == "" || p.cfg.Source.Revision() >= next.revision {
				continue // Several peers push the same change; one pull is enough.
			}
			if err := p.Sync(ctx, h); err != nil {
				p.cfg.Log.Debug().Err(err).Str("host", next.host).Msg("pull failed")
			}
		}
	}
}

// Claim forwards claims to a shard's advisory owner. The error's verdict says
// whether the call may have run.
func (p *Peers) Claim(ctx context.Context, host string, req *peerpb.ClaimRequest) (resp *peerpb.ClaimResponse, err error) {
	req.Protocol = Protocol
	err = p.callHost(ctx, host, claimTimeout, func(ctx context.Context, c peerpb.DRPCPeerClient) (err error) {
		resp, err = c.Claim(ctx, req)
		return err
	})
	return resp, err
}

// Answer asks the host that runs an order for its answer and waits for as long
// as the request says. The error's verdict concerns this call, not the order.
func (p *Peers) Answer(ctx context.Context, host string, req *peerpb.AnswerRequest) (resp *peerpb.AnswerResponse, err error) {
	req.Protocol = Protocol
	err = p.callHost(ctx, host, answerTimeout(req), func(ctx context.Context, c peerpb.DRPCPeerClient) (err error) {
		resp, err = c.Answer(ctx, req)
		return err
	})
	return resp, err
}

func (p *Peers) callHost(ctx context.Context, host string, limit time.Duration, f func(context.Context, peerpb.DRPCPeerClient) error) error {
	h, ok := p.cfg.Membership.HostByID(host)
	if !ok || h.PeerAddress == "" {
		return verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "unknown_peer", "host %q has no known peer address", host)
	}
	return p.caller.call(ctx, h.PeerAddress, limit, f)
}
