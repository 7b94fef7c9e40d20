package schedule

import (
	"math"
	"time"
)

const (
	// MinHeadroom and MaxHeadroom bound the headroom, in standard deviations of
	// the predicted demand. Below 2, terminating an engine at full load caused
	// twice the preemptions; 2 cost no measurable throughput.
	MinHeadroom = 2
	MaxHeadroom = 4
	// headroomStep is added for each preemption. With steps of 0.25, 2.5 times
	// as many requests of small teams expired in the queue at full load.
	headroomStep = 0.1
	// headroomHalfLife is the half-life of the headroom above MinHeadroom
	// without preemptions. It spans several long generations, since the next
	// shortage shows only when they end.
	headroomHalfLife = 60 * time.Second
)

// Headroom adapts the KV cache kept free for growing generations to the
// preemptions that engines report. The zero value is at MinHeadroom.
type Headroom struct {
	excess float64
	last   time.Time
}

// RecordPreemptions raises the headroom for n newly reported preemptions.
func (h *Headroom) RecordPreemptions(n int, now time.Time) {
	h.decay(now)
	h.excess = min(h.excess+headroomStep*float64(n), MaxHeadroom-MinHeadroom)
}

func (h *Headroom) decay(now time.Time) {
	if dt := now.Sub(h.last); !h.last.IsZero() && dt > 0 {
		h.excess *= math.Exp2(-dt.Seconds() / headroomHalfLife.Seconds())
	}
	h.last = now
}

// Value returns the headroom at now, in standard deviations of the predicted
// demand.
func (h *Headroom) Value(now time.Time) float32 {
	h.decay(now)
	return float32(MinHeadroom + h.excess)
}

const (
	// stepDecay is the factor by which each new load report reduces the weight
	// of older ones.
	stepDecay = 0.99
	// gapTargetShare is the fraction of the token gap target that the average
	// decode step may take; the rest is left for steps with more prefill. 0.9
	// missed the stall target with a failure domain out, 0.8 cost 4% of the
	// tokens.
	gapTargetShare = 0.85
	// minBatchVariance is the variance of batch sizes, in requests squared,
	// below which reports do not show how the step time depends on the batch
	// size.
	minBatchVariance = 4
)

// StepModel estimates from load reports how an engine's decode step time grows
// with its batch size: a least-squares line with exponentially decayed weights.
type StepModel struct {
	n, x, y, xx, xy float64
}

// Observe adds a reported batch size and step time, in ms; reports of an idle
// engine are ignored.
func (m *StepModel) Observe(running int, stepMS float64) {
	if running < 1 || stepMS <= 0 {
		return
	}
	x := float64(running)
	for _, v := range []*float64{&m.n, &m.x, &m.y, &m.xx, &m.xy} {
		*v *= stepDecay
	}
	m.n++
	m.x += x
	m.y += stepMS
	m.xx += x * x
	m.xy += x * stepMS
}

// fit returns the step time of an empty batch and its growth per request, both
// in ms. ok is false until there are enough varied reports.
func (m *StepModel) fit() (base, slope float64, ok bool) {
	if m.n < 10 {
		return 0, 0, false
	}
	variance := m.xx/m.n - m.x/m.n*(m.x/m.n)
	if variance < minBatchVariance {
		return 0, 0, false
	}
	slope = (m.xy/m.n - m.x/m.n*(m.y/m.n)) / variance
	base = m.y/m.n - slope*m.x/m.n
	return base, slope, slope > 0
}

// BatchLimit returns the largest batch whose steps stay within the token gap
// target, at least 1, or 0 if that is unknown or there is no target.
func (m *StepModel) BatchLimit(gapMS int) int {
	base, slope, ok := m.fit()
	if !ok || gapMS <= 0 {
		return 0
	}
	return max(int((gapTargetShare*float64(gapMS)-base)/slope), 1)
}
