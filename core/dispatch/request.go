package dispatch

import (
	"time"

	"monsoonkeel.example/monsoonkeel/core/admit"
)

// Server is a backend server that may receive new requests.
type Server struct {
	ID, Incarnation, Region, Domain string
	// Limit is the maximum number of requests this host may have in flight
	// there.
	Limit int
	// Warm is set once the cold start of the backend server has ended. Only
	// warm backend servers are divided into shares.
	Warm bool
	// Capacity is the number of requests that it runs concurrently.
	Capacity int
}

// Request is a request to be dispatched.
type Request struct {
	// ID is unique among the requests of the dispatcher.
	ID          uint64
	Class, Team string
	Priority    int
	Arrival     time.Time
	// Target is the target for the time to first token; 0 means none.
	Target time.Duration
	// TokenGapMS is the target for the inter-token latency, in milliseconds; 0
	// means none.
	TokenGapMS int
	// Deadline is the caller's deadline; zero means none.
	Deadline time.Time
	// PromptTokens is the length of the prompt in tokens; 0 for plain services.
	PromptTokens int
	// Prefix identifies the first PrefixTokens tokens of the prompt, which a
	// backend server may have in its prefix cache; 0 means none.
	Prefix       uint64
	PrefixTokens int
	// Buffered is set when tokens are not observed while they are produced, as
	// in a response that is not streamed.
	Buffered bool
	// Attempted lists the backend servers at which an attempt of the request
	// failed.
	Attempted []string
}

// Outcome is the decision about a request.
type Outcome struct {
	ID     uint64
	Action admit.Action
	// Server is the id of the chosen backend server, for admit.Dispatch.
	Server string
	// RetryAfter is the delay to report to the caller, for admit.Reject.
	RetryAfter time.Duration
	// Shortages say why no backend server could take the request, for admit.Reject.
	Shortages Shortages
}

// Options configure a Dispatcher.
type Options struct {
	// Region is the region of this host.
	Region string
	// Engine is set when the service's backend servers are model engines.
	Engine bool
	Seed   uint64
}
