package gossip

import (
	"errors"
	"net"
	"net/netip"
	"slices"
	"time"

	"monsoonkeel.example/monsoonkeel/core/topology"
)

const (
	// memberInterval is the time between two messages of a member to the primary aggregator while its work changes.
	memberInterval = 200 * time.Millisecond
	// memberRefreshInterval is the time between two of them otherwise.
	memberRefreshInterval = 600 * time.Millisecond
	// aggregatorInterval is the time between two digests of the primary aggregator.
	aggregatorInterval = 250 * time.Millisecond
	// secondaryInterval is the time between two messages to or from the secondary aggregator.
	secondaryInterval = 600 * time.Millisecond
	// groupSeriesInterval is the least time between two messages about changes in a group.
	groupSeriesInterval = 50 * time.Millisecond
	// groupInterval is the time between two messages to the aggregators of other groups.
	groupInterval = 500 * time.Millisecond
	// otherDigestsInterval is the time between two digests of other groups in the messages to members.
	otherDigestsInterval = time.Second
	// firstContacts is the number of hosts, by the order of the group, to which a member sends its state while it
	// hears no aggregator.
	firstContacts = 4
)

// messages are messages of the same content to several receivers.
type messages struct {
	receivers []receiver
	// digests returns the digests in the messages; nil for none.
	digests func(now time.Duration) []Digest
	// generations are those at terminating engines, by engine. Each receiver gets those at its engines.
	generations map[string][]Generation
	paceKind    paceMessageKind
}

// receiver is a host that gets a message.
type receiver struct {
	host    string
	address netip.AddrPort
}

// dueMessages returns the messages to be sent now.
func (e *Exchange) dueMessages(sent *schedule, next *State, now time.Duration, immediate bool) []messages {
	e.mu.Lock()
	defer e.mu.Unlock()
	changed := !unchanged(next, &sent.last)
	dueAt := func(last *time.Duration, interval time.Duration) bool {
		// Ticks come a little early or late.
		if now-*last < interval-sendInterval/4 {
			return false
		}
		*last = now
		return true
	}
	var due []messages
	add := func(hosts []string, m messages) {
		if m.receivers = e.receivers(hosts); len(m.receivers) > 0 {
			due = append(due, m)
		}
	}
	group, known := e.topology.GroupOf(e.opts.Self.ID)
	switch role := e.candidate.Role(); {
	case e.topology.IsMesh():
		if changed || dueAt(&sent.toAll, refreshInterval) {
			sent.toAll = now
			add(e.otherHosts(), messages{})
		}
	case !known || role == topology.Member:
		primary, secondary := e.aggregators(now)
		if len(primary) == 0 && dueAt(&sent.toSecondary, secondaryInterval) {
			add(e.firstContacts(group), messages{})
		}
		if immediate || changed && now-sent.toPrimary >= memberInterval/2 || dueAt(&sent.toPrimary, memberRefreshInterval) {
			sent.toPrimary = now
			add(primary, messages{})
		}
		if immediate || dueAt(&sent.toSecondary, secondaryInterval) {
			add(secondary, messages{})
		}
	default:
		next.Readers = e.namedReaders(now, next)
		interval := aggregatorInterval
		if role == topology.Secondary {
			interval = secondaryInterval
		}
		if due := dueAt(&sent.toPrimary, interval); due || immediate {
			m := messages{generations: e.terminatingGenerations(group, next.Generations), paceKind: pacesToMembers}
			if due {
				if role == topology.Secondary {
					m.paceKind = noPaces
				}
				m.digests = e.digestsForMembers(group, dueAt(&sent.toSecondary, otherDigestsInterval))
			}
			add(e.groupHosts(group), m)
		}
		if immediate || dueAt(&sent.toAll, groupInterval) {
			add(e.otherAggregators(group, now), messages{paceKind: pacesToAggregators, digests: func(now time.Duration) []Digest { return []Digest{e.digest(group, now)} }})
		}
	}
	if changed && len(due) > 0 {
		sent.last = *next
	}
	return due
}

// receivers returns the addresses of hosts. A host that is not in the store's list yet is sent messages where it sends
// them from.
func (e *Exchange) receivers(hosts []string) []receiver {
	list := make([]receiver, 0, len(hosts))
	for _, id := range hosts {
		if id == e.opts.Self.ID {
			continue
		}
		if h, ok := e.topology.Host(id); ok {
			if address, err := netip.ParseAddrPort(h.PeerAddress); err == nil {
				list = append(list, receiver{id, address})
			}
		} else if p := e.peers[id]; p != nil && p.From.IsValid() {
			list = append(list, receiver{id, p.From})
		}
	}
	return list
}

// otherHosts returns all hosts of the deployment.
func (e *Exchange) otherHosts() []string {
	var hosts []string
	for id := range e.topology.Hosts() {
		hosts = append(hosts, id)
	}
	return hosts
}

// aggregators returns the live aggregators of this host's group.
func (e *Exchange) aggregators(now time.Duration) (primary, secondary []string) {
	for id, p := range e.peers {
		if p.Region != e.opts.Region || now-p.ReceivedAt > topology.AggregatorTimeout || !e.mayAggregate(id) {
			continue
		}
		switch p.Role {
		case topology.Primary:
			primary = append(primary, id)
		case topology.Secondary:
			secondary = append(secondary, id)
		}
	}
	return primary, secondary
}

