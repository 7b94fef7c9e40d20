package peers

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"monsoonkeel.example/monsoonkeel/core/config"
	"monsoonkeel.example/monsoonkeel/internal/platform"
	"monsoonkeel.example/monsoonkeel/internal/platform/platformtest"
	"monsoonkeel.example/monsoonkeel/internal/process/configlog"
	"monsoonkeel.example/monsoonkeel/internal/process/membership"
)

// logSource adapts a configuration log to ConfigSource as the daemon does.
type logSource struct{ *configlog.Log }

func (s logSource) Revision() config.Revision { return s.Current().Revision }

// delayedConn counts the bytes and transfers of a connection and delays them by the
// one-way latency of a link.
type delayedConn struct {
	net.Conn
	cell *benchCell
}

func (c delayedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	time.Sleep(c.cell.delay)
	c.cell.bytes.Add(int64(n))
	c.cell.transfers.Add(1)
	return n, err
}

func (c delayedConn) Write(p []byte) (int, error) {
	time.Sleep(c.cell.delay)
	n, err := c.Conn.Write(p)
	c.cell.bytes.Add(int64(n))
	c.cell.transfers.Add(1)
	return n, err
}

// countingStore counts the calls of a cell to the object API by kind.
type countingStore struct {
	*platformtest.Store
	writes, viewReads, otherReads, watches atomic.Int64
}

func (s *countingStore) Get(ctx context.Context, key string) (platform.Object, error) {
	if strings.HasPrefix(key, "view/") {
		s.viewReads.Add(1)
	} else {
		s.otherReads.Add(1)
	}
	return s.Store.Get(ctx, key)
}

func (s *countingStore) Put(ctx context.Context, key string, expected platform.Version, value []byte) (platform.Version, error) {
	s.writes.Add(1)
	return s.Store.Put(ctx, key, expected, value)
}

func (s *countingStore) Watch(ctx context.Context, key string, after platform.Version, wait time.Duration) (platform.Object, error) {
	s.watches.Add(1)
	return s.Store.Watch(ctx, key, after, wait)
}

// counts returns the calls so far by kind.
func (s *countingStore) counts() map[string]int64 {
	return map[string]int64{"writes/s": s.writes.Load(), "view-reads/s": s.viewReads.Load(),
		"other-reads/s": s.otherReads.Load(), "watches/s": s.watches.Load()}
}

// benchCell is a cell of peers connected over loopback, of which the first 3 watch the
// configuration.
type benchCell struct {
	delay            time.Duration
	store            *countingStore
	logs             []*configlog.Log
	members          []*Peers
	managers         []*membership.Manager
	bytes, transfers atomic.Int64
}

const benchWatchers = 3

// newBenchCell starts members that run until the benchmark ends. Without loops they only
// serve calls.
func newBenchCell(b *testing.B, members int, delay time.Duration, loops bool) *benchCell {
	c := &benchCell{delay: delay, store: &countingStore{Store: platformtest.NewStore()}}
	var list hostList
	var listeners []net.Listener
	for i := range members {
		lis, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		listeners = append(listeners, lis)
		list = append(list, platform.Host{ID: fmt.Sprintf("entry-%04d", i), Role: platform.RoleEntry, Region: "lakes-west", Domain: "west-a",
			PeerAddress: lis.Addr().String(), State: platform.HostLive, Incarnation: "1"})
	}
	ctx, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for i, lis := range listeners {
		log := configlog.New(configlog.Options{Store: c.store, IsWatcher: func() bool { return i < benchWatchers }, Logger: zerolog.Nop()})
		m := membership.New(membership.Config{Self: list[i], Cells: 1, Store: c.store, Hosts: list, Now: time.Now,
			ConfigAge: log.ConfirmedAge, Log: zerolog.Nop()})
		m.ReadHosts(ctx)
		p := New(Config{Membership: m, Source: logSource{log}, Now: time.Now, Log: zerolog.Nop(), Rand: rand.New(rand.NewPCG(uint64(i), 2))})
		dial := p.client.dialTCP
		p.client.dialTCP = func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dial(ctx, network, address)
			return delayedConn{conn, c}, err
		}
		c.logs, c.members, c.managers = append(c.logs, log), append(c.members, p), append(c.managers, m)
		wg.Go(func() { _ = p.Serve(ctx, lis) }) // Ends with ctx.
		if loops {
			log.Subscribe(func(*config.Document) { p.SyncNow() })
			wg.Go(func() { _ = m.Run(ctx) })
			wg.Go(func() { _ = p.Run(ctx) })
			wg.Go(func() { _ = log.Run(ctx) })
		}
	}
	b.Cleanup(func() {
		stop()
		for _, p := range c.members {
			_ = p.Close()
		}
		wg.Wait()
	})
	return c
}

