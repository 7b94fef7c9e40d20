package claims

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"monsoonkeel.example/monsoonkeel/core/claim"
	"monsoonkeel.example/monsoonkeel/internal/platform"
	"monsoonkeel.example/monsoonkeel/internal/platform/platformtest"
)

// limited is a store whose write takes 3 ms and that admits 300 writes a second.
type limited struct {
	*platformtest.Store
	limit *rate.Limiter
}

func (l limited) Put(ctx context.Context, key string, expected platform.Version, value []byte) (platform.Version, error) {
	if err := l.limit.Wait(ctx); err != nil {
		return 0, platform.ErrUnavailable
	}
	time.Sleep(3 * time.Millisecond)
	return l.Store.Put(ctx, key, expected, value)
}

// BenchmarkClaim compares group commit with one object per order. Every
// operation is one granted claim; the shards start empty.
func BenchmarkClaim(b *testing.B) {
	for _, callers := range []int{1, 8, 64, 512} {
		b.Run(fmt.Sprintf("group/callers=%d", callers), func(b *testing.B) {
			store := limited{platformtest.NewStore(), rate.NewLimiter(300, 1)}
			s, err := New(Options{Host: "h", Store: store, Random: rand.Reader})
			require.NoError(b, err)
			measure(b, store, callers, func(key string) error {
				out, err := s.Claim(context.Background(), order(key))
				if err == nil && out.Kind != Granted {
					err = errors.New("not granted")
				}
				return err
			})
			require.NoError(b, s.Close(context.Background()))
		})
		b.Run(fmt.Sprintf("object/callers=%d", callers), func(b *testing.B) {
			store := limited{platformtest.NewStore(), rate.NewLimiter(300, 1)}
			measure(b, store, callers, func(key string) error {
				_, err := store.Put(context.Background(), "orders/"+claim.KeyHash("team", key), 0, []byte(requestHash))
				return err
			})
		})
	}
}

func measure(b *testing.B, store limited, callers int, one func(key string) error) {
	var next, failed atomic.Int64
	b.ResetTimer()
	var group errgroup.Group
	for range callers {
		group.Go(func() error {
			for i := next.Add(1); i <= int64(b.N); i = next.Add(1) {
				if one(fmt.Sprint(i)) != nil {
					failed.Add(1)
				}
			}
			return nil
		})
	}
	_ = group.Wait()
	b.StopTimer()
	writes, _ := store.Counts()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "claims/s")
	b.ReportMetric(float64(writes)/float64(b.N), "writes/claim")
	b.ReportMetric(float64(failed.Load()), "failed")
}
