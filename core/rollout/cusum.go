package rollout

import (
	"fmt"
	"math"
	"time"
)

// rate is a number of responses and how many of them are bad. prior is the share expected without responses.
type rate struct{ n, bad, prior float64 }

// share returns the share of bad responses with the prior, and its standard deviation.
func (r rate) share() (share, deviation float64) {
	n := r.n + priorWeight
	share = (r.bad + priorWeight*r.prior) / n
	return share, math.Sqrt(share * (1 - share) / n)
}

// disturbance compares the old side of the last seconds, and of the last moments, with what is usual.
type disturbance struct{ recent, last unusual }

type unusual struct{ n, bad, expected, variance float64 }

func (u *unusual) add(r rate, usual float64) {
	u.n += r.n
	u.bad += r.bad
	u.expected += r.n * usual
	u.variance += r.n * usual * (1 - usual)
}

// beyond reports whether there are more bad responses than usual by some standard deviations and some responses.
func (u unusual) beyond(deviations, more float64) bool {
	return u.bad > u.expected+deviations*math.Sqrt(u.variance)+more
}

func (d *disturbance) add(t *test) {
	usual, _ := t.base.share()
	d.recent.add(t.recent, usual)
	d.last.add(t.last, usual)
}

// found reports whether the old side is disturbed. Three deviations and two responses more than usual are reached by chance in few
// intervals of a route with a base rate of 14%, and by three failures where failures are rare. A disturbance that was found lasts until
// nothing is left of it, since few responses may show none for a moment.
func (d disturbance) found(before bool) bool {
	if before {
		return d.recent.beyond(1, 0)
	}
	return d.recent.beyond(3, 2) || d.last.beyond(3, 2)
}

// test is the sequential test for one kind of bad responses on one route, or on all. It is a CUSUM for each of several excesses over
// the base rate: a likelihood ratio that starts anew whenever it speaks for the version, so that a version that becomes bad
// later is found as fast as one that is bad at once.
type test struct {
	cusums      [len(excesses)]cusum
	unexplained unexplained
	// base is the old side, recent that of the last seconds, last that of the last moments.
	base, recent, last rate
	// disturbed is set while the old side has far more bad responses than usual; disturbedFor is how long it was in all.
	disturbed    bool
	disturbedFor time.Duration
}

// cusum is the test for one excess. The responses are those since it started anew; base is what was expected of them.
type cusum struct {
	against, inFavour    float64
	responses, bad, base float64
	// servers are the sums of the servers at the start.
	servers serverSums
}

// unexplained are the bad responses beyond the base rate since there were none, and the variance of their number.
type unexplained struct {
	count, bad, responses, variance float64
	servers                         serverSums
}

// begin starts an interval of the test over all routes.
func (t *test) begin(d disturbance, elapsed time.Duration) {
	t.disturb(d, elapsed)
	t.fade(elapsed)
	t.base = rate{}
}

func (t *test) disturb(d disturbance, elapsed time.Duration) {
	before := t.disturbed
	t.disturbed = d.found(before) && t.disturbedFor < maxDisturbed
	if !t.disturbed {
		return
	}
	t.disturbedFor += elapsed
	if before {
		return
	}
	// The target may have shown the disturbance before it was found at the old side.
	t.cusums = [len(excesses)]cusum{}
}

func (t *test) fade(elapsed time.Duration) {
	fade := math.Exp2(-elapsed.Seconds() / scoreHalfLife.Seconds())
	for i := range t.cusums {
		t.cusums[i].against *= fade
		t.cusums[i].inFavour *= fade
	}
}

// step adds the responses of the target on one route in one interval, also to the test over all routes.
func (t *test) step(target rate, all *test, before serverSums, elapsed time.Duration) {
	var own disturbance
	own.add(t)
	t.disturb(own, elapsed)
	t.fade(elapsed)
	all.base.n += t.base.n
	all.base.bad += t.base.bad
	all.base.prior = max(all.base.prior, t.base.prior)
	if t.disturbed || all.disturbed || target.n == 0 {
		return
	}
	share, deviation := t.base.share()
	base := share + deviation
	if own.recent.beyond(1, 1) || t.recent.n > 0 && all.disturbedFor >= maxDisturbed {
		// The old side may be disturbed a little, or for longer than responses are left out for.
		base = max(base, t.recent.bad/t.recent.n)
	}
	base = min(base, maxBase)
	for _, to := range []*test{t, all} {
		for i := range to.cusums {
			to.cusums[i].add(target, base, excesses[i], before)
		}
		to.unexplained.add(target, base, before)
	}
	t.end()
}

