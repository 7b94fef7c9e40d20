package config

// Revision is the number of an accepted change, from 1. It never decreases.
type Revision uint64

// Delivery is how responses of a class are sent to the caller.
type Delivery string

const (
	// DeliveryStream relays tokens as they arrive.
	DeliveryStream Delivery = "stream"
	// DeliveryBuffered sends the response when it is complete, so that the
	// request can be restarted if its engine fails.
	DeliveryBuffered Delivery = "whole"
)

// Class is a class of requests with its latency targets.
type Class struct {
	Name string `json:"name"`
	// FirstTokenMS is the target for the time to first token, in milliseconds,
	// to be met by 95% of the requests. For plain services it is the target for
	// the time to the first byte of the response.
	FirstTokenMS int `json:"first_token_ms"`
	// TokenGapMS is the target for the inter-token latency, in milliseconds, to
	// be met by 95% of the tokens. 0 means no target.
	TokenGapMS int `json:"token_gap_ms,omitempty"`
	// Priority orders classes when requests are queued; higher values are
	// dispatched first. The range is 0 to 9.
	Priority int `json:"priority,omitempty"`
	// Delivery is DeliveryStream if empty.
	Delivery Delivery `json:"delivery,omitempty"`
	// Order marks non-idempotent requests, which are executed at most once and
	// require an Idempotency-Key.
	Order bool `json:"order,omitempty"`
	// Idempotent marks plain-service requests that may be retried.
	Idempotent bool `json:"idempotent,omitempty"`
	// ResumeGraceMS is how long a generation continues after its caller
	// disconnected before it is cancelled, in milliseconds.
	ResumeGraceMS int `json:"resume_grace_ms,omitempty"`
	// Revision is the revision of the last change to this item; it is set by
	// Apply.
	Revision Revision `json:"revision"`
}

// Team is a group of callers, such as a paying customer, with its own API keys and limit.
type Team struct {
	Name string `json:"name"`
	// KeyHashes are the hex SHA-256 hashes of the team's bearer keys.
	KeyHashes []string `json:"key_hashes"`
	// DefaultClass is the class of requests for which neither a header nor a
	// rule selects one.
	DefaultClass string `json:"default_class,omitempty"`
	// MaxInFlight limits the team's requests in flight over all hosts; 0 means
	// that only the fair share applies.
	MaxInFlight int      `json:"max_in_flight,omitempty"`
	Revision    Revision `json:"revision"`
}

// ServiceKind is the protocol of a service's backend servers.
type ServiceKind string

const (
	// ServiceKindEngine is a model engine with the OpenAI-compatible API.
	ServiceKindEngine ServiceKind = "engine"
	// ServiceKindPlain is any HTTP service.
	ServiceKindPlain ServiceKind = "plain"
)

// Rule assigns a class to requests of a service. An empty Method or PathPrefix
// matches every request.
type Rule struct {
	Method     string `json:"method,omitempty"`
	PathPrefix string `json:"path_prefix,omitempty"`
	Class      string `json:"class"`
}

// Service is a named group of backend servers.
type Service struct {
	Name string      `json:"name"`
	Kind ServiceKind `json:"kind"`
	// Models are the model names that an engine service serves.
	Models []string `json:"models,omitempty"`
	// Rules are evaluated in order; the first match determines the class.
	Rules []Rule `json:"rules,omitempty"`
	// ColdLimit is the maximum number of requests in flight at a backend server
	// during its cold start, over all hosts.
	ColdLimit int `json:"cold_limit"`
	// WarmLimit is the same for a warm backend server.
	WarmLimit int      `json:"warm_limit"`
	Revision  Revision `json:"revision"`
}

// DomainState determines whether a failure domain receives new requests.
type DomainState string

const (
	// DomainIn means that the failure domain receives new requests.
	DomainIn DomainState = "in"
	// DomainOut means that the failure domain receives no new requests.
	DomainOut DomainState = "out"
)

// Domain is a failure domain: a group of hosts that may fail together.
type Domain struct {
	Name     string      `json:"name"`
	Region   string      `json:"region"`
	State    DomainState `json:"state"`
	Revision Revision    `json:"revision"`
}

// HostDrain marks an entry host or backend server that receives no new
// requests.
type HostDrain struct {
	Name     string   `json:"name"`
	Revision Revision `json:"revision"`
}

// Document is the complete configuration at one revision. It is immutable once
// published; Apply returns a modified copy.
type Document struct {
	Revision Revision             `json:"revision"`
	Classes  map[string]Class     `json:"classes"`
	Teams    map[string]Team      `json:"teams"`
	Services map[string]Service   `json:"services"`
	Domains  map[string]Domain    `json:"domains"`
	Drains   map[string]HostDrain `json:"drains"`
}

// Empty returns the document at revision 0, without items.
func Empty() *Document {
	return &Document{
		Classes:  map[string]Class{},
		Teams:    map[string]Team{},
		Services: map[string]Service{},
		Domains:  map[string]Domain{},
		Drains:   map[string]HostDrain{},
	}
}

// OutOfService reports whether operators exclude a host from new requests: it
// is drained or its failure domain is out. An unknown failure domain counts as
// in.
func (d *Document) OutOfService(host, domain string) bool {
	if _, drained := d.Drains[host]; drained {
		return true
	}
	dom, known := d.Domains[domain]
	return known && dom.State == DomainOut
}
