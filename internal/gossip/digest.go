package gossip

import (
	"cmp"
	"slices"
	"time"

	"monsoonkeel.example/monsoonkeel/core/attribution"
	"monsoonkeel.example/monsoonkeel/core/balance"
	"monsoonkeel.example/monsoonkeel/core/pace"
	"monsoonkeel.example/monsoonkeel/core/ratelimit"
	"monsoonkeel.example/monsoonkeel/core/rollout"
	"monsoonkeel.example/monsoonkeel/core/topology"
)

const (
	// maxDigestLimits limits the reports on rate limits in a digest.
	maxDigestLimits = 256
	// maxDigestEvidence limits the crashes in a digest, and the answers.
	maxDigestEvidence = 128
	// digestPreference is how much older the digest of a primary aggregator may be than that of a secondary one,
	// which has older states.
	digestPreference = 600 * time.Millisecond
)

// addDigest keeps a digest if it is the newest one of its group. It reports whether that changes the phase of a roll-out.
func (e *Exchange) addDigest(s *State, d Digest) (newPhases bool) {
	made := s.ReceivedAt - d.Age
	isPrimary := s.Role == topology.Primary
	if last := e.digests[d.Group]; last != nil {
		newer := made
		if last.isPrimary && !isPrimary {
			newer -= digestPreference
		}
		if newer < last.madeAt {
			return false
		}
		newPhases = !samePhases(d.Rollouts, last.Rollouts)
	} else {
		newPhases = len(d.Rollouts) > 0
	}
	r := &receivedDigest{Digest: d, madeAt: made, madeWall: s.ReceivedWall.Add(-d.Age), isPrimary: isPrimary, pacesAt: s.ReceivedAt}
	if last := e.digests[d.Group]; len(d.Paces) == 0 && last != nil && s.ReceivedAt-last.pacesAt < paceTimeout {
		r.Paces, r.pacesAt = last.Paces, last.pacesAt
	}
	if own, ok := e.topology.GroupOf(e.opts.Self.ID); ok && own == d.Group {
		r.ownLoads, r.ownRollouts, r.includesSelf = s.EchoLoads, s.EchoRollouts, s.Echo != MessageID{}
	}
	e.digests[d.Group] = r
	return newPhases
}

// digestsForMembers returns a function that returns the digests in the messages to the members of a group.
func (e *Exchange) digestsForMembers(group topology.GroupID, withOthers bool) func(now time.Duration) []Digest {
	return func(now time.Duration) []Digest {
		own := e.digest(group, now)
		own.Generations = nil
		digests := []Digest{own}
		e.mu.Lock()
		defer e.mu.Unlock()
		digests[0].Paces = e.withPacesOfOthers(own.Paces, group)
		if !withOthers {
			return digests
		}
		for g, d := range e.digests {
			if g != group {
				other := d.Digest
				other.Age, other.Generations, other.Paces = now-d.madeAt, nil, nil
				digests = append(digests, other)
			}
		}
		return digests
	}
}

// terminatingGenerations returns the generations of all hosts at terminating engines, by engine.
func (e *Exchange) terminatingGenerations(group topology.GroupID, own []Generation) map[string][]Generation {
	byServer := map[string][]Generation{}
	add := func(g Generation) {
		if e.opts.IsTerminating(g.Server) {
			byServer[g.Server] = append(byServer[g.Server], g)
		}
	}
	for _, g := range own {
		g.Region = e.opts.Region
		add(g)
	}
	for id, p := range e.peers {
		if e.isOfGroup(id, p, group) {
			for _, g := range p.Generations {
				add(g)
			}
		}
	}
	for g, d := range e.digests {
		if g != group {
			for _, generation := range d.Generations {
				add(generation)
			}
		}
	}
	return byServer
}

