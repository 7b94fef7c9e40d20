package outage

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against missing a termination notice when the store becomes unavailable in the
// same second. The notice comes 1.5 s before the engine ends, so a fleet must detect the
// outage in less than half of that, and a single host not before its own watch is due.
func TestDetectionTimeout(t *testing.T) {
	waits := []time.Duration{1200 * time.Millisecond, 900 * time.Millisecond, 1500 * time.Millisecond}
	for readers, want := range map[int]time.Duration{
		0: 900*time.Millisecond + watchGrace, 1: 900*time.Millisecond + watchGrace, 3: 511 * time.Millisecond, 80: minTimeout,
	} {
		assert.InDelta(t, want.Seconds(), DetectionTimeout(waits, readers).Seconds(), 0.001, "%d readers", readers)
	}
	assert.Equal(t, minTimeout, DetectionTimeout(nil, 1))
}
