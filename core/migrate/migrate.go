// Package migrate plans the moves of running generations off an engine that is
// about to end. All copies leave the engine over one link, one after another,
// and several entry hosts relay runs of the same engine. Each of them computes
// the same plan from the same figures, so that the copies of short prompts come
// first whichever host asks for them, and more runs are moved within the notice.
// It is pure.
package migrate

import (
	"sort"
	"time"
)

const (
	// remoteLead is how much later a host in another region hears of the notice
	// and is heard by the engine: two ways between regions.
	remoteLead = 60 * time.Millisecond
	// shortOutput is the number of tokens below which a run most likely ends
	// within the notice; its copy would only hold up the others.
	shortOutput = 75
	// shortRank comes after the rank of every longer run.
	shortRank = 1 << 30
)

// Priority orders the runs of an engine by what does not change while they run, so
// that hosts with figures of different age agree: short prompts first, since
// more of them fit into the notice, and last those that will soon end anyway.
func Priority(promptTokens, expectedOutput int) int {
	if EndsWithinNotice(expectedOutput) {
		return shortRank + promptTokens
	}
	return promptTokens
}

// EndsWithinNotice reports whether a run of some output most likely ends within a notice.
func EndsWithinNotice(expectedOutput int) bool { return expectedOutput < shortOutput }

// Generation is a generation at the engine.
type Generation struct {
	ID string
	// Tokens is the memory that it holds.
	Tokens int
	// Priority is the order in which runs are moved.
	Priority int
	// CrossRegion says that its host is in another region than the engine.
	CrossRegion bool
	// RelayedHere says that this host relays it.
	RelayedHere bool
}

// Migration is the move of one run.
type Migration struct {
	ID string
	// Start is when the first copy may begin, counted from the notice.
	Start time.Duration
}

// TransferTime is how long the memory of tokens takes over a link of mbps
// Mbit/s.
func TransferTime(tokens, tokenBytes int, mbps float64) time.Duration {
	if mbps <= 0 {
		return 0
	}
	bits := float64(tokens) * float64(tokenBytes) * 8
	return time.Duration(bits / (mbps * 1e6) * float64(time.Second))
}

// Plan orders all runs of an engine. It returns the steps of those that this
// host relays, and when the last of all has been moved.
func Plan(all []Generation, transfer func(tokens int) time.Duration) (steps []Migration, end time.Duration) {
	runs := append([]Generation(nil), all...)
	sort.Slice(runs, func(i, j int) bool {
		if runs[i].Priority != runs[j].Priority {
			return runs[i].Priority < runs[j].Priority
		}
		return runs[i].ID < runs[j].ID
	})
	for _, r := range runs {
		start, begin := end, end
		if r.CrossRegion {
			start, begin = max(0, end-remoteLead), max(end, remoteLead)
		}
		if r.RelayedHere {
			steps = append(steps, Migration{ID: r.ID, Start: start})
		}
		end = begin + transfer(r.Tokens)
	}
	return steps, end
}

// AssignTargets divides the engines that may take runs among those that leave at the
// same time, so that no two send to one: their copies would wait for each other.
// It returns the engines for one source, or all if there are too few.
func AssignTargets(source string, leaving, open []string) []string {
	sort.Strings(leaving)
	sort.Strings(open)
	place := sort.SearchStrings(leaving, source)
	if len(open) < len(leaving) || place == len(leaving) {
		return open
	}
	var mine []string
	for i, id := range open {
		if i%len(leaving) == place {
			mine = append(mine, id)
		}
	}
	return mine
}
