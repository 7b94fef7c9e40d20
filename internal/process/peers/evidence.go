package peers

import (
	"time"

	"monsoonkeel.example/monsoonkeel/core/attribution"
	"monsoonkeel.example/monsoonkeel/internal/peerpb"
)

const (
	// maxCrashes and maxSoundParts limit the evidence in one heartbeat.
	maxCrashes    = 256
	maxSoundParts = 1024
)

// addEvidence adds this host's evidence on crashes of engines to its heartbeat.
func (p *Peers) addEvidence(hb *peerpb.Heartbeat) {
	if p.cfg.Evidence == nil {
		return
	}
	crashes, answers := p.cfg.Evidence.Evidence()
	for _, c := range crashes {
		m := &peerpb.EngineCrash{
			Process: c.ID, StartTime: c.StartTime, Address: c.Address, Domain: c.Domain, AgeMs: c.AgeMS,
			Engines: int32(c.Engines), Domains: int32(c.Domains),
		}
		for _, part := range c.Parts {
			m.Parts = append(m.Parts, uint64(part))
		}
		hb.Crashes = append(hb.Crashes, m)
	}
	for _, a := range answers {
		hb.Sound = append(hb.Sound, &peerpb.SoundPart{Part: uint64(a.Part), AgeMs: a.AgeMS})
	}
}

// mergeEvidence adds the evidence of a peer's heartbeat, whose ages are relative to at.
func (p *Peers) mergeEvidence(hb *peerpb.Heartbeat, at time.Time) {
	if p.cfg.Evidence == nil {
		return
	}
	crashes := make([]attribution.Report, 0, len(hb.Crashes))
	for _, m := range hb.Crashes {
		c := attribution.Report{
			Process: attribution.Process{ID: m.Process, StartTime: m.StartTime}, Address: m.Address, Domain: m.Domain, AgeMS: m.AgeMs,
			Engines: int(m.Engines), Domains: int(m.Domains),
		}
		for _, part := range m.Parts {
			c.Parts = append(c.Parts, attribution.Part(part))
		}
		crashes = append(crashes, c)
	}
	answers := make([]attribution.Answer, 0, len(hb.Sound))
	for _, m := range hb.Sound {
		answers = append(answers, attribution.Answer{Part: attribution.Part(m.Part), AgeMS: m.AgeMs})
	}
	p.cfg.Evidence.Merge(crashes, answers, at, "another host reported")
}
