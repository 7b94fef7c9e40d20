package forward

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"monsoonkeel.example/monsoonkeel/core/balance"
	"monsoonkeel.example/monsoonkeel/core/fleet"
	"monsoonkeel.example/monsoonkeel/core/quota"
	"monsoonkeel.example/monsoonkeel/core/rollout"
	"monsoonkeel.example/monsoonkeel/core/serverstate"
	"monsoonkeel.example/monsoonkeel/internal/directory"
	"monsoonkeel.example/monsoonkeel/internal/wait"
)

// RolloutStore writes the status of roll-outs to the platform's store.
type RolloutStore interface {
	// SetRolloutStatus writes a state to the object of a request for a roll-out, if the object still has the revision of the
	// request. If the answer is lost, the write may have taken effect.
	SetRolloutStatus(ctx context.Context, request fleet.Rollout, state fleet.RolloutState) error
}

const (
	// rolloutInterval is the time between two updates of the roll-outs.
	rolloutInterval = 200 * time.Millisecond
	// rolloutWriteTimeout limits one write of a status.
	rolloutWriteTimeout = 2 * time.Second
	// versionHold is how long the servers of a version that a service had no server of before get no requests unless a
	// roll-out names it: an operator starts the servers right before or after the request for the roll-out.
	versionHold = 2 * time.Second
	// withoutOthers is how long the store must list no server of another version until all requests may use a version that is
	// rolled out.
	withoutOthers = 2 * time.Second
	// maxLoopPause is the time since the last update of the roll-outs after which this host was suspended. It then exposes no
	// requests for newsTime: the version may have been rolled back meanwhile, and the others send their states within that.
	maxLoopPause = time.Second
	newsTime     = time.Second
	// endedReportTime is how long this host reports a roll-out after the store says that it is over, for hosts that have
	// not read that yet.
	endedReportTime = 10 * time.Second
)

// rollouts is what a host knows of the versions of a service. balancers.mu guards it.
type rollouts struct {
	// tracker is that of the newest request; nil if the store has none. request is as the store holds it.
	tracker *rollout.Tracker
	request fleet.Rollout
	// endedAt is when this host first saw that the roll-out is over in the store; zero while it is not.
	endedAt time.Time
	// othersAt is when the service last had servers of other versions in use; zero for never.
	othersAt time.Time
	// rank is the number of hosts of rankOf that decide before this one.
	rank   int
	rankOf *quota.Hosts
	// writing is set while a status is written.
	writing  bool
	versions map[string]*version
	// retired are the servers of other versions at the completion of a roll-out. They stop at once.
	retired map[serverstate.Process]bool
}

// version is a version of a service's servers.
type version struct {
	// usableFrom is the end of the hold; zero for none.
	usableFrom time.Time
	// rolledBack is set if a roll-out of the version was rolled back, and withdrawn if its request was removed or replaced
	// before its end.
	rolledBack, withdrawn bool
	// listed is set if the store lists a server of the version, and seen if it has ever.
	listed, seen bool
}

func (v *version) usable(now time.Time) bool {
	return !v.rolledBack && !v.withdrawn && !now.Before(v.usableFrom)
}

// running returns the tracker of a roll-out that is not over, or nil.
func (r *rollouts) running() *rollout.Tracker {
	if r.tracker == nil || r.tracker.Phase() >= rollout.Completed {
		return nil
	}
	return r.tracker
}

// isTarget reports whether a version is that of the newest request.
func (r *rollouts) isTarget(v string) bool { return r.tracker != nil && v == r.tracker.ID().Target }

func (r *rollouts) version(name string) *version {
	if r.versions == nil {
		r.versions = map[string]*version{}
	}
	if r.versions[name] == nil {
		r.versions[name] = &version{}
	}
	return r.versions[name]
}

// setListed updates the versions from the servers that the store lists. With first set, they are the first that this host knows.
func (r *rollouts) setListed(listed map[string]bool, first bool, now time.Time) {
	others := false // another version had servers before
	for name, v := range r.versions {
		v.listed = listed[name]
		if !v.listed && (v.rolledBack || v.withdrawn) && !r.isTarget(name) {
			delete(r.versions, name) // servers of it would be new ones
			continue
		}
		others = others || v.seen
	}
	for name := range listed {
		v := r.version(name)
		if !v.seen && !first && others && name != "" {
			v.usableFrom = now.Add(versionHold)
		}
		v.listed, v.seen = true, true
	}
}

