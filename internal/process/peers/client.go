package peers

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcerr"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcwire"

	"monsoonkeel.example/monsoonkeel/core/verdict"
	"monsoonkeel.example/monsoonkeel/internal/peerpb"
)

// DRPC error codes that carry the verdict of the called host.
const (
	codeNotRun = 1001
	codeRan    = 1002
)

// client calls other daemons over pooled connections.
type client struct {
	pool *drpcpool.Pool[string, *drpcconn.Conn]
	tls  *tls.Config
	// dialTCP opens connections without TLS; tests replace it.
	dialTCP func(ctx context.Context, network, address string) (net.Conn, error)
}

func newClient(conf *tls.Config) *client {
	return &client{
		pool:    drpcpool.New[string, *drpcconn.Conn](drpcpool.Options{Expiration: connIdleTimeout, KeyCapacity: 2}),
		tls:     conf,
		dialTCP: (&net.Dialer{}).DialContext,
	}
}

// managerOptions returns the connection options of clients and servers.
func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: MaxMessageBytes}}
}

func (c *client) dial(ctx context.Context, address string) (*drpcconn.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	var conn net.Conn
	var err error
	if c.tls != nil {
		conn, err = (&tls.Dialer{Config: c.tls}).DialContext(ctx, "tcp", address)
	} else {
		conn, err = c.dialTCP(ctx, "tcp", address)
	}
	if err != nil {
		return nil, err
	}
	return drpcconn.NewWithOptions(conn, drpcconn.Options{Manager: managerOptions()}), nil
}

// call calls f with an RPC client for address and ends it after timeout. The error is a
// *verdict.Error: NotRun if no connection could be opened, the verdict of the called host
// if it sent one, and MayHaveRun otherwise.
func (c *client) call(ctx context.Context, address string, timeout time.Duration, f func(context.Context, peerpb.DRPCPeerClient) error) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err := ctx.Err(); err != nil {
		return verdict.Wrap(err, verdict.NotRun, http.StatusServiceUnavailable, "peer_unreachable", "call to %s not sent", address)
	}
	var dialErr error
	conn := c.pool.Get(ctx, address, func(ctx context.Context, address string) (*drpcconn.Conn, error) {
		var conn *drpcconn.Conn
		conn, dialErr = c.dial(ctx, address)
		return conn, dialErr
	})
	defer func() { _ = conn.Close() }()
	err := f(ctx, peerpb.NewDRPCPeerClient(conn))
	switch {
	case err == nil:
		return nil
	case dialErr != nil:
		return verdict.Wrap(dialErr, verdict.NotRun, http.StatusServiceUnavailable, "peer_unreachable", "no connection to %s", address)
	}
	return verdict.Wrap(err, verdictOf(err), http.StatusBadGateway, "peer_failed", "call to %s failed", address)
}

// verdictOf returns the verdict that the called host attached to the error.
func verdictOf(err error) verdict.Verdict {
	switch drpcerr.Code(err) {
	case codeNotRun, drpcerr.Unimplemented:
		return verdict.NotRun
	case codeRan:
		return verdict.Ran
	}
	return verdict.MayHaveRun
}

// withVerdictCode attaches the verdict of err as an error code that is sent to the caller.
func withVerdictCode(err error) error {
	if err == nil {
		return nil
	}
	switch verdict.Of(err) {
	case verdict.NotRun:
		return drpcerr.WithCode(err, codeNotRun)
	case verdict.Ran:
		return drpcerr.WithCode(err, codeRan)
	}
	return err
}
