package config

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"maps"
	"regexp"
	"slices"
	"strings"
)

// Size limits. The object API stores values of up to 1 MB, so the document and
// the list of accepted change ids must fit into one checkpoint.
const (
	MaxDocumentBytes = 768 << 10
	MaxChangeBytes   = 256 << 10
	MaxOps           = 1000
	MaxAuthorBytes   = 128
	MaxKeyHashes     = 32
	MaxModels        = 256
	MaxRules         = 256
	MaxPathBytes     = 1024
	// MaxTargetMS limits targets and grace times, in milliseconds (one day).
	MaxTargetMS = 24 * 60 * 60 * 1000
	// MaxSlots limits cold_limit, warm_limit and max_in_flight.
	MaxSlots = 1_000_000
)

var (
	namePattern       = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)
	identifierPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$`)
	modelPattern      = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:/-]{0,127}$`)
	methodPattern     = regexp.MustCompile(`^[A-Z]{1,32}$`)
)

// validator collects the problems of a document.
type validator struct {
	doc      *Document
	problems []string
}

// Validate returns every problem of the document; an empty result means that it
// is valid.
func Validate(doc *Document) []string {
	v := &validator{doc: doc}
	validateEach(v, KindClass, doc.Classes, namePattern, v.class)
	validateEach(v, KindTeam, doc.Teams, namePattern, v.team)
	validateEach(v, KindService, doc.Services, namePattern, v.service)
	validateEach(v, KindDomain, doc.Domains, namePattern, v.domain)
	validateEach(v, KindDrain, doc.Drains, identifierPattern, v.drain)
	v.uniqueKeyHashes()
	v.uniqueModels()
	if raw, err := json.Marshal(doc); err != nil {
		v.problems = append(v.problems, "document cannot be encoded: "+err.Error())
	} else if len(raw) > MaxDocumentBytes {
		v.problems = append(v.problems, fmt.Sprintf("document has %d bytes, limit %d", len(raw), MaxDocumentBytes))
	}
	return v.problems
}

// reportFunc adds a problem of one item.
type reportFunc func(format string, args ...any)

func validateEach[T any](v *validator, kind Kind, items map[string]T, pattern *regexp.Regexp, check func(string, T, reportFunc)) {
	for _, name := range slices.Sorted(maps.Keys(items)) {
		fail := func(format string, args ...any) {
			v.problems = append(v.problems, fmt.Sprintf("%s %q: ", kind, name)+fmt.Sprintf(format, args...))
		}
		if !pattern.MatchString(name) {
			fail("name must match %s", pattern)
		}
		check(name, items[name], fail)
	}
}

func (v *validator) checkIdentity(key, name string, revision Revision, fail reportFunc) {
	if key != name {
		fail("stored under a different name than %q", name)
	}
	if revision == 0 || revision > v.doc.Revision {
		fail("revision %d is not between 1 and %d", revision, v.doc.Revision)
	}
}

func inRange(fail reportFunc, field string, value, low, high int) {
	if value < low || value > high {
		fail("%s is %d, must be %d to %d", field, value, low, high)
	}
}

func (v *validator) class(key string, c Class, fail reportFunc) {
	v.checkIdentity(key, c.Name, c.Revision, fail)
	inRange(fail, "first_token_ms", c.FirstTokenMS, 1, MaxTargetMS)
	inRange(fail, "token_gap_ms", c.TokenGapMS, 0, MaxTargetMS)
	inRange(fail, "resume_grace_ms", c.ResumeGraceMS, 0, MaxTargetMS)
	inRange(fail, "priority", c.Priority, 0, 9)
	if c.Delivery != "" && c.Delivery != DeliveryStream && c.Delivery != DeliveryBuffered {
		fail("delivery is %q, must be %q or %q", c.Delivery, DeliveryStream, DeliveryBuffered)
	}
	if c.Order && c.Idempotent {
		fail("a class cannot be both order and idempotent")
	}
}

