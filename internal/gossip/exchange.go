package gossip

import (
	"context"
	"errors"
	"expvar"
	"maps"
	"net"
	"net/netip"
	"reflect"
	"slices"
	"time"

	"monsoonkeel.example/monsoonkeel/core/balance"
	"monsoonkeel.example/monsoonkeel/core/outlier"
	"monsoonkeel.example/monsoonkeel/core/topology"
	"monsoonkeel.example/monsoonkeel/internal/directory"
)

// Run sends and receives states until ctx ends. It fails if it cannot listen on the peer address.
func (e *Exchange) Run(ctx context.Context) error {
	address, err := net.ResolveUDPAddr("udp", e.opts.Self.PeerAddress)
	if err != nil {
		return err
	}
	conn, err := net.ListenUDP("udp", address)
	if err != nil {
		return err
	}
	go func() {
		<-ctx.Done()
		_ = conn.Close()
	}()
	e.mu.Lock()
	e.conn = conn
	e.mu.Unlock()
	go e.sendLoop(ctx, conn)
	return e.receiveLoop(conn)
}

func (e *Exchange) receiveLoop(conn *net.UDPConn) error {
	buffer := make([]byte, maxMessageBytes+tagBytes)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			e.opts.Log.Warn().Err(err).Msg("receiving a gossip message failed")
			time.Sleep(sendInterval)
			continue
		}
		e.receiveDatagram(buffer[:n], from)
	}
}

// receiveDatagram applies the message in a datagram if it is from a host that has a key of this one.
func (e *Exchange) receiveDatagram(datagram []byte, from netip.AddrPort) {
	message, err := e.keys.Load().open(datagram, e.opts.Self.ID)
	if err == nil {
		e.receive(message, from)
		return
	}
	e.Metrics.Add("unauthenticated", 1)
	// Anyone can send such datagrams, in any number.
	if now := e.opts.Clock(); e.unauthenticatedAt == 0 || now-e.unauthenticatedAt >= unauthenticatedLogInterval {
		e.unauthenticatedAt = now
		e.opts.Log.Warn().Stringer("from", from).Int("bytes", len(datagram)).Err(err).Msg("gossip message dropped: not from a host with a key of this one")
	}
}

// unauthenticatedLogInterval is the least time between two log lines about messages without a valid tag.
const unauthenticatedLogInterval = 10 * time.Second

// SetKeys replaces the keys that authenticate messages; nil for none.
func (e *Exchange) SetKeys(k *Keys) { e.keys.Store(k) }

// receive applies a message if it is newer than the last one of its host.
func (e *Exchange) receive(message []byte, from netip.AddrPort) {
	m, err := unmarshal(message)
	if err == nil && m.Placement != nil && m.Host != e.opts.Self.ID {
		e.receivePlacement(m.Host, m.Placement, from)
		return
	}
	if err == nil && m.Repair != nil && m.Host != e.opts.Self.ID {
		e.receiveRepair(m.Host, m.Repair)
		return
	}
	var s *State
	if err == nil {
		s, err = decodeState(m)
	}
	if err != nil || s.Host == e.opts.Self.ID {
		e.opts.Log.Warn().AnErr("error", err).Int("bytes", len(message)).Msg("gossip message dropped: invalid, or from a host with the id of this host")
		return
	}
	now := e.opts.Clock()
	e.Metrics.Add("received", 1)
	e.Metrics.Add("received_bytes", int64(len(message)))
	e.mu.Lock()
	last := e.peers[s.Host]
	if last != nil && (s.Incarnation < last.Incarnation || s.Incarnation == last.Incarnation && s.Sequence <= last.Sequence) {
		e.mu.Unlock()
		return
	}
	s.ReceivedAt, s.ReceivedWall, s.From = now, time.Now(), from
	if sent := e.sentMessage(s.Echo); sent != nil {
		s.EchoSentAt, s.EchoLoads, s.EchoRollouts = sent.at, sent.loads, sent.rollouts
	}
	if s.pacesAt = now; len(s.Paces) == 0 && last != nil && now-last.pacesAt < paceTimeout {
		s.Paces, s.pacesAt = last.Paces, last.pacesAt
	}
	e.peers[s.Host] = s
	newPhases := last == nil || !samePhases(s.Rollouts, last.Rollouts)
	for _, d := range s.Digests {
		newPhases = e.addDigest(s, d) || newPhases
	}
	e.sums.due = e.sums.due || newPhases
	urgent := s.RelayedUpdate != nil || last == nil || len(s.Terminating) > 0 && !reflect.DeepEqual(s.Terminating, last.Terminating) || len(s.Crashes) > len(last.Crashes) || newPhases
	view, due := e.nextView(now, urgent)
	e.mu.Unlock()
	if due {
		e.opts.OnChange(view)
	}
}

