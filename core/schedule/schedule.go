package schedule

import "math"

// Candidate is the state of a backend server at the time of the choice.
type Candidate struct {
	// Index is the position of the backend server in the caller's table.
	Index int
	// Domain and Region are the failure domain and region of the backend
	// server.
	Domain, Region string
	// Limit is the maximum number of requests this host may have in flight at
	// the backend server; 0 excludes it from new requests.
	Limit int
	// OwnInFlight is the number of this host's requests in flight there.
	OwnInFlight int
	// ReportedInFlight is the number of running and waiting requests of all
	// hosts in the last load report.
	ReportedInFlight int
	// SentSinceReport is the number of this host's requests sent since the time
	// that the report describes.
	SentSinceReport int
	// KVUsedShare is the used fraction of the engine's KV cache. It is used
	// only when KVTokens is 0.
	KVUsedShare float64
	// Capacity is the number of requests that the backend server runs
	// concurrently when warm.
	Capacity int

	// KVTokens is the size of the KV cache in tokens; 0 means that demand is
	// not predicted for this backend server.
	KVTokens float32
	// Demand is the predicted KV cache demand of the requests there.
	Demand Demand
	// Headroom is the KV cache kept free for growing generations, in standard
	// deviations of Demand.
	Headroom float32
	// OwnDemand is the portion of Demand due to this host's requests, and
	// DemandSinceReport the portion of OwnDemand due to requests sent since the
	// report.
	OwnDemand, DemandSinceReport Demand
	// Share is this host's share of the backend server's capacity, and Hosts
	// the number of hosts that use it. Beyond its share, a host sends only what
	// would fit if every other host sent as much on the basis of the same
	// report. Hosts of 0 means that this host is the only one.
	Share float32
	Hosts int
	// MaxBatch limits the requests in flight there, over all hosts, so that the
	// token gap target is met; 0 means no limit.
	MaxBatch int
	// Prefilling is the number of this host's requests there without a first
	// token, and MaxPrefill limits it; 0 means no limit.
	Prefilling, MaxPrefill int
}

// CachedPrefix is a prefix of the prompt, Tokens long, that the backend server
// at Index is expected to have in its prefix cache.
type CachedPrefix struct {
	Index  int
	Tokens int
}

// Request describes the request for which a backend server is chosen.
type Request struct {
	// Region is the region of the host that sends the request.
	Region string
	// Attempted lists the table indexes of backend servers at which an attempt
	// of this request failed.
	Attempted []int
	// LocalOnly excludes other regions, except for backend servers there in
	// which the host has a share. It is set while waiting for local capacity
	// can still meet the target.
	LocalOnly bool
	// PromptTokens is the length of the prompt in tokens.
	PromptTokens int
	// Survival is the prediction of the output length.
	Survival Survival
	// CachedPrefixes lists the backend servers expected to have a prefix of the
	// prompt cached.
	CachedPrefixes []CachedPrefix
}

const (
	// remotePenalty is the load difference that justifies a link between
	// regions. These links are slow and billed, so a local backend server is
	// preferred unless its load exceeds that of a remote one by this much.
	remotePenalty = 0.5

	// remoteSharePenalty is the same for a remote backend server in which the
	// host has a share, which happens when the host's own region has more hosts
	// than its backend servers need.
	remoteSharePenalty = 0.1

	// noSharePenalty is the load difference up to which a host prefers backend
	// servers in which it has a share, since its load data for them is the most
	// accurate.
	noSharePenalty = 0.2

	// kvUsageWeight weighs KV cache usage against queue length: an engine short
	// of KV cache preempts running generations.
	kvUsageWeight = 0.5

	// prefixAffinityWeight is the load difference that a fully cached prompt
	// outweighs. It is small so that a popular prefix does not overload the
	// backend servers that have it cached.
	prefixAffinityWeight = 0.1
)

