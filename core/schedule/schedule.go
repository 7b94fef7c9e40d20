package schedule

// Candidate is a backend server as the scheduler sees it at one moment.
type Candidate struct {
	// Index is the backend server's position in the caller's table.
	Index int
	// Domain and Region locate the backend server.
	Domain, Region string
	// Limit is the number of requests this host may have in flight at the
	// backend server; 0 means that it may get no new work.
	Limit int
	// Own is the number of this host's requests in flight there.
	Own int
	// ReportedWork is running plus waiting from the last load report.
	ReportedWork int
	// OwnSinceReport is the number of this host's requests sent since the
	// moment that the report describes.
	OwnSinceReport int
	// MemoryUsed is the used share of the engine's cache memory, 0 to 1.
	MemoryUsed float64
	// Capacity is the number of requests a warm backend server runs at once.
	Capacity int
}

// Request is what the scheduler knows about a request.
type Request struct {
	// Region is the region of the host that places the request.
	Region string
	// Tried lists the table indexes of backend servers that already failed
	// this request.
	Tried []int
}

// remotePenalty is the load difference that outweighs a regional link. Links
// between regions are slow and billed, so a local backend server is preferred
// until it is this much fuller than a remote one.
const remotePenalty = 0.5

// memoryWeight weighs cache memory against queue length: an engine short of
// memory preempts running work.
const memoryWeight = 0.5

// Pick returns the index into candidates of the best one, or -1 when none may
// get the request. Tie breaks rotate with seed, so that hosts with the same
// lagged reports do not all choose the same backend server.
func Pick(candidates []Candidate, req Request, seed uint64) int {
	best, bestScore := -1, 0.0
	n := len(candidates)
	if n == 0 {
		return -1
	}
	start := int(seed % uint64(n))
	for i := range n {
		at := (start + i) % n
		c := &candidates[at]
		if !admissible(c, req.Tried) {
			continue
		}
		if s := score(c, req.Region); best < 0 || s < bestScore {
			best, bestScore = at, s
		}
	}
	return best
}

func admissible(c *Candidate, tried []int) bool {
	if c.Own >= c.Limit {
		return false
	}
	for _, t := range tried {
		if t == c.Index {
			return false
		}
	}
	return true
}

// score is the expected load of a candidate; lower is better.
func score(c *Candidate, region string) float64 {
	capacity := max(c.Capacity, 1)
	s := float64(c.ReportedWork+c.OwnSinceReport) / float64(capacity)
	s += memoryWeight * c.MemoryUsed
	if c.Region != region {
		s += remotePenalty
	}
	return s
}