// sentMessage returns what is kept of a message of this host, or nil if it is of an earlier incarnation, too old or was
// never sent.
func (e *Exchange) sentMessage(m MessageID) *sentMessage {
	if m.Incarnation != e.opts.Self.Incarnation || m.Sequence <= e.sequence-sentMessagesKept || m.Sequence > e.sequence || m.Sequence <= 0 {
		return nil
	}
	return &e.sent[m.Sequence%sentMessagesKept]
}

// beginMessage records the next message and returns its sequence number.
func (e *Exchange) beginMessage(now time.Duration, s *State) int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sequence++
	e.sent[e.sequence%sentMessagesKept] = sentMessage{at: now, loads: s.Loads, rollouts: s.Rollouts}
	return e.sequence
}

// updateRole applies the entries of the hosts and the digests received to the role of this host.
func (e *Exchange) updateRole(now time.Duration) {
	hosts := e.opts.Hosts()
	e.mu.Lock()
	defer e.mu.Unlock()
	if !sameMap(hosts, e.topology.Hosts()) {
		e.topology = topology.New(hosts)
	}
	group, known := e.topology.GroupOf(e.opts.Self.ID)
	if e.topology.IsMesh() || !known {
		e.candidate = topology.Candidate{}
		return
	}
	position, liveBefore := 0, 0
	for i, id := range e.topology.Members(group) {
		if id == e.opts.Self.ID {
			position = i
			break
		}
		if p := e.peers[id]; p != nil && p.Role != topology.Member && now-p.ReceivedAt <= topology.AggregatorTimeout {
			liveBefore++
		}
	}
	if e.candidate.Update(position, liveBefore, now) {
		e.Metrics.Add("role_changes", 1)
		role := new(expvar.String)
		role.Set(e.candidate.Role().String())
		e.Metrics.Set("role", role)
		e.opts.Log.Info().Stringer("role", e.candidate.Role()).Str("region", group.Region).Int("group", group.Index).
			Int("position", position).Int("live_before", liveBefore).Msg("role in the group changed")
	}
}

func sameMap[K comparable, V any](a, b map[K]V) bool {
	return len(a) == len(b) && reflect.ValueOf(a).Pointer() == reflect.ValueOf(b).Pointer()
}

// expirePeers drops the states of hosts that are no longer live.
func (e *Exchange) expirePeers(now time.Duration) {
	for host, s := range e.peers {
		if now-s.ReceivedAt > peerTimeout {
			delete(e.peers, host)
		}
	}
	for g, d := range e.digests {
		if now-d.madeAt > peerTimeout {
			delete(e.digests, g)
		}
	}
	for host, at := range e.repaired {
		if now-at > peerTimeout {
			delete(e.repaired, host)
		}
	}
}

// schedule is when the messages to each kind of receiver were last sent.
type schedule struct {
	toPrimary, toSecondary, toAll time.Duration
	immediate                     time.Duration
	// paces is when messages of each kind last had measurements of backend servers.
	paces [paceMessageKinds]time.Duration
	last  State
}

func (e *Exchange) sendLoop(ctx context.Context, conn *net.UDPConn) {
	ticker := time.NewTicker(sendInterval)
	defer ticker.Stop()
	interval := sendInterval
	var sent schedule
	for {
		immediate := false
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-e.immediate:
			immediate = true
			// One message for several changes: each goes to many hosts, and together they
			// would fill the link of this host.
			if left := sent.immediate + e.seriesInterval() - e.opts.Clock(); left > 0 {
				select {
				case <-ctx.Done():
					return
				case <-time.After(left):
				}
			}
			sent.immediate = e.opts.Clock()
		}
		if wanted := e.tick(conn, &sent, immediate); wanted != interval {
			interval = wanted
			ticker.Reset(interval)
		}
	}
}