// setRequest applies the request in the store, which has none unless requested is set. It returns whether
// the request has changed.
func (r *rollouts) setRequest(request fleet.Rollout, requested bool, newTracker func() *rollout.Tracker, now time.Time) bool {
	id := rollout.ID{Service: request.Service, Target: request.Target, Created: request.Created}
	if r.tracker != nil && (!requested || r.tracker.ID() != id) {
		v := r.version(r.tracker.ID().Target)
		switch phase := r.tracker.Phase(); {
		case phase == rollout.RolledBack:
			v.rolledBack = true
		case phase < rollout.Completed:
			v.withdrawn = true
		}
		r.tracker = nil
	}
	if !requested {
		return false
	}
	changed := r.tracker == nil || r.request != request
	r.request = request
	if r.tracker == nil {
		v := r.version(request.Target)
		*v = version{listed: v.listed, seen: v.seen}
		r.tracker, r.endedAt, r.othersAt, r.rankOf = newTracker(), time.Time{}, time.Time{}, nil
	}
	if request.Ended() && r.endedAt.IsZero() {
		r.endedAt = now
	}
	return changed
}

// hasOthers reports whether a version other than the target has servers and may be used.
func (r *rollouts) hasOthers(now time.Time) bool {
	for name, v := range r.versions {
		if v.listed && !r.isTarget(name) && v.usable(now) {
			return true
		}
	}
	return false
}

// hasTarget reports whether the store lists a server of the target.
func (r *rollouts) hasTarget() bool {
	return r.tracker != nil && r.version(r.tracker.ID().Target).listed
}

// excludes reports whether a server gets no requests because of its version. The balancer excludes servers of the target.
func (r *rollouts) excludes(s *directory.Server, now time.Time) bool {
	if r.retired[serverstate.Process{ID: s.ID, StartTime: s.StartTime}] {
		return true
	}
	v := r.versions[s.Version]
	switch {
	case v == nil || r.isTarget(s.Version) || v.usable(now):
		return false
	case v.withdrawn && !v.rolledBack:
		return r.hasOthers(now) || r.hasTarget() && r.tracker.Phase() != rollout.RolledBack
	}
	return true
}

// active reports whether the versions limit the servers that requests may use.
func (r *rollouts) active(now time.Time) bool {
	if r.running() != nil || len(r.retired) > 0 {
		return true
	}
	for name, v := range r.versions {
		// A version with a completed roll-out is usable, and one that was rolled back is not.
		if v.listed && (r.isTarget(name) && r.tracker.Phase() == rollout.RolledBack || !r.isTarget(name) && !v.usable(now)) {
			return true
		}
	}
	return false
}

// balance returns how a balancer with the given servers follows the roll-out.
func (r *rollouts) balance(servers []balance.Server, now time.Time) balance.Rollout {
	if r.tracker == nil {
		return balance.Rollout{}
	}
	b := balance.Rollout{Target: r.tracker.ID().Target}
	switch r.tracker.Phase() {
	case rollout.Completed:
		b.Others, b.Open = true, true
	case rollout.RolledBack:
		b.Others = true
	case rollout.Final:
		// Without any server of the target, the old servers are better than none; their requests delay the completion.
		b.Others, b.Open = !slices.ContainsFunc(servers, func(s balance.Server) bool { return s.Version == b.Target }), true
	default:
		if r.hasOthers(now) {
			r.othersAt = now
		}
		// Without any other server, the bound on exposed requests could be kept only by rejecting all requests. Old servers that
		// restart are back before that.
		b.Others, b.Open = true, now.Sub(r.othersAt) >= withoutOthers
		b.Servers = r.used(servers, now)
	}
	return b
}

// used returns the servers of the target that exposed requests use.
func (r *rollouts) used(servers []balance.Server, now time.Time) map[string]bool {
	var ids []string
	for _, s := range servers {
		if s.Version == r.tracker.ID().Target {
			ids = append(ids, s.ID)
		}
	}
	slices.Sort(ids)
	used := make(map[string]bool, len(ids))
	for _, id := range ids {
		if r.tracker.Uses(id, ids, now) {
			used[id] = true
		}
	}
	return used
}

// retire excludes the servers of other versions that a snapshot has.
func (r *rollouts) retire(service string, snapshot *directory.Snapshot) {
	r.retired = map[serverstate.Process]bool{}
	for id, s := range snapshot.Servers {
		if s.Service == service && !r.isTarget(s.Version) {
			r.retired[serverstate.Process{ID: id, StartTime: s.StartTime}] = true
		}
	}
}

