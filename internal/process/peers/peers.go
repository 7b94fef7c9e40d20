// Package peers implements the protocol between the daemons of a cell: Sync calls,
// whose heartbeats relay configuration changes, confirmations of the view and cold
// sightings, and calls that forward claims of orders and responses to them.
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

	"monsoonkeel.example/monsoonkeel/core/attribution"
	"monsoonkeel.example/monsoonkeel/core/config"
	"monsoonkeel.example/monsoonkeel/core/verdict"
	"monsoonkeel.example/monsoonkeel/core/view"
	"monsoonkeel.example/monsoonkeel/internal/peerpb"
	"monsoonkeel.example/monsoonkeel/internal/platform"
	"monsoonkeel.example/monsoonkeel/internal/process/membership"
)

const (
	// Protocol is the version of the protocol; heartbeats and calls with another version
	// are rejected.
	Protocol = 1
	// MaxMessageBytes is the maximum size of a message.
	MaxMessageBytes = 4 << 20

	syncInterval    = time.Second
	syncTimeout     = 500 * time.Millisecond
	dialTimeout     = 300 * time.Millisecond
	claimTimeout    = 2 * time.Second
	maxResponseWait = 60 * time.Second
	// minPushInterval is the minimum time between rounds of Sync calls, which limits
	// their rate during a burst of changes.
	minPushInterval = 50 * time.Millisecond
	// connIdleTimeout is the time after which an unused connection is closed.
	connIdleTimeout = time.Minute
	// syncFanOut is the number of members called in a periodic round of Sync calls.
	syncFanOut = 12
	// pushFanOut is the number of members called in a push, which is a round of Sync
	// calls that a change triggers. Each member that receives something new pushes it
	// too, so that in a cell of 64, 63/e^6 = 0.2 members are expected to be missed; the
	// next periodic round reaches them. With 12, a change took twice as many bytes.
	pushFanOut = 6
	// maxFramingBytes is the part of MaxMessageBytes left for the framing of a message.
	maxFramingBytes = 4 << 10

	maxHostBytes = 256
	maxSightings = 256
)

// Error is the class of this package's errors.
var Error = errs.Class("peers")

// ConfigSource is the part of the configuration log that peers use. It is safe for
// concurrent use.
type ConfigSource interface {
	// Revision returns the current revision.
	Revision() config.Revision
	// ConfirmedAge returns the age of the newest confirmation that the revision is
	// current, and false if there is none.
	ConfirmedAge(now time.Time) (time.Duration, bool)
	// RecordConfirmation records a confirmation of rev with the given age, from the
	// response to a request sent at sentAt.
	RecordConfirmation(rev config.Revision, age time.Duration, sentAt time.Time)
	// ChangesSince returns the changes after rev, or the complete document if they are
	// not available.
	ChangesSince(rev config.Revision) (changes [][]byte, document []byte)
	// Merge applies changes or a document. Two peers may send the same changes at the
	// same time, so it must ignore what is not newer than the current revision.
	Merge(changes [][]byte, document []byte) error
}

// ClaimServer serves the Claim and Answer calls of other daemons. Errors carry a
// verdict.
type ClaimServer interface {
	Claim(ctx context.Context, req *peerpb.ClaimRequest) (*peerpb.ClaimResponse, error)
	Answer(ctx context.Context, req *peerpb.AnswerRequest) (*peerpb.AnswerResponse, error)
}

// Config configures Peers. All fields but Claims, TLS and Log are required.
type Config struct {
	Membership *membership.Manager
	Source     ConfigSource
	// Claims may be nil; Claim and Answer calls then fail with the verdict NotRun.
	Claims ClaimServer
	// Evidence may be nil; crashes of engines are then not exchanged.
	Evidence Evidence
	// TLS, if not nil, is used in both directions, with client certificates.
	TLS  *tls.Config
	Rand *rand.Rand
	Now  func() time.Time
	Log  zerolog.Logger
}

