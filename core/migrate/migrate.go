// Package migrate plans the live migration of generations off a terminating engine.
// All KV caches are copied over one link of the engine, one after another, while
// several entry hosts relay generations of this engine. Each host computes the same
// plan from the same data, so that short prompts are copied first no matter which host
// requests the copy, and more generations are migrated before the engine ends. The
// package does no I/O and has no clock or goroutines.
package migrate

import (
	"sort"
	"time"
)

const (
	// crossRegionLead is twice the one-way latency between regions: a host in another
	// region receives the termination notice later, and its command takes as long to
	// reach the engine.
	crossRegionLead = 60 * time.Millisecond
	// shortOutputTokens is the output length below which a generation most likely
	// completes before the engine ends. Its copy would only delay the others.
	shortOutputTokens = 75
	// shortPriority is larger than the priority of every longer generation.
	shortPriority = 1 << 30
)

// Priority returns a generation's position in the migration order of its engine; lower
// values are migrated first. It depends only on values that are fixed while the
// generation runs, so that hosts with data of different age agree. Short prompts come
// first, since more of them can be copied before the engine ends, and generations that
// will complete soon anyway come last.
func Priority(promptTokens, expectedOutput int) int {
	if EndsWithinNotice(expectedOutput) {
		return shortPriority + promptTokens
	}
	return promptTokens
}

// EndsWithinNotice reports whether a generation of this expected output length, in
// tokens, most likely completes between the termination notice and the engine's end.
func EndsWithinNotice(expectedOutput int) bool { return expectedOutput < shortOutputTokens }

// Generation describes one generation that runs at the engine.
type Generation struct {
	ID string
	// Tokens is the size of its KV cache.
	Tokens int
	// Priority is the result of the function Priority.
	Priority int
	// CrossRegion is set if the host that relays it is in another region than the engine.
	CrossRegion bool
	// RelayedHere is set if this host relays it.
	RelayedHere bool
}

// Migration is the planned migration of one generation.
type Migration struct {
	ID string
	// Start is when the pre-copy may begin, as a time after the termination notice.
	Start time.Duration
}

// TransferTime returns how long copying the KV cache of a number of tokens takes over a
// link of mbps Mbit/s, or 0 if mbps is not positive.
func TransferTime(tokens, tokenBytes int, mbps float64) time.Duration {
	if mbps <= 0 {
		return 0
	}
	bits := float64(tokens) * float64(tokenBytes) * 8
	return time.Duration(bits / (mbps * 1e6) * float64(time.Second))
}

// Plan schedules the copies of all generations of an engine. It returns the migrations
// of those that this host relays, and when the last of all copies completes, as a time
// after the termination notice.
func Plan(generations []Generation, transfer func(tokens int) time.Duration) (migrations []Migration, end time.Duration) {
	sorted := append([]Generation(nil), generations...)
	sort.Slice(sorted, func(i, j int) bool {
		if sorted[i].Priority != sorted[j].Priority {
			return sorted[i].Priority < sorted[j].Priority
		}
		return sorted[i].ID < sorted[j].ID
	})
	for _, g := range sorted {
		start, begin := end, end
		if g.CrossRegion {
			start, begin = max(0, end-crossRegionLead), max(end, crossRegionLead)
		}
		if g.RelayedHere {
			migrations = append(migrations, Migration{ID: g.ID, Start: start})
		}
		end = begin + transfer(g.Tokens)
	}
	return migrations, end
}

// AssignTargets divides the target engines among the engines that terminate at the same
// time, so that no two sources copy to the same target and delay each other. It returns
// the targets of one source, or all if there are fewer targets than sources. A source that
// is not in terminating gets the targets of the next ID there, or all if it has the highest
// ID. It sorts both slices in place.
func AssignTargets(source string, terminating, targets []string) []string {
	sort.Strings(terminating)
	sort.Strings(targets)
	index := sort.SearchStrings(terminating, source)
	if len(targets) < len(terminating) || index == len(terminating) {
		return targets
	}
	var assigned []string
	for i, id := range targets {
		if i%len(terminating) == index {
			assigned = append(assigned, id)
		}
	}
	return assigned
}
