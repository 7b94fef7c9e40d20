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

// rateLimitedStore is a store that takes 3 ms for a write and admits 300 writes
// per second.
type rateLimitedStore struct {
	*platformtest.Store
	limit *rate.Limiter
}

func (l rateLimitedStore) Put(ctx context.Context, key string, expected platform.Version, value []byte) (platform.Version, error) {
	if err := l.limit.Wait(ctx); err != nil {
		return 0, platform.ErrUnavailable
	}
	time.Sleep(3 * time.Millisecond)
	return l.Store.Put(ctx, key, expected, value)
}

// BenchmarkClaim compares the batched writes of a Service with one object per
// order. Every operation is one granted claim; the shards start empty.
func BenchmarkClaim(b *testing.B) {
	for _, callers := range []int{1, 8, 64, 512} {
		b.Run(fmt.Sprintf("group/callers=%d", callers), func(b *testing.B) {
			store := rateLimitedStore{platformtest.NewStore(), rate.NewLimiter(300, 1)}
			s, err := New(Options{Host: "h", Store: store, Random: rand.Reader})
			require.NoError(b, err)
			measureClaims(b, store, callers, func(key string) error {
				out, err := s.Claim(context.Background(), order(key))
				if err == nil && out.Kind != Granted {
					err = errors.New("not granted")
				}
				return err
			})
			require.NoError(b, s.Close(context.Background()))
		})
		b.Run(fmt.Sprintf("object/callers=%d", callers), func(b *testing.B) {
			store := rateLimitedStore{platformtest.NewStore(), rate.NewLimiter(300, 1)}
			measureClaims(b, store, callers, func(key string) error {
				_, err := store.Put(context.Background(), "orders/"+claim.KeyHash("team", key), 0, []byte(requestHash))
				return err
			})
		})
	}
}

func measureClaims(b *testing.B, store rateLimitedStore, callers int, claimOne func(key string) error) {
	var next, failed atomic.Int64
	b.ResetTimer()
	var group errgroup.Group
	for range callers {
		group.Go(func() error {
			for i := next.Add(1); i <= int64(b.N); i = next.Add(1) {
				if claimOne(fmt.Sprint(i)) != nil {
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
