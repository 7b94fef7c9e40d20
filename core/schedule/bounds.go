package schedule

import (
	"math"
	"time"
)

const (
	// MinHeadroom and MaxReserve bound the reserve, in standard deviations of
	// the predicted demand. Below 2, reclaiming an engine at full load gave
	// twice the preemptions; 2 cost no measurable throughput.
	MinHeadroom = 2
	MaxHeadroom = 4
	// reserveStep is added for each preemption. With steps of 0.25, 2.5 times
	// as many requests of small teams expired in the queue at full load.
	reserveStep = 0.1
	// reserveHalfLife is how fast the reserve shrinks without preemptions. It
	// spans several long generations, since their end shows the next shortage.
	reserveHalfLife = 60 * time.Second
)

// Headroom adapts the memory kept free for the uncertain tail to the
// preemptions that engines report. The zero value is at MinReserve.
type Headroom struct {
	above float64
	last  time.Time
}

// RecordPreemptions records preemptions newly reported.
func (r *Headroom) RecordPreemptions(n int, now time.Time) {
	r.decay(now)
	r.above = min(r.above+reserveStep*float64(n), MaxHeadroom-MinHeadroom)
}

func (r *Headroom) decay(now time.Time) {
	if dt := now.Sub(r.last); !r.last.IsZero() && dt > 0 {
		r.above *= math.Exp2(-dt.Seconds() / reserveHalfLife.Seconds())
	}
	r.last = now
}

// Value returns the reserve in standard deviations.
func (r *Headroom) Value(now time.Time) float32 {
	r.decay(now)
	return float32(MinHeadroom + r.above)
}

const (
	// stepForget is the weight that older load reports lose with each new one.
	stepForget = 0.99
	// gapMargin is the share of a token gap target that the average step may
	// take; the rest is left for steps with more prefill. 0.9 broke the stall
	// target with a failure domain out, 0.8 cost 4% of the tokens.
	gapMargin = 0.85
	// minSpread is the variance of batch sizes, in requests squared, below
	// which reports do not tell how the step time grows.
	minSpread = 4
)

// StepModel learns from load reports how an engine's step time grows with its
// batch: a decayed least-squares line.
type StepModel struct {
	n, x, y, xx, xy float64
}

// Observe records a reported batch size and step time.
func (m *StepModel) Observe(running int, stepMS float64) {
	if running < 1 || stepMS <= 0 {
		return
	}
	x := float64(running)
	for _, v := range []*float64{&m.n, &m.x, &m.y, &m.xx, &m.xy} {
		*v *= stepForget
	}
	m.n++
	m.x += x
	m.y += stepMS
	m.xx += x * x
	m.xy += x * stepMS
}

// line returns the step time of an empty batch and the growth per request, in
// ms, and whether they are known.
func (m *StepModel) line() (base, slope float64, ok bool) {
	if m.n < 10 {
		return 0, 0, false
	}
	spread := m.xx/m.n - m.x/m.n*(m.x/m.n)
	if spread < minSpread {
		return 0, 0, false
	}
	slope = (m.xy/m.n - m.x/m.n*(m.y/m.n)) / spread
	base = m.y/m.n - slope*m.x/m.n
	return base, slope, slope > 0
}

// BatchLimit returns the largest batch whose steps stay within the token gap
// target, or 0 when that is unknown or there is no target.
func (m *StepModel) BatchLimit(gapMS int) int {
	base, slope, ok := m.line()
	if !ok || gapMS <= 0 {
		return 0
	}
	return max(int((gapMargin*float64(gapMS)-base)/slope), 1)
}
