package schedule

import "math"

// Candidate is a backend server as the scheduler sees it at one moment.
type Candidate struct {
	// Index is the backend server's position in the caller's table.
	Index int
	// Domain and Region locate the backend server.
	Domain, Region string
	// Limit is the number of requests this host may have in flight at the
	// backend server; 0 means that it may get no new work.
	Limit int
	// OwnInFlight is the number of this host's requests in flight there.
	OwnInFlight int
	// ReportedInFlight is running plus waiting from the last load report.
	ReportedInFlight int
	// SentSinceReport is the number of this host's requests sent since the
	// moment that the report describes.
	SentSinceReport int
	// KVUsedShare is the used share of the engine's cache memory, 0 to 1. It is
	// used only when MemoryTokens is 0.
	KVUsedShare float64
	// Capacity is the number of requests a warm backend server runs at once.
	Capacity int

	// KVTokens is the size of the cache memory in tokens; 0 means that
	// demand is not predicted for this backend server.
	KVTokens float32
	// Demand is the predicted cache memory of the requests there.
	Demand Demand
	// Headroom is the memory kept free for the uncertain tail of the demand, in
	// standard deviations.
	Headroom float32
	// OwnDemand is the part of Demand that belongs to own requests, and
	// DemandSinceReport the part of that sent since the report.
	OwnDemand, DemandSinceReport Demand
	// Share is this host's entitlement to the backend server's room, and Hosts
	// the number of hosts that use it. Beyond its share a host places only what
	// would fit if every other host did the same on the same report. 0 hosts
	// means that this host is alone.
	Share float32
	Hosts int
	// MaxBatch bounds the requests in flight there, over all hosts, so that
	// the token gap target is kept; 0 means no bound.
	MaxBatch int
	// Prefilling is the number of own requests there without a first token,
	// and MaxPrefill bounds it; 0 means no bound.
	Prefilling, MaxPrefill int
}

// CachedPrefix is a backend server whose prefix cache holds a part of the prompt.
type CachedPrefix struct {
	Index  int
	Tokens int
}

// Request is what the scheduler knows about a request.
type Request struct {
	// Region is the region of the host that places the request.
	Region string
	// Attempted lists the table indexes of backend servers that already failed
	// this request.
	Attempted []int
	// LocalOnly forbids other regions, except for the host's shares there,
	// while the target can still be met by waiting.
	LocalOnly bool
	// PromptTokens is the length of the prompt in tokens.
	PromptTokens int
	// Survival predicts the output length.
	Survival Survival
	// CachedPrefixes lists the backend servers that hold a prefix of the prompt.
	CachedPrefixes []CachedPrefix
}

const (
	// remotePenalty is the load difference that outweighs a regional link.
	// Links between regions are slow and billed, so a local backend server is
	// preferred until it is this much fuller than a remote one.
	remotePenalty = 0.5

	// remoteSharePenalty is the same for a remote backend server in which the
	// host has a share: its region has more hosts than its backend servers need.
	remoteSharePenalty = 0.1

	// foreignPenalty is the load difference up to which a host stays on the
	// backend servers in which it has a share, since it knows their load best.
	foreignPenalty = 0.2

	// memoryWeight weighs cache memory against queue length: an engine short
	// of memory preempts running work.
	memoryWeight = 0.5

	// affinityWeight is the load difference that a wholly cached prompt
	// outweighs. It is bounded so that a popular prefix does not crowd the
	// backend server that holds it.
	affinityWeight = 0.1
)

// Pick returns the index into candidates of the best one, or -1 when none may
// get the request now. Tie breaks rotate with seed, so that hosts with the
// same lagged reports do not all choose the same backend server.
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
		if admissible(c, &req) {
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

func admissible(c *Candidate, req *Request) bool {
	switch {
	case c.OwnInFlight >= c.Limit,
		c.MaxPrefill > 0 && c.Prefilling >= c.MaxPrefill,
		req.LocalOnly && c.Region != req.Region && c.Share == 0,
		c.MaxBatch > 0 && !c.batchFits():
		return false
	}
	for _, t := range req.Attempted {
		if t == c.Index {
			return false
		}
	}
	return true
}

// others is the number of hosts that may place work on the same report.
func (c *Candidate) others() float32 { return float32(max(c.Hosts-1, 0)) }

// batchFits reports whether one more request stays within MaxBatch.
func (c *Candidate) batchFits() bool {
	work := c.ReportedInFlight + c.SentSinceReport
	if work >= c.MaxBatch {
		return false
	}
	if float32(c.OwnInFlight+1) <= c.Share*float32(c.MaxBatch) {
		return true
	}
	return float32(work+1)+c.others()*float32(c.SentSinceReport+1) <= float32(c.MaxBatch)
}

// memoryFits reports whether the predicted peak memory fits with the request
// added. A request always fits on an idle backend server, or it would never run.
func (c *Candidate) memoryFits(peak float32, add *Demand) bool {
	if c.ReportedInFlight+c.SentSinceReport == 0 {
		return true
	}
	if peak > c.KVTokens {
		return false
	}
	if c.OwnDemand.peakWith(add, 0) <= c.Share*c.KVTokens {
		return true
	}
	return peak+c.others()*c.DemandSinceReport.peakWith(add, 0) <= c.KVTokens
}

// score is the expected load of a candidate; lower is better. It reports
// whether the request fits and the score is below limit.
func score(c *Candidate, req *Request, add *Demand, limit float64) (float64, bool) {
	work := float64(c.ReportedInFlight+c.SentSinceReport) / float64(max(c.Capacity, 1))
	bias := c.bias(req)
	if c.KVTokens <= 0 {
		s := work + memoryWeight*c.KVUsedShare + bias
		return s, s < limit
	}
	if work+bias >= limit {
		return 0, false
	}
	peak := c.Demand.peakWith(add, c.Headroom)
	if !c.memoryFits(peak, add) {
		return 0, false
	}
	s := max(work, float64(peak/c.KVTokens)) + bias
	return s, s < limit
}

// bias is the load difference that the region, the share and cached prefixes
// are worth.
func (c *Candidate) bias(req *Request) (s float64) {
	switch {
	case c.Region != req.Region && c.Share > 0:
		s = remoteSharePenalty
	case c.Region != req.Region:
		s = remotePenalty
	case c.Hosts > 1 && c.Share == 0:
		s = foreignPenalty
	}
	for _, h := range req.CachedPrefixes {
		if h.Index == c.Index {
			s -= affinityWeight * float64(h.Tokens) / float64(max(req.PromptTokens, 1))
		}
	}
	return s
}
