package outage

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Pattern: an engine is reclaimed in the second in which the store goes away.
// Its notice lasts 1.5 s, so a fleet must doubt the store in less than half of
// that, and a single host not before its own watch is due.
func TestDoubt(t *testing.T) {
	waits := []time.Duration{1200 * time.Millisecond, 900 * time.Millisecond, 1500 * time.Millisecond}
	for readers, want := range map[int]time.Duration{
		0: 900*time.Millisecond + slack, 1: 900*time.Millisecond + slack, 3: 511 * time.Millisecond, 80: shortest,
	} {
		assert.InDelta(t, want.Seconds(), DetectionTimeout(waits, readers).Seconds(), 0.001, "%d readers", readers)
	}
	assert.Equal(t, shortest, DetectionTimeout(nil, 1))
}
