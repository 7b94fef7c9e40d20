package gossip

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"
	"time"

	"google.golang.org/protobuf/proto"

	"monsoonkeel.example/monsoonkeel/core/attribution"
	"monsoonkeel.example/monsoonkeel/core/balance"
	"monsoonkeel.example/monsoonkeel/core/fleet"
	"monsoonkeel.example/monsoonkeel/core/outlier"
	"monsoonkeel.example/monsoonkeel/core/ratelimit"
	"monsoonkeel.example/monsoonkeel/core/serverstate"
	"monsoonkeel.example/monsoonkeel/core/topology"
	"monsoonkeel.example/monsoonkeel/internal/directory"
	pb "monsoonkeel.example/monsoonkeel/internal/gossippb"
)

const (
	// protocolVersion is that of the messages.
	protocolVersion = 1
	// maxMessageBytes is the size limit of a message, below that of a UDP datagram.
	maxMessageBytes = 60 << 10
	// maxPartBytes limits the objects of the store in one message.
	maxPartBytes = 24 << 10
	// maxParts limits the number of messages with all objects of a kind. More objects are read from the store.
	maxParts = 64
	// maxConfigurationBytes limits a configuration in a message, compressed. A larger one is read from the store.
	maxConfigurationBytes = 32 << 10
	// maxDecompressedBytes limits the configuration that a message expands to.
	maxDecompressedBytes = 4 << 20
)

var errInvalidMessage = errors.New("invalid message")

// encode returns the message of a state.
func encode(s *State) ([]byte, error) {
	m := &pb.Message{
		Protocol: protocolVersion, Host: s.Host, Region: s.Region, Incarnation: s.Incarnation, Sequence: s.Sequence,
		Loads: encodeLoads(s.Loads), Generations: encodeGenerations(s.Generations, false), Terminating: encodeProcesses(s.Terminating),
		Crashes: encodeCrashes(s.Crashes), Answers: encodeAnswers(s.Answers),
		Store: &pb.StoreState{ResponseAgeMs: s.StoreResponseAge.Milliseconds(), Reader: s.StoreReader, RecentFailure: s.RecentStoreFailure},
		Versions: &pb.Versions{
			Configuration: s.Versions.Configuration, Backends: s.Versions.Backends, DomainsOut: s.Versions.DomainsOut, Hosts: s.Versions.Hosts,
			BackendsDigest: s.Versions.BackendsDigest, DomainsOutDigest: s.Versions.DomainsOutDigest, HostsDigest: s.Versions.HostsDigest,
			Rollouts: s.Versions.Rollouts, RolloutsDigest: s.Versions.RolloutsDigest,
		},
		Update: encodeUpdate(s.RelayedUpdate), Role: uint32(s.Role), Readers: s.Readers,
		Rollouts: encodeRollouts(s.Rollouts), Paces: encodePaces(s.Paces),
	}
	for _, f := range s.Failures {
		m.Failures = append(m.Failures, &pb.Failure{Process: &pb.Process{Id: f.ID, StartTime: f.StartTime}, Failures: f.Failures, AgeMs: f.Age.Milliseconds()})
	}
	for aggregator, number := range s.Placed {
		m.Placed = append(m.Placed, &pb.Placed{Aggregator: aggregator, Number: number})
	}
	for _, l := range s.Limits {
		m.Limits = append(m.Limits, encodeLimit(HostLimit{Report: l}))
	}
	for _, d := range s.Digests {
		m.Digests = append(m.Digests, encodeDigest(d))
	}
	return proto.Marshal(m)
}

// encodeSuffix returns what is appended to the message of a state for one receiver. The parts of a message that occur
// twice are merged when it is decoded.
func encodeSuffix(echo MessageID, generations []Generation) ([]byte, error) {
	m := &pb.Message{TerminatingGenerations: encodeGenerations(generations, true)}
	if echo != (MessageID{}) {
		m.Echo = &pb.MessageID{Incarnation: echo.Incarnation, Sequence: echo.Sequence}
	}
	return proto.Marshal(m)
}

// unmarshal decodes a message and checks the fields that all messages have.
func unmarshal(message []byte) (*pb.Message, error) {
	var m pb.Message
	if err := proto.Unmarshal(message, &m); err != nil {
		return nil, fmt.Errorf("%w: %w", errInvalidMessage, err)
	}
	if m.Protocol != protocolVersion || m.Host == "" || m.Role > uint32(topology.Primary) {
		return nil, fmt.Errorf("%w: protocol %d, host %.40q, role %d", errInvalidMessage, m.Protocol, m.Host, m.Role)
	}
	return &m, nil
}

