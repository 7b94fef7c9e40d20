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

// drpc error codes that carry the verdict of the callee.
const (
	codeNotRun = 1001
	codeRan    = 1002
)

// caller reaches other daemons over pooled connections.
type caller struct {
	pool *drpcpool.Pool[string, *drpcconn.Conn]
	tls  *tls.Config
	// dialTCP opens plain connections; tests replace it.
	dialTCP func(ctx context.Context, network, address string) (net.Conn, error)
}

func newCaller(conf *tls.Config) *caller {
	return &caller{
		pool:    drpcpool.New[string, *drpcconn.Conn](drpcpool.Options{Expiration: connIdle, KeyCapacity: 2}),
		tls:     conf,
		dialTCP: (&net.Dialer{}).DialContext,
	}
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: MaxMessageBytes}}
}

func (c *caller) dial(ctx context.Context, address string) (*drpcconn.Conn, error) {
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

// call runs f with a client for address. The error is a *verdict.Error: NotRun
// if no connection could be made or the callee says so, else MayHaveRun.
func (c *caller) call(ctx context.Context, address string, limit time.Duration, f func(context.Context, peerpb.DRPCPeerClient) error) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
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

func verdictOf(err error) verdict.Verdict {
	switch drpcerr.Code(err) {
	case codeNotRun, drpcerr.Unimplemented:
		return verdict.NotRun
	case codeRan:
		return verdict.Ran
	}
	return verdict.MayHaveRun
}

// withCode attaches the verdict of err for the way back to the caller.
func withCode(err error) error {
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
