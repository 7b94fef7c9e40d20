package peers

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	crand "crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"math/big"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"monsoonkeel.example/monsoonkeel/core/coldstart"
	"monsoonkeel.example/monsoonkeel/core/config"
	"monsoonkeel.example/monsoonkeel/core/verdict"
	"monsoonkeel.example/monsoonkeel/internal/peerpb"
	"monsoonkeel.example/monsoonkeel/internal/platform"
	"monsoonkeel.example/monsoonkeel/internal/platform/platformtest"
	"monsoonkeel.example/monsoonkeel/internal/process/membership"
)

// testSource is a ConfigSource in which the first byte of a change is its revision.
type testSource struct {
	mu          sync.Mutex
	changes     [][]byte
	confirmedAt time.Time
}

func (s *testSource) Revision() config.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return config.Revision(len(s.changes))
}

func (s *testSource) ConfirmedAge(now time.Time) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.confirmedAt), !s.confirmedAt.IsZero()
}

func (s *testSource) RecordConfirmation(rev config.Revision, age time.Duration, sentAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at := sentAt.Add(-age); int(rev) == len(s.changes) && at.After(s.confirmedAt) {
		s.confirmedAt = at
	}
}

func (s *testSource) ChangesSince(rev config.Revision) ([][]byte, []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changes[min(int(rev), len(s.changes)):], nil
}

func (s *testSource) Merge(changes [][]byte, _ []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range changes {
		if int(c[0]) == len(s.changes)+1 {
			s.changes = append(s.changes, c)
		}
	}
	return nil
}

type hostList []platform.Host

func (l hostList) Hosts(context.Context) ([]platform.Host, error) { return l, nil }

type testClaims struct{ err error }

func (c testClaims) Claim(context.Context, *peerpb.ClaimRequest) (*peerpb.ClaimResponse, error) {
	return &peerpb.ClaimResponse{Results: [][]byte{[]byte("ok")}}, c.err
}

