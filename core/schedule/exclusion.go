package schedule

// Exclusion is the reason why a candidate may not receive a request now.
type Exclusion uint8

const (
	// NotExcluded means that the candidate may receive the request.
	NotExcluded Exclusion = iota
	// AtLimit means that this host has as many requests in flight there as it may have.
	AtLimit
	// AtPrefillLimit means that too many requests of this host wait for their first token there.
	AtPrefillLimit
	// InOtherRegion means that the request still waits for capacity in its own region.
	InOtherRegion
	// AtBatchLimit means that a larger batch would miss the token gap target.
	AtBatchLimit
	// Attempted means that an attempt of the request failed there.
	Attempted
	// WithoutKVCache means that the predicted KV cache demand does not fit.
	WithoutKVCache
	// WithoutLimit means that this host may have no request there: it has no recent load report of it, or no valid
	// lease while it is cold.
	WithoutLimit
	// Exclusions is the number of values.
	Exclusions
)

// String returns the reason as it appears in logs.
func (e Exclusion) String() string {
	return [...]string{"free", "at_limit", "prefilling", "other_region", "batch_limit", "attempted", "kv_cache", "no_limit"}[e]
}

// ExclusionOf returns why Pick passes over a candidate.
func ExclusionOf(c *Candidate, req *Request) Exclusion {
	if e := filter(c, req); e != NotExcluded {
		return e
	}
	if c.KVTokens > 0 {
		var add Demand
		add.Add(1, float32(req.PromptTokens), &req.Survival)
		if !c.kvFits(c.Demand.peakWith(&add, c.Headroom), &add) {
			return WithoutKVCache
		}
	}
	return NotExcluded
}