// applyRollouts applies the requests for roll-outs and the versions of the servers in a snapshot.
func (bs *balancers) applyRollouts(snapshot *directory.Snapshot) {
	bs.snapshot = snapshot
	if bs.bounds.Rollback == 0 {
		bs.versionsRead = false
		bs.hasRollouts.Store(false)
		for _, s := range bs.services {
			s.rollouts = rollouts{}
		}
		return
	}
	now := time.Now()
	listed := map[string]map[string]bool{}
	for _, s := range snapshot.Servers {
		bs.service(s.Service)
		if s.Removed {
			continue
		}
		if listed[s.Service] == nil {
			listed[s.Service] = map[string]bool{}
		}
		listed[s.Service][s.Version] = true
	}
	for name := range snapshot.Rollouts {
		bs.service(name)
	}
	active := false
	for name, s := range bs.services {
		request, requested := snapshot.Rollouts[name]
		s.setListed(listed[name], !bs.versionsRead, now)
		for process := range s.retired {
			if server := snapshot.Servers[process.ID]; server == nil || server.StartTime != process.StartTime {
				delete(s.retired, process)
			}
		}
		if s.setRequest(request, requested, func() *rollout.Tracker { return bs.newTracker(request, now) }, now) {
			bs.updateTracker(s, now) // the store may have a later phase
		}
		active = active || s.active(now)
	}
	bs.versionsRead = bs.versionsRead || snapshot.Complete
	bs.hasRollouts.Store(active)
	bs.applyAtEndOfHold(now)
}

func (bs *balancers) newTracker(request fleet.Rollout, now time.Time) *rollout.Tracker {
	t := rollout.New(request, rollout.Settings{ExposeShare: bs.bounds.ExposeShare, ExposeExtra: bs.bounds.ExposeExtra}, rand.Float64, now)
	t.SetHosts(bs.hostCount())
	return t
}

// applyAtEndOfHold has the snapshot applied again when a version may be used that is held back.
func (bs *balancers) applyAtEndOfHold(now time.Time) {
	var next time.Time
	for _, s := range bs.services {
		for name, v := range s.versions {
			if now.Before(v.usableFrom) && !s.isTarget(name) && (next.IsZero() || v.usableFrom.Before(next)) {
				next = v.usableFrom
			}
		}
	}
	if next.IsZero() || next.Equal(bs.holdEnds) {
		return
	}
	bs.holdEnds = next
	time.AfterFunc(next.Sub(now), func() {
		bs.mu.Lock()
		defer bs.mu.Unlock()
		bs.applyLocked(bs.snapshot)
	})
}

// followRollout applies the roll-out of a service to its balancers.
func (s *serviceState) followRollout(now time.Time) {
	b := s.rollouts.balance(s.servers, now)
	s.balancer.SetRollout(b)
	if s.placed != nil {
		s.placed.SetRollout(b)
	}
}

// updateTracker applies what this host knows of a roll-out and returns whether its phase has changed.
func (bs *balancers) updateTracker(s *serviceState, now time.Time) bool {
	t := s.tracker
	others := rollout.Others{Live: bs.liveHosts}
	for _, r := range bs.peerRollouts {
		if r.ID == t.ID() {
			others.Report = r
		}
	}
	if s.rankOf != bs.division {
		s.rankOf, s.rank = bs.division, rollout.Rank(t.ID(), bs.opts.HostID, slices.Collect(maps.Keys(bs.hosts)))
	}
	others.Rank = s.rank
	others.StoreFailed = bs.opts.Directory != nil && bs.opts.Directory.RecentStoreFailure()
	t.SetHosts(bs.hostCount())
	changes := t.Update(others, s.request, s.inFlightAtOthers(t.ID().Target), now)
	for _, c := range changes {
		bs.logPhase(t, c, now)
		if c.To == rollout.RolledBack {
			bs.metrics.Rollbacks.Add(1)
		}
		if c.To == rollout.Completed {
			s.retire(t.ID().Service, bs.snapshot)
		}
	}
	return len(changes) > 0
}

// inFlightAtOthers returns the number of requests of this host at servers of other versions. Standby replicas are no requests.
func (s *serviceState) inFlightAtOthers(target string) int {
	n := s.balancer.RequestsAtOthers(target)
	for v, standbys := range s.standbys {
		if v != target {
			n -= standbys
		}
	}
	return n
}

