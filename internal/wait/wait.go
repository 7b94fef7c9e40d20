// Package wait implements a delay that the end of a context cuts short.
package wait

import (
	"context"
	"time"
)

// For waits for d. It returns false at once if ctx ends first.
func For(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