// Pick returns the index into candidates of the one with the lowest score, or
// -1 when none may receive the request now. seed rotates the order in which
// equal scores are considered, so that hosts with the same lagged reports do
// not all choose the same backend server.
func Pick(candidates []Candidate, req Request, seed uint64) int {
	n := len(candidates)
	if n == 0 {
		return -1
	}
	var add Demand
	add.Add(1, float32(req.PromptTokens), &req.Survival)
	best, bestScore := -1, math.Inf(1)
	at := int(seed % uint64(n))
	for range n {
		c := &candidates[at]
		if filter(c, &req) == NotExcluded {
			if s, better := score(c, &req, &add, bestScore); better {
				best, bestScore = at, s
			}
		}
		if at++; at == n {
			at = 0
		}
	}
	return best
}

// filter returns why a candidate may not receive a request, except for its KV cache.
func filter(c *Candidate, req *Request) Exclusion {
	switch {
	case c.Limit <= 0:
		return WithoutLimit
	case c.OwnInFlight >= c.Limit:
		return AtLimit
	case c.MaxPrefill > 0 && c.Prefilling >= c.MaxPrefill:
		return AtPrefillLimit
	case req.LocalOnly && c.Region != req.Region && c.Share == 0:
		return InOtherRegion
	case c.MaxBatch > 0 && !c.batchFits():
		return AtBatchLimit
	}
	for _, t := range req.Attempted {
		if t == c.Index {
			return Attempted
		}
	}
	return NotExcluded
}

// otherHosts returns the number of other hosts that may send requests on the
// basis of the same report.
func (c *Candidate) otherHosts() float32 { return float32(max(c.Hosts-1, 0)) }

// batchFits reports whether one more request stays within MaxBatch.
func (c *Candidate) batchFits() bool {
	inFlight := c.ReportedInFlight + c.SentSinceReport
	if inFlight >= c.MaxBatch {
		return false
	}
	if float32(c.OwnInFlight+1) <= c.Share*float32(c.MaxBatch) {
		return true
	}
	return float32(inFlight+1)+c.otherHosts()*float32(c.SentSinceReport+1) <= float32(c.MaxBatch)
}

// kvFits reports whether the predicted peak KV cache fits with the request
// added. A request always fits on an idle backend server; otherwise a request
// larger than the KV cache would never be sent.
func (c *Candidate) kvFits(peak float32, add *Demand) bool {
	if c.ReportedInFlight+c.SentSinceReport == 0 {
		return true
	}
	if peak > c.KVTokens {
		return false
	}
	if c.OwnDemand.peakWith(add, 0) <= c.Share*c.KVTokens {
		return true
	}
	return peak+c.otherHosts()*c.DemandSinceReport.peakWith(add, 0) <= c.KVTokens
}

// score returns the expected load of a candidate; lower is better. It also
// reports whether the request fits and the score is below limit.
func score(c *Candidate, req *Request, add *Demand, limit float64) (float64, bool) {
	load := float64(c.ReportedInFlight+c.SentSinceReport) / float64(max(c.Capacity, 1))
	bias := c.bias(req)
	if c.KVTokens <= 0 {
		s := load + kvUsageWeight*c.KVUsedShare + bias
		return s, s < limit
	}
	if load+bias >= limit {
		return 0, false
	}
	peak := c.Demand.peakWith(add, c.Headroom)
	if !c.kvFits(peak, add) {
		return 0, false
	}
	s := max(load, float64(peak/c.KVTokens)) + bias
	return s, s < limit
}

// bias returns the load difference due to region, share and cached prefixes.
func (c *Candidate) bias(req *Request) (s float64) {
	switch {
	case c.Region != req.Region && c.Share > 0:
		s = remoteSharePenalty
	case c.Region != req.Region:
		s = remotePenalty
	case c.Hosts > 1 && c.Share == 0:
		s = noSharePenalty
	}
	for _, h := range req.CachedPrefixes {
		if h.Index == c.Index {
			s -= prefixAffinityWeight * float64(h.Tokens) / float64(max(req.PromptTokens, 1))
		}
	}
	return s
}
