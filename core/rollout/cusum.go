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

// test is the sequential test for one kind of bad responses on one route. It is a CUSUM for each of several excesses over the
// base rate: a likelihood ratio that starts anew whenever it speaks for the version, so that a version that becomes bad
// later is found as fast as one that is bad at once.
type test struct {
	cusums      [len(excesses)]cusum
	unexplained unexplained
	base        rate
	// disturbed is set while the old side has far more bad responses than usual; disturbedFor is how long it was in all.
	disturbed    bool
	disturbedFor time.Duration
}

// cusum is the test for one excess. The responses are those since it started anew.
type cusum struct {
	against, inFavour float64
	responses, bad    float64
	// servers are the sums of the servers at the start.
	servers serverSums
}

// unexplained are the bad responses beyond the base rate since there were none, and the variance of their number.
type unexplained struct {
	count, variance float64
	servers         serverSums
}

// step adds the responses of the target in one interval. recent is the old side in the last seconds.
func (t *test) step(target, base, recent rate, before serverSums, elapsed time.Duration) {
	t.base = base
	usual, deviation := base.share()
	expected := recent.n * usual
	// Three deviations and two responses more than usual are reached by chance in few intervals of a route with a base rate of
	// 14%, and by two or three failures where failures are rare.
	t.disturbed = recent.bad > expected+3*math.Sqrt(expected*(1-usual))+2
	base0 := usual + deviation
	if t.disturbed {
		if t.disturbedFor += elapsed; t.disturbedFor <= maxDisturbed {
			return
		}
		t.disturbed = false
		base0 = max(base0, recent.bad/recent.n)
	}
	fade := math.Exp2(-elapsed.Seconds() / scoreHalfLife.Seconds())
	for i := range t.cusums {
		t.cusums[i].against *= fade
		t.cusums[i].inFavour *= fade
	}
	if target.n == 0 {
		return
	}
	base0 = min(base0, maxBase)
	for i := range t.cusums {
		t.cusums[i].step(target, base0, excesses[i], before)
	}
	t.unexplained.step(target, base0, before)
}

// scoreHalfLife is the time in which a score halves without further responses, so that a doubt about a route that gets no
// more requests does not stop a roll-out.
const scoreHalfLife = time.Minute

// maxBase keeps likelihood ratios finite where nearly all responses of the old side are bad.
const maxBase = 0.95

func (c *cusum) step(target rate, base, excess float64, before serverSums) {
	if c.servers == nil {
		c.servers = before
	}
	alternative := base + excess*(1-base)
	c.against += target.bad * math.Log(alternative/base)
	c.inFavour += (target.n - target.bad) * math.Log((1-base)/(1-alternative))
	c.responses += target.n
	c.bad += target.bad
	if c.against <= c.inFavour {
		*c = cusum{}
	}
}

func (u *unexplained) step(target rate, base float64, before serverSums) {
	if u.servers == nil {
		u.servers = before
	}
	u.count += target.bad - base*target.n
	u.variance += target.n * base * (1 - base)
	if u.count <= 0 {
		*u = unexplained{}
	}
}

// score returns the highest score of the test, and why the version is bad, if it is.
func (t *test) score(servers serverSums) (highest float64, bad string) {
	for _, c := range t.cusums {
		if c.responses == 0 {
			continue
		}
		spread := spread(servers, c.servers)
		score := spread*c.against - c.inFavour
		highest = max(highest, score)
		if score >= alarmScore && confirm(rate{n: c.responses, bad: spread * c.bad}, t.base) >= confirmScore {
			bad = fmt.Sprintf("%.0f of %.0f responses, usual are %.0f of %.0f", c.bad, c.responses, t.base.bad, t.base.n)
		}
	}
	if u := t.unexplained; u.count >= maxUnexplained {
		count := spread(servers, u.servers) * u.count
		if count >= maxUnexplained && count >= unexplainedDeviations*math.Sqrt(u.variance) {
			bad = fmt.Sprintf("%.0f beyond the usual ones", u.count)
		}
	}
	return highest, bad
}

// spread returns the part of the bad responses that remains if the server with the most has only as many as the others would
// have in its place. It is close to 1 for a bad version and close to 0 for one bad server.
func spread(now, start serverSums) float64 {
	var all ServerCounts
	for server, s := range now {
		all.Requests += s.Requests - start[server].Requests
		all.Bad += s.Bad - start[server].Bad
	}
	lowest := 1.0
	for server, s := range now {
		n, bad := float64(s.Requests-start[server].Requests), float64(s.Bad-start[server].Bad)
		othersN, othersBad := float64(all.Requests)-n, float64(all.Bad)-bad
		if bad == 0 || othersN == 0 {
			continue
		}
		typical := n * (othersBad + 1) / (othersN + 2)
		lowest = min(lowest, (othersBad+min(bad, typical))/float64(all.Bad))
	}
	return lowest
}

// confirm returns the log likelihood ratio of two rates against one rate for both sides.
func confirm(target, old rate) float64 {
	oldN, oldBad := old.n+priorWeight, old.bad+priorWeight*old.prior
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
