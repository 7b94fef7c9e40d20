package dispatch

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"monsoonkeel.example/monsoonkeel/core/length"
	"monsoonkeel.example/monsoonkeel/core/schedule"
)

// scope limits the choice of a backend server by region.
type scope uint8

const (
	// allRegions does not limit the choice.
	allRegions scope = iota
	// ownRegion limits it to this host's region, if that has a backend server that
	// accepts requests, and to the backend servers in which this host has a share.
	ownRegion
	// otherRegions limits it to the backend servers that ownRegion excludes.
	otherRegions
)

// scopeOf returns the scope of a request that has waited for a time.
func scopeOf(waited time.Duration) scope {
	if waited < localWait {
		return ownRegion
	}
	return allRegions
}

// pick returns the backend server for a request, or nil if none can take it now.
func (d *Dispatcher) pick(r *Request, dist *length.Dist, regions scope, now time.Time) *server {
	req := d.fillCandidates(r, dist, regions, now)
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], d.seed)
	d.seed = xxhash.Sum64(b[:])
	at := schedule.Pick(d.candidates, req, d.seed)
	if at < 0 {
		return nil
	}
	return d.servers[at]
}

// fillCandidates describes the backend servers and the request for the choice of one.
func (d *Dispatcher) fillCandidates(r *Request, dist *length.Dist, regions scope, now time.Time) schedule.Request {
	headroom, gapMS := d.headroom.Value(now), tighterTarget(d.gapMS, r.TokenGapMS)
	// The warm-up of a cold engine proceeds with each completed request, so
	// short requests are preferred there. When all engines are cold, requests
	// of any length are.
	suitsColdServer := d.warm == 0 || d.estimate(r, dist) <= d.meanWork
	for i, s := range d.servers {
		d.fillCandidate(i, s, r, suitsColdServer, headroom, gapMS)
		if d.isHeldBack(s, now) || regions == otherRegions && (s.Region == d.opt.Region || s.share > 0) {
			d.candidates[i].Limit = 0
		}
	}
	d.attempted = d.attempted[:0]
	if len(r.Attempted) > 0 {
		for i, s := range d.servers {
			if slices.Contains(r.Attempted, s.ID) {
				d.attempted = append(d.attempted, i)
			}
		}
	}
	d.cachedPrefixes = d.appendCachedPrefixes(d.cachedPrefixes[:0], r)
	req := schedule.Request{Region: d.opt.Region, Attempted: d.attempted, LocalOnly: regions == ownRegion && d.hasLocalServer(now), PromptTokens: r.PromptTokens, CachedPrefixes: d.cachedPrefixes}
	if d.opt.Engine {
		req.Survival = schedule.SurvivalOf(dist, 0)
	}
	return req
}

// hasUnattempted reports whether there is a backend server at which a retry has
// not been attempted yet.
func (d *Dispatcher) hasUnattempted(attempted []string) bool {
	for _, s := range d.servers {
		if !slices.Contains(attempted, s.ID) {
			return true
		}
	}
	return false
}

// hasLocalServer reports whether this host's region has a backend server that
// accepts requests; without one, waiting for local capacity is useless.
func (d *Dispatcher) hasLocalServer(now time.Time) bool {
	for _, s := range d.servers {
		if s.Region == d.opt.Region && s.Limit > 0 && !d.isHeldBack(s, now) {
			return true
		}
	}
	return false
}

// tighterTarget returns the lower of two targets, of which 0 means none.
func tighterTarget(a, b int) int {
	if a == 0 || b == 0 {
		return max(a, b)
	}
	return min(a, b)
}

func (d *Dispatcher) fillCandidate(i int, s *server, r *Request, suitsColdServer bool, headroom float32, gapMS int) {
	k := &d.candidates[i]
	k.Index, k.Domain, k.Region = i, s.Domain, s.Region
	k.Limit, k.Capacity, k.Hosts, k.Share = s.Limit, s.Capacity, d.hosts, s.share
	if !s.Warm && suitsColdServer {
		// Cold slots are assigned to this host alone. Without a share, cold
		// backend servers ranked below all warm ones, and at low load a cold
		// one stayed cold.
		k.Share = 1
	}
	s.tracker.FillCandidate(k)
	if !d.opt.Engine {
		k.KVTokens = 0
		return
	}
	k.Headroom, k.MaxPrefill, k.MaxBatch = headroom, maxPrefill, s.step.BatchLimit(gapMS)
	if k.MaxBatch == 1 {
		// The engine cannot meet the target even with a single request, so a
		// limit would only reject the requests of other classes.
		k.MaxBatch = 0
	}
	if k.MaxBatch > 0 {
		k.Capacity = k.MaxBatch
	}
}
