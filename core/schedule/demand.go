package schedule

import "math"

// HorizonCount is the number of moments for which memory demand is predicted.
const HorizonCount = 8

// HorizonTokens are those moments, in decode steps from now: each running
// request has produced that many more tokens, or ended. They are spaced by
// octaves because output lengths spread over orders of magnitude.
var HorizonTokens = [HorizonCount]int{0, 32, 96, 224, 480, 992, 2016, 4064}

// Survival holds, for each horizon, the probability that a request still runs.
type Survival [HorizonCount]float32

// LengthDistribution predicts output lengths; *length.Dist implements it.
type LengthDistribution interface {
	// Survival is the probability of more than ahead further tokens after soFar.
	Survival(soFar, ahead int) float64
}

// SurvivalOf returns the survival of a request that has produced soFar tokens.
func SurvivalOf(l LengthDistribution, soFar int) (s Survival) {
	s[0] = 1
	for i := 1; i < HorizonCount; i++ {
		s[i] = float32(l.Survival(soFar, HorizonTokens[i]))
	}
	return s
}

// Demand is the predicted cache memory of a set of requests, in tokens, at
// each horizon: the expected value and the variance around it.
type Demand struct {
	Mean, Var [HorizonCount]float32
}

// Add adds n alike requests with a context of context tokens each.
func (d *Demand) Add(n, context float32, s *Survival) {
	for i := range d.Mean {
		size := context + float32(HorizonTokens[i])
		p := s[i]
		d.Mean[i] += n * p * size
		d.Var[i] += n * p * (1 - p) * size * size
	}
}

// AddDemand adds another set.
func (d *Demand) AddDemand(o *Demand) {
	for i := range d.Mean {
		d.Mean[i] += o.Mean[i]
		d.Var[i] += o.Var[i]
	}
}

// Peak returns the largest predicted memory over all horizons, in tokens, with
// a reserve of reserve standard deviations for the uncertain tail.
func (d *Demand) Peak(reserve float32) float32 {
	peak := float32(0)
	for i := range d.Mean {
		peak = max(peak, d.Mean[i]+reserve*sqrt32(d.Var[i]))
	}
	return peak
}

// peakWith is Peak of d and o together.
func (d *Demand) peakWith(o *Demand, reserve float32) float32 {
	peak := float32(0)
	for i := range d.Mean {
		peak = max(peak, d.Mean[i]+o.Mean[i]+reserve*sqrt32(d.Var[i]+o.Var[i]))
	}
	return peak
}

func sqrt32(x float32) float32 { return float32(math.Sqrt(float64(x))) }