// decode decodes the message of a state. The configuration in it is decompressed.
func decode(message []byte) (*State, error) {
	m, err := unmarshal(message)
	if err != nil {
		return nil, err
	}
	return decodeState(m)
}

func decodeState(m *pb.Message) (*State, error) {
	s := &State{
		Host: m.Host, Region: m.Region, Incarnation: m.Incarnation, Sequence: m.Sequence,
		Loads: decodeLoads(m.Loads), Generations: decodeGenerations(m.Generations, m.Region), Terminating: decodeProcesses(m.Terminating),
		Crashes: decodeCrashes(m.Crashes), Answers: decodeAnswers(m.Answers),
		StoreResponseAge: millis(m.Store.GetResponseAgeMs()), StoreReader: m.Store.GetReader(), RecentStoreFailure: m.Store.GetRecentFailure(),
		Versions: directory.Versions{
			Configuration: m.Versions.GetConfiguration(), Backends: m.Versions.GetBackends(),
			DomainsOut: m.Versions.GetDomainsOut(), Hosts: m.Versions.GetHosts(),
			BackendsDigest: m.Versions.GetBackendsDigest(), DomainsOutDigest: m.Versions.GetDomainsOutDigest(), HostsDigest: m.Versions.GetHostsDigest(),
			Rollouts: m.Versions.GetRollouts(), RolloutsDigest: m.Versions.GetRolloutsDigest(),
		},
		Role: topology.Role(m.Role), Readers: m.Readers, TerminatingGenerations: decodeGenerations(m.TerminatingGenerations, m.Region),
		Echo:     MessageID{Incarnation: m.Echo.GetIncarnation(), Sequence: m.Echo.GetSequence()},
		Rollouts: ofOneHost(decodeRollouts(m.Rollouts)), Paces: decodePaces(m.Paces, maxStatePaces),
	}
	for _, f := range m.Failures {
		s.Failures = append(s.Failures, outlier.Report{
			Process: serverstate.Process{ID: f.Process.GetId(), StartTime: f.Process.GetStartTime()}, Failures: f.Failures, Age: millis(f.AgeMs),
		})
	}
	for _, p := range m.Placed {
		if s.Placed == nil {
			s.Placed = map[string]uint64{}
		}
		s.Placed[p.Aggregator] = p.Number
	}
	for _, l := range m.Limits {
		s.Limits = append(s.Limits, decodeLimit(l).Report)
	}
	for _, d := range m.Digests {
		s.Digests = append(s.Digests, decodeDigest(d))
	}
	var err error
	s.RelayedUpdate, err = decodeUpdate(m.Update)
	return s, err
}

// maxAge limits the ages in messages.
const maxAge = time.Hour

// millis converts an age of a message.
func millis(ms int64) time.Duration {
	return time.Duration(min(max(ms, 0), maxAge.Milliseconds())) * time.Millisecond
}

func encodeLoads(loads map[string]balance.Load) (list []*pb.Load) {
	for server, l := range loads {
		list = append(list, &pb.Load{Server: server, Requests: int64(l.Requests), Tokens: int64(l.Tokens), Prefill: int64(l.Prefill)})
	}
	return list
}

// maxLoad limits the parts of a load in a message, so that no sum of them overflows.
const maxLoad = 1 << 40

func decodeLoads(list []*pb.Load) map[string]balance.Load {
	loads := make(map[string]balance.Load, len(list))
	bounded := func(n int64) int { return int(min(max(n, 0), maxLoad)) }
	for _, l := range list {
		loads[l.Server] = balance.Load{Requests: bounded(l.Requests), Tokens: bounded(l.Tokens), Prefill: bounded(l.Prefill)}
	}
	return loads
}

func encodeGenerations(generations []Generation, withRegion bool) (list []*pb.Generation) {
	for _, g := range generations {
		encoded := &pb.Generation{Id: g.ID, Server: g.Server, Tokens: int64(g.Tokens), Priority: int64(g.MigrationPriority), HasStandby: g.HasStandby}
		if withRegion {
			encoded.Region = g.Region
		}
		list = append(list, encoded)
	}
	return list
}

// decodeGenerations decodes generations; those without a region are in the given one.
func decodeGenerations(list []*pb.Generation, region string) (generations []Generation) {
	for _, g := range list {
		decoded := Generation{ID: g.Id, Server: g.Server, Tokens: int(g.Tokens), MigrationPriority: int(g.Priority), HasStandby: g.HasStandby, Region: g.Region}
		if decoded.Region == "" {
			decoded.Region = region
		}
		generations = append(generations, decoded)
	}
	return generations
}

func encodeProcesses(processes []Process) (list []*pb.Process) {
	for _, p := range processes {
		list = append(list, &pb.Process{Id: p.ID, StartTime: p.StartTime})
	}
	return list
}