func (v *validator) team(key string, t Team, fail reportFunc) {
	v.checkIdentity(key, t.Name, t.Revision, fail)
	inRange(fail, "max_in_flight", t.MaxInFlight, 0, MaxSlots)
	inRange(fail, "number of key_hashes", len(t.KeyHashes), 0, MaxKeyHashes)
	for _, hash := range t.KeyHashes {
		raw, err := hex.DecodeString(hash)
		if err != nil || len(raw) != 32 || strings.ToLower(hash) != hash {
			fail("key hash %.80q is not a lower-case hex SHA-256", hash)
		}
	}
	if t.DefaultClass != "" {
		v.reference(t.DefaultClass, fail)
	}
}

func (v *validator) reference(class string, fail reportFunc) {
	if _, ok := v.doc.Classes[class]; !ok {
		fail("class %q does not exist", class)
	}
}

func (v *validator) service(key string, s Service, fail reportFunc) {
	v.checkIdentity(key, s.Name, s.Revision, fail)
	switch s.Kind {
	case ServiceKindEngine:
		inRange(fail, "number of models", len(s.Models), 1, MaxModels)
	case ServiceKindPlain:
		inRange(fail, "number of models of a plain service", len(s.Models), 0, 0)
	default:
		fail("kind is %q, must be %q or %q", s.Kind, ServiceKindEngine, ServiceKindPlain)
	}
	for _, model := range s.Models {
		if !modelPattern.MatchString(model) {
			fail("model %.140q must match %s", model, modelPattern)
		}
	}
	inRange(fail, "cold_limit", s.ColdLimit, 1, MaxSlots)
	inRange(fail, "warm_limit", s.WarmLimit, 1, MaxSlots)
	if s.ColdLimit > s.WarmLimit {
		fail("cold_limit %d exceeds warm_limit %d", s.ColdLimit, s.WarmLimit)
	}
	inRange(fail, "number of rules", len(s.Rules), 0, MaxRules)
	for _, rule := range s.Rules {
		v.rule(rule, fail)
	}
}

func (v *validator) rule(r Rule, fail reportFunc) {
	if r.Method != "" && !methodPattern.MatchString(r.Method) {
		fail("rule method %.40q must match %s", r.Method, methodPattern)
	}
	if r.PathPrefix != "" && !strings.HasPrefix(r.PathPrefix, "/") || len(r.PathPrefix) > MaxPathBytes {
		fail("rule path_prefix %.80q must start with / and have at most %d bytes", r.PathPrefix, MaxPathBytes)
	}
	v.reference(r.Class, fail)
}

func (v *validator) domain(key string, d Domain, fail reportFunc) {
	v.checkIdentity(key, d.Name, d.Revision, fail)
	if !namePattern.MatchString(d.Region) {
		fail("region %.80q must match %s", d.Region, namePattern)
	}
	if d.State != DomainIn && d.State != DomainOut {
		fail("state is %q, must be %q or %q", d.State, DomainIn, DomainOut)
	}
}

func (v *validator) drain(key string, h HostDrain, fail reportFunc) {
	v.checkIdentity(key, h.Name, h.Revision, fail)
}

func (v *validator) uniqueKeyHashes() {
	owner := map[string]string{}
	for _, name := range slices.Sorted(maps.Keys(v.doc.Teams)) {
		v.unique(owner, KindTeam, name, "key hash", v.doc.Teams[name].KeyHashes)
	}
}

func (v *validator) uniqueModels() {
	owner := map[string]string{}
	for _, name := range slices.Sorted(maps.Keys(v.doc.Services)) {
		v.unique(owner, KindService, name, "model", v.doc.Services[name].Models)
	}
}

func (v *validator) unique(owner map[string]string, kind Kind, name, what string, values []string) {
	for _, value := range values {
		if other, ok := owner[value]; ok {
			v.problems = append(v.problems, fmt.Sprintf("%s %q: %s %.140q is also in %s %q", kind, name, what, value, kind, other))
			continue
		}
		owner[value] = name
	}
}
