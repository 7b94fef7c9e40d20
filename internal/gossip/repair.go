package gossip

import (
	"errors"
	"net"
	"time"

	"google.golang.org/protobuf/proto"

	"monsoonkeel.example/monsoonkeel/internal/directory"
	pb "monsoonkeel.example/monsoonkeel/internal/gossippb"
)

// Each state names the versions of the store that its host has. A host that passes on what it knows of the store sends the
// others what they lack, in messages of their own: the changes while it knows them, and all objects otherwise.

// repairInterval is the least time between two repairs of a host.
const repairInterval = 500 * time.Millisecond

// differenceRepairInterval is the least time between two repairs of a host that has other objects at the same versions.
const differenceRepairInterval = 2 * time.Second

// encodedRepair is the repair of a host with some versions by one with others. Many hosts that start lack the same.
type encodedRepair struct {
	lacks, has directory.Versions
	messages   [][]byte
}

// sendRepair sends a host what it lacks of the store and an update for all hosts does not contain.
func (e *Exchange) sendRepair(conn *net.UDPConn, s *State, to receiver, now time.Duration) {
	for _, message := range e.repairs(s, to.host, now) {
		e.Metrics.Add("repairs_sent", 1)
		e.Metrics.Add("sent_bytes", int64(len(message)))
		if err := e.keys.Load().signer(message).send(conn, nil, to); err != nil && !errors.Is(err, net.ErrClosed) {
			e.opts.Log.Debug().Str("peer", to.host).Err(err).Msg("sending what a host lacks of the store failed")
		}
	}
}

// repairs returns the messages with what a host lacks, if a repair is due.
func (e *Exchange) repairs(s *State, host string, now time.Duration) [][]byte {
	u := s.RelayedUpdate
	if u == nil || e.opts.Missing == nil {
		return nil
	}
	e.mu.Lock()
	p, repaired := e.peers[host], e.repaired[host]
	isDue := func(interval time.Duration) bool { return repaired == 0 || now-repaired >= interval }
	if p == nil || !isDue(repairInterval) {
		e.mu.Unlock()
		return nil
	}
	v := p.Versions
	e.mu.Unlock()
	covered := func(known int64, k directory.RelayedKind) bool {
		return known > 0 && known >= k.After || k.Revision == 0
	}
	if v.Configuration >= u.Version && covered(v.Backends, u.Backends) && covered(v.DomainsOut, u.DomainsOut) && covered(v.Hosts, u.Hosts) && covered(v.Rollouts, u.Rollouts) {
		if !s.Versions.DiffersFrom(v) || !isDue(differenceRepairInterval) {
			return nil
		}
		e.Metrics.Add("difference_repairs", 1)
		e.opts.Log.Info().Str("peer", host).Int64("backends", directory.StoreRevision(v.Backends)).Int64("domains_out", directory.StoreRevision(v.DomainsOut)).Int64("hosts", directory.StoreRevision(v.Hosts)).Int64("rollouts", directory.StoreRevision(v.Rollouts)).
			Msg("a host has other objects of the store at the same versions, sending all")
	}
	e.mu.Lock()
	e.repaired[host] = now
	e.mu.Unlock()
	if e.encoded.lacks != v || e.encoded.has != s.Versions || e.encoded.messages == nil {
		missing := e.opts.Missing(v)
		if missing == nil {
			return nil
		}
		e.encoded = encodedRepair{lacks: v, has: s.Versions, messages: e.encodeRepair(missing)}
	}
	return e.encoded.messages
}