func decodeProcesses(list []*pb.Process) (processes []Process) {
	for _, p := range list {
		processes = append(processes, Process{ID: p.Id, StartTime: p.StartTime})
	}
	return processes
}

func encodeCrashes(reports []attribution.Report) (list []*pb.Crash) {
	for _, r := range reports {
		c := &pb.Crash{
			Process: &pb.Process{Id: r.ID, StartTime: r.StartTime}, Address: r.Address, Domain: r.Domain,
			AgeMs: r.AgeMS, Engines: int64(r.Engines), Domains: int64(r.Domains),
		}
		for _, p := range r.Parts {
			c.Parts = append(c.Parts, uint64(p))
		}
		list = append(list, c)
	}
	return list
}

func decodeCrashes(list []*pb.Crash) (reports []attribution.Report) {
	for _, c := range list {
		r := attribution.Report{
			Process: attribution.Process{ID: c.Process.GetId(), StartTime: c.Process.GetStartTime()}, Address: c.Address, Domain: c.Domain,
			AgeMS: c.AgeMs, Engines: int(c.Engines), Domains: int(c.Domains),
		}
		for _, p := range c.Parts {
			r.Parts = append(r.Parts, attribution.Part(p))
		}
		reports = append(reports, r)
	}
	return reports
}

func encodeAnswers(answers []attribution.Answer) (list []*pb.Answer) {
	for _, a := range answers {
		list = append(list, &pb.Answer{Part: uint64(a.Part), AgeMs: a.AgeMS})
	}
	return list
}

func decodeAnswers(list []*pb.Answer) (answers []attribution.Answer) {
	for _, a := range list {
		answers = append(answers, attribution.Answer{Part: attribution.Part(a.Part), AgeMS: a.AgeMs})
	}
	return answers
}

func encodeLimit(l HostLimit) *pb.Limit {
	return &pb.Limit{Process: &pb.Process{Id: l.ID, StartTime: l.StartTime}, Limit: l.Limit, AgeMs: l.AgeMS, Demand: l.Demand, Host: l.Host}
}

func decodeLimit(l *pb.Limit) HostLimit {
	return HostLimit{Host: l.Host, Report: ratelimit.Report{
		ID: l.Process.GetId(), StartTime: l.Process.GetStartTime(), Limit: l.Limit, AgeMS: l.AgeMs, Demand: l.Demand,
	}}
}

func encodeDigest(d Digest) *pb.Digest {
	out := &pb.Digest{
		Region: d.Group.Region, Index: int64(d.Group.Index), AgeMs: d.Age.Milliseconds(), Hosts: int64(d.Hosts),
		Loads: encodeLoads(d.Loads), Generations: encodeGenerations(d.Generations, true), Terminating: encodeProcesses(d.Terminating),
		Crashes: encodeCrashes(d.Crashes), Answers: encodeAnswers(d.Answers),
		StoreResponseAgeMs: d.StoreResponseAge.Milliseconds(), StoreReaders: int64(d.StoreReaders), Ejected: d.Ejected,
		Rollouts: encodeRollouts(d.Rollouts), Paces: encodePaces(d.Paces),
	}
	for _, l := range d.Limits {
		out.Limits = append(out.Limits, encodeLimit(l))
	}
	return out
}

func decodeDigest(m *pb.Digest) Digest {
	d := Digest{
		Group: topology.GroupID{Region: m.Region, Index: int(m.Index)}, Age: millis(m.AgeMs), Hosts: boundedHosts(m.Hosts),
		Loads: decodeLoads(m.Loads), Generations: decodeGenerations(m.Generations, m.Region), Terminating: decodeProcesses(m.Terminating),
		Crashes: decodeCrashes(m.Crashes), Answers: decodeAnswers(m.Answers),
		StoreResponseAge: millis(m.StoreResponseAgeMs), StoreReaders: int(m.StoreReaders), Ejected: m.Ejected,
		Rollouts: decodeRollouts(m.Rollouts), Paces: decodePaces(m.Paces, maxDigestPaces),
	}
	for _, l := range m.Limits {
		d.Limits = append(d.Limits, decodeLimit(l))
	}
	return d
}

func encodeUpdate(u *directory.RelayedUpdate) *pb.Update {
	if u == nil {
		return nil
	}
	return &pb.Update{
		Version: u.Version, ConfirmedAgoMs: u.ConfirmedAgo.Milliseconds(), RecoveredAgoMs: u.RecoveredAgo.Milliseconds(),
		Backends: encodeKind(u.Backends), DomainsOut: encodeKind(u.DomainsOut), Hosts: encodeKind(u.Hosts),
		Rollouts: encodeKind(u.Rollouts),
	}
}

