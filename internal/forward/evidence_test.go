package forward

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"monsoonkeel.example/monsoonkeel/core/attribution"
	"monsoonkeel.example/monsoonkeel/internal/boottime"
	"monsoonkeel.example/monsoonkeel/internal/directory"
	"monsoonkeel.example/monsoonkeel/internal/gossip"
)

// testEvidenceStore is an EvidenceStore in memory.
type testEvidenceStore map[attribution.Part]Evidence

func (s testEvidenceStore) ListEvidence(context.Context) (list []Evidence, err error) {
	for _, e := range s {
		list = append(list, e)
	}
	return list, nil
}

func (s testEvidenceStore) SaveEvidence(_ context.Context, e Evidence) error {
	s[e.Part] = e
	return nil
}

func (s testEvidenceStore) DeleteEvidence(_ context.Context, part attribution.Part) error {
	delete(s, part)
	return nil
}

func newEvidenceGateway(host string, store EvidenceStore) *Gateway {
	return New(Options{
		HostID: host, EvidenceStore: store, Clock: boottime.Now, Log: zerolog.Nop(),
		Directory: directory.New(directory.Options{Clock: boottime.Now, Log: zerolog.Nop()}),
	})
}

// Guards against evidence in the store that lags behind the crashes, that grows without bound, that the next
// processes do not apply, and that stays after the part has turned out to be sound.
func TestEvidenceInStore(t *testing.T) {
	store := testEvidenceStore{}
	g := newEvidenceGateway("host-0", store)
	kept := map[attribution.Part]*keptEvidence{}
	part := attribution.PartOf("part")
	newest := func() string {
		crashes := store[part].Crashes
		return crashes[len(crashes)-1].ID
	}
	for n := range 30 {
		g.crashes.Merge([]attribution.Report{{
			Process: attribution.Process{ID: fmt.Sprint("engine-", n)}, Address: fmt.Sprint("10.0.0.", n), Domain: "d",
			AgeMS: int64(30_000 - 1000*n), Engines: 40, Domains: 1, Parts: []attribution.Part{part},
		}}, nil, time.Now(), "test")
		g.saveEvidence(t.Context(), kept)
		if n >= 2 {
			require.Equal(t, fmt.Sprint("engine-", n), newest())
		}
	}
	require.Len(t, store[part].Crashes, maxSavedCrashes)
	assert.Equal(t, "engine-0", store[part].Crashes[0].ID)

	next := newEvidenceGateway("host-1", store)
	nextKept := map[attribution.Part]*keptEvidence{}
	require.True(t, next.loadEvidence(t.Context(), nextKept))
	require.Len(t, next.crashes.Rejections(), 1)
	assert.InDelta(t, g.crashes.Rejections()[0].Until(), next.crashes.Rejections()[0].Until(), float64(time.Second))
	next.saveEvidence(t.Context(), nextKept)
	require.Len(t, store, 1)
	next.crashes.NewRequest("id", []string{"part"}, func() {}).RecordAnswer()
	next.saveEvidence(t.Context(), nextKept)
	assert.Empty(t, store)
	assert.Empty(t, nextKept)
}

// Guards against evidence on a sound part that stays in the store because the host that saved it is gone: the
// host that is elected by then deletes it, though it has neither saved nor read it.
func TestEvidenceOfLostHostIsDeleted(t *testing.T) {
	store := testEvidenceStore{}
	part := attribution.PartOf("part")
	var reports []attribution.Report
	for n := range 3 {
		reports = append(reports, attribution.Report{
			Process: attribution.Process{ID: fmt.Sprint("engine-", n)}, Address: fmt.Sprint("10.0.0.", n), Domain: "d",
			AgeMS: int64(3000 - 1000*n), Engines: 40, Domains: 1, Parts: []attribution.Part{part},
		})
	}
	g := newEvidenceGateway("host-0", store)
	g.crashes.Merge(reports, nil, time.Now(), "test")
	elected := ""
	for n := 1; elected == ""; n++ {
		g.view.Store(&gossip.View{InMesh: true, Peers: []gossip.Peer{{Host: fmt.Sprint("host-", n)}}})
		if !g.crashes.IsElected(g.crashes.Rejections()[0]) {
			elected = fmt.Sprint("host-", n)
		}
	}
	store[part] = Evidence{Part: part} // saved by the elected host
	kept := map[attribution.Part]*keptEvidence{}
	g.saveEvidence(t.Context(), kept)
	require.Empty(t, store[part].Crashes, "%s saves it", elected)
	g.view.Store(&gossip.View{InMesh: true})
	g.crashes.NewRequest("id", []string{"part"}, func() {}).RecordAnswer()
	g.saveEvidence(t.Context(), kept)
	assert.Empty(t, store)
}