func (bs *balancers) logPhase(t *rollout.Tracker, c rollout.Change, now time.Time) {
	status := t.Status(now)
	counts := zerolog.Dict()
	for _, side := range []bool{false, true} {
		requests, failures := int64(0), int64(0)
		for _, c := range status.Counts {
			if c.Target == side {
				requests, failures = requests+c.Requests, failures+c.Failures
			}
		}
		name := map[bool]string{false: "old", true: "target"}[side]
		counts.Int64(name+"_responses", requests).Int64(name+"_failures", failures)
	}
	bs.opts.Log.Info().Str("service", t.ID().Service).Str("target", t.ID().Target).Stringer("from", c.From).Stringer("to", c.To).Str("reason", c.Reason).
		Float64("share", status.Share).Int64("requests", status.Requests).Int64("exposed", status.Exposed).Dict("counts", counts).Msg("roll-out changed its phase")
}

// setPeerRollouts applies what the other hosts report of the roll-outs.
func (bs *balancers) setPeerRollouts(reports []rollout.Report, liveHosts int) {
	bs.mu.Lock()
	defer bs.mu.Unlock()
	bs.peerRollouts, bs.liveHosts = reports, liveHosts
}

// rolloutReports returns what this host tells the others of the roll-outs.
func (bs *balancers) rolloutReports() (list []rollout.Report) {
	bs.mu.Lock()
	defer bs.mu.Unlock()
	for _, s := range bs.services {
		if s.tracker != nil && (s.endedAt.IsZero() || time.Since(s.endedAt) < endedReportTime) {
			list = append(list, s.tracker.Report(s.inFlightAtOthers(s.tracker.ID().Target)))
		}
	}
	slices.SortFunc(list, func(a, b rollout.Report) int { return cmp.Compare(a.Service, b.Service) })
	return list
}

// rolloutStatus returns the state of the roll-outs by service.
func (bs *balancers) rolloutStatus() map[string]rollout.Status {
	bs.mu.Lock()
	defer bs.mu.Unlock()
	out := map[string]rollout.Status{}
	for name, s := range bs.services {
		if s.tracker != nil {
			out[name] = s.tracker.Status(time.Now())
		}
	}
	return out
}

// rolloutWrite is a state of a roll-out that is to be written to the store.
type rolloutWrite struct {
	request fleet.Rollout
	state   fleet.RolloutState
}

// updateRollouts updates the roll-outs that are not over for all hosts, and returns what is to be written.
func (bs *balancers) updateRollouts(now time.Time) (writes []rolloutWrite) {
	bs.mu.Lock()
	defer bs.mu.Unlock()
	if bs.wasSuspended() {
		bs.exposesFrom = bs.opts.Clock() + newsTime
	}
	bs.loopAt = bs.opts.Clock()
	changed := false
	for _, s := range bs.services {
		if s.tracker == nil || !s.endedAt.IsZero() {
			continue // only a change in the store has an effect any more
		}
		changed = bs.updateTracker(s, now) || changed
		s.followRollout(now)
		s.wake()
		if s.writing || bs.opts.RolloutStore == nil {
			continue
		}
		if state, ok := s.tracker.Write(now); ok {
			s.writing = true
			s.tracker.Written(state, now)
			writes = append(writes, rolloutWrite{request: s.request, state: state})
		}
	}
	if changed {
		bs.applyLocked(bs.snapshot)
	}
	return writes
}

// wasSuspended reports whether this host has not updated the roll-outs for long.
func (bs *balancers) wasSuspended() bool {
	return bs.loopAt != 0 && bs.opts.Clock()-bs.loopAt > maxLoopPause
}

// exposes reports whether this host may send requests to a version under trial. It must know the news of the other hosts.
func (bs *balancers) exposes() bool {
	return bs.loopAt == 0 || !bs.wasSuspended() && bs.opts.Clock() >= bs.exposesFrom
}

// written records the end of a write.
func (bs *balancers) written(w rolloutWrite) {
	bs.mu.Lock()
	defer bs.mu.Unlock()
	bs.service(w.request.Service).writing = false
}

// UpdateRollouts updates the roll-outs and writes their status to the store until ctx ends.
func (g *Gateway) UpdateRollouts(ctx context.Context) {
	for wait.For(ctx, rolloutInterval) {
		for _, w := range g.balancers.updateRollouts(time.Now()) {
			go g.writeRollout(ctx, w) // a store that does not answer must not delay a roll-back
		}
	}
}