// Evidence is what a host knows of crashes of engines.
type Evidence interface {
	// Evidence returns the crashes and the answers that contradict some of them.
	Evidence() ([]attribution.Report, []attribution.Answer)
	// Merge adds the evidence of another host as of a time; reason is for the log.
	Merge(crashes []attribution.Report, answers []attribution.Answer, at time.Time, reason string)
}

// Peers exchanges messages with the other daemons of the cell. Its methods are
// safe for concurrent use.
type Peers struct {
	cfg     Config
	client  *client
	syncNow chan struct{}
	pulls   chan pull

	mu       sync.Mutex
	rotation []string // hosts that the current rotation has not reached yet
}

// pull is a pending Sync call to a host that has a newer configuration.
type pull struct {
	host     string
	revision config.Revision
}

// New returns Peers, which makes calls in Run and serves them in Serve.
func New(cfg Config) *Peers {
	return &Peers{
		cfg:     cfg,
		client:  newClient(cfg.TLS),
		syncNow: make(chan struct{}, 1),
		pulls:   make(chan pull, syncFanOut),
	}
}

// Close closes the pooled connections to other daemons.
func (p *Peers) Close() error { return Error.Wrap(p.client.pool.Close()) }

// Run makes Sync calls every second and after SyncNow until ctx ends.
func (p *Peers) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return p.runPulls(ctx) })
	g.Go(func() error {
		ticker := time.NewTicker(syncInterval)
		defer ticker.Stop()
		p.SyncRound(ctx)
		for {
			select {
			case <-ctx.Done():
				return nil
			case <-time.After(minPushInterval):
			}
			select {
			case <-ctx.Done():
				return nil
			case <-ticker.C:
				p.SyncRound(ctx)
			case <-p.syncNow:
				p.sync(ctx, p.nextPeers(pushFanOut))
			}
		}
	})
	return g.Wait()
}

// SyncNow triggers a push without waiting for it. It is called when the configuration
// revision increases, when a cold sighting is new and when the host starts to drain.
func (p *Peers) SyncNow() {
	select {
	case p.syncNow <- struct{}{}:
	default: // A round is already pending.
	}
}

// ReportCold records a cold sighting and triggers a push if it is new.
func (p *Peers) ReportCold(s membership.ColdSighting) {
	if p.cfg.Membership.RecordCold(s) {
		p.SyncNow()
	}
}

