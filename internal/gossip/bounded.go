package gossip

import (
	"errors"
	"slices"

	"github.com/rs/zerolog"

	"monsoonkeel.example/monsoonkeel/core/rollout"
	"monsoonkeel.example/monsoonkeel/internal/directory"
)

// maxSuffixReserve is the part of a message that is left for the echo, in bytes.
const maxSuffixReserve = 64

var errTooLarge = errors.New("the message is larger than a datagram")

// reductions are what a message is sent without, one after the other, while it is larger than a datagram. What matters
// most is that it is sent at all: a host that hears no aggregator calls the store and chooses engines by itself.
var reductions = []struct {
	without string
	reduce  func(*State)
}{
	{"the pace of most backend servers", func(s *State) { reducePaces(s, fewPaces) }},
	{"the pace of backend servers", func(s *State) { reducePaces(s, 0) }},
	{"crashes of engines", func(s *State) {
		s.Crashes = nil
		for i := range s.Digests {
			s.Digests[i].Crashes = nil
		}
	}},
	{"changes of the store", dropChanges},
	{"loads of other groups", func(s *State) {
		for i := range s.Digests[min(1, len(s.Digests)):] {
			s.Digests[i+1].Loads = nil
		}
	}},
	{"loads", func(s *State) {
		for i := range s.Digests {
			s.Digests[i].Loads = nil
		}
	}},
	{"responses by version", func(s *State) {
		s.Rollouts = withoutCounts(s.Rollouts)
		for i := range s.Digests {
			s.Digests[i].Rollouts = withoutCounts(s.Digests[i].Rollouts)
		}
	}},
}

// reducePaces keeps the pace of the backend servers with most samples.
func reducePaces(s *State, limit int) {
	s.Paces = limitPaces(s.Paces, limit)
	for i := range s.Digests {
		s.Digests[i].Paces = limitPaces(s.Digests[i].Paces, limit)
	}
}

// withoutCounts keeps the phases of roll-outs, by which hosts stop to use a version.
func withoutCounts(reports []rollout.Report) []rollout.Report {
	reports = slices.Clone(reports)
	for i := range reports {
		reports[i].Counts, reports[i].Servers = nil, nil
	}
	return reports
}

// dropChanges drops the changes of the store but not their revisions: hosts that lack them get them as a repair.
func dropChanges(s *State) {
	if s.RelayedUpdate == nil {
		return
	}
	u := *s.RelayedUpdate
	for _, kind := range []*directory.RelayedKind{&u.Backends, &u.DomainsOut, &u.Hosts, &u.Rollouts} {
		*kind = directory.RelayedKind{After: kind.Revision, Revision: kind.Revision}
	}
	s.RelayedUpdate = &u
}

// encodeBounded returns the message of a state, reduced if it is larger than a datagram otherwise, and the state that is
// sent.
func encodeBounded(s *State, log zerolog.Logger) ([]byte, *State, error) {
	message, err := encode(s)
	if err != nil || len(message) <= maxMessageBytes-maxSuffixReserve {
		return message, s, err
	}
	reduced := *s
	reduced.Digests = slices.Clone(s.Digests)
	for _, r := range reductions {
		log.Warn().Int("bytes", len(message)).Str("without", r.without).Msg("gossip message sent without a part: larger than a datagram")
		r.reduce(&reduced)
		if message, err = encode(&reduced); err != nil || len(message) <= maxMessageBytes-maxSuffixReserve {
			return message, &reduced, err
		}
	}
	return nil, nil, errTooLarge
}