func (g *Gateway) writeRollout(ctx context.Context, w rolloutWrite) {
	defer g.balancers.written(w)
	ctx, cancel := context.WithTimeout(ctx, rolloutWriteTimeout)
	defer cancel()
	err := g.opts.RolloutStore.SetRolloutStatus(ctx, w.request, w.state)
	g.Metrics.RolloutWrites.Add(1)
	outcome := "written"
	switch {
	case errors.Is(err, directory.ErrConflict):
		outcome = "conflict"
		g.Metrics.RolloutConflicts.Add(1)
	case err != nil:
		outcome = "failed"
	}
	g.opts.Log.Info().Str("service", w.request.Service).Str("target", w.request.Target).Str("state", string(w.state)).Int64("revision", w.request.Revision).
		Str("outcome", outcome).AnErr("error", err).Msg("status of a roll-out sent to the store")
}

// RolloutStatus returns the state of the roll-outs by service.
func (g *Gateway) RolloutStatus() map[string]rollout.Status { return g.balancers.rolloutStatus() }

// expose counts a request, or with again one more attempt of it, and returns the tracker if it may go to a server of the version
// that is rolled out; nil otherwise. settle must be called then.
func (bs *balancers) expose(r *request, again bool) *rollout.Tracker {
	if !bs.hasRollouts.Load() {
		return nil
	}
	bs.mu.Lock()
	defer bs.mu.Unlock()
	t, now := bs.service(r.service).running(), time.Now()
	if t == nil {
		return nil
	}
	exposed := false
	if !again && !r.counted {
		r.counted = true
		exposed = t.NextOn(r.route.Name, now)
	} else {
		exposed = t.Again(now)
	}
	switch {
	case !exposed:
		return nil
	case t.Phase() < rollout.Final && !bs.exposes():
		t.Release()
		return nil
	}
	return t
}

// settle ends the choice of a server for a request for which expose returned t. If res is nil or at a server of another version,
// the exposure is taken back. Otherwise that is done at the end of res if nothing was sent.
func (bs *balancers) settle(t *rollout.Tracker, res *reservation) {
	if t == nil {
		return
	}
	bs.mu.Lock()
	defer bs.mu.Unlock()
	if res != nil && res.server.Version == t.ID().Target {
		res.exposure = t
		return
	}
	t.Release()
}

// admits reports whether the roll-out of a service lets a server get requests.
func (bs *balancers) admits(service, id string) bool {
	if !bs.hasRollouts.Load() {
		return true
	}
	bs.mu.Lock()
	defer bs.mu.Unlock()
	s := bs.service(service)
	return !s.active(time.Now()) || s.balancer.Admits(id)
}

// beginSend reports whether a request may be sent to the server of a reservation, right before that, and counts it.
func (bs *balancers) beginSend(res *reservation) bool {
	if !bs.hasRollouts.Load() && !res.isStandby {
		return true
	}
	bs.mu.Lock()
	defer bs.mu.Unlock()
	s, now := bs.service(res.service), time.Now()
	t := s.running()
	if s.active(now) && !s.balancer.Admits(res.server.ID) {
		return false
	}
	if t != nil && s.isTarget(res.server.Version) && !s.balancer.IsOpen(res.server.ID) {
		allowed := true
		if res.exposure == nil || res.sent {
			if allowed = t.Again(now); allowed && res.exposure == nil {
				res.exposure = t
			}
		}
		if !res.stays && !(allowed && bs.exposes()) {
			return false
		}
	}
	res.activate(s)
	res.sent, res.sentAt = true, now
	return true
}

// observe counts the outcome of a request at the server of a reservation, for the roll-out of the service. A response that broke
// off after it was counted is counted as a failure too.
func (r *request) observe(res *reservation, failed bool) {
	bs := r.g.balancers
	if !bs.hasRollouts.Load() {
		return
	}
	entry := r.g.opts.Directory.Snapshot().Servers[res.server.ID]
	cold := entry != nil && r.g.opts.Clock() < entry.ColdUntil
	bs.mu.Lock()
	defer bs.mu.Unlock()
	t := bs.service(r.service).running()
	if t == nil || failed && res.failureObserved {
		return
	}
	res.failureObserved = res.failureObserved || failed
	o := rollout.Observation{Route: r.route.Name, Server: res.server.ID, Target: res.server.Version == t.ID().Target, Failed: failed}
	if !failed && !cold && !res.sentAt.IsZero() {
		o.Latency = time.Since(res.sentAt)
	}
	t.Observe(o)
}

// observeBroken counts a response that a server did not deliver in full. The end of a server that had announced it says nothing of
// its version.
func (r *request) observeBroken(res *reservation) {
	if s := r.g.opts.Directory.Snapshot().Servers[res.server.ID]; s != nil && !s.Terminating() {
		r.observe(res, true)
	}
}