// syncRound runs one round of Sync calls at every member.
func (c *benchCell) syncRound(ctx context.Context) {
	var wg sync.WaitGroup
	for _, p := range c.members {
		wg.Go(func() { p.SyncRound(ctx) })
	}
	wg.Wait()
}

// propose proposes a change of about 330 bytes and returns its revision.
func (c *benchCell) propose(b *testing.B, i int) config.Revision {
	name := fmt.Sprintf("team-%05d", i)
	value, err := json.Marshal(config.Team{Name: name, KeyHashes: []string{fmt.Sprintf("%064x", i+1)}, MaxInFlight: 100})
	if err != nil {
		b.Fatal(err)
	}
	rev, err := c.logs[i%len(c.logs)].Propose(context.Background(), config.Change{
		ID: fmt.Sprintf("0b9d5a1c-7c59-4d9e-8f6a-%012d", i), Author: "operator@example.com", At: time.Now(),
		Ops: []config.Op{{Kind: config.KindTeam, Name: name, Action: config.ActionPut, Value: value}}})
	if err != nil {
		b.Fatal(err)
	}
	return rev
}

// awaitAll waits until every member has the revision.
func (c *benchCell) awaitAll(b *testing.B, rev config.Revision) {
	deadline := time.Now().Add(30 * time.Second)
	for _, log := range c.logs {
		for log.Current().Revision < rev {
			if time.Now().After(deadline) {
				b.Fatal("a change did not reach every member within 30 s")
			}
			time.Sleep(time.Millisecond)
		}
	}
}

// cpuTime returns the CPU time that the process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

var benchMembers = []int{8, 16, 32, 64}

// BenchmarkSyncRound measures one round of heartbeats without changes. A member makes calls
// and serves as many, so its bytes are twice the bytes of its own calls. TCP, IP and TLS
// framing is not counted.
func BenchmarkSyncRound(b *testing.B) {
	for _, members := range benchMembers {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			c := newBenchCell(b, members, 0, false)
			ctx := context.Background()
			for range members/syncFanOut + 2 {
				c.syncRound(ctx) // Opens the connections.
			}
			for range 2 {
				for _, m := range c.managers {
					m.RefreshView(ctx)
				}
				c.syncRound(ctx)
			}
			cpuBefore, bytes, transfers := cpuTime(), c.bytes.Load(), c.transfers.Load()
			for b.Loop() {
				c.syncRound(ctx)
			}
			perMember := float64(b.N * members)
			b.ReportMetric(float64((cpuTime()-cpuBefore).Microseconds())/perMember, "cpu-us/member")
			b.ReportMetric(2*float64(c.bytes.Load()-bytes)/perMember, "bytes/member")
			b.ReportMetric(2*float64(c.transfers.Load()-transfers)/perMember, "transfers/member")
		})
	}
}

// BenchmarkPropagation measures the time from an operator's change until every member of a
// cell with 3 watchers has it, at one change in 1.6 s (54,000 a day), and the resources that
// a member uses. delay is the one-way latency between members; the object API responds
// without delay.
func BenchmarkPropagation(b *testing.B) {
	for _, delay := range []time.Duration{0, 30 * time.Millisecond} {
		for _, members := range benchMembers {
			b.Run(fmt.Sprintf("delay=%v/members=%d", delay, members), func(b *testing.B) {
				c := newBenchCell(b, members, delay, true)
				c.awaitAll(b, c.propose(b, 0))
				time.Sleep(2 * time.Second) // The view is complete and the connections are open.
				ticker := time.NewTicker(1600 * time.Millisecond)
				defer ticker.Stop()
				start, cpuBefore, bytes, transfers := time.Now(), cpuTime(), c.bytes.Load(), c.transfers.Load()
				calls := c.store.counts()
				var worst, total time.Duration
				n := 0
				for b.Loop() {
					n++
					sent := time.Now()
					c.awaitAll(b, c.propose(b, n))
					took := time.Since(sent)
					worst, total = max(worst, took), total+took
					<-ticker.C
				}
				for kind, n := range c.store.counts() {
					b.ReportMetric(float64(n-calls[kind])/time.Since(start).Seconds(), kind)
				}
				perMember := time.Since(start).Seconds() * float64(members)
				b.ReportMetric(float64(worst.Milliseconds()), "worst-ms")
				b.ReportMetric(float64(total.Milliseconds())/float64(n), "mean-ms")
				b.ReportMetric(float64((cpuTime()-cpuBefore).Microseconds())/perMember, "cpu-us/member/s")
				b.ReportMetric(2*float64(c.bytes.Load()-bytes)/perMember, "bytes/member/s")
				b.ReportMetric(2*float64(c.transfers.Load()-transfers)/perMember, "transfers/member/s")
			})
		}
	}
}