// end ends an interval: tests that speak for the version start anew.
func (t *test) end() {
	for i := range t.cusums {
		if c := &t.cusums[i]; c.against <= c.inFavour {
			*c = cusum{}
		}
	}
	if t.unexplained.count <= 0 {
		t.unexplained = unexplained{}
	}
}

// maxBase keeps likelihood ratios finite where nearly all responses of the old side are bad.
const maxBase = 0.95

func (c *cusum) add(target rate, base, excess float64, before serverSums) {
	if c.servers == nil {
		c.servers = before
	}
	alternative := base + excess*(1-base)
	c.against += target.bad * math.Log(alternative/base)
	c.inFavour += (target.n - target.bad) * math.Log((1-base)/(1-alternative))
	c.responses += target.n
	c.bad += target.bad
	c.base += base * target.n
}

func (u *unexplained) add(target rate, base float64, before serverSums) {
	if u.servers == nil {
		u.servers = before
	}
	u.count += target.bad - base*target.n
	u.responses += target.n
	u.bad += target.bad
	u.variance += target.n * base * (1 - base)
}

// score returns the highest score of the test for at least minBad bad responses, and why the version is bad, if it is.
func (t *test) score(servers serverSums, minBad int) (highest float64, bad string) {
	for _, c := range t.cusums {
		if c.bad == 0 {
			continue
		}
		common := c.servers.common(servers, c.bad, c.responses)
		score := min(common/c.bad*c.against-c.inFavour, alarmScore/confirmScore*confirm(rate{n: c.responses, bad: common}, t.base, c.base/c.responses))
		highest = max(highest, score)
		if score >= alarmScore && common >= float64(minBad) {
			bad = fmt.Sprintf("%.0f of %.0f responses, usual are %.1f", c.bad, c.responses, c.base)
		}
	}
	if u := t.unexplained; u.count >= maxUnexplained {
		count := u.count - u.bad + u.servers.common(servers, u.bad, u.responses)
		if count >= maxUnexplained && count >= unexplainedDeviations*math.Sqrt(u.variance) {
			bad = fmt.Sprintf("%.0f of %.0f responses, %.0f beyond the usual ones", u.bad, u.responses, u.count)
		}
	}
	return highest, bad
}

// common returns how many of some bad responses remain if the server with the most has only as many as the others would have
// in its place. It is nearly all for a bad version, and few for one bad server. The sums are those at the start of the test.
func (start serverSums) common(now serverSums, bad, responses float64) float64 {
	var all ServerCounts
	worst := 0.0
	for server, s := range now {
		all.Requests += s.Requests - start[server].Requests
		all.Bad += s.Bad - start[server].Bad
		worst = max(worst, float64(s.Bad-start[server].Bad))
	}
	if all.Bad == 0 || len(now) == 1 {
		return bad
	}
	// However few the responses are, the server with the most bad ones counts no more than all others together.
	excess := max(0, 2*worst-float64(all.Bad))
	for server, s := range now {
		n, own := float64(s.Requests-start[server].Requests), float64(s.Bad-start[server].Bad)
		othersN, othersBad := float64(all.Requests)-n, float64(all.Bad)-own
		typical := n * (othersBad + 0.5) / (othersN + 1.5)
		if own > typical+2*math.Sqrt(typical) {
			typical = 0 // clearly a bad server: its responses say nothing of the version
		}
		excess = max(excess, own-typical)
	}
	// The responses of the servers are not known by route: the excess is taken in proportion to the bad responses and to all
	// responses, and the lower result counts.
	return max(0, min(bad*(1-excess/float64(all.Bad)), bad-excess*min(1, responses/float64(all.Requests))))
}

// scoreHalfLife is the time in which a score halves without further responses, so that a doubt about a route that gets no
// more requests does not stop a roll-out.
const scoreHalfLife = 30 * time.Second

// confirm returns the log likelihood ratio of two rates against one rate for both sides. The old side has the usual share.
func confirm(target, old rate, usual float64) float64 {
	oldN := old.n + priorWeight
	oldBad := usual * oldN
	if target.bad*oldN <= oldBad*target.n {
		return 0
	}
	both := (target.bad + oldBad) / (target.n + oldN)
	return logLikelihood(target.bad, target.n, target.bad/target.n) + logLikelihood(oldBad, oldN, oldBad/oldN) -
		logLikelihood(target.bad, target.n, both) - logLikelihood(oldBad, oldN, both)
}

func logLikelihood(bad, n, share float64) float64 {
	sum := 0.0
	if bad > 0 {
		sum += bad * math.Log(share)
	}
	if n > bad {
		sum += (n - bad) * math.Log(1-share)
	}
	return sum
}
