package daemon

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"strconv"
	"time"

	"monsoonkeel.example/monsoonkeel/core/claim"
	"monsoonkeel.example/monsoonkeel/core/view"
	"monsoonkeel.example/monsoonkeel/internal/peerpb"
	"monsoonkeel.example/monsoonkeel/internal/process/claims"
	"monsoonkeel.example/monsoonkeel/internal/request"
)

func newClaims(d *Daemon) (*claims.Service, error) {
	return claims.New(claims.Options{
		Host:            d.settings.HostID,
		Store:           d.store,
		Forwarder:       forwarder{d},
		ResponseFetcher: d.peers,
		Random:          rand.Reader,
	})
}

// forwarder finds the preferred writers of claim shards in the view and forwards claims
// to them.
type forwarder struct{ d *Daemon }

// PreferredWriter implements claims.Forwarder.
func (f forwarder) PreferredWriter(shard uint32) (host string, self bool) {
	writer := view.Owner("claims/"+strconv.FormatUint(uint64(shard), 10), f.d.membership.View().Members)
	return writer, writer == f.d.settings.HostID
}

// Claim implements claims.Forwarder.
func (f forwarder) Claim(ctx context.Context, host string, req *peerpb.ClaimRequest) (*peerpb.ClaimResponse, error) {
	return f.d.peers.Claim(ctx, host, req)
}

// claimServer serves the claim calls of peers. It refers to the daemon, since the claims
// service is created after the peers, which it calls.
type claimServer struct{ d *Daemon }

// Claim implements peers.ClaimServer.
func (s claimServer) Claim(ctx context.Context, req *peerpb.ClaimRequest) (*peerpb.ClaimResponse, error) {
	return s.d.claims.HandleClaim(ctx, req)
}

// Answer implements peers.ClaimServer.
func (s claimServer) Answer(ctx context.Context, req *peerpb.AnswerRequest) (*peerpb.AnswerResponse, error) {
	return s.d.claims.HandleAnswer(ctx, req)
}

// orders adapts the claims service to request.Orders.
type orders struct{ s *claims.Service }

// Claim implements request.Orders. If another request executes or has executed the order,
// it waits for the response and returns it.
func (o orders) Claim(ctx context.Context, r request.OrderRequest) (request.ClaimResult, error) {
	order := claims.Order{Team: r.Team, Key: r.Key, RequestHash: hex.EncodeToString(r.RequestHash[:]), Deadline: r.Deadline}
	out, err := o.s.Claim(ctx, order)
	if err != nil {
		return request.ClaimResult{}, err
	}
	switch out.Kind {
	case claims.Granted:
		return request.ClaimResult{Grant: grant{o.s, out.Grant}}, nil
	case claims.Done, claims.Running:
		resp, err := o.s.Await(ctx, order, out)
		if err != nil {
			return request.ClaimResult{}, err
		}
		return request.ClaimResult{Response: &request.OrderResponse{Status: resp.Status, ContentType: resp.ContentType, Body: resp.Body}}, nil
	}
	return request.ClaimResult{}, nil
}

// grant adapts a granted claim to request.OrderGrant.
type grant struct {
	s *claims.Service
	g *claims.Grant
}

func (g grant) MaySend(now time.Time) bool { return g.g.MaySend(now) }

func (g grant) Finish(ctx context.Context, resp request.OrderResponse) error {
	return g.s.Finish(ctx, g.g, claim.Response{Status: resp.Status, ContentType: resp.ContentType, Body: resp.Body})
}

func (g grant) Release(ctx context.Context) error { return g.s.Release(ctx, g.g) }

func (g grant) Abandon() { g.s.Abandon(g.g) }
