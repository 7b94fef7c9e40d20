package pace

import (
	"math"
	"time"

	"monsoonkeel.example/monsoonkeel/core/serverstate"
)

const (
	// statedTimeout is how long a stated pace counts. Machines are slowed for some 600 ms at a time.
	statedTimeout = 300 * time.Millisecond
	// statedGain is the least part by which what a server usually states follows what it states, and maxStatedStep the
	// largest difference that counts for that.
	statedGain    = 0.1
	maxStatedStep = 1.0
	// agreement is how much a measured time follows a true stated pace: a sample covers a longer time than the figure.
	agreement = 0.5
	// priorAgreement is how much a server is believed before measurements confirm it: as after four samples during slow-downs
	// of 2.5 times.
	priorAgreement = 4 * 1.3 * 1.3
)

// stated is what a server states of its pace, as binary logarithms. A server that always states the same false figure has no
// effect, as only differences from what it usually states count; one that states false changes loses its effect when
// the measurements do not follow them.
type stated struct {
	pace, usual float64
	count       int
	at          time.Time
	// covariance of the stated difference and the measured one, and variance of the stated one.
	covariance, variance float64
}

// State records the pace that a server stated, in percent.
func (l *Learner) State(p serverstate.Process, percent int, at time.Time) {
	if percent <= 0 {
		return
	}
	s := &l.server(p).stated
	if at.Before(s.at) {
		return
	}
	s.pace, s.at = math.Log2(float64(percent)/100), at
	gain := max(statedGain, 1/float64(s.count+2))
	s.usual += gain * min(max(s.pace-s.usual, -maxStatedStep), maxStatedStep)
	s.count++
}

// Slowdown returns how long work takes at a process at this moment, as a multiple of what it usually takes there.
func (l *Learner) Slowdown(p serverstate.Process, now time.Time) float64 {
	if s := l.servers[p]; s != nil {
		return bounded(s.stated.excess(now))
	}
	return 1
}

func (s *stated) isRecent(now time.Time) bool { return s.count > 0 && now.Sub(s.at) <= statedTimeout }

// compare compares a measurement, as the difference from what was expected of the server, with the stated pace.
func (s *stated) compare(measured, weight float64, now time.Time) {
	if !s.isRecent(now) {
		return
	}
	d := s.pace - s.usual
	s.covariance += weight * d * measured
	s.variance += weight * d * d
}

func (s *stated) decay(factor float64) {
	s.covariance *= factor
	s.variance *= factor
}

// excess returns how much slower the server is now than usually, as far as it is believed.
func (s *stated) excess(now time.Time) float64 {
	if !s.isRecent(now) {
		return 0
	}
	slope := (s.covariance + agreement*priorAgreement) / (s.variance + priorAgreement)
	return (s.pace - s.usual) * min(max(slope/agreement, 0), 1)
}