// digest sums up the states of a group, which this host aggregates.
func (e *Exchange) digest(group topology.GroupID, now time.Duration) Digest {
	self := State{Host: e.opts.Self.ID, Region: e.opts.Region, ReceivedAt: now}
	e.fillLocal(&self)
	ejected := self.Ejected[:min(len(self.Ejected), maxDigestEvidence)]
	e.mu.Lock()
	defer e.mu.Unlock()
	d := Digest{Group: group, Ejected: ejected, Loads: map[string]balance.Load{}, StoreResponseAge: maxAge}
	d.add(&self, now, e.opts.IsTerminating)
	paces := paceSums{}
	paces.add(self.Paces)
	for id, p := range e.peers {
		if e.isOfGroup(id, p, group) {
			d.add(p, now, e.opts.IsTerminating)
			paces.add(p.Paces)
		}
	}
	d.Paces = paces.list()
	d.limit()
	return d
}

func (e *Exchange) isOfGroup(id string, p *State, group topology.GroupID) bool {
	if g, listed := e.topology.GroupOf(id); listed {
		return g == group
	}
	return p.Region == group.Region
}

func (d *Digest) add(s *State, now time.Duration, isTerminating func(string) bool) {
	d.Hosts++
	age := now - s.ReceivedAt
	for server, load := range s.Loads {
		d.Loads[server] = d.Loads[server].Plus(load)
	}
	for _, g := range s.Generations {
		if isTerminating(g.Server) {
			g.Region = s.Region
			d.Generations = append(d.Generations, g)
		}
	}
	for _, p := range s.Terminating {
		if !slices.Contains(d.Terminating, p) {
			d.Terminating = append(d.Terminating, p)
		}
	}
	d.addEvidence(s, age)
	d.Rollouts = mergeRollouts(d.Rollouts, s.Rollouts)
	for _, l := range s.Limits {
		if l.Demand == 0 && l.AgeMS < 0 {
			continue
		}
		if l.AgeMS >= 0 {
			l.AgeMS += age.Milliseconds()
		}
		d.Limits = append(d.Limits, HostLimit{Host: s.Host, Report: l})
	}
	d.StoreResponseAge = min(d.StoreResponseAge, s.StoreResponseAge+age)
	if s.StoreReader {
		d.StoreReaders++
	}
}

// addEvidence adds crashes and answers, each once.
func (d *Digest) addEvidence(s *State, age time.Duration) {
	for _, c := range s.Crashes {
		c.AgeMS += age.Milliseconds()
		i := slices.IndexFunc(d.Crashes, func(o attribution.Report) bool { return o.Process == c.Process })
		switch {
		case i < 0:
			d.Crashes = append(d.Crashes, c)
		case len(c.Parts) > len(d.Crashes[i].Parts):
			d.Crashes[i] = c
		}
	}
	for _, a := range s.Answers {
		a.AgeMS += age.Milliseconds()
		i := slices.IndexFunc(d.Answers, func(o attribution.Answer) bool { return o.Part == a.Part })
		switch {
		case i < 0:
			d.Answers = append(d.Answers, a)
		case a.AgeMS < d.Answers[i].AgeMS:
			d.Answers[i] = a
		}
	}
}

// limit drops what does not fit: the oldest evidence, the reports of hosts with little demand, and what limitRollouts and
// limitPaces drop.
func (d *Digest) limit() {
	slices.SortFunc(d.Crashes, func(a, b attribution.Report) int { return cmp.Compare(a.AgeMS, b.AgeMS) })
	slices.SortFunc(d.Answers, func(a, b attribution.Answer) int { return cmp.Compare(a.AgeMS, b.AgeMS) })
	slices.SortFunc(d.Limits, func(a, b HostLimit) int {
		return cmp.Or(cmp.Compare(b.Demand, a.Demand), cmp.Compare(a.Host, b.Host), cmp.Compare(a.ID, b.ID))
	})
	d.Crashes = d.Crashes[:min(len(d.Crashes), maxDigestEvidence)]
	d.Answers = d.Answers[:min(len(d.Answers), maxDigestEvidence)]
	d.Limits = d.Limits[:min(len(d.Limits), maxDigestLimits)]
	d.Rollouts, d.Paces = limitRollouts(d.Rollouts), limitPaces(d.Paces, maxDigestPaces)
}

