package schedule

import "math"

// HorizonCount is the number of points in time for which KV cache demand is
// predicted.
const HorizonCount = 8

// HorizonTokens are those points, in decode steps from now. At each, a running
// generation has produced that many more tokens or has ended. The spacing
// doubles because output lengths span orders of magnitude.
var HorizonTokens = [HorizonCount]int{0, 32, 96, 224, 480, 992, 2016, 4064}

// Survival holds, for each horizon, the probability that a generation is still
// running.
type Survival [HorizonCount]float32

// LengthDistribution predicts output lengths; *length.Dist implements it.
type LengthDistribution interface {
	// Survival returns the probability that a generation which has produced
	// soFar tokens produces more than ahead further ones.
	Survival(soFar, ahead int) float64
}

// SurvivalOf returns the survival of a generation that has produced soFar
// tokens.
func SurvivalOf(l LengthDistribution, soFar int) (s Survival) {
	s[0] = 1
	for i := 1; i < HorizonCount; i++ {
		s[i] = float32(l.Survival(soFar, HorizonTokens[i]))
	}
	return s
}

// Demand is the predicted KV cache size of a set of generations, in tokens, at
// each horizon: mean and variance.
type Demand struct {
	Mean, Var [HorizonCount]float32
}

// Add adds n generations with the same survival and a context of context tokens
// each.
func (d *Demand) Add(n, context float32, s *Survival) {
	for i := range d.Mean {
		size := context + float32(HorizonTokens[i])
		p := s[i]
		d.Mean[i] += n * p * size
		d.Var[i] += n * p * (1 - p) * size * size
	}
}

// AddDemand adds the demand of another, independent set.
func (d *Demand) AddDemand(o *Demand) {
	for i := range d.Mean {
		d.Mean[i] += o.Mean[i]
		d.Var[i] += o.Var[i]
	}
}

// Peak returns the largest predicted KV cache size over all horizons, in
// tokens, including headroom standard deviations.
func (d *Demand) Peak(headroom float32) float32 {
	peak := float32(0)
	for i := range d.Mean {
		peak = max(peak, d.Mean[i]+headroom*sqrt32(d.Var[i]))
	}
	return peak
}

// peakWith returns the Peak of d and o combined.
func (d *Demand) peakWith(o *Demand, headroom float32) float32 {
	peak := float32(0)
	for i := range d.Mean {
		peak = max(peak, d.Mean[i]+o.Mean[i]+headroom*sqrt32(d.Var[i]+o.Var[i]))
	}
	return peak
}

func sqrt32(x float32) float32 { return float32(math.Sqrt(float64(x))) }