// seriesInterval is the least time between two messages of a series that do not wait for the interval. In a group they
// carry only what has changed.
func (e *Exchange) seriesInterval() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.topology.IsMesh() {
		return sendInterval
	}
	return groupSeriesInterval
}

// tick sends the messages that are due and returns the time until the next tick.
func (e *Exchange) tick(conn *net.UDPConn, sent *schedule, immediate bool) time.Duration {
	now := e.opts.Clock()
	e.updateRole(now)
	e.mu.Lock()
	e.expirePeers(now)
	var view View
	due := false
	if e.viewDue {
		view, due = e.nextView(now, true)
	}
	mesh, role := e.topology.IsMesh(), e.candidate.Role()
	e.mu.Unlock()
	if due {
		e.opts.OnChange(view)
	}
	next := State{Host: e.opts.Self.ID, Region: e.opts.Region, Incarnation: e.opts.Self.Incarnation, Role: role}
	e.fillLocal(&next)
	for _, batch := range e.dueMessages(sent, &next, now, immediate) {
		state := next
		state.Sequence = e.beginMessage(now, &next)
		batch.fill(&state, sent, now)
		e.send(conn, &state, batch, now)
	}
	switch {
	case mesh:
		return sendInterval
	case role == topology.Member:
		return memberInterval
	default:
		return aggregatorInterval
	}
}

// fillLocal sets the fields of a state that describe this host, without what does not fit into a message.
func (e *Exchange) fillLocal(s *State) {
	e.opts.FillLocal(s)
	s.Rollouts, s.Paces = ofOneHost(s.Rollouts), limitPaces(s.Paces, maxStatePaces)
}

// unchanged reports whether two states are equal except for what always changes: ages, sequence numbers, the sizes of
// generations and the pace of backend servers.
func unchanged(a, b *State) bool {
	return a.Role == b.Role && a.StoreReader == b.StoreReader && a.RecentStoreFailure == b.RecentStoreFailure && a.Versions == b.Versions &&
		sameGenerations(a.Generations, b.Generations) && maps.Equal(requestsOf(a.Loads), requestsOf(b.Loads)) && reflect.DeepEqual(a.Terminating, b.Terminating) &&
		len(a.Crashes) == len(b.Crashes) && sameFailures(a.Failures, b.Failures) && len(a.Answers) == len(b.Answers) && sameLimits(a, b) && sameUpdate(a.RelayedUpdate, b.RelayedUpdate) &&
		sameRollouts(a.Rollouts, b.Rollouts)
}

// requestsOf returns loads without the tokens, which grow with each event.
func requestsOf(loads map[string]balance.Load) map[string][2]int {
	out := make(map[string][2]int, len(loads))
	for server, l := range loads {
		out[server] = [2]int{l.Requests, l.Prefill}
	}
	return out
}

func sameGenerations(a, b []Generation) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i].ID != b[i].ID || a[i].Server != b[i].Server || a[i].HasStandby != b[i].HasStandby {
			return false
		}
	}
	return true
}

func sameFailures(a, b []outlier.Report) bool {
	return slices.EqualFunc(a, b, func(a, b outlier.Report) bool { return a.Process == b.Process && a.Failures == b.Failures })
}

func sameLimits(a, b *State) bool {
	if len(a.Limits) != len(b.Limits) {
		return false
	}
	for i, l := range a.Limits {
		o := b.Limits[i]
		l.AgeMS, o.AgeMS = min(l.AgeMS, 0), min(o.AgeMS, 0)
		if l != o {
			return false
		}
	}
	return true
}

// sameUpdate compares two updates without their ages.
func sameUpdate(a, b *directory.RelayedUpdate) bool {
	if a == nil || b == nil {
		return a == b
	}
	return a.Version == b.Version && a.Backends.Revision == b.Backends.Revision && a.DomainsOut.Revision == b.DomainsOut.Revision &&
		a.Hosts.Revision == b.Hosts.Revision && len(a.Backends.Changes) == len(b.Backends.Changes) && len(a.DomainsOut.Changes) == len(b.DomainsOut.Changes) &&
		a.Rollouts.Revision == b.Rollouts.Revision && len(a.Rollouts.Changes) == len(b.Rollouts.Changes)
}
