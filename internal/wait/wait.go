// Package wait has a pause that a context can end.
package wait

import (
	"context"
	"time"
)

// For waits for d and reports whether ctx goes on.
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