// nextView returns the view of this host if one is due. An aggregator builds one every viewInterval at most, unless
// the change is urgent.
func (e *Exchange) nextView(now time.Duration, urgent bool) (View, bool) {
	if !urgent && e.candidate.Role() != topology.Member && now-e.viewedAt < viewInterval {
		e.viewDue = true
		return View{}, false
	}
	e.viewDue, e.viewedAt = false, now
	e.expirePeers(now)
	return e.view(now), true
}

func (e *Exchange) view(now time.Duration) View {
	v := View{
		Loads: map[string]balance.Load{}, InMesh: e.topology.IsMesh(), Role: e.candidate.Role(), StoreResponseAge: -1, At: now,
	}
	own, _ := e.topology.GroupOf(e.opts.Self.ID)
	counted := 0 // hosts of which the state is part of the view
	sums := e.sums.next(now)
	// The others get the measurements of all groups from the primary aggregator of their own.
	sumsPaces := v.InMesh || v.Role == topology.Primary
	for id, p := range e.peers {
		if p.RelayedUpdate != nil && !p.applied {
			v.Updates = append(v.Updates, Update{RelayedUpdate: p.RelayedUpdate, EchoSentAt: p.EchoSentAt})
		}
		v.addReaders(e, id, p, now)
		if !v.InMesh && (v.Role == topology.Member || !e.isOfGroup(id, p, own)) {
			v.addGenerations(p.TerminatingGenerations)
			v.Terminating = append(v.Terminating, p.Terminating...)
			p.applied = true
			continue
		}
		counted++
		host, _ := e.topology.Host(id)
		v.addState(p, e.opts.Self.ID, host.Domain, now)
		sums.add(p.Rollouts, nil)
		if sumsPaces {
			sums.add(nil, p.Paces)
		}
		p.applied = true
	}
	reported := counted
	for g, d := range e.digests {
		if v.InMesh || g == own && v.Role != topology.Member {
			continue
		}
		hosts := v.addDigest(d, now)
		reported += hosts
		v.LiveHosts += hosts
		if d.includesSelf {
			v.LiveHosts = max(0, v.LiveHosts-1)
		}
		sums.add(withoutOwn(d.Rollouts, d.ownRollouts), nil)
		if sumsPaces {
			sums.add(nil, d.Paces)
		}
	}
	if d := e.digests[own]; !sumsPaces && d != nil {
		sums.add(nil, d.Paces)
	}
	v.LiveHosts += counted
	v.Rollouts, v.Paces = e.sums.apply(sums, now)
	e.viewDue = e.viewDue || sums.postponed
	if !v.InMesh {
		v.UnreportedHosts = max(0, reported-len(v.Limits))
	}
	return v
}

// viewSums are the sums over the other hosts that are too much work for each message: they are built every viewInterval, and at
// once if a roll-out is in another phase.
type viewSums struct {
	rollouts []rollout.Report
	paces    []pace.Report
	at       time.Duration
	// due is set if they must be built for the next view.
	due bool
}

// sums add up the reports of hosts and groups.
type sums struct {
	rollouts []rollout.Report
	paces    paceSums
	// reuse is set if the last sums are new enough, and postponed if there was anything to add nevertheless.
	reuse, postponed bool
}

// next returns the sums to be filled for a view.
func (v *viewSums) next(now time.Duration) *sums {
	return &sums{paces: paceSums{}, reuse: !v.due && v.at > 0 && now-v.at < viewInterval}
}

// add adds the reports of a host or group. The measurements of this host itself may be among those of its group: counted twice
// they weigh more but say the same.
func (s *sums) add(rollouts []rollout.Report, paces []pace.Report) {
	if s.reuse {
		s.postponed = s.postponed || len(rollouts) > 0 || len(paces) > 0
		return
	}
	s.rollouts = mergeRollouts(s.rollouts, rollouts)
	s.paces.add(paces)
}

