package forward

import (
	"math/rand/v2"

	"monsoonkeel.example/monsoonkeel/core/attribution"
	"monsoonkeel.example/monsoonkeel/core/balance"
	"monsoonkeel.example/monsoonkeel/core/verdict"
	"monsoonkeel.example/monsoonkeel/internal/crashes"
)

// begunEvents is the number of events after which the answer of a stream counts as begun. An engine
// may crash right after the first one.
const begunEvents = 2

// checkParts returns an error if the request has a prompt part that is rejected.
func (r *request) checkParts() error {
	if r.rejection = r.prompt.Check(); r.rejection == nil {
		return nil
	}
	return r.rejectionError(false)
}

// rejectionError returns the error of a request that is rejected for a prompt part; sent is set if a
// backend server may have run it.
func (r *request) rejectionError(sent bool) *verdict.Error {
	detail := "engines crashed on a part of the prompt: " + r.prompt.RejectedPart(r.rejection)
	if sent {
		return &verdict.Error{Verdict: verdict.MayHaveRun, Status: 502, Code: crashes.Code, Detail: detail}
	}
	r.retryAfter = r.prompt.RetryAfter(r.rejection)
	return notRun(503, crashes.Code, detail)
}

// recordBrokenAnswer records that a server ended a response; cause is how. An end that was announced,
// or that this host or the caller brought about, is no crash.
func (r *request) recordBrokenAnswer(server balance.Server, cause error) {
	if !r.prompt.HasPendingAnswer() || r.ctx.Err() != nil || isCallerError(cause) {
		return
	}
	snapshot := r.g.opts.Directory.Snapshot()
	entry := snapshot.Servers[server.ID]
	if entry == nil || entry.Terminating() {
		return
	}
	engines, domains := 0, map[string]bool{}
	for _, s := range snapshot.Servers {
		if s.Service == entry.Service && !s.Removed {
			engines++
			domains[s.Domain] = true
		}
	}
	r.prompt.RecordBrokenAnswer(attribution.Crash{
		Process: attribution.Process{ID: server.ID, StartTime: entry.StartTime}, Address: server.Address, Domain: server.Domain,
		Engines: engines, Domains: len(domains),
	}, cause)
}

// otherServers returns the addresses of the servers in use but the one at an address, those of other services first: engines of one
// service may crash together.
func (g *Gateway) otherServers(address string) []string {
	servers := g.opts.Directory.Snapshot().Servers
	service := ""
	for _, s := range servers {
		if s.Address == address && !s.Removed {
			service = s.Service
		}
	}
	var others, same []string
	for _, s := range servers {
		switch {
		case s.Address == address || s.Terminating():
		case s.Service == service:
			same = append(same, s.Address)
		default:
			others = append(others, s.Address)
		}
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	rand.Shuffle(len(same), func(i, j int) { same[i], same[j] = same[j], same[i] })
	const ofOtherServices = 2
	return append(others[:min(len(others), ofOtherServices)], same...)
}

// isProcessReplaced reports whether a newer process has the address of a process, which has ended then.
func (bs *balancers) isProcessReplaced(p attribution.Process, address string) bool {
	return bs.isReplaced(balance.Server{Address: address, StartTime: p.StartTime})
}
