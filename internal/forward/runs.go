package forward

import (
	"sort"
	"sync"
	"time"

	"monsoonkeel.example/monsoonkeel/core/migrate"
	"monsoonkeel.example/monsoonkeel/internal/connection"
	"monsoonkeel.example/monsoonkeel/internal/directory"
	"monsoonkeel.example/monsoonkeel/internal/gossip"
)

// runs are the generations that this host relays.
type runs struct {
	mu       sync.Mutex
	byServer map[string]map[*run]struct{}
	// plannedUntil is when the planned moves off a leaving server have ended.
	plannedUntil map[string]time.Time
}

// run is the place of a generation at its present engine.
type run struct {
	r     *request
	mu    sync.Mutex
	place *place
	// move is set while the run is moved to another engine.
	move *move
	// ex is the answer that is relayed; nil while none is.
	ex *connection.Exchange
	// standby is the engine that keeps a copy of the run; nil if none does.
	standby *place
	// handover is set while the run goes on at an engine with a copy.
	handover *handover
	events   int
	// lastID is the newest event delivered.
	lastID int64
	ended  bool
}

func (rs *runs) add(r *request, p, standby *place) *run {
	ru := &run{r: r, place: p, standby: standby}
	rs.mu.Lock()
	rs.put(p.server.ID, ru)
	rs.mu.Unlock()
	r.g.leaveIfClosing(ru, p.server.ID)
	return ru
}

// forget drops what is kept of servers that are not known any more.
func (rs *runs) forget(now *directory.Snapshot) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	for id := range rs.plannedUntil {
		if now.Servers[id] == nil {
			delete(rs.plannedUntil, id)
		}
	}
}

func (rs *runs) put(server string, ru *run) {
	if rs.byServer[server] == nil {
		rs.byServer[server] = map[*run]struct{}{}
	}
	rs.byServer[server][ru] = struct{}{}
}

func (rs *runs) drop(server string, ru *run) {
	delete(rs.byServer[server], ru)
	if len(rs.byServer[server]) == 0 {
		delete(rs.byServer, server)
	}
}

// remove ends a run and releases its place.
func (rs *runs) remove(ru *run) {
	ru.mu.Lock()
	ru.ended = true
	p := ru.place
	ru.mu.Unlock()
	ru.setStandby(nil)
	rs.mu.Lock()
	rs.drop(p.server.ID, ru)
	rs.mu.Unlock()
	p.release(false)
}

// at returns the runs at a server.
func (rs *runs) at(server string) []*run {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	out := make([]*run, 0, len(rs.byServer[server]))
	for ru := range rs.byServer[server] {
		out = append(out, ru)
	}
	return out
}

// list returns all runs for the other hosts, in a fixed order.
func (rs *runs) list(p *places) []gossip.Generation {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	var out []gossip.Generation
	for server, at := range rs.byServer {
		for ru := range at {
			perEvent := 1
			if e := p.engineOf(ru.r.service); e != nil {
				perEvent = e.EventTokens
			}
			held := ru.tokens(perEvent)
			ru.expect(held)
			out = append(out, gossip.Generation{ID: ru.r.id, Server: server, KVTokens: held, Rank: ru.rank(), Standby: ru.covered()})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

func (ru *run) promptRead() {
	ru.mu.Lock()
	p := ru.place
	ru.mu.Unlock()
	p.promptRead()
}

func (ru *run) rank() int { return migrate.Priority(ru.r.prompt, ru.r.output) }

// expect corrects the memory that the run is expected to need.
func (ru *run) expect(held int) {
	ru.mu.Lock()
	p, standby, ended := ru.place, ru.standby, ru.ended
	ru.mu.Unlock()
	if ended {
		return
	}
	p.expect(ru.r.expectedTokens(held))
	if standby != nil {
		standby.expect(ru.r.expectedTokens(held))
	}
}

// expectedTokens is the memory to count for a run that holds some tokens: half
// of what is still to come, since other runs end meanwhile.
func (r *request) expectedTokens(held int) int {
	left := max(0, r.prompt+r.output-held)
	return held + left/2
}

// tokens is the memory that the run holds at its engine.
func (ru *run) tokens(perEvent int) int {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	return ru.r.prompt + ru.events*perEvent
}

func (ru *run) delivered(events int, lastID int64) {
	ru.mu.Lock()
	ru.events, ru.lastID = events, lastID
	ru.mu.Unlock()
}