func decodeUpdate(m *pb.Update) (*directory.RelayedUpdate, error) {
	if m == nil {
		return nil, nil
	}
	u := &directory.RelayedUpdate{
		Version: m.Version, ConfirmedAgo: millis(m.ConfirmedAgoMs), RecoveredAgo: millis(m.RecoveredAgoMs),
		Backends: decodeKind(m.Backends), DomainsOut: decodeKind(m.DomainsOut), Hosts: decodeKind(m.Hosts),
		Rollouts: decodeKind(m.Rollouts),
	}
	if len(m.Configuration) == 0 {
		return u, nil
	}
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(m.Configuration)), maxDecompressedBytes+1))
	if err == nil && len(raw) > maxDecompressedBytes {
		err = fmt.Errorf("more than %d bytes", maxDecompressedBytes)
	}
	if err != nil {
		return nil, fmt.Errorf("%w: configuration: %w", errInvalidMessage, err)
	}
	u.Configuration = raw
	return u, nil
}

func encodeKind(k directory.RelayedKind) *pb.Kind {
	if k.Revision == 0 {
		return nil
	}
	out := &pb.Kind{After: k.After, Revision: k.Revision, Full: k.Full}
	for _, c := range k.Changes {
		change := &pb.Change{Name: c.Name, Deleted: c.Deleted, Revision: c.Revision}
		if b := c.Backend; b != nil {
			change.Backend = &pb.Backend{
				StartTime: b.StartTime, Service: b.Service, Address: b.Address, Domain: b.Domain, Region: b.Region, Slots: int64(b.Slots),
				Leaving: b.Leaving, ColdRemainingMs: b.ColdLeft.Milliseconds(), Version: b.Version,
			}
		}
		if h := c.Host; h != nil {
			change.Host = &pb.Host{PeerAddress: h.PeerAddress, Domain: h.Domain, Region: h.Region, Incarnation: h.Incarnation, Capacity: int64(h.Capacity)}
		}
		if r := c.Rollout; r != nil {
			change.Rollout = &pb.RolloutRequest{
				Target: r.Target, RampMs: r.Ramp.Milliseconds(), Created: r.Created, State: string(r.State), StateTarget: r.StateTarget,
			}
		}
		out.Changes = append(out.Changes, change)
	}
	return out
}

// maxRamp limits the ramp of a roll-out in a message.
const maxRamp = 24 * time.Hour

// decodeKind decodes the changes of a kind.
func decodeKind(m *pb.Kind) directory.RelayedKind {
	k := directory.RelayedKind{After: m.GetAfter(), Revision: m.GetRevision(), Full: m.GetFull()}
	for _, c := range m.GetChanges() {
		change := directory.Change{Name: c.Name, Deleted: c.Deleted, Revision: c.Revision}
		if b := c.Backend; b != nil {
			change.Backend = &fleet.Backend{
				ID: c.Name, StartTime: b.StartTime, Service: b.Service, Address: b.Address, Domain: b.Domain, Region: b.Region, Slots: int(b.Slots),
				Leaving: b.Leaving, ColdLeft: millis(b.ColdRemainingMs), Version: b.Version,
			}
		}
		if h := c.Host; h != nil {
			change.Host = &fleet.Host{ID: c.Name, PeerAddress: h.PeerAddress, Domain: h.Domain, Region: h.Region, Incarnation: h.Incarnation, Capacity: int(h.Capacity)}
		}
		if r := c.Rollout; r != nil {
			change.Rollout = &fleet.Rollout{
				Service: c.Name, Target: r.Target, Ramp: time.Duration(min(max(r.RampMs, 0), maxRamp.Milliseconds())) * time.Millisecond, Created: r.Created,
				State: fleet.RolloutState(r.State), StateTarget: r.StateTarget, Revision: c.Revision,
			}
		}
		k.Changes = append(k.Changes, change)
	}
	return k
}

// compressedConfiguration is a configuration and its version.
type compressedConfiguration struct {
	version int64
	bytes   []byte
}

// compress returns a configuration compressed, or nil if it is too large for a message.
func (c *compressedConfiguration) compress(version int64, raw []byte) []byte {
	if c.version == version {
		return c.bytes
	}
	var buffer bytes.Buffer
	w, err := flate.NewWriter(&buffer, flate.DefaultCompression)
	if err == nil {
		_, err = w.Write(raw)
	}
	if err == nil {
		err = w.Close()
	}
	c.version, c.bytes = version, nil
	if err == nil && buffer.Len() <= maxConfigurationBytes {
		c.bytes = buffer.Bytes()
	}
	return c.bytes
}
