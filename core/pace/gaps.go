package pace

import (
	"math"
	"time"
)

const (
	// gapHalfLife is that of the counts of late gaps. A server makes a few gaps late in a minute, so that a shorter time forgets
	// what it has shown.
	gapHalfLife = 30 * time.Second
	// speedGroup is the width of the groups of servers whose late gaps are counted together, in binary logarithms of the speed.
	// A server is judged by its group until it has shown enough itself.
	speedGroup = 0.25
	// groupEvents and ownEvents are the events without a late gap that count in addition for a group, and the events at the
	// rate of its group for a server.
	groupEvents = 500
	ownEvents   = 500
)

// Gaps are counts of events of generations, and of spells with a gap between events that is later than the objective of the
// generation's route. Old ones count less.
type Gaps struct{ Events, Late float64 }

// Plus returns the sum.
func (g Gaps) Plus(o Gaps) Gaps { return Gaps{Events: g.Events + o.Events, Late: g.Late + o.Late} }

func (g Gaps) times(factor float64) Gaps {
	return Gaps{Events: g.Events * factor, Late: g.Late * factor}
}

// isValid reports whether the counts can be those of other hosts.
func (g Gaps) isValid() bool {
	return g.Events >= 0 && g.Late >= 0 && g.Late <= g.Events && !math.IsInf(g.Events, 0)
}

// rate returns the late spells per event, where events more at another rate count in addition.
func (g Gaps) rate(events, other float64) float64 {
	return (g.Late + events*other) / (g.Events + events)
}

// fitLateRates sets the rate of late gaps of each server from what all hosts counted there and at servers of similar speed.
func (l *Learner) fitLateRates() {
	groups := map[int]Gaps{}
	for _, s := range l.servers {
		group := s.speedGroup()
		groups[group] = groups[group].Plus(s.gaps).Plus(s.peerGaps)
	}
	for _, s := range l.servers {
		group := groups[s.speedGroup()].rate(groupEvents, 0)
		s.lateRate = s.gaps.Plus(s.peerGaps).rate(ownEvents, group)
	}
}

func (s *server) speedGroup() int { return int(math.Round(s.logSpeed / speedGroup)) }

// LateShare returns the share of generations with a number of events at the server that have a late gap.
func (e Estimate) LateShare(events int) float64 {
	return 1 - math.Pow(1-min(max(e.LateRate, 0), 1), float64(max(events, 0)))
}
