package gossip

import (
	"context"
	"net"
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"monsoonkeel.example/monsoonkeel/core/topology"
	pb "monsoonkeel.example/monsoonkeel/internal/gossippb"
)

// A member asks the primary aggregator of its group for the engine of a generation: only the aggregator knows all
// placements of the group at once. It answers from memory. A member that gets no answer in time chooses by itself, so
// that no request depends on the aggregator.

const (
	// placementTimeout is how long a member waits for the answer. A round trip between failure domains takes 2 ms.
	placementTimeout = 40 * time.Millisecond
	// placementPause is how long a member does not ask after it got no answer.
	placementPause = 300 * time.Millisecond
	// maxPlacementNames limits the servers and regions named in a question.
	maxPlacementNames = 256
)

// PlacementRequest describes a request for which a backend server is chosen.
type PlacementRequest struct {
	Service         string
	Tokens, Prefill int
	// Exclude lists servers that must not be chosen.
	Exclude []string
	// Regions are those that may serve the request; none for all.
	Regions []string
	// Domain is the failure domain of the host that asks.
	Domain string
	// Source is the server that the generation is migrated from; empty for a new one.
	Source string
	// Exposed is set if a server of a version that is being rolled out may be chosen.
	Exposed bool
	// Events is the number of events that the generation is expected to have.
	Events int
	// KeepFree is the number of tokens of an engine's KV cache that must stay free.
	KeepFree int
}

// Placement is the answer of an aggregator.
type Placement struct {
	// Server is empty if there is none.
	Server string
	// Aggregator and Number identify the placement.
	Aggregator string
	Number     uint64
}

// placements are the questions of this host that are not answered yet.
type placements struct {
	waiting map[uint64]chan Placement
	lastID  uint64
	// pausedUntil is set after a question got no answer.
	pausedUntil time.Duration
}

// Place asks the primary aggregator of the group for a backend server. It returns false if there is none that
// answers.
func (e *Exchange) Place(ctx context.Context, request PlacementRequest) (Placement, bool) {
	now := e.opts.Clock()
	e.mu.Lock()
	if e.topology.IsMesh() || e.opts.Place == nil {
		e.mu.Unlock()
		return Placement{}, false
	}
	if e.candidate.Role() == topology.Primary {
		e.mu.Unlock()
		return e.opts.Place(e.opts.Self.ID, request), true
	}
	primary, _ := e.aggregators(now)
	if len(primary) == 0 || now < e.placements.pausedUntil || e.conn == nil {
		e.mu.Unlock()
		return Placement{}, false
	}
	to := e.receivers(primary[:1])
	e.placements.lastID++
	id := e.placements.lastID
	answer := make(chan Placement, 1)
	e.placements.waiting[id] = answer
	conn := e.conn
	e.mu.Unlock()
	e.Metrics.Add("placements_asked", 1)
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.placements.waiting, id)
	}()
	if len(to) == 0 || !e.sendPlacement(conn, to[0], encodeQuestion(id, request)) {
		return Placement{}, false
	}
	timer := time.NewTimer(placementTimeout)
	defer timer.Stop()
	select {
	case p := <-answer:
		return p, true
	case <-ctx.Done():
		return Placement{}, false
	case <-timer.C:
	}
	e.Metrics.Add("placements_unanswered", 1)
	e.mu.Lock()
	e.placements.pausedUntil = e.opts.Clock() + placementPause
	e.mu.Unlock()
	e.opts.Log.Info().Str("aggregator", primary[0]).Msg("aggregator did not answer the question for a backend server in time")
	return Placement{}, false
}

// placingHost returns the host that Place asks, or this one; empty if there is none. e.mu must be held.
func (e *Exchange) placingHost(now time.Duration) string {
	if e.candidate.Role() == topology.Primary {
		return e.opts.Self.ID
	}
	if primary, _ := e.aggregators(now); len(primary) > 0 {
		return primary[0]
	}
	return ""
}

func encodeQuestion(id uint64, r PlacementRequest) *pb.Placement {
	return &pb.Placement{
		Id: id, Service: r.Service, Tokens: int64(r.Tokens), Prefill: int64(r.Prefill), Domain: r.Domain, Source: r.Source, Exposed: r.Exposed, Events: int64(r.Events), KeepFree: int64(r.KeepFree),
		Exclude: r.Exclude[:min(len(r.Exclude), maxPlacementNames)], Regions: r.Regions,
	}
}

func (e *Exchange) sendPlacement(conn *net.UDPConn, to receiver, p *pb.Placement) bool {
	message, err := proto.Marshal(&pb.Message{
		Protocol: protocolVersion, Host: e.opts.Self.ID, Region: e.opts.Region, Incarnation: e.opts.Self.Incarnation, Placement: p,
	})
	if err == nil {
		err = e.keys.Load().signer(message).send(conn, nil, to)
	}
	if err != nil {
		e.opts.Log.Debug().Err(err).Msg("sending a question for a backend server, or the answer, failed")
	}
	return err == nil
}

// receivePlacement answers a question or passes an answer on.
func (e *Exchange) receivePlacement(host string, p *pb.Placement, from netip.AddrPort) {
	e.mu.Lock()
	conn, isPrimary := e.conn, e.candidate.Role() == topology.Primary
	waiting := e.placements.waiting[p.Id]
	e.mu.Unlock()
	if p.Answer {
		if waiting != nil {
			select {
			case waiting <- Placement{Server: p.Server, Aggregator: host, Number: p.Number}:
			default: // answered twice
			}
		}
		return
	}
	if !isPrimary || e.opts.Place == nil || conn == nil || len(p.Exclude) > maxPlacementNames || len(p.Regions) > maxPlacementNames {
		return
	}
	bounded := func(n int64) int { return int(min(max(n, 0), maxLoad)) }
	placed := e.opts.Place(host, PlacementRequest{
		Service: p.Service, Tokens: bounded(p.Tokens), Prefill: bounded(p.Prefill), Exclude: p.Exclude, Regions: p.Regions, Domain: p.Domain, Source: p.Source, Exposed: p.Exposed, Events: bounded(p.Events), KeepFree: bounded(p.KeepFree),
	})
	e.sendPlacement(conn, receiver{host, from}, &pb.Placement{Id: p.Id, Answer: true, Server: placed.Server, Number: placed.Number})
}