// SyncRound calls Sync for up to 12 peers, and for the renewer of the view if a
// confirmation is due, and returns when all calls have ended.
func (p *Peers) SyncRound(ctx context.Context) {
	hosts := p.nextPeers(syncFanOut)
	// Without this call, 31% of the members of a cell of 64 read the view object every
	// second, since confirmations relayed at random often take more than 2 s.
	renewer, due := p.cfg.Membership.RenewerToSync(p.cfg.Now())
	if due && renewer.PeerAddress != "" && !slices.Contains(hosts, renewer) {
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

// nextPeers returns the next n hosts of a random rotation. A rotation reaches more
// distinct members than independent random choices, which the freshness rule needs: 36
// of 63 in 3 s instead of about 30.
func (p *Peers) nextPeers(n int) []platform.Host {
	hosts := p.cfg.Membership.Peers()
	byID := make(map[string]platform.Host, len(hosts))
	for _, h := range hosts {
		byID[h.ID] = h
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []platform.Host
	for want := min(n, len(hosts)); len(out) < want; {
		if len(p.rotation) == 0 {
			p.refillRotation(hosts, out)
		}
		id := p.rotation[0]
		p.rotation = p.rotation[1:]
		if h, ok := byID[id]; ok && !slices.Contains(out, h) {
			out = append(out, h)
		}
	}
	return out
}

// refillRotation starts a new rotation over the hosts that are not yet in picked. The lock
// is held.
func (p *Peers) refillRotation(hosts, picked []platform.Host) {
	for _, h := range hosts {
		if !slices.Contains(picked, h) {
			p.rotation = append(p.rotation, h.ID)
		}
	}
	p.cfg.Rand.Shuffle(len(p.rotation), func(i, j int) { p.rotation[i], p.rotation[j] = p.rotation[j], p.rotation[i] })
}

// Sync exchanges heartbeats with one host and applies its response.
func (p *Peers) Sync(ctx context.Context, h platform.Host) error {
	sentAt := p.cfg.Now()
	req := &peerpb.SyncRequest{Heartbeat: p.heartbeat(false)}
	var resp *peerpb.SyncResponse
	err := p.client.call(ctx, h.PeerAddress, syncTimeout, func(ctx context.Context, c peerpb.DRPCPeerClient) (err error) {
		resp, err = c.Sync(ctx, req)
		return err
	})
	if err == nil {
		err = checkResponse(resp.GetHeartbeat(), h.ID)
	}
	if err != nil {
		p.cfg.Membership.RecordSyncFailure(h.ID)
		return err
	}
	return p.applyResponse(resp, sentAt)
}

// applyResponse applies the response to a Sync call sent at sentAt. If the configuration
// revision increased, it triggers a push.
func (p *Peers) applyResponse(resp *peerpb.SyncResponse, sentAt time.Time) error {
	hb := resp.Heartbeat
	revisionBefore := p.cfg.Source.Revision()
	var failed errs.Group
	if len(resp.Changes) > 0 || len(resp.Document) > 0 {
		failed.Add(p.cfg.Source.Merge(resp.Changes, resp.Document))
	}
	configAge := decodeAge(hb.ConfigAgeMs)
	if configAge.Known {
		p.cfg.Source.RecordConfirmation(config.Revision(hb.ConfigRevision), configAge.Value, sentAt)
	}
	failed.Add(p.cfg.Membership.ApplyPeerView(hb.ViewEpoch, decodeAge(hb.ViewAgeMs), resp.View, sentAt))
	p.cfg.Membership.RecordSyncResponse(hb.Host, sentAt, configAge, hb.Draining)
	p.recordCold(hb, sentAt)
	p.mergeEvidence(hb, sentAt)
	if p.cfg.Source.Revision() > revisionBefore {
		p.SyncNow()
	}
	return Error.Wrap(failed.Err())
}

// recordCold records the sender's cold sightings, whose ages are relative to at. New ones
// trigger a push, so that they reach members that the sender does not call.
func (p *Peers) recordCold(hb *peerpb.Heartbeat, at time.Time) {
	for _, c := range hb.Cold {
		p.ReportCold(membership.ColdSighting{
			Backend:     c.Backend,
			Incarnation: c.Incarnation,
			At:          at.Add(-time.Duration(max(c.AgeMs, 0)) * time.Millisecond),
		})
	}
}

// heartbeat returns this host's heartbeat. It reads the age of the configuration
// confirmation before the revision: if the revision increases in between, the age sent
// with it is too high, never too low.
func (p *Peers) heartbeat(allSightings bool) *peerpb.Heartbeat {
	now := p.cfg.Now()
	age, known := p.cfg.Source.ConfirmedAge(now)
	revision := p.cfg.Source.Revision()
	epoch, viewAge, viewKnown := p.cfg.Membership.ViewAge(now)
	hb := &peerpb.Heartbeat{
		Protocol:       Protocol,
		Host:           p.cfg.Membership.Self(),
		ConfigRevision: uint64(revision),
		ConfigAgeMs:    encodeAge(age, known),
		ViewEpoch:      epoch,
		ViewAgeMs:      encodeAge(viewAge, viewKnown),
		Draining:       p.cfg.Membership.Draining(),
	}
	for _, s := range p.cfg.Membership.ColdSightings(allSightings) {
		hb.Cold = append(hb.Cold, &peerpb.ColdSighting{
			Backend: s.Backend, Incarnation: s.Incarnation, AgeMs: max(now.Sub(s.At), 0).Milliseconds(),
		})
	}
	p.addEvidence(hb)
	return hb
}

// encodeAge returns the age in milliseconds, or -1 if it is unknown. It rounds up, so that
// a relayed confirmation never appears more recent than it is.
func encodeAge(age time.Duration, known bool) int64 {
	if !known {
		return -1
	}
	return (max(age, 0) + time.Millisecond - 1).Milliseconds()
}

// maxAgeMS limits ages received from peers, so that they fit into a time.Duration.
const maxAgeMS = int64(24 * time.Hour / time.Millisecond)

// decodeAge is the inverse of encodeAge.
func decodeAge(ms int64) view.Age {
	return view.Age{Known: ms >= 0, Value: time.Duration(min(max(ms, 0), maxAgeMS)) * time.Millisecond}
}

// checkHeartbeat returns an error if a received heartbeat is malformed.
func checkHeartbeat(hb *peerpb.Heartbeat) error {
	switch {
	case hb == nil:
		return Error.New("heartbeat is missing")
	case hb.Protocol != Protocol:
		return Error.New("protocol %d is not supported, want %d", hb.Protocol, Protocol)
	case hb.Host == "" || len(hb.Host) > maxHostBytes:
		return Error.New("host id has %d bytes, want 1 to %d", len(hb.Host), maxHostBytes)
	case len(hb.Crashes) > maxCrashes || len(hb.Sound) > maxSoundParts:
		return Error.New("heartbeat has %d crashes and %d sound parts, at most %d and %d are allowed", len(hb.Crashes), len(hb.Sound), maxCrashes, maxSoundParts)
	case len(hb.Cold) > maxSightings:
		return Error.New("heartbeat has %d cold sightings, at most %d are allowed", len(hb.Cold), maxSightings)
	}
	return nil
}

// checkResponse also rejects the response of a host other than want, which occurs when an
// address is reused.
func checkResponse(hb *peerpb.Heartbeat, want string) error {
	if err := checkHeartbeat(hb); err != nil {
		return err
	}
	if hb.Host != want {
		return Error.New("response comes from host %q, want %q", hb.Host, want)
	}
	return nil
}

// requestPull schedules a Sync call to a host that has a newer configuration.
func (p *Peers) requestPull(host string, revision config.Revision) {
	select {
	case p.pulls <- pull{host, revision}:
	default: // The next periodic round fetches the change.
	}
}

// runPulls makes the pending pulls one after the other until ctx ends.
func (p *Peers) runPulls(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case next := <-p.pulls:
			h, ok := p.cfg.Membership.HostByID(next.host)
			if !ok || h.PeerAddress == "" || p.cfg.Source.Revision() >= next.revision {
				continue // Several peers push the same change, but one pull is sufficient.
			}
			if err := p.Sync(ctx, h); err != nil {
				p.cfg.Log.Debug().Err(err).Str("host", next.host).Msg("pulling the configuration failed")
			}
		}
	}
}

// Claim forwards claims to host, the preferred writer of the shard. The verdict of the
// error tells whether the call may have been executed.
func (p *Peers) Claim(ctx context.Context, host string, req *peerpb.ClaimRequest) (resp *peerpb.ClaimResponse, err error) {
	req.Protocol = Protocol
	err = p.callHost(ctx, host, claimTimeout, func(ctx context.Context, c peerpb.DRPCPeerClient) (err error) {
		resp, err = c.Claim(ctx, req)
		return err
	})
	return resp, err
}

// Answer requests the response to an order from the host that executes it and waits for it
// as long as the request allows, at most 60 s. The verdict of the error applies to this
// call, not to the order.
func (p *Peers) Answer(ctx context.Context, host string, req *peerpb.AnswerRequest) (resp *peerpb.AnswerResponse, err error) {
	req.Protocol = Protocol
	err = p.callHost(ctx, host, responseTimeout(req), func(ctx context.Context, c peerpb.DRPCPeerClient) (err error) {
		resp, err = c.Answer(ctx, req)
		return err
	})
	return resp, err
}

// callHost calls a host by its id.
func (p *Peers) callHost(ctx context.Context, host string, timeout time.Duration, f func(context.Context, peerpb.DRPCPeerClient) error) error {
	h, ok := p.cfg.Membership.HostByID(host)
	if !ok || h.PeerAddress == "" {
		return verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "unknown_peer", "host list has no peer address for host %q", host)
	}
	return p.client.call(ctx, h.PeerAddress, timeout, f)
}
