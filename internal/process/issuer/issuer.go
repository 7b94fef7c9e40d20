// Package issuer sends control commands to the model engines of a service. Only
// the daemon that holds the lease sends, with the fencing token of the object
// issuer/<service>. Any daemon records operators' commands in that object.
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
	// callTimeout is the timeout of one call to the object API, the weight store
	// or an engine.
	callTimeout = time.Second
	// idleWatchTimeout is the maximum duration of a watch while there is nothing
	// to send.
	idleWatchTimeout = 10 * time.Second
	// verifyInterval is the time between two comparisons of the engines' actual
	// states with the desired ones.
	verifyInterval = 10 * time.Second
	// removedAfter is how long a backend server must be missing from the host
	// list before its commands fail. It is long since the host list lags.
	removedAfter = 10 * time.Minute
	// minRetryDelay and maxRetryDelay limit the delay before a command or a
	// request to the weight store is retried.
	minRetryDelay = time.Second
	maxRetryDelay = 30 * time.Second
	// defaultLoadInterval is the time between two load commands of a service,
	// since each makes an engine read from the rate-limited weight store.
	defaultLoadInterval = time.Second
	// defaultConcurrency is the maximum number of commands of one round, so that a
	// round with unreachable engines ends within the lease.
	defaultConcurrency = 16
	// maxUpdateAttempts is the limit on the attempts of one conditional update.
	maxUpdateAttempts = 4
)

// errLeaseLost means that another daemon has taken over the lease.
var errLeaseLost = errors.New("another daemon holds the lease for control commands")

// Options configure a Manager or an Issuer. All are required unless stated
// otherwise.
type Options struct {
	// Holder identifies this process as a lease holder. A restarted daemon must
	// have a different one.
	Holder string
	// KeySuffix is appended to the key issuer/<service>. It is empty if the host
	// list contains all backend servers of the deployment.
	KeySuffix string
	Store     platform.ObjectStore
	Engines   platform.EngineControl
	// Weights may be nil: load commands are then sent without first checking the
	// weight store.
	Weights platform.WeightStore
	// Hosts returns the host list; ok is false if it has not been read yet.
	Hosts func() (hosts []platform.Host, ok bool)
	// IsCandidate reports whether this daemon should acquire the service's lease.
	IsCandidate func(service string) bool
	// Now is the clock of leases and retries. Delays use package time.
	Now func() time.Time
	// NewRand returns a random source for the jitter of retries.
	NewRand func() *rand.Rand
	// LoadInterval and Concurrency are optional: 1 s and 16 by default.
	LoadInterval time.Duration
	Concurrency  int
	Log          zerolog.Logger
}

// Issuer sends the control commands of one service. Its methods must not be
// called concurrently.
type Issuer struct {
	opt     Options
	service string
	rand    *rand.Rand

	doc     *issuer.Document
	version platform.Version
	watch   issuer.LeaseWatch

	// holdsLease is set while this process is the lease holder with fencingToken.
	holdsLease   bool
	fencingToken uint64
	// tokenUsed is set once a command was sent with fencingToken.
	tokenUsed         bool
	lease             issuer.Lease
	firstSendAt       time.Time
	renewedAt         time.Time
	attemptedRenewals uint64 // highest renewal count of an attempted write
	highestToken      uint64 // highest fencing token observed at an engine

	nextVerify   time.Time
	nextLoad     time.Time
	loadBackoff  time.Duration
	retries      map[string]retry
	missingSince map[string]time.Time
}

// retry is the time of the next attempt at a backend server, with the delay
// before jitter.
type retry struct {
	at    time.Time
	delay time.Duration
}

// NewIssuer returns an issuer for a service, without the lease.
func NewIssuer(opt Options, service string) *Issuer {
	if opt.LoadInterval <= 0 {
		opt.LoadInterval = defaultLoadInterval
	}
	if opt.Concurrency <= 0 {
		opt.Concurrency = defaultConcurrency
	}
	return &Issuer{opt: opt, service: service, rand: opt.NewRand(), doc: issuer.Empty(),
		retries: map[string]retry{}, missingSince: map[string]time.Time{}}
}

// key returns the object key of a service's document.
func (o *Options) key(service string) string { return "issuer/" + service + o.KeySuffix }

