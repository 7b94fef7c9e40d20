package config

// Revision numbers accepted changes from 1. It never decreases.
type Revision uint64

// Delivery says how the answers of a class reach the caller.
type Delivery string

const (
	// DeliveryStream relays tokens as they arrive.
	DeliveryStream Delivery = "stream"
	// DeliveryBuffered holds the answer back until it is complete, so that the
	// request can start anew if its engine dies.
	DeliveryBuffered Delivery = "whole"
)

// Class is a class of work with its target.
type Class struct {
	Name string `json:"name"`
	// FirstTokenMS is the target for the time to first token, in milliseconds,
	// met by 95 in 100 requests. For plain services it bounds the time to the
	// first byte of the answer.
	FirstTokenMS int `json:"first_token_ms"`
	// TokenGapMS is the target for the time between tokens, in milliseconds,
	// met by 95 in 100 tokens. 0 means no target.
	TokenGapMS int `json:"token_gap_ms,omitempty"`
	// Priority orders classes when engines are crowded; higher goes first, 0 to 9.
	Priority int `json:"priority,omitempty"`
	// Delivery is stream by default.
	Delivery Delivery `json:"delivery,omitempty"`
	// Order marks non-idempotent work that runs at most once and requires an
	// Idempotency-Key.
	Order bool `json:"order,omitempty"`
	// Idempotent marks plain-service work that may be repeated.
	Idempotent bool `json:"idempotent,omitempty"`
	// ResumeGraceMS is how long a generation whose caller disconnected is kept
	// before it is cancelled, in milliseconds.
	ResumeGraceMS int `json:"resume_grace_ms,omitempty"`
	// Revision is the revision of the last change to this item; set by the system.
	Revision Revision `json:"revision"`
}

// Team is a paying user of the system.
type Team struct {
	Name string `json:"name"`
	// KeyHashes are the hex SHA-256 hashes of the team's bearer keys.
	KeyHashes []string `json:"key_hashes"`
	// DefaultClass is used when neither a header nor a rule names the class.
	DefaultClass string `json:"default_class,omitempty"`
	// MaxInFlight bounds the team's requests in flight over all hosts; 0 means
	// only the fair share applies.
	MaxInFlight int      `json:"max_in_flight,omitempty"`
	Revision    Revision `json:"revision"`
}

// ServiceKind says which protocol a service's backend servers speak.
type ServiceKind string

const (
	// KindEngine is a model engine with the OpenAI-compatible API.
	KindEngine ServiceKind = "engine"
	// KindPlain is any HTTP service.
	KindPlain ServiceKind = "plain"
)

// Rule assigns a class to the requests of a service. Empty fields match all.
type Rule struct {
	Method     string `json:"method,omitempty"`
	PathPrefix string `json:"path_prefix,omitempty"`
	Class      string `json:"class"`
}

// Service is a named group of backend servers.
type Service struct {
	Name string      `json:"name"`
	Kind ServiceKind `json:"kind"`
	// Models are the model names an engine service answers to.
	Models []string `json:"models,omitempty"`
	// Rules are tried in order; the first match names the class.
	Rules []Rule `json:"rules,omitempty"`
	// ColdLimit is the number of requests in flight that a backend server in
	// cold start bears, over all hosts.
	ColdLimit int `json:"cold_limit"`
	// WarmLimit is the same for a warm backend server.
	WarmLimit int      `json:"warm_limit"`
	Revision  Revision `json:"revision"`
}

// DomainState says whether a failure domain gets new work.
type DomainState string

const (
	// DomainIn gets new work.
	DomainIn DomainState = "in"
	// DomainOut gets no new work.
	DomainOut DomainState = "out"
)

// Domain is a failure domain.
type Domain struct {
	Name     string      `json:"name"`
	Region   string      `json:"region"`
	State    DomainState `json:"state"`
	Revision Revision    `json:"revision"`
}

// HostDrain marks a host (entry or backend server) that gets no new work.
type HostDrain struct {
	Name     string   `json:"name"`
	Revision Revision `json:"revision"`
}

// Document is the whole configuration at one revision. It is immutable once
// published: Apply returns a new one.
type Document struct {
	Revision Revision             `json:"revision"`
	Classes  map[string]Class     `json:"classes"`
	Teams    map[string]Team      `json:"teams"`
	Services map[string]Service   `json:"services"`
	Domains  map[string]Domain    `json:"domains"`
	Drains   map[string]HostDrain `json:"drains"`
}

// Empty returns the document at revision 0.
func Empty() *Document {
	return &Document{
		Classes:  map[string]Class{},
		Teams:    map[string]Team{},
		Services: map[string]Service{},
		Domains:  map[string]Domain{},
		Drains:   map[string]HostDrain{},
	}
}

// OutOfService says whether operators keep new work away from a host: it is drained
// or its failure domain is out. An unknown failure domain is in.
func (d *Document) OutOfService(host, domain string) bool {
	if _, drained := d.Drains[host]; drained {
		return true
	}
	dom, known := d.Domains[domain]
	return known && dom.State == DomainOut
}