// mayAggregate reports whether a host is of this host's group, as far as that is known.
func (e *Exchange) mayAggregate(host string) bool {
	own, known := e.topology.GroupOf(e.opts.Self.ID)
	group, ok := e.topology.GroupOf(host)
	return !known || !ok || own == group
}

// firstContacts returns the hosts that are the first to become aggregators.
func (e *Exchange) firstContacts(group topology.GroupID) []string {
	if group.Region == "" { // this host is not in the store's list yet
		for _, g := range e.topology.Groups() {
			if g.Region == e.opts.Region {
				group = g
			}
		}
	}
	members := e.topology.Members(group)
	return members[:min(len(members), firstContacts)]
}

// groupHosts returns the hosts of a group, and those of the region that have sent a state but are not in the store's list
// yet.
func (e *Exchange) groupHosts(group topology.GroupID) []string {
	hosts := slices.Clone(e.topology.Members(group))
	for id, p := range e.peers {
		if _, listed := e.topology.Host(id); !listed && p.Region == group.Region {
			hosts = append(hosts, id)
		}
	}
	return hosts
}

// otherAggregators returns the live aggregators of the other groups, or else the hosts that are the first to become
// aggregators.
func (e *Exchange) otherAggregators(own topology.GroupID, now time.Duration) []string {
	heard := map[topology.GroupID][]string{}
	for id, p := range e.peers {
		if g, ok := e.topology.GroupOf(id); ok && g != own && p.Role != topology.Member && now-p.ReceivedAt <= 2*groupInterval {
			heard[g] = append(heard[g], id)
		}
	}
	var hosts []string
	for _, g := range e.topology.Groups() {
		if g == own {
			continue
		}
		if list := heard[g]; len(list) > 0 {
			hosts = append(hosts, list...)
			continue
		}
		members := e.topology.Members(g)
		hosts = append(hosts, members[:min(len(members), topology.Aggregators)]...)
	}
	return hosts
}

// namedReaders returns the hosts of the group that are to read the store: the first one, in the order of the group, whose
// calls have not failed recently; if there is none, this host and another one in turn. Only the primary aggregator
// names any.
func (e *Exchange) namedReaders(now time.Duration, self *State) []string {
	group, known := e.topology.GroupOf(e.opts.Self.ID)
	if !known || e.candidate.Role() != topology.Primary {
		return nil
	}
	if !self.RecentStoreFailure {
		return []string{e.opts.Self.ID}
	}
	var live []string
	for _, id := range e.topology.Members(group) {
		p := e.peers[id]
		if p == nil || now-p.ReceivedAt > readerTimeout {
			continue
		}
		if !p.RecentStoreFailure {
			return []string{id}
		}
		live = append(live, id)
	}
	readers := []string{e.opts.Self.ID}
	if len(live) > 0 {
		readers = append(readers, live[int(now/readerTimeout)%len(live)])
	}
	return readers
}

// readerTimeout is how long after its last message a host may still be named as a store reader.
const readerTimeout = 1500 * time.Millisecond

// send sends a state to receivers, to each with its own echo, and then what it lacks of the store.
func (e *Exchange) send(conn *net.UDPConn, s *State, m messages, now time.Duration) {
	message, sent, err := encodeBounded(s, e.opts.Log)
	if err != nil {
		e.opts.Log.Error().Err(err).Msg("gossip message not sent")
		return
	}
	signer := e.keys.Load().signer(message)
	for _, r := range m.receivers {
		suffix, err := e.suffix(s, r.host, m.generations)
		if err == nil && len(message)+len(suffix) > maxMessageBytes {
			e.opts.Log.Warn().Str("peer", r.host).Int("bytes", len(suffix)).Msg("gossip message sent without generations at terminating engines: larger than a datagram")
			suffix, err = encodeSuffix(e.echo(r.host), nil)
		}
		if err == nil {
			err = signer.send(conn, suffix, r)
			e.Metrics.Add("sent", 1)
			e.Metrics.Add("sent_bytes", int64(len(message)+len(suffix)))
		}
		if err != nil && !errors.Is(err, net.ErrClosed) {
			e.opts.Log.Debug().Str("peer", r.host).Err(err).Msg("sending a gossip message failed")
		}
		e.sendRepair(conn, sent, r, now)
	}
}

// echo names the newest message of a host.
func (e *Exchange) echo(host string) MessageID {
	e.mu.Lock()
	defer e.mu.Unlock()
	if p := e.peers[host]; p != nil {
		return MessageID{Incarnation: p.Incarnation, Sequence: p.Sequence}
	}
	return MessageID{}
}

// suffix returns the part of a message for one receiver.
func (e *Exchange) suffix(s *State, host string, generations map[string][]Generation) ([]byte, error) {
	if s.Role == topology.Member && s.RelayedUpdate == nil {
		return nil, nil
	}
	return encodeSuffix(e.echo(host), e.generationsFor(host, generations))
}

// generationsFor returns the generations at the engines where a host has generations.
func (e *Exchange) generationsFor(host string, byServer map[string][]Generation) (list []Generation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.peers[host]
	if p == nil || len(byServer) == 0 {
		return nil
	}
	servers := map[string]bool{}
	for _, g := range p.Generations {
		if !servers[g.Server] {
			servers[g.Server] = true
			list = append(list, byServer[g.Server]...)
		}
	}
	return list
}
