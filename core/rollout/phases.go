package rollout

import (
	"fmt"
	"math"
	"time"

	"monsoonkeel.example/monsoonkeel/core/fleet"
)

const (
	// canaryOfRamp is the part of the time for the roll-out that the canary phase takes; the shifting phase takes the rest.
	canaryOfRamp = 0.75
	// firstShare and secondShare of the requests go to the target in the two halves of the shifting phase.
	firstShare, secondShare = 0.25, 0.5
	// minStep is the least time of a step: what a step shows takes as long to reach all hosts.
	minStep = 500 * time.Millisecond
	// rankDelay is the time after which the host of the next rank takes a step that is not done.
	rankDelay = time.Second
	// writePause is the time between two writes of a state that the store does not show.
	writePause = time.Second
	// quietTime is how long nothing may be in flight at the old servers before the roll-out is completed. Reports of other hosts are
	// up to as old.
	quietTime = time.Second
	// missingTime replaces quietTime while hosts are missing: they may have lost contact and may still use the old servers.
	missingTime = 5 * time.Second
	// alarmTime is how long an alarm must last, so that a disturbance of both sides is found at the old side first.
	alarmTime = 400 * time.Millisecond
	// finalAlarm is how long it must last in the final phase. Nothing goes to the old side then that would show a short
	// disturbance of both.
	finalAlarm = 1500 * time.Millisecond
	// maxUpdatePause is the time between two updates after which the host was suspended: what it knows of the others is old then, and
	// the time without updates counts neither as shifting without doubt nor as quiet.
	maxUpdatePause = time.Second
	// writtenTime is how long a host that has written completed does not roll back: old servers stop once the store has it.
	writtenTime = 2 * time.Second

	// A version with bad responses at smallestShare on a route shows none in the canary phase with a probability of
	// canaryMissRate, and none before the final phase with one of finalMissRate.
	canaryMissRate, finalMissRate, smallestShare = 0.05, 0.01, 0.1
	// evidenceHalfLife is the time in which the number of good responses needed halves once the canary phase has lasted as long as
	// planned, so that a route with few requests does not stop a roll-out.
	evidenceHalfLife = 3 * time.Second
	// minGood is the least number of good responses of the target in all.
	minGood = 3
	// finalTime is the time for which the requests of the final phase are counted when the reserve is compared with the risk.
	finalTime = 4 * time.Second
	// reservePart of the exposures that the bound still allows may be risked by moving on before the evidence is complete.
	reservePart = 0.5
	// reserveTime is the time over which the shifting phase uses up the reserve. Reports are up to as old.
	reserveTime = time.Second
	// doubtTime replaces it while the version is in doubt.
	doubtTime = 15 * time.Second
	// attainablePart of the requests on a route is the most that is needed as evidence: a route with few requests has no more.
	attainablePart = 0.4
)

// neededGood is the number of good responses that each route needs: (1-smallestShare)^n <= missRate. It is 29 before the shifting
// phase and 44 before the final one.
func neededGood(missRate float64) float64 {
	return math.Ceil(math.Log(missRate) / math.Log(1-smallestShare))
}

// progress is what the steps of a roll-out depend on.
type progress struct {
	verdict  verdict
	updated  time.Time
	waitsFor string
	// rate is that of the requests for the service at all hosts, reserve the number of requests that may still be exposed.
	rate, reserve float64
	// shifted is how long the shifting phase lasted without doubt.
	shifted time.Duration
	// due is when the next step became due, quiet since when nothing is in flight at old servers, alarm since when the version
	// is bad; zero if it is not so.
	due, quiet, alarm time.Time
	// since is when the phase began.
	since time.Time
	rank  int
}

// writer decides what this host writes to the store.
type writer struct {
	request fleet.Rollout
	sent    fleet.RolloutState
	sentAt  time.Time
}

func (t *Tracker) canaryTime() time.Duration {
	return time.Duration(canaryOfRamp * float64(t.ramp))
}

func (t *Tracker) stepTime() time.Duration {
	return max(minStep, (t.ramp-t.canaryTime())/2)
}

// share returns the share of the requests that go to the target.
func (t *Tracker) share(now time.Time) float64 {
	switch t.phase {
	case Canary:
		return t.exposure.canaryShare()
	case Shifting:
		return t.shiftingShare(now)
	case Final, Completed:
		return 1
	}
	return 0
}