func (c testClaims) Answer(ctx context.Context, _ *peerpb.AnswerRequest) (*peerpb.AnswerResponse, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

type testDaemon struct {
	*Peers
	manager *membership.Manager
	source  *testSource
}

func newDaemon(self platform.Host, list hostList, store platform.ObjectStore, conf *tls.Config, c ClaimServer) *testDaemon {
	src := &testSource{}
	m := membership.New(membership.Config{Self: self, Cells: 1, Store: store, Hosts: list, Now: time.Now,
		ConfigAge: src.ConfirmedAge, Log: zerolog.Nop()})
	m.ReadHosts(context.Background())
	p := New(Config{Membership: m, Source: src, Claims: c, TLS: conf, Now: time.Now, Log: zerolog.Nop(),
		Rand: rand.New(rand.NewPCG(1, 2))})
	return &testDaemon{Peers: p, manager: m, source: src}
}

// startPair starts two daemons on loopback, whose host list contains both and a backend
// server.
func startPair(t *testing.T, conf *tls.Config, c ClaimServer) (a, b *testDaemon, stop context.CancelFunc) {
	store := platformtest.NewStore()
	list := hostList{{ID: "backend", Role: platform.RoleBackend, Incarnation: "i"}}
	var listeners []net.Listener
	for _, id := range []string{"a", "b"} {
		lis, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		listeners = append(listeners, lis)
		list = append(list, platform.Host{ID: id, Role: platform.RoleEntry, PeerAddress: lis.Addr().String(), State: platform.HostLive, Incarnation: "1"})
	}
	ctx, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	var daemons []*testDaemon
	for i, lis := range listeners {
		d := newDaemon(list[i+1], list, store, conf, c)
		daemons = append(daemons, d)
		wg.Go(func() { _ = d.Serve(ctx, lis) }) // Ends with ctx. If Serve fails, the calls of the test fail.
	}
	t.Cleanup(func() {
		stop()
		for _, d := range daemons {
			require.NoError(t, d.Close())
		}
		wg.Wait()
	})
	return daemons[0], daemons[1], stop
}

// Guards against a configuration change, a confirmation, a cold sighting or a draining state
// that does not reach a peer.
func TestTwoPeersExchangeConfigurationAndSightings(t *testing.T) {
	a, b, _ := startPair(t, nil, nil)
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	for _, d := range []*testDaemon{a, b} {
		wg.Go(func() { _ = d.Run(ctx) })
	}
	limits := coldstart.Limits{Cold: 2, Warm: 8}
	warm := platform.LoadReport{Incarnation: "i", Sequence: 1, Completed: 1000}
	a.manager.RefreshView(ctx)
	b.manager.ObserveLoad("backend", limits, 0, warm, time.Now(), 0)
	a.source.mu.Lock()
	a.source.changes, a.source.confirmedAt = [][]byte{{1}, {2}}, time.Now()
	a.source.mu.Unlock()
	a.SyncNow()
	require.Eventually(t, func() bool { return b.source.Revision() == 2 && b.manager.View().Epoch > 0 }, 5*time.Second, 5*time.Millisecond)
	age, known := b.source.ConfirmedAge(time.Now())
	require.True(t, known && age >= 0 && age < 5*time.Second)
	a.ReportCold(membership.ColdSighting{Backend: "backend", Incarnation: "i", At: time.Now()})
	require.Eventually(t, func() bool { return len(b.manager.ColdSightings(false)) == 1 }, 5*time.Second, 5*time.Millisecond)
	b.manager.SetDraining()
	b.SyncNow()
	require.Eventually(t, func() bool { return a.manager.Hosts()[2].State == platform.HostLeaving }, 5*time.Second, 5*time.Millisecond)
}

// Guards against the verdict NotRun for a call that the called host may have received.
func TestVerdictsOfCalls(t *testing.T) {
	a, _, stop := startPair(t, nil, testClaims{})
	ctx := t.Context()
	resp, err := a.Claim(ctx, "b", &peerpb.ClaimRequest{})
	require.NoError(t, err)
	require.Equal(t, "ok", string(resp.Results[0]))
	short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
	defer cancel()
	_, err = a.Answer(short, "b", &peerpb.AnswerRequest{})
	require.Equal(t, verdict.MayHaveRun, verdict.Of(err), "the called host received the call")
	_, err = a.Claim(ctx, "b", &peerpb.ClaimRequest{})
	require.NoError(t, err, "the next call reconnects")
	_, err = a.Claim(short, "b", &peerpb.ClaimRequest{})
	require.Equal(t, verdict.NotRun, verdict.Of(err), "the deadline had passed before the call")
	_, err = a.Claim(ctx, "nobody", &peerpb.ClaimRequest{})
	require.Equal(t, verdict.NotRun, verdict.Of(err))
	_, err = a.Claim(ctx, "b", &peerpb.ClaimRequest{Operations: [][]byte{make([]byte, MaxMessageBytes+1)}})
	require.Error(t, err, "the message exceeds 4 MB")
	_, err = a.Claim(ctx, "b", &peerpb.ClaimRequest{})
	require.NoError(t, err)
	stop()
	require.Eventually(t, func() bool {
		_, err = a.Claim(ctx, "b", &peerpb.ClaimRequest{})
		return verdict.Of(err) == verdict.NotRun
	}, 5*time.Second, 5*time.Millisecond, "a refused connection has the verdict NotRun")

	for want, served := range map[verdict.Verdict]error{
		verdict.NotRun:     verdict.New(verdict.NotRun, 503, "full", "shard full"),
		verdict.Ran:        verdict.New(verdict.Ran, 409, "ran", "ran"),
		verdict.MayHaveRun: errors.New("unclear"),
	} {
		a, _, _ := startPair(t, nil, testClaims{err: served})
		_, err := a.Claim(ctx, "b", &peerpb.ClaimRequest{})
		require.Error(t, err)
		require.Equal(t, want, verdict.Of(err))
	}
}

func selfSigned(t *testing.T) *tls.Config {
	key, err := ecdsa.GenerateKey(elliptic.P256(), crand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true,
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}}
	der, err := x509.CreateCertificate(crand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)
	cert, err := x509.ParseCertificate(der)
	require.NoError(t, err)
	roots := x509.NewCertPool()
	roots.AddCert(cert)
	return &tls.Config{Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}}, RootCAs: roots}
}

