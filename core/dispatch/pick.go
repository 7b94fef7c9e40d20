package dispatch

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"monsoonkeel.example/monsoonkeel/core/length"
	"monsoonkeel.example/monsoonkeel/core/schedule"
)

func (d *Dispatcher) pick(r *Request, dist *length.Dist, localOnly bool, now time.Time) *server {
	reserve, gapMS := d.reserve.Value(now), tighter(d.gapMS, r.TokenGapMS)
	// The ramp of a cold engine waits for completed requests, so short ones go
	// there first. Long ones have as much right to it when all are cold.
	suitsCold := d.warm == 0 || d.estimate(r, dist) <= d.meanWork
	for i, s := range d.servers {
		d.fill(i, s, r, suitsCold, reserve, gapMS)
	}
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], d.seed)
	d.seed = xxhash.Sum64(b[:])
	d.holders = d.appendHolders(d.holders[:0], r)
	req := schedule.Request{Region: d.opt.Region, LocalOnly: localOnly && d.hasLocal(), PromptTokens: r.PromptTokens, CachedPrefixes: d.holders}
	if d.opt.Engine {
		req.Survival = schedule.SurvivalOf(dist, 0)
	}
	at := schedule.Pick(d.candidates, req, d.seed)
	if at < 0 {
		return nil
	}
	return d.servers[at]
}

// anyUntried says whether a retry has a backend server left to wait for.
func (d *Dispatcher) anyUntried(tried []string) bool {
	for _, s := range d.servers {
		if !slices.Contains(tried, s.ID) {
			return true
		}
	}
	return false
}

// hasLocal says whether this host's region has a backend server at all;
// without one there is nothing to wait for.
func (d *Dispatcher) hasLocal() bool {
	for _, s := range d.servers {
		if s.Region == d.opt.Region && s.Limit > 0 {
			return true
		}
	}
	return false
}

// tighter returns the smaller of two targets, of which 0 means none.
func tighter(a, b int) int {
	if a == 0 || b == 0 {
		return max(a, b)
	}
	return min(a, b)
}

func (d *Dispatcher) fill(i int, s *server, r *Request, suitsCold bool, reserve float32, gapMS int) {
	k := &d.candidates[i]
	k.Index, k.Domain, k.Region = i, s.Domain, s.Region
	k.Limit, k.Capacity, k.Hosts, k.Share = s.Limit, s.Capacity, d.hosts, s.share
	if !s.Warm && suitsCold {
		// Cold slots are this host's own. Without a share they came after all
		// warm backend servers, and at low load a cold one stayed cold.
		k.Share = 1
	}
	s.tracker.FillCandidate(k)
	if len(r.Attempted) > 0 && slices.Contains(r.Attempted, s.ID) {
		k.Limit = 0
	}
	if !d.opt.Engine {
		k.KVTokens = 0
		return
	}
	k.Headroom, k.MaxPrefill, k.MaxBatch = reserve, maxPrefill, s.step.BatchLimit(gapMS)
	if k.MaxBatch == 1 {
		// The engine cannot meet the target even with a single request, so a
		// bound would only refuse the requests of other classes.
		k.MaxBatch = 0
	}
	if k.MaxBatch > 0 {
		k.Capacity = k.MaxBatch
	}
}
