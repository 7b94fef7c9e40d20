// Package issuer sends control commands to the model engines of a service. One
// daemon at a time does so, under a fencing number in the object
// issuer/<service>; operators' commands are recorded there by any daemon.
package issuer

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"monsoonkeel.example/monsoonkeel/core/issuer"
	"monsoonkeel.example/monsoonkeel/internal/platform"
)

const (
	// callTimeout bounds one call of the object API, the weight store or an engine.
	callTimeout = time.Second
	// idleWatch is how long a watch waits while there is nothing to send.
	idleWatch = 10 * time.Second
	// verifyInterval is the time between two comparisons of the engines' states
	// with their desired states.
	verifyInterval = 10 * time.Second
	// goneAfter is how long a backend server must be missing from the host list,
	// which lags, before its commands fail.
	goneAfter = 10 * time.Minute
	// retryFirst and retryMax bound the pause before a command is tried again
	// and before the weight store is asked again.
	retryFirst = time.Second
	retryMax   = 30 * time.Second
	// defaultLoadInterval spaces the loads of a service, since each makes an
	// engine read from the rate-limited weight store.
	defaultLoadInterval = time.Second
	// defaultParallel bounds the commands of one round, so that a round over
	// unreachable engines ends within the lease.
	defaultParallel = 16
	// updateTries bounds the tries of one conditional update in a round.
	updateTries = 4
)

// errSuperseded means that another daemon took over.
var errSuperseded = errors.New("another daemon issues the commands")

// Options configure the issuing of control commands. All are required unless
// marked otherwise.
type Options struct {
	// Holder identifies this process; a restarted daemon must have another one.
	Holder string
	// KeySuffix is appended to the key issuer/<service>; empty if the host list
	// shows all backend servers of the deployment.
	KeySuffix string
	Store     platform.ObjectStore
	Engines   platform.EngineControl
	// Weights may be nil: loads are then not checked against the weight store.
	Weights platform.WeightStore
	// Hosts returns the host list; ok is false until it was read.
	Hosts func() (hosts []platform.Host, ok bool)
	// IsCandidate says whether this daemon should issue the service's commands.
	IsCandidate func(service string) bool
	// Now is the clock. Waits use package time.
	Now func() time.Time
	// NewRand returns a source for retry times.
	NewRand func() *rand.Rand
	// LoadInterval and Parallel have defaults.
	LoadInterval time.Duration
	Concurrency  int
	Log          zerolog.Logger
}

// Issuer issues the commands of one service. Its methods must not be called
// concurrently.
type Issuer struct {
	opt     Options
	service string
	rand    *rand.Rand

	doc     *issuer.Document
	version platform.Version
	watch   issuer.LeaseWatch

	// holding is set while this process is the holder under the fencing number fence.
	holding bool
	fence   uint64
	// used is set once a command was sent under fence.
	used      bool
	lease     issuer.Lease
	sendFrom  time.Time
	renewedAt time.Time
	tried     uint64 // highest beat that a write tried to set
	atLeast   uint64 // highest fencing number seen at an engine

	nextVerify time.Time
	nextLoad   time.Time
	loadPause  time.Duration
	retries    map[string]retry
	missing    map[string]time.Time
}

// retry is when a backend server is tried again.
type retry struct {
	at    time.Time
	pause time.Duration
}

// NewIssuer returns the issuer of a service.
func NewIssuer(opt Options, service string) *Issuer {
	if opt.LoadInterval <= 0 {
		opt.LoadInterval = defaultLoadInterval
	}
	if opt.Concurrency <= 0 {
		opt.Concurrency = defaultParallel
	}
	return &Issuer{opt: opt, service: service, rand: opt.NewRand(), doc: issuer.Empty(),
		retries: map[string]retry{}, missing: map[string]time.Time{}}
}

// key returns the key of a service's document.
func (o *Options) key(service string) string { return "issuer/" + service + o.KeySuffix }