// shiftingShare returns the share of the step, but not more than what the bound allows by what is known of all hosts. At
// ExposeShare the number of exposed requests stays where it is below the bound.
func (t *Tracker) shiftingShare(now time.Time) float64 {
	p, s := &t.progress, t.exposure.settings
	step := secondShare
	if p.shifted+now.Sub(p.updated) < t.stepTime() {
		step = firstShare
	}
	over := reserveTime
	if p.verdict.doubt != "" {
		over = doubtTime
	}
	spare := max(0, p.reserve) / max(1, p.rate*over.Seconds())
	return min(step, s.ExposeShare+spare)
}

// Update applies what is known of the other hosts and of the store, and returns the changes of the phase. It is called several
// times a second.
func (t *Tracker) Update(others Others, request fleet.Rollout, oldInFlight int, now time.Time) []Change {
	var changes []Change
	move := func(to Phase, reason string) {
		changes = append(changes, Change{From: t.phase, To: to, Reason: reason})
		t.move(to, reason, now)
	}
	p := &t.progress
	elapsed := now.Sub(p.updated)
	if elapsed > maxUpdatePause {
		elapsed, p.due, p.quiet = 0, time.Time{}, time.Time{}
	}
	p.updated, p.rank = now, others.Rank
	t.writer.request = request
	if to := t.storePhase(request); to > t.phase || to == Completed && t.phase == RolledBack {
		move(to, "the store has this state")
	}
	// Completed means that the store holds it; hosts that do not know this yet may still say that they have rolled back.
	if t.phase != Completed && others.Report.Hosts > 0 && others.Report.MaxPhase > t.phase {
		move(others.Report.MaxPhase, "another host has this phase")
	}
	if t.phase >= Completed {
		return changes
	}
	sum := t.Report(oldInFlight)
	sum.Add(others.Report)
	doubt := doubtScore
	if t.phase == Final {
		doubt = finalDoubtScore
	}
	if v, ok := t.judge.step(sum, doubt, now); ok {
		p.verdict = v
		requests, exposed := t.judge.requests()
		p.reserve = t.exposure.settings.ExposeShare*requests + t.exposure.settings.ExposeExtra - exposed
		p.reserve -= float64(t.unanswered()) * float64(others.Report.Hosts+1)
		p.rate = requests / max(1, now.Sub(t.known).Seconds())
	}
	if t.rollsBack(now) {
		move(RolledBack, p.verdict.bad)
		return changes
	}
	if t.phase == Shifting && p.verdict.doubt == "" {
		p.shifted += elapsed
	}
	p.waitsFor = t.waitsFor(others, sum, now)
	if p.waitsFor != "" {
		p.due = time.Time{}
		return changes
	}
	if p.due.IsZero() {
		p.due = now
	}
	if t.phase != Final && now.Sub(p.due) >= time.Duration(others.Rank)*rankDelay {
		move(t.phase+1, t.judge.summary())
	}
	return changes
}

// unanswered returns the number of requests that this host has exposed and that were not observed. The bound counts them too: a
// version that becomes slow shows no responses at first. Reports do not have the number, so that of this host stands for all.
func (t *Tracker) unanswered() int64 {
	n := t.exposure.exposed
	for _, c := range t.own.counts {
		if c.Target {
			n -= c.Requests
		}
	}
	return max(0, n)
}

func (t *Tracker) move(to Phase, reason string, now time.Time) {
	t.phase, t.reason = to, reason
	t.progress.since, t.progress.due, t.progress.quiet, t.progress.waitsFor = now, time.Time{}, time.Time{}, ""
}

func (t *Tracker) rollsBack(now time.Time) bool {
	p := &t.progress
	if p.verdict.bad == "" {
		p.alarm = time.Time{}
		return false
	}
	if p.alarm.IsZero() {
		p.alarm = now
	}
	if t.writer.sent == fleet.RolloutCompleted && now.Sub(t.writer.sentAt) < writtenTime {
		return false
	}
	if t.phase == Final {
		return now.Sub(p.alarm) >= finalAlarm
	}
	return now.Sub(p.alarm) >= alarmTime
}

// waitsFor returns what the next step waits for; empty if it is due. In the final phase the step is to write completed.
func (t *Tracker) waitsFor(others Others, sum Report, now time.Time) string {
	p := &t.progress
	known := min(others.Live, others.Report.Hosts) + 1
	if 2*known < t.exposure.current {
		return fmt.Sprintf("contact to other hosts: %d of %d", known, t.exposure.current)
	}
	if t.phase == Canary && now.Sub(t.known) >= t.canaryTime() {
		t.exposure.part = lateCanaryPart
	}
	if p.verdict.bad != "" {
		return p.verdict.bad
	}
	if p.verdict.doubt != "" {
		return p.verdict.doubt
	}
	switch t.phase {
	case Canary:
		if now.Sub(t.known) < t.canaryTime() {
			return "the end of the canary phase"
		}
		if missing := t.judge.missing(canaryMissRate, now.Sub(t.known)-t.canaryTime()); missing != "" && !t.reserveCovers() {
			return missing
		}
		if t.judge.good() < minGood {
			return "responses of the new version"
		}
	case Shifting:
		if p.shifted < 2*t.stepTime() {
			return "the steps of the shifting phase"
		}
		if missing := t.judge.missing(finalMissRate, now.Sub(t.known)-t.ramp); missing != "" && !t.reserveCovers() {
			return missing
		}
	case Final:
		return t.completionWaitsFor(others, sum, now)
	}
	return ""
}