// apply keeps the sums, unless the last ones are reused, and returns those for the view.
func (v *viewSums) apply(s *sums, now time.Duration) ([]rollout.Report, []pace.Report) {
	if !s.reuse {
		*v = viewSums{rollouts: s.rollouts, paces: s.paces.list(), at: now}
	}
	return v.rollouts, v.paces
}

// addGenerations adds generations that are not part of the view yet: two aggregators name the same ones.
func (v *View) addGenerations(generations []Generation) {
	known := make(map[string]bool, len(v.Generations))
	for _, g := range v.Generations {
		known[g.ID] = true
	}
	for _, g := range generations {
		if !known[g.ID] {
			v.Generations = append(v.Generations, g)
		}
	}
}

// addReaders applies what the primary aggregator of this host's group says of the store readers.
func (v *View) addReaders(e *Exchange, id string, p *State, now time.Duration) {
	if v.InMesh || v.Role == topology.Primary || p.Role != topology.Primary || p.Region != e.opts.Region || !e.mayAggregate(id) || now-p.ReceivedAt > topology.AggregatorTimeout {
		return
	}
	v.ReadersNamed = true
	v.StoreReader = v.StoreReader || slices.Contains(p.Readers, e.opts.Self.ID)
}

// addState adds the state of another host.
func (v *View) addState(p *State, self, domain string, now time.Duration) {
	age := now - p.ReceivedAt
	for server, load := range p.Loads {
		v.Loads[server] = v.Loads[server].Plus(load)
	}
	v.Generations = append(v.Generations, p.Generations...)
	v.Terminating = append(v.Terminating, p.Terminating...)
	if !p.applied && (len(p.Crashes) > 0 || len(p.Answers) > 0) {
		v.Evidence = append(v.Evidence, Evidence{Crashes: p.Crashes, Answers: p.Answers, At: p.ReceivedAt})
	}
	v.Limits = append(v.Limits, ratelimit.HostReports{Host: p.Host, ReceivedAt: p.ReceivedWall, Reports: p.Limits})
	v.Peers = append(v.Peers, Peer{
		Host: p.Host, Region: p.Region, RecentStoreFailure: p.RecentStoreFailure, Versions: p.Versions,
		Generations: p.Generations, Placed: p.Placed[self], Failures: p.Failures, Domain: domain,
	})
	v.addStoreAge(p.StoreResponseAge + age)
	if p.StoreReader {
		v.StoreReaders++
	}
}

// addDigest adds the digest of a group, without this host's own part, and returns the number of hosts in it.
func (v *View) addDigest(d *receivedDigest, now time.Duration) int {
	age := now - d.madeAt
	for server, load := range d.Loads {
		own := d.ownLoads[server]
		v.Loads[server] = v.Loads[server].Plus(balance.Load{
			Requests: max(load.Requests-own.Requests, 0), Tokens: max(load.Tokens-own.Tokens, 0), Prefill: max(load.Prefill-own.Prefill, 0),
		})
	}
	v.Generations = append(v.Generations, d.Generations...)
	v.Terminating = append(v.Terminating, d.Terminating...)
	v.Ejected = append(v.Ejected, d.Ejected...)
	if !d.applied && (len(d.Crashes) > 0 || len(d.Answers) > 0) {
		v.Evidence = append(v.Evidence, Evidence{Crashes: d.Crashes, Answers: d.Answers, At: d.madeAt})
	}
	d.applied = true
	byHost := map[string][]ratelimit.Report{}
	for _, l := range d.Limits {
		byHost[l.Host] = append(byHost[l.Host], l.Report)
	}
	for host, reports := range byHost {
		v.Limits = append(v.Limits, ratelimit.HostReports{Host: host, ReceivedAt: d.madeWall, Reports: reports})
	}
	v.addStoreAge(d.StoreResponseAge + age)
	v.StoreReaders += d.StoreReaders
	return d.Hosts
}

func (v *View) addStoreAge(age time.Duration) {
	if v.StoreResponseAge < 0 || age < v.StoreResponseAge {
		v.StoreResponseAge = age
	}
}
