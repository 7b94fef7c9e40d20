package policybench

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"sync"
	"text/tabwriter"

	"golang.org/x/sync/errgroup"
)

// namedPolicy is a policy with its name in the tables.
type namedPolicy struct {
	name string
	make func(*simulation, *hostState) policy
}

var policies = []namedPolicy{
	{"core", newCorePolicy},
	{"round robin", newBaseline(roundRobin)},
	{"least requests", newBaseline(leastRequests)},
	{"power of two", newBaseline(powerOfTwo)},
}

// capacity returns the rate, in requests per second, that just saturates the 12 engines. It is
// measured once by simulating them with a deep queue.
var capacity = sync.OnceValue(func() float64 {
	sc := scenario{name: "capacity", hosts: 1, reportLag: scenarios[0].reportLag}
	const probe = 300 // requests per second, far above saturation
	res := simulate(sc, probe, 1, newBaseline(roundRobin))
	return res.TokensPerSecond / meanOutput()
})

// meanOutput returns the mean output length in tokens, estimated by drawing requests.
func meanOutput() float64 {
	const draws = 200_000
	g := newGenerator(1)
	sum := 0
	for i := range draws {
		sum += g.draw(uint64(i), epoch, 1).output
	}
	return float64(sum) / draws
}

// measurement contains the results of one scenario at one load, by policy and seed.
type measurement struct {
	scenario scenario
	load     float64
	results  [][]Result
}

// measure simulates every scenario and load with every policy and seed, with at most parallel
// simulations at a time. Loads are multiples of rate, which is in requests per second.
func measure(scs []scenario, loads []float64, rate float64, seeds, parallel int) []*measurement {
	var g errgroup.Group
	g.SetLimit(parallel)
	var measurements []*measurement
	for _, sc := range scs {
		for _, load := range loads {
			c := &measurement{scenario: sc, load: load, results: make([][]Result, len(policies))}
			measurements = append(measurements, c)
			for p := range policies {
				c.results[p] = make([]Result, seeds)
				for s := range seeds {
					g.Go(func() error {
						c.results[p][s] = simulate(sc, load*rate, uint64(s+1), policies[p].make)
						return nil
					})
				}
			}
		}
	}
	_ = g.Wait() // the functions return no errors
	return measurements
}

// metric returns one measurement of a result.
type metric func(*Result) float64

var (
	preemptions = func(r *Result) float64 { return r.Preemptions }
	stall       = func(r *Result) float64 { return r.StallSeconds }
	gapP99      = func(r *Result) float64 { return r.GapP99 }
	tokens      = func(r *Result) float64 { return r.TokensPerSecond }
)

// median returns the median of a metric over the seeds.
func (c *measurement) median(policyIndex int, f metric) float64 {
	var v []float64
	for i := range c.results[policyIndex] {
		v = append(v, f(&c.results[policyIndex][i]))
	}
	slices.Sort(v)
	return v[len(v)/2]
}

// ratio returns the median over the seeds of the core policy's metric divided by that of the
// best baseline with the same seed. If the latter is 0, the ratio is the core policy's metric.
func (c *measurement) ratio(f metric, best func(a, b float64) bool) float64 {
	var v []float64
	for s := range c.results[0] {
		b := f(&c.results[1][s])
		for p := 2; p < len(policies); p++ {
			if x := f(&c.results[p][s]); best(x, b) {
				b = x
			}
		}
		v = append(v, divide(f(&c.results[0][s]), b))
	}
	slices.Sort(v)
	return v[len(v)/2]
}

func divide(a, b float64) float64 {
	switch {
	case b != 0:
		return a / b
	case a == 0:
		return 0
	default:
		return a
	}
}

func lower(a, b float64) bool  { return cmp.Less(a, b) }
func higher(a, b float64) bool { return cmp.Less(b, a) }

// writeTables writes the medians of all policies and the ratios to the best baseline.
func writeTables(w io.Writer, measurements []*measurement) error {
	tw := tabwriter.NewWriter(w, 0, 0, 1, ' ', 0)
	fmt.Fprintln(tw, "| scenario\t| load\t| policy\t| preemptions\t| stall s\t| p99 gap\t| p99.9 gap\t| tokens/s\t| first<=1.9s\t| small teams\t| gaps<=52ms\t| rejected\t| prefix hits\t| interrupted\t| unfinished\t| cold crashes\t|")
	fmt.Fprintln(tw, "|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|")
	for _, c := range measurements {
		for p := range policies {
			m := func(f metric) float64 { return c.median(p, f) }
			fmt.Fprintf(tw, "| %s\t| %.1f\t| %s\t| %.0f\t| %.1f\t| %.1f\t| %.1f\t| %.0f\t| %.3f\t| %.3f\t| %.3f\t| %.3f\t| %.2f\t| %.0f\t| %.0f\t| %.0f\t|\n",
				c.scenario.name, c.load, policies[p].name, m(preemptions), m(stall), m(gapP99),
				m(func(r *Result) float64 { return r.GapP999 }), m(tokens),
				m(func(r *Result) float64 { return r.FirstTokenInTarget }),
				m(func(r *Result) float64 { return r.SmallTeamsInTarget }),
				m(func(r *Result) float64 { return r.GapsInTarget }),
				m(func(r *Result) float64 { return r.RejectedShare }),
				m(func(r *Result) float64 { return r.PrefixHitShare }),
				m(func(r *Result) float64 { return r.Interrupted }),
				m(func(r *Result) float64 { return r.Unfinished }),
				m(func(r *Result) float64 { return r.OverloadCrashes }))
		}
	}
	fmt.Fprint(tw, "\nRatio to the best baseline with the same seed, median over seeds:\n\n")
	fmt.Fprintln(tw, "| scenario\t| load\t| preemptions\t| stall\t| p99 gap\t| tokens/s\t| other domains' p99 gap, after/before\t|")
	fmt.Fprintln(tw, "|---\t|---\t|---\t|---\t|---\t|---\t|---\t|")
	for _, c := range measurements {
		fmt.Fprintf(tw, "| %s\t| %.1f\t| %.3f\t| %.3f\t| %.3f\t| %.3f\t| %.2f\t|\n", c.scenario.name, c.load,
			c.ratio(preemptions, lower), c.ratio(stall, lower), c.ratio(gapP99, lower), c.ratio(tokens, higher),
			c.median(0, func(r *Result) float64 { return divide(r.OtherDomainsGapAfter, r.OtherDomainsGapBefore) }))
	}
	return tw.Flush()
}