func (t *Tracker) completionWaitsFor(others Others, sum Report, now time.Time) string {
	p := &t.progress
	if others.Report.Hosts < others.Live || sum.MinPhase < Final || sum.OldInFlight > 0 {
		p.quiet = time.Time{}
		return fmt.Sprintf("other hosts (%d of %d report, the last in phase %s) and %d requests at old servers",
			others.Report.Hosts, others.Live, sum.MinPhase, sum.OldInFlight)
	}
	if p.quiet.IsZero() {
		p.quiet = now
	}
	wait := quietTime
	if others.Live+1 < t.exposure.current {
		wait = missingTime
	}
	if now.Sub(p.quiet) < wait {
		return "quiet at the old servers"
	}
	return t.judge.missing(finalMissRate, now.Sub(t.known)-t.ramp)
}

// reserveCovers reports whether the requests exposed until the end stay within the bound, by the rate so far. Then a service with
// few requests need not wait for evidence that it gets only at a higher share; completed still waits for it.
func (t *Tracker) reserveCovers() bool {
	shifting := (firstShare + secondShare) * t.stepTime().Seconds()
	return reservePart*t.progress.reserve >= t.progress.rate*(shifting+finalTime.Seconds())
}

// missing names a route on which the version has not shown enough good responses; empty if there is none. late is how long
// after its planned time the step is.
func (j *judgement) missing(missRate float64, late time.Duration) string {
	needed := neededGood(missRate) * math.Exp2(-max(0, late.Seconds())/evidenceHalfLife.Seconds())
	worst, text := needed, ""
	for route, r := range j.routes {
		if good := float64(r.good); good < math.Floor(min(needed, attainablePart*float64(r.requests))) && (text == "" || good < worst) {
			worst, text = good, fmt.Sprintf("responses on route %q: %d of %.0f", route, r.good, needed)
		}
	}
	return text
}

func (j *judgement) good() (n int64) {
	for _, r := range j.routes {
		n += r.good
	}
	return n
}

func (j *judgement) requests() (all, exposed float64) {
	for _, r := range j.routes {
		all += float64(r.requests)
		exposed += float64(r.exposed)
	}
	return all, exposed
}

func (j *judgement) summary() string {
	all, exposed := j.requests()
	return fmt.Sprintf("%d good responses of %.0f, %.0f requests in all", j.good(), exposed, all)
}

// storePhase returns the phase that the store holds for this roll-out; Unknown if it is not over.
func (t *Tracker) storePhase(request fleet.Rollout) Phase {
	if !t.same(request) || !request.Ended() {
		return Unknown
	}
	if request.State == fleet.RolloutCompleted {
		return Completed
	}
	return RolledBack
}

func (t *Tracker) same(request fleet.Rollout) bool {
	return ID{Service: request.Service, Target: request.Target, Created: request.Created} == t.id
}

// Write returns the state that this host has to write to the store now, and whether there is one.
func (t *Tracker) Write(now time.Time) (fleet.RolloutState, bool) {
	w := &t.writer
	if !t.same(w.request) || w.request.Ended() {
		return "", false
	}
	var state fleet.RolloutState
	var since time.Time
	switch {
	case t.phase == RolledBack:
		state, since = fleet.RolloutRolledBack, t.progress.since
	case t.phase == Final && !t.progress.due.IsZero():
		state, since = fleet.RolloutCompleted, t.progress.due
	case t.phase < Completed && (w.request.State == fleet.RolloutRequested || w.request.StateTarget != t.id.Target):
		state, since = fleet.RolloutRunning, t.known
	default:
		return "", false
	}
	if now.Sub(since) < time.Duration(t.progress.rank)*rankDelay || w.sent == state && now.Sub(w.sentAt) < writePause {
		return "", false
	}
	return state, true
}

// Written tells that a write of a state was sent, so that Write asks for it again only after a pause.
func (t *Tracker) Written(state fleet.RolloutState, now time.Time) {
	t.writer.sent, t.writer.sentAt = state, now
}
