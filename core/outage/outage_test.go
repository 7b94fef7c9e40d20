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
	const wait = 1250 * time.Millisecond
	for hosts, want := range map[int]time.Duration{
		0: wait + slack, 1: wait + slack, 3: wait + slack, 6: 833 * time.Millisecond, 9: 555 * time.Millisecond, 80: shortest,
	} {
		assert.InDelta(t, want.Seconds(), Doubt(wait, hosts).Seconds(), 0.001, "%d hosts", hosts)
	}
}
