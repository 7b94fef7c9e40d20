package peers

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"monsoonkeel.example/monsoonkeel/core/verdict"
	"monsoonkeel.example/monsoonkeel/internal/peerpb"
)

// repeatingConn delivers what arrived before a write once more, before anything that arrives after it.
type repeatingConn struct {
	net.Conn
	repeated *atomic.Int64

	mu                sync.Mutex
	received, pending []byte
}

func (c *repeatingConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	c.pending = append(c.pending, c.received...)
	c.repeated.Add(int64(len(c.received)))
	c.received = nil
	c.mu.Unlock()
	return c.Conn.Write(b)
}

func (c *repeatingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b[:len(b)/2])
	c.mu.Lock()
	defer c.mu.Unlock()
	c.received = append(c.received, b[:n]...)
	all := append(c.pending, b[:n]...)
	c.pending = nil
	if len(all) > len(b) {
		return 0, fmt.Errorf("%d bytes do not fit", len(all))
	}
	return copy(b, all), err
}

// echoedClaims responds to each claim with its operations.
type echoedClaims struct{ testClaims }

func (echoedClaims) Claim(_ context.Context, req *peerpb.ClaimRequest) (*peerpb.ClaimResponse, error) {
	return &peerpb.ClaimResponse{Results: req.Operations}, nil
}

// Guards against a response of another daemon that is taken as that to the next call on the connection, so
// that an order counts as claimed by the claim of another: a response arrives twice.
func TestRepeatedResponsesOfPeersAreNotUsed(t *testing.T) {
	a, _, _ := startPair(t, nil, echoedClaims{})
	var repeated atomic.Int64
	var conns int
	dial := a.client.dialTCP
	a.client.dialTCP = func(ctx context.Context, network, address string) (net.Conn, error) {
		conns++
		conn, err := dial(ctx, network, address)
		return &repeatingConn{Conn: conn, repeated: &repeated}, err
	}
	for i := range 20 {
		operation := bytes.Repeat([]byte{byte(i)}, 10)
		resp, err := a.Claim(t.Context(), "b", &peerpb.ClaimRequest{Operations: [][]byte{operation}})
		if err != nil {
			assert.Equal(t, verdict.MayHaveRun, verdict.Of(err))
			continue
		}
		require.Equal(t, [][]byte{operation}, resp.Results)
	}
	assert.Positive(t, repeated.Load(), "a response arrived twice")
	t.Log(conns, "connections,", repeated.Load(), "bytes repeated")
}