// encodeRepair returns the messages with what a host lacks.
func (e *Exchange) encodeRepair(missing *directory.RelayedUpdate) (messages [][]byte) {
	add := func(u *pb.Update) {
		message, err := proto.Marshal(&pb.Message{
			Protocol: protocolVersion, Host: e.opts.Self.ID, Region: e.opts.Region, Incarnation: e.opts.Self.Incarnation, Repair: u,
		})
		if err != nil || len(message) > maxMessageBytes {
			e.opts.Log.Error().AnErr("error", err).Int("bytes", len(message)).Msg("what a host lacks of the store was not sent")
			return
		}
		messages = append(messages, message)
	}
	if missing.Configuration != nil {
		if compressed := e.configuration.compress(missing.Version, missing.Configuration); compressed != nil {
			add(&pb.Update{Version: missing.Version, Configuration: compressed})
		}
	}
	for _, part := range e.splitKind(missing, func(u *directory.RelayedUpdate) directory.RelayedKind { return u.Backends }) {
		add(&pb.Update{Backends: part})
	}
	for _, part := range e.splitKind(missing, func(u *directory.RelayedUpdate) directory.RelayedKind { return u.DomainsOut }) {
		add(&pb.Update{DomainsOut: part})
	}
	for _, part := range e.splitKind(missing, func(u *directory.RelayedUpdate) directory.RelayedKind { return u.Hosts }) {
		add(&pb.Update{Hosts: part})
	}
	for _, part := range e.splitKind(missing, func(u *directory.RelayedUpdate) directory.RelayedKind { return u.Rollouts }) {
		add(&pb.Update{Rollouts: part})
	}
	return messages
}

// splitKind returns what a host lacks of a kind in parts that fit into messages: its changes, or all objects if the changes
// do not fit into one. It returns none if there are too many.
func (e *Exchange) splitKind(missing *directory.RelayedUpdate, of func(*directory.RelayedUpdate) directory.RelayedKind) []*pb.Kind {
	k := encodeKind(of(missing))
	if k != nil && !k.Full && proto.Size(k) > maxPartBytes {
		all := e.opts.Missing(directory.Versions{})
		if all == nil {
			return nil
		}
		k = encodeKind(of(all))
	}
	if k == nil {
		return nil
	}
	if !k.Full {
		return []*pb.Kind{k}
	}
	var parts []*pb.Kind
	part, bytes := &pb.Kind{}, 0
	for _, c := range k.Changes {
		size := proto.Size(c)
		if bytes+size > maxPartBytes && len(part.Changes) > 0 {
			parts = append(parts, part)
			part, bytes = &pb.Kind{}, 0
		}
		part.Changes = append(part.Changes, c)
		bytes += size
	}
	parts = append(parts, part)
	if len(parts) > maxParts {
		return nil
	}
	for i, p := range parts {
		p.Revision, p.Full, p.Part, p.Parts = k.Revision, true, int32(i), int32(len(parts))
	}
	return parts
}

// partialKind holds the parts of a kind that have been received from one host.
type partialKind struct {
	host     string
	revision int64
	parts    map[int32][]*pb.Change
	count    int32
}

// add adds a part and returns all objects once none is missing; otherwise nil.
func (p *partialKind) add(host string, k *pb.Kind) *pb.Kind {
	if k == nil || !k.Full || k.Parts <= 1 {
		return k
	}
	if k.Part < 0 || k.Part >= k.Parts || k.Parts > maxParts {
		return nil
	}
	if p.host != host || p.revision != k.Revision || p.count != k.Parts {
		*p = partialKind{host: host, revision: k.Revision, count: k.Parts, parts: map[int32][]*pb.Change{}}
	}
	p.parts[k.Part] = k.Changes
	if int32(len(p.parts)) < p.count {
		return nil
	}
	whole := &pb.Kind{Revision: k.Revision, Full: true}
	for i := range p.count {
		whole.Changes = append(whole.Changes, p.parts[i]...)
	}
	*p = partialKind{}
	return whole
}

// partialKinds are the parts received of each kind.
type partialKinds struct{ backends, domainsOut, hosts, rollouts partialKind }

// receiveRepair applies what this host lacked.
func (e *Exchange) receiveRepair(host string, m *pb.Update) {
	e.mu.Lock()
	m.Backends, m.DomainsOut, m.Hosts = e.partial.backends.add(host, m.Backends), e.partial.domainsOut.add(host, m.DomainsOut), e.partial.hosts.add(host, m.Hosts)
	m.Rollouts = e.partial.rollouts.add(host, m.Rollouts)
	e.mu.Unlock()
	update, err := decodeUpdate(m)
	if err != nil {
		e.opts.Log.Warn().Str("peer", host).Err(err).Msg("gossip message dropped: invalid")
		return
	}
	e.opts.OnRepair(update)
}
