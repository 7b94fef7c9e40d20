package connection

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"io"
	"math/big"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"monsoonkeel.example/monsoonkeel/core/verdict"
	"monsoonkeel.example/monsoonkeel/internal/reservedport"
)

func testCertificate(t *testing.T) tls.Certificate {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}
}

// Guards against a disconnect that is not detected because unread bytes, such as a TLS
// alert or a pipelined request, precede the end of the stream.
func TestWatcherDetectsDisconnect(t *testing.T) {
	cert := testCertificate(t)
	dials := map[string]func(address string) (net.Conn, error){
		"plain": func(a string) (net.Conn, error) { return net.Dial("tcp", a) },
		"unread bytes": func(a string) (net.Conn, error) {
			c, err := net.Dial("tcp", a)
			if err == nil {
				_, err = c.Write([]byte("unread"))
			}
			return c, err
		},
		"TLS": func(a string) (net.Conn, error) { return tls.Dial("tcp", a, &tls.Config{InsecureSkipVerify: true}) },
	}
	for name, dial := range dials {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer l.Close()
			var wrapped net.Listener = NewListener(l)
			if name == "TLS" {
				wrapped = tls.NewListener(wrapped, &tls.Config{Certificates: []tls.Certificate{cert}})
			}
			accepted := make(chan net.Conn, 1)
			go func() {
				c, err := wrapped.Accept()
				if tc, ok := c.(*tls.Conn); ok && err == nil {
					_ = tc.Handshake()
				}
				accepted <- c
			}()
			caller, err := dial(l.Addr().String())
			require.NoError(t, err)
			server := <-accepted
			defer server.Close()

			w := NewWatcher()
			ctx, cancel := context.WithCancel(context.Background())
			defer w.Add(server, cancel)()
			w.sweep()
			require.NoError(t, ctx.Err())
			require.NoError(t, caller.Close())
			require.Eventually(t, func() bool { w.sweep(); return ctx.Err() != nil }, 5*time.Second, time.Millisecond)
		})
	}
}

func get(t *testing.T, p *Pool, address string) (*Exchange, error) {
	t.Helper()
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI("/")
	req.Header.SetHost(address)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	t.Cleanup(cancel)
	return p.Do(ctx, address, req, Options{})
}

// Guards against a late response reaching the next request on a reused connection.
func TestUnfinishedConnectionIsNotReused(t *testing.T) {
	release := make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "first")
		_ = http.NewResponseController(w).Flush()
		<-release
		_, _ = io.WriteString(w, "late")
	}))
	defer s.Close()
	p := NewPool()
	address := strings.TrimPrefix(s.URL, "http://")
	e, err := get(t, p, address)
	require.NoError(t, err)
	e.Finish(false)
	close(release)
	e, err = get(t, p, address)
	require.NoError(t, err)
	require.False(t, e.Reused)
	body, err := io.ReadAll(e.Body())
	require.NoError(t, err)
	require.Equal(t, "firstlate", string(body))
	e.Finish(true)
	e, err = get(t, p, address)
	require.NoError(t, err)
	require.True(t, e.Reused)
	e.Finish(false)
}

// Guards against the verdict NotRun for a request of which bytes were sent, and against
// MayHaveRun after a refused connection.
func TestVerdictFollowsWrittenBytes(t *testing.T) {
	l, release, err := reservedport.Listen()
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, release()) })
	go func() {
		c, err := l.Accept()
		if err == nil {
			_, _ = c.Read(make([]byte, 1))
			_ = c.Close()
		}
	}()
	p := NewPool()
	_, err = get(t, p, l.Addr().String())
	require.Equal(t, verdict.MayHaveRun, verdict.Of(err))
	require.NoError(t, l.Close())
	_, err = get(t, p, l.Addr().String())
	require.Equal(t, verdict.NotRun, verdict.Of(err))
	require.Equal(t, CodeConnectFailed, verdict.From(err).Code)
}

// Guards against a request that is sent although BeforeSend returned an error, for example
// because a lease expired.
func TestBeforeSendErrorPreventsTheRequest(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { t.Error("the request was sent") }))
	defer s.Close()
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI("/")
	expired := verdict.New(verdict.NotRun, 503, "lapsed", "the lease expired")
	_, err := NewPool().Do(context.Background(), strings.TrimPrefix(s.URL, "http://"), req, Options{BeforeSend: func() error { return expired }})
	var beforeSendError *BeforeSendError
	require.ErrorAs(t, err, &beforeSendError)
	require.Equal(t, verdict.NotRun, verdict.Of(err))
}

// Guards against a request that hangs because the backend server accepts it and never responds.
func TestResponseHeaderTimeout(t *testing.T) {
	release := make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	defer s.Close()
	defer close(release)
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI("/")
	req.Header.SetHost("engine")
	_, err := NewPool().Do(context.Background(), strings.TrimPrefix(s.URL, "http://"), req, Options{ResponseHeaderTimeout: 50 * time.Millisecond})
	require.Equal(t, verdict.MayHaveRun, verdict.Of(err))
}
