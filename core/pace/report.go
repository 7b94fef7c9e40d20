// Package pace finds out how much work each backend server of a service takes well: its speed, and the load past which it
// slows. It does no I/O and has no clock: callers pass the time and hold the lock.
package pace

import "monsoonkeel.example/monsoonkeel/core/serverstate"

// LoadSteps is the number of steps of load: step i holds samples taken while i eighths of what a server can hold, rounded down, were
// in use; the last one also those above.
const LoadSteps = 9

// Report is what a host, or several hosts together, measured of a process of a backend server.
type Report struct {
	serverstate.Process
	// Samples are the numbers of samples by step of load. Old ones count less.
	Samples [LoadSteps]float64
	// LogRatios are the sums of the binary logarithms of the ratio between what was measured and what the service's servers
	// usually take.
	LogRatios [LoadSteps]float64
	// Gaps are the events of generations at the server and the late gaps among them.
	Gaps Gaps
}

// Total returns the number of samples.
func (r *Report) Total() (n float64) {
	for _, v := range r.Samples {
		n += v
	}
	return n
}

// Add adds the measurements of other hosts of the same process.
func (r *Report) Add(o Report) {
	for i := range r.Samples {
		r.Samples[i] += o.Samples[i]
		r.LogRatios[i] += o.LogRatios[i]
	}
	r.Gaps = r.Gaps.Plus(o.Gaps)
}
