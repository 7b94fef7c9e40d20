package forward

import (
	"sort"
	"sync"
	"time"

	"monsoonkeel.example/monsoonkeel/core/migrate"
	"monsoonkeel.example/monsoonkeel/core/relay"
	"monsoonkeel.example/monsoonkeel/internal/connection"
	"monsoonkeel.example/monsoonkeel/internal/directory"
	"monsoonkeel.example/monsoonkeel/internal/gossip"
)

// generations holds the generations that this host relays.
type generations struct {
	mu       sync.Mutex
	byServer map[string]map[*generation]struct{}
	// plannedUntil is when the planned migrations off a terminating server end.
	plannedUntil map[string]time.Time
}

// generation is a running generation and the reservation at its current engine.
type generation struct {
	r           *request
	mu          sync.Mutex
	reservation *reservation
	// migration is set while the KV cache is copied to another engine.
	migration *migration
	// ex is the exchange whose response is relayed; nil while there is none.
	ex *connection.Exchange
	// standby is the reservation of the standby replica; nil if there is none.
	standby *reservation
	// relay decides which engines may be asked and closed.
	relay *relay.Stream
	// switchover is set while the generation is resumed at an engine with a copy.
	switchover *switchover
	// sourceEnded is closed when the response of the current source has ended.
	sourceEnded chan struct{}
	events      int
	// lastID is the newest event delivered.
	lastID int64
	ended  bool
	// silenceTimer fires when the source is silent for too long; nil if that has no
	// consequence.
	silenceTimer *time.Timer
	// askAfter is the time without an event after which silenceTimer fires.
	askAfter time.Duration
	// takenForDead is set when the current source was closed because of its silence.
	takenForDead bool
	// sourceStopped is set once the current source certainly does not run the generation any more.
	sourceStopped bool
	// stopping has the last attempts to stop the generation at engines whose connection was closed, by ID.
	stopping map[string]*stopping
	// runSeries has the runs of a resumable stream.
	runSeries *retrySeries
	// silence has the requests to resume because the source was silent.
	silence *retrySeries
}

func (gens *generations) add(r *request, res, standby *reservation, series *retrySeries) *generation {
	gen := &generation{r: r, reservation: res, standby: standby, relay: relay.New(time.Now()), sourceEnded: make(chan struct{}), runSeries: series, silence: r.g.newRetrySeries(r.service)}
	gens.mu.Lock()
	gens.put(res.server.ID, gen)
	gens.mu.Unlock()
	r.g.migrateIfTerminating(gen, res.server.ID)
	return gen
}

// forgetRemoved removes the plans of servers that are no longer in the snapshot.
func (gens *generations) forgetRemoved(now *directory.Snapshot) {
	gens.mu.Lock()
	defer gens.mu.Unlock()
	for id := range gens.plannedUntil {
		if now.Servers[id] == nil {
			delete(gens.plannedUntil, id)
		}
	}
}

func (gens *generations) put(server string, gen *generation) {
	if gens.byServer[server] == nil {
		gens.byServer[server] = map[*generation]struct{}{}
	}
	gens.byServer[server][gen] = struct{}{}
}

func (gens *generations) drop(server string, gen *generation) {
	delete(gens.byServer[server], gen)
	if len(gens.byServer[server]) == 0 {
		delete(gens.byServer, server)
	}
}

// remove ends a generation and releases its reservations.
func (gens *generations) remove(gen *generation) {
	gen.mu.Lock()
	gen.ended = true
	gen.stopAwaitingSilence()
	res := gen.reservation
	gen.mu.Unlock()
	gen.setStandby(nil)
	gens.mu.Lock()
	gens.drop(res.server.ID, gen)
	gens.mu.Unlock()
	res.release(false)
}

// at returns the generations at a server.
func (gens *generations) at(server string) []*generation {
	gens.mu.Lock()
	defer gens.mu.Unlock()
	out := make([]*generation, 0, len(gens.byServer[server]))
	for gen := range gens.byServer[server] {
		out = append(out, gen)
	}
	return out
}

// list returns the generations for the gossip state, ordered by ID, and updates their
// expected KV cache sizes.
func (gens *generations) list(bs *balancers) []gossip.Generation {
	gens.mu.Lock()
	defer gens.mu.Unlock()
	var out []gossip.Generation
	for server, at := range gens.byServer {
		for gen := range at {
			tokensPerEvent := 1
			if e := bs.engineConfig(gen.r.service); e != nil {
				tokensPerEvent = e.EventTokens
			}
			kvTokens := gen.tokens(tokensPerEvent)
			gen.setExpectedTokens(kvTokens)
			out = append(out, gossip.Generation{ID: gen.r.id, Server: server, Tokens: kvTokens, MigrationPriority: gen.migrationPriority(kvTokens - gen.r.promptTokens), HasStandby: gen.hasStandby()})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// currentReservation returns the reservation at the engine that runs the generation.
func (gen *generation) currentReservation() *reservation {
	gen.mu.Lock()
	defer gen.mu.Unlock()
	return gen.reservation
}

func (gen *generation) prefillDone() { gen.currentReservation().prefillDone() }

// migrationPriority returns the position in the migration order of the engine. produced is the number of tokens so far: a
// generation that is longer than expected may go on for long.
func (gen *generation) migrationPriority(produced int) int {
	expected := gen.r.outputTokens
	if produced >= expected {
		expected = max(expected, 2*produced)
	}
	return migrate.Priority(gen.r.promptTokens, expected)
}

// setExpectedTokens updates the expected KV cache size in the reservations, given the
// current size.
func (gen *generation) setExpectedTokens(kvTokens int) {
	gen.mu.Lock()
	res, standby, ended := gen.reservation, gen.standby, gen.ended
	gen.mu.Unlock()
	if ended {
		return
	}
	res.setExpectedTokens(gen.r.expectedTokens(kvTokens))
	if standby != nil {
		standby.setExpectedTokens(gen.r.expectedTokens(kvTokens))
	}
}

// expectedTokens is the KV cache size to count for a generation: the current size and
// half of the expected growth, since other generations end meanwhile.
func (r *request) expectedTokens(kvTokens int) int {
	left := max(0, r.promptTokens+r.outputTokens-kvTokens)
	return kvTokens + left/2
}

// tokens is the generation's KV cache size at its engine.
func (gen *generation) tokens(tokensPerEvent int) int {
	gen.mu.Lock()
	defer gen.mu.Unlock()
	return gen.r.promptTokens + gen.events*tokensPerEvent
}

func (gen *generation) delivered(events int, lastID int64) {
	gen.mu.Lock()
	gen.events, gen.lastID = events, lastID
	gen.mu.Unlock()
}