// Step reads the document and, as needed, acquires the lease, compares the
// engines' states with the desired ones, sends commands or releases the lease.
func (i *Issuer) Step(ctx context.Context) error {
	if err := i.read(ctx); err != nil {
		return err
	}
	if !i.opt.IsCandidate(i.service) {
		return i.release(ctx)
	}
	var drift []issuer.Result
	if now := i.opt.Now(); !now.Before(i.nextVerify) {
		// After drift, every step compares again until a lease holder has
		// recorded it.
		if drift = i.drift(ctx); len(drift) == 0 {
			i.nextVerify = now.Add(verifyInterval)
		}
	}
	if !i.doc.HasUnfinished() && len(drift) == 0 {
		return i.release(ctx)
	}
	if !i.holdsLease {
		if err := i.acquire(ctx); err != nil || !i.holdsLease {
			return err
		}
	}
	return i.round(ctx, drift)
}

// read reads the stored document and detects that another daemon has taken over
// the lease.
func (i *Issuer) read(ctx context.Context) error {
	doc, version, err := i.opt.readDocument(ctx, i.service)
	if err != nil {
		return err
	}
	i.doc, i.version = doc, version
	i.watch = i.watch.Observe(doc, i.opt.Now())
	if i.holdsLease && (doc.Holder != i.opt.Holder || doc.FencingToken != i.fencingToken) {
		i.holdsLease = false
		i.opt.Log.Warn().Str("service", i.service).Str("holder", doc.Holder).Msg("lease lost, another daemon sends the control commands")
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

// put replaces the document that was read last by next.
func (i *Issuer) put(ctx context.Context, next *issuer.Document) error {
	raw, err := next.Encode()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	i.attemptedRenewals = max(i.attemptedRenewals, next.RenewalCount)
	version, err := i.opt.Store.Put(ctx, i.opt.key(i.service), i.version, raw)
	if err == nil {
		i.doc, i.version = next, version
		i.watch = i.watch.Observe(next, i.opt.Now())
	}
	return err
}

// acquire acquires the lease if it is free or has expired. If the response to the
// write is lost, the next step finds this process as the holder and acquires the
// lease again with a new fencing token.
func (i *Issuer) acquire(ctx context.Context) error {
	now := i.opt.Now()
	if i.doc.Holder != i.opt.Holder {
		if !i.watch.MayTakeOver(now) {
			return nil
		}
		// Set before the write, so that it also applies to the next acquire if the
		// response to the write is lost.
		i.firstSendAt = i.watch.FirstSendAt(now)
	}
	next := i.doc.Acquire(i.opt.Holder, i.highestToken).Renew(i.attemptedRenewals)
	if err := i.put(ctx, next); err != nil {
		return ignoreConflict(err)
	}
	i.holdsLease, i.fencingToken, i.tokenUsed, i.renewedAt = true, next.FencingToken, false, now
	i.lease = issuer.Lease{}.Confirm(now)
	i.opt.Log.Info().Str("service", i.service).Uint64("fencing_number", i.fencingToken).Msg("lease acquired, sending control commands")
	return nil
}

// release releases the lease if this process holds it. It is only called when no
// command of this process is in transit.
func (i *Issuer) release(ctx context.Context) error {
	if i.doc.Holder != i.opt.Holder {
		return nil
	}
	i.holdsLease = false
	return ignoreConflict(i.put(ctx, i.doc.Release().Renew(i.attemptedRenewals)))
}

// ignoreConflict returns nil for a conflict, since the next step decides again
// from the newest document.
func ignoreConflict(err error) error {
	if errors.Is(err, platform.ErrConflict) {
		return nil
	}
	return err
}

// update writes a change of the document, which also renews the lease. change is
// called once per attempt with the newest document. The error is errLeaseLost if
// another daemon has taken over the lease.
func (i *Issuer) update(ctx context.Context, change func(*issuer.Document) *issuer.Document) error {
	var err error
	for range maxUpdateAttempts {
		next, sentAt := change(i.doc).Renew(i.attemptedRenewals), i.opt.Now()
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
		if !i.holdsLease {
			return errLeaseLost
		}
		if i.doc.RenewalCount == next.RenewalCount {
			i.lease, i.renewedAt = i.lease.Confirm(sentAt), sentAt
			return nil
		}
	}
	return err
}

// maySend reports whether a command may be sent at now. It is checked
// immediately before each command.
func (i *Issuer) maySend(now time.Time) bool {
	return i.holdsLease && i.lease.Valid(now) && !now.Before(i.firstSendAt)
}