// Step reads the document and does one round of work: it takes over, sends,
// compares states or gives the role up.
func (i *Issuer) Step(ctx context.Context) error {
	if err := i.read(ctx); err != nil {
		return err
	}
	if !i.opt.IsCandidate(i.service) {
		return i.release(ctx)
	}
	var drift []issuer.Result
	if now := i.opt.Now(); !now.Before(i.nextVerify) {
		// Drift stays due until a holder has recorded it.
		if drift = i.drift(ctx); len(drift) == 0 {
			i.nextVerify = now.Add(verifyInterval)
		}
	}
	if !i.doc.HasUnfinished() && len(drift) == 0 {
		return i.release(ctx)
	}
	if !i.holding {
		if err := i.acquire(ctx); err != nil || !i.holding {
			return err
		}
	}
	return i.round(ctx, drift)
}

// read adopts the stored document and notices when this process is no longer the holder.
func (i *Issuer) read(ctx context.Context) error {
	doc, version, err := i.opt.readDocument(ctx, i.service)
	if err != nil {
		return err
	}
	i.doc, i.version = doc, version
	i.watch = i.watch.Observe(doc, i.opt.Now())
	if i.holding && (doc.Holder != i.opt.Holder || doc.FencingToken != i.fence) {
		i.holding = false
		i.opt.Log.Warn().Str("service", i.service).Str("holder", doc.Holder).Msg("another daemon took over the control commands")
	}
	return nil
}

func (o *Options) readDocument(ctx context.Context, service string) (*issuer.Document, platform.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	object, err := o.Store.Get(ctx, o.key(service))
	if errors.Is(err, platform.ErrNotFound) {
		return issuer.Empty(), 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	doc, err := issuer.Decode(object.Value)
	return doc, object.Version, err
}

// put writes next over the document read last.
func (i *Issuer) put(ctx context.Context, next *issuer.Document) error {
	raw, err := next.Encode()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	i.tried = max(i.tried, next.RenewalCount)
	version, err := i.opt.Store.Put(ctx, i.opt.key(i.service), i.version, raw)
	if err == nil {
		i.doc, i.version = next, version
		i.watch = i.watch.Observe(next, i.opt.Now())
	}
	return err
}

// acquire takes the role if the rules allow it. After a lost answer the next
// step finds this process as the holder and takes a new number.
func (i *Issuer) acquire(ctx context.Context) error {
	now := i.opt.Now()
	if i.doc.Holder != i.opt.Holder {
		if !i.watch.MayTakeOver(now) {
			return nil
		}
		// Kept also when the answer is lost.
		i.sendFrom = i.watch.FirstSendAt(now)
	}
	next := i.doc.Acquire(i.opt.Holder, i.atLeast).Renew(i.tried)
	if err := i.put(ctx, next); err != nil {
		return ignoreConflict(err)
	}
	i.holding, i.fence, i.used, i.renewedAt = true, next.FencingToken, false, now
	i.lease = issuer.Lease{}.Confirm(now)
	i.opt.Log.Info().Str("service", i.service).Uint64("fencing_number", i.fence).Msg("issuing control commands")
	return nil
}

// release gives the role up; no command of this process is on its way then.
func (i *Issuer) release(ctx context.Context) error {
	if i.doc.Holder != i.opt.Holder {
		return nil
	}
	i.holding = false
	return ignoreConflict(i.put(ctx, i.doc.Release().Renew(i.tried)))
}

// ignoreConflict drops a conflict of a write that the next step decides anew.
func ignoreConflict(err error) error {
	if errors.Is(err, platform.ErrConflict) {
		return nil
	}
	return err
}

// update writes a change of the document, which renews the lease. change may
// be called several times, on the newest document.
func (i *Issuer) update(ctx context.Context, change func(*issuer.Document) *issuer.Document) error {
	var err error
	for range updateTries {
		next, sentAt := change(i.doc).Renew(i.tried), i.opt.Now()
		if err = i.put(ctx, next); err == nil {
			i.lease, i.renewedAt = i.lease.Confirm(sentAt), sentAt
			return nil
		}
		if !errors.Is(err, platform.ErrConflict) && !errors.Is(err, platform.ErrOutcomeUnknown) {
			return err
		}
		if readErr := i.read(ctx); readErr != nil {
			return readErr
		}
		if !i.holding {
			return errSuperseded
		}
		if i.doc.RenewalCount == next.RenewalCount {
			i.lease, i.renewedAt = i.lease.Confirm(sentAt), sentAt
			return nil
		}
	}
	return err
}

// maySend is checked directly before every command.
func (i *Issuer) maySend(now time.Time) bool {
	return i.holding && i.lease.Valid(now) && !now.Before(i.sendFrom)
}
