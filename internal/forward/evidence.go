package forward

import (
	"context"
	"slices"
	"time"

	"monsoonkeel.example/monsoonkeel/core/attribution"
	"monsoonkeel.example/monsoonkeel/internal/wait"
)

// Evidence is what a rejection of prompt parts is based on, as it is kept in the store for the case
// that all hosts restart.
type Evidence struct {
	// Part is the first of the rejected parts; it names the object.
	Part      attribution.Part
	WrittenAt time.Time
	// Crashes have only the rejected parts. Their ages are relative to WrittenAt.
	Crashes []attribution.Report
}

// EvidenceStore keeps Evidence in the platform's store.
type EvidenceStore interface {
	ListEvidence(ctx context.Context) ([]Evidence, error)
	SaveEvidence(ctx context.Context, e Evidence) error
	DeleteEvidence(ctx context.Context, part attribution.Part) error
}

const (
	// evidenceInterval is the time between two checks whether evidence must be saved, and the
	// least time between two attempts to read it.
	evidenceInterval = time.Second
	// evidenceTimeout limits one store call.
	evidenceTimeout = 2 * time.Second
	// maxSavedCrashes limits the crashes that are saved of a rejection.
	maxSavedCrashes = 16
)

// KeepEvidence reads the evidence of earlier processes from the store and saves that of new
// rejections until ctx ends.
func (g *Gateway) KeepEvidence(ctx context.Context) {
	if g.opts.EvidenceStore == nil {
		return
	}
	kept := map[attribution.Part]*keptEvidence{}
	// The other hosts get the evidence from a store reader.
	for !g.opts.Directory.IsStoreReader() || !g.loadEvidence(ctx, kept) {
		if g.hasEvidence() {
			break
		}
		if !wait.For(ctx, evidenceInterval) {
			return
		}
	}
	for wait.For(ctx, evidenceInterval) {
		g.saveEvidence(ctx, kept)
	}
}

// hasEvidence reports whether this host rejects prompt parts, and so has to save and delete evidence.
func (g *Gateway) hasEvidence() bool { return len(g.crashes.Rejections()) > 0 }

// keptEvidence is what a host knows of the store's evidence on one part.
type keptEvidence struct {
	// rejection is the newest one; nil if the evidence was read and explains none.
	rejection *attribution.Rejection
	// saved is the last crash that this host saved or read.
	saved attribution.Process
}

// loadEvidence reads the evidence in the store and reports whether it succeeded.
func (g *Gateway) loadEvidence(ctx context.Context, kept map[attribution.Part]*keptEvidence) bool {
	ctx, cancel := context.WithTimeout(ctx, evidenceTimeout)
	defer cancel()
	list, err := g.opts.EvidenceStore.ListEvidence(ctx)
	if err != nil {
		g.opts.Log.Info().Err(err).Msg("reading the evidence on prompt parts from the store failed, trying again")
		return false
	}
	var reports []attribution.Report
	for _, e := range list {
		kept[e.Part] = &keptEvidence{}
		// Wall clocks differ and step; a negative age would keep the evidence longer.
		age := max(time.Since(e.WrittenAt), 0)
		for _, c := range e.Crashes {
			kept[e.Part].saved = c.Process
			c.AgeMS += age.Milliseconds()
			reports = append(reports, c)
		}
	}
	g.crashes.Merge(reports, nil, time.Now(), "evidence was read from the store")
	return true
}

// saveEvidence saves the rejections for which this host is elected and deletes those that ended.
func (g *Gateway) saveEvidence(ctx context.Context, kept map[attribution.Part]*keptEvidence) {
	current := map[attribution.Part]bool{}
	for _, r := range g.crashes.Rejections() {
		part := r.Parts[0]
		current[part] = true
		if kept[part] == nil {
			kept[part] = &keptEvidence{}
		}
		k, last := kept[part], r.Crashes[len(r.Crashes)-1].Process
		k.rejection = r
		if k.saved != last && g.crashes.IsElected(r) && g.callEvidenceStore(ctx, "save", part, func(ctx context.Context) error {
			return g.opts.EvidenceStore.SaveEvidence(ctx, g.evidenceOf(r))
		}) {
			k.saved = last
		}
	}
	for part, k := range kept {
		if current[part] {
			continue
		}
		// The host that saved it may be gone, so the elected one deletes it too.
		maybeStored := k.saved != attribution.Process{} || k.rejection != nil && g.crashes.IsElected(k.rejection)
		if !maybeStored || g.callEvidenceStore(ctx, "delete", part, func(ctx context.Context) error {
			return g.opts.EvidenceStore.DeleteEvidence(ctx, part)
		}) {
			delete(kept, part)
		}
	}
}

// callEvidenceStore makes one call and reports whether it succeeded.
func (g *Gateway) callEvidenceStore(ctx context.Context, operation string, part attribution.Part, call func(context.Context) error) bool {
	ctx, cancel := context.WithTimeout(ctx, evidenceTimeout)
	defer cancel()
	err := call(ctx)
	g.opts.Log.Info().Str("operation", operation).Str("part_hash", part.String()).AnErr("error", err).Msg("evidence on a prompt part in the store changed")
	return err == nil
}

// evidenceOf returns the evidence of a rejection: its first crash, which the length of its hold
// depends on, and the newest ones.
func (g *Gateway) evidenceOf(r *attribution.Rejection) Evidence {
	e := Evidence{Part: r.Parts[0], WrittenAt: time.Now()}
	crashes := r.Crashes
	if len(crashes) > maxSavedCrashes {
		crashes = slices.Concat(crashes[:1], crashes[len(crashes)-maxSavedCrashes+1:])
	}
	for _, c := range crashes {
		e.Crashes = append(e.Crashes, attribution.Report{
			Process: c.Process, Address: c.Address, Domain: c.Domain, AgeMS: g.crashes.Age(c.At).Milliseconds(), Engines: c.Engines, Domains: c.Domains, Parts: r.Parts,
		})
	}
	return e
}
