package claims

import (
	"context"
	"crypto/rand"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"monsoonkeel.example/monsoonkeel/core/claim"
	"monsoonkeel.example/monsoonkeel/internal/platform"
	"monsoonkeel.example/monsoonkeel/internal/platform/platformtest"
)

// slowStore adds the write latency of an object API and counts written bytes.
type slowStore struct {
	platform.ObjectStore
	mu    sync.Mutex
	bytes int
}

func (s *slowStore) Put(ctx context.Context, key string, expected platform.Version, value []byte) (platform.Version, error) {
	time.Sleep(5 * time.Millisecond)
	s.mu.Lock()
	s.bytes += len(value)
	s.mu.Unlock()
	return s.ObjectStore.Put(ctx, key, expected, value)
}

// BenchmarkGroupCommit measures the operations per write and the latency of
// claims, by number of concurrent callers, on a host that writes all shards.
func BenchmarkGroupCommit(b *testing.B) {
	for _, callers := range []int{16, 64, 256, 1024} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			store := &slowStore{ObjectStore: platformtest.NewStore()}
			s, err := New(Options{Host: "entry-0001", Store: store, Random: rand.Reader})
			if err != nil {
				b.Fatal(err)
			}
			hash := strings.Repeat("ab", 32)
			round := 0
			for b.Loop() {
				round++
				var wg sync.WaitGroup
				for i := range callers {
					wg.Go(func() {
						out, err := s.Claim(context.Background(), Order{Team: "team", Key: fmt.Sprint(round, "-", i),
							RequestHash: hash, Deadline: time.Now().Add(time.Minute)})
						if err != nil || out.Kind != Granted {
							b.Errorf("claim: %v, outcome %v", err, out.Kind)
							return
						}
						s.Abandon(out.Grant)
					})
				}
				wg.Wait()
			}
			st := s.Stats()
			b.ReportMetric(float64(st.Operations)/float64(st.Writes), "claims/write")
			b.ReportMetric(float64(store.bytes)/float64(st.Operations), "bytes/claim")
			if err := s.Close(context.Background()); err != nil {
				b.Fatal(err)
			}
		})
	}
}

// BenchmarkShardWrite measures the CPU time of one write by the number of
// records in the shard, since every write encodes the complete shard.
func BenchmarkShardWrite(b *testing.B) {
	hash := strings.Repeat("ab", 32)
	now := time.Now()
	op := func(i int) claim.Op {
		return claim.Op{Kind: claim.OpClaim, KeyHash: claim.KeyHash("team", fmt.Sprint(i)), RequestHash: hash,
			Attempt: fmt.Sprintf("%032x", i), Host: "entry-0001", DeadlineMS: now.Add(time.Minute).UnixMilli()}
	}
	for _, records := range []int{100, 300, 900} {
		b.Run(fmt.Sprintf("records=%d", records), func(b *testing.B) {
			var ops []claim.Op
			for i := range records {
				ops = append(ops, op(i))
			}
			base, _ := claim.Apply(claim.Empty(), ops, now)
			size := 0
			for b.Loop() {
				next, results := claim.Apply(base, []claim.Op{{Kind: claim.OpExpire}, op(records)}, now)
				if results[1].Code != claim.Granted {
					b.Fatalf("claim not granted: %s", results[1].Code)
				}
				value, err := next.Encode()
				if err != nil {
					b.Fatal(err)
				}
				size = len(value)
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}