// Guards against calls from clients without a certificate, with one of another authority or
// without TLS.
func TestMutualTLSRejectsUntrustedClients(t *testing.T) {
	conf := selfSigned(t)
	a, b, _ := startPair(t, conf, testClaims{})
	_, err := a.Claim(t.Context(), "b", &peerpb.ClaimRequest{})
	require.NoError(t, err)
	for _, bad := range []*tls.Config{{RootCAs: conf.RootCAs}, selfSigned(t), nil} {
		untrusted := newClient(bad)
		h, _ := a.manager.HostByID(b.manager.Self())
		err = untrusted.call(t.Context(), h.PeerAddress, time.Second, func(ctx context.Context, c peerpb.DRPCPeerClient) error {
			_, err := c.Claim(ctx, &peerpb.ClaimRequest{Protocol: Protocol})
			return err
		})
		require.Error(t, err)
		require.NoError(t, untrusted.pool.Close())
	}
}

// Guards against malformed heartbeats, also from a reused address, and against ages that
// overflow.
func TestMalformedHeartbeatsAreRejected(t *testing.T) {
	d := newDaemon(platform.Host{ID: "a"}, nil, platformtest.NewStore(), nil, nil)
	for _, hb := range []*peerpb.Heartbeat{nil, {Protocol: 2, Host: "b"}, {Protocol: 1},
		{Protocol: 1, Host: string(make([]byte, 300))}, {Protocol: 1, Host: "b", Cold: make([]*peerpb.ColdSighting, 300)}} {
		_, err := handler{d.Peers}.Sync(t.Context(), &peerpb.SyncRequest{Heartbeat: hb})
		require.Error(t, err)
	}
	require.Error(t, checkResponse(&peerpb.Heartbeat{Protocol: 1, Host: "x"}, "b"), "the response comes from another host")
	small := &peerpb.SyncRequest{Heartbeat: &peerpb.Heartbeat{Protocol: 1, Host: "b", ViewAgeMs: 1 << 62}}
	resp, err := handler{d.Peers}.Sync(t.Context(), small)
	require.NoError(t, err)
	require.Less(t, proto.Size(resp), 200)
}

// Guards against rounds that reach fewer distinct members of a cell of 64 than the freshness
// rule needs.
func TestRotationReachesEveryMemberOnce(t *testing.T) {
	list := hostList{}
	for i := range 64 {
		list = append(list, platform.Host{ID: string(rune('A' + i)), Role: platform.RoleEntry, PeerAddress: "p"})
	}
	d := newDaemon(list[0], list, platformtest.NewStore(), nil, nil)
	distinct := map[string]bool{}
	for range 3 {
		picked := d.nextPeers(syncFanOut)
		require.Len(t, picked, syncFanOut)
		for _, h := range picked {
			distinct[h.ID] = true
		}
	}
	require.Len(t, distinct, 36)
}

// Guards against a peer that accepts connections and never responds: the round must end after
// the timeout of Sync.
func TestSyncTimesOutOnAStalledPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := hostList{{ID: "a"}, {ID: "b", Role: platform.RoleEntry, PeerAddress: "p"}}
		d := newDaemon(list[0], list, platformtest.NewStore(), nil, nil)
		d.client.dialTCP = func(context.Context, string, string) (net.Conn, error) {
			local, remote := net.Pipe()
			t.Cleanup(func() { _ = remote.Close() })
			return local, nil
		}
		start := time.Now()
		d.SyncRound(t.Context())
		require.Equal(t, syncTimeout, time.Since(start))
		require.NoError(t, d.Close())
	})
}
