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

// source is a configuration whose changes start with their revision as a byte.
type source struct {
	mu          sync.Mutex
	changes     [][]byte
	confirmedAt time.Time
}

func (s *source) Revision() config.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return config.Revision(len(s.changes))
}

func (s *source) ConfirmedAge(now time.Time) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.confirmedAt), !s.confirmedAt.IsZero()
}

func (s *source) NoteConfirmation(rev config.Revision, age time.Duration, sentAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at := sentAt.Add(-age); int(rev) == len(s.changes) && at.After(s.confirmedAt) {
		s.confirmedAt = at
	}
}

func (s *source) ChangesSince(rev config.Revision) ([][]byte, []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changes[min(int(rev), len(s.changes)):], nil
}

func (s *source) Merge(changes [][]byte, _ []byte) error {
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

type claims struct{ err error }

func (c claims) Claim(context.Context, *peerpb.ClaimRequest) (*peerpb.ClaimResponse, error) {
	return &peerpb.ClaimResponse{Results: [][]byte{[]byte("ok")}}, c.err
}

func (c claims) Answer(ctx context.Context, _ *peerpb.AnswerRequest) (*peerpb.AnswerResponse, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

type daemon struct {
	*Peers
	manager *membership.Manager
	source  *source
}

func newDaemon(self platform.Host, list hostList, store platform.ObjectStore, conf *tls.Config, c ClaimServer) *daemon {
	src := &source{}
	k := membership.New(membership.Config{Self: self, Cells: 1, Store: store, Hosts: list, Now: time.Now,
		ConfigAge: src.ConfirmedAge, Log: zerolog.Nop()})
	k.ReadHosts(context.Background())
	p := New(Config{Membership: k, Source: src, Claims: c, TLS: conf, Now: time.Now, Log: zerolog.Nop(),
		Rand: rand.New(rand.NewPCG(1, 2))})
	return &daemon{Peers: p, manager: k, source: src}
}

// pair starts two daemons on loopback that know each other and a backend server.
func pair(t *testing.T, conf *tls.Config, c ClaimServer) (a, b *daemon, stop context.CancelFunc) {
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
	var both []*daemon
	for i, lis := range listeners {
		d := newDaemon(list[i+1], list, store, conf, c)
		both = append(both, d)
		wg.Go(func() { _ = d.Serve(ctx, lis) }) // Ends with ctx; a failure to serve fails the calls below.
	}
	t.Cleanup(func() {
		stop()
		for _, d := range both {
			require.NoError(t, d.Close())
		}
		wg.Wait()
	})
	return both[0], both[1], stop
}

func TestTwoPeersExchangeConfigurationAndSightings(t *testing.T) {
	a, b, _ := pair(t, nil, nil)
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	for _, d := range []*daemon{a, b} {
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

// Guards against a call reported as not run although the callee may have got it.
func TestVerdictsOfCalls(t *testing.T) {
	a, _, stop := pair(t, nil, claims{})
	ctx := t.Context()
	resp, err := a.Claim(ctx, "b", &peerpb.ClaimRequest{})
	require.NoError(t, err)
	require.Equal(t, "ok", string(resp.Results[0]))
	short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
	defer cancel()
	_, err = a.Answer(short, "b", &peerpb.AnswerRequest{})
	require.Equal(t, verdict.MayHaveRun, verdict.Of(err), "the callee got the call")
	_, err = a.Claim(ctx, "b", &peerpb.ClaimRequest{})
	require.NoError(t, err, "the next call reconnects")
	_, err = a.Claim(short, "b", &peerpb.ClaimRequest{})
	require.Equal(t, verdict.NotRun, verdict.Of(err), "the deadline had passed before the call")
	_, err = a.Claim(ctx, "nobody", &peerpb.ClaimRequest{})
	require.Equal(t, verdict.NotRun, verdict.Of(err))
	_, err = a.Claim(ctx, "b", &peerpb.ClaimRequest{Operations: [][]byte{make([]byte, MaxMessageBytes+1)}})
	require.Error(t, err, "a message above 4 MB")
	_, err = a.Claim(ctx, "b", &peerpb.ClaimRequest{})
	require.NoError(t, err)
	stop()
	require.Eventually(t, func() bool {
		_, err = a.Claim(ctx, "b", &peerpb.ClaimRequest{})
		return verdict.Of(err) == verdict.NotRun
	}, 5*time.Second, 5*time.Millisecond, "a refused connection is not run")

	for want, served := range map[verdict.Verdict]error{
		verdict.NotRun:     verdict.New(verdict.NotRun, 503, "full", "shard full"),
		verdict.Ran:        verdict.New(verdict.Ran, 409, "ran", "ran"),
		verdict.MayHaveRun: errors.New("unclear"),
	} {
		a, _, _ := pair(t, nil, claims{err: served})
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

func TestMutualTLSRefusesStrangers(t *testing.T) {
	conf := selfSigned(t)
	a, b, _ := pair(t, conf, claims{})
	_, err := a.Claim(t.Context(), "b", &peerpb.ClaimRequest{})
	require.NoError(t, err)
	for _, bad := range []*tls.Config{{RootCAs: conf.RootCAs}, selfSigned(t), nil} {
		stranger := newCaller(bad)
		h, _ := a.manager.HostByID(b.manager.Self())
		err = stranger.call(t.Context(), h.PeerAddress, time.Second, func(ctx context.Context, c peerpb.DRPCPeerClient) error {
			_, err := c.Claim(ctx, &peerpb.ClaimRequest{Protocol: Protocol})
			return err
		})
		require.Error(t, err)
		require.NoError(t, stranger.pool.Close())
	}
}

func TestMalformedHeartbeatsAreRefused(t *testing.T) {
	d := newDaemon(platform.Host{ID: "a"}, nil, platformtest.NewStore(), nil, nil)
	for _, beat := range []*peerpb.Heartbeat{nil, {Protocol: 2, Host: "b"}, {Protocol: 1},
		{Protocol: 1, Host: string(make([]byte, 300))}, {Protocol: 1, Host: "b", Cold: make([]*peerpb.ColdSighting, 300)}} {
		_, err := handler{d.Peers}.Sync(t.Context(), &peerpb.SyncRequest{Heartbeat: beat})
		require.Error(t, err)
	}
	require.Error(t, checkAnswer(&peerpb.Heartbeat{Protocol: 1, Host: "x"}, "b"), "another host's answer")
	small := &peerpb.SyncRequest{Heartbeat: &peerpb.Heartbeat{Protocol: 1, Host: "b", ViewAgeMs: 1 << 62}}
	resp, err := handler{d.Peers}.Sync(t.Context(), small)
	require.NoError(t, err)
	require.Less(t, proto.Size(resp), 200)
}

// Guards the reach that the freshness rule needs in a cell of 64.
func TestRotationReachesEveryMemberOnce(t *testing.T) {
	list := hostList{}
	for i := range 64 {
		list = append(list, platform.Host{ID: string(rune('A' + i)), Role: platform.RoleEntry, PeerAddress: "p"})
	}
	d := newDaemon(list[0], list, platformtest.NewStore(), nil, nil)
	distinct := map[string]bool{}
	for range 3 {
		picked := d.pick(fanOut)
		require.Len(t, picked, fanOut)
		for _, h := range picked {
			distinct[h.ID] = true
		}
	}
	require.Len(t, distinct, 36)
}

// Guards against a peer that accepts connections and never answers: the round
// must end by the deadline of Sync.
func TestSyncDeadlineOnAStalledPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := hostList{{ID: "a"}, {ID: "b", Role: platform.RoleEntry, PeerAddress: "p"}}
		d := newDaemon(list[0], list, platformtest.NewStore(), nil, nil)
		d.caller.dialTCP = func(context.Context, string, string) (net.Conn, error) {
			here, there := net.Pipe()
			t.Cleanup(func() { _ = there.Close() })
			return here, nil
		}
		start := time.Now()
		d.SyncRound(t.Context())
		require.Equal(t, syncTimeout, time.Since(start))
		require.NoError(t, d.Close())
	})
}
