package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"
)

// benchDocument returns a document with 4 services, 21 failure domains, 10
// classes and the given number of teams with one key each.
func benchDocument(teams int) *Document {
	doc := Empty()
	doc.Revision = 54_000
	for i := range 10 {
		name := fmt.Sprintf("class-%d", i)
		doc.Classes[name] = Class{Name: name, FirstTokenMS: 1900, TokenGapMS: 52, ResumeGraceMS: 10_000, Revision: 1}
	}
	for i := range 4 {
		name := fmt.Sprintf("service-%d", i)
		doc.Services[name] = Service{Name: name, Kind: ServiceKindEngine, Models: []string{fmt.Sprint("model-", i)}, ColdLimit: 4, WarmLimit: 64, Revision: 1}
	}
	for i := range 21 {
		name := fmt.Sprintf("domain-%d", i)
		doc.Domains[name] = Domain{Name: name, Region: fmt.Sprint("region-", i/3), State: DomainIn, Revision: 1}
	}
	for i := range teams {
		name := fmt.Sprintf("team-%05d", i)
		sum := sha256.Sum256([]byte(name))
		doc.Teams[name] = Team{Name: name, KeyHashes: []string{hex.EncodeToString(sum[:])}, DefaultClass: "class-1", MaxInFlight: 100, Revision: 1}
	}
	return doc
}

// benchChange returns a change that replaces one team.
func benchChange(tb testing.TB, doc *Document, i int) Change {
	team := doc.Teams["team-00000"]
	team.MaxInFlight, team.Revision = i, 0
	value, err := json.Marshal(team)
	if err != nil {
		tb.Fatal(err)
	}
	return Change{ID: fmt.Sprintf("0b9d5a1c-7c59-4d9e-8f6a-%012d", i), Author: "operator@example.com",
		At:  time.Date(2026, 12, 4, 0, 0, 0, i+1, time.UTC),
		Ops: []Op{{Kind: KindTeam, Name: team.Name, Action: ActionPut, Expected: doc.Teams["team-00000"].Revision, Value: value}}}
}

// benchTeams are the measured numbers of teams. Documents above
// MaxDocumentBytes are rejected, so the largest is below that limit.
var benchTeams = []int{500, 1000, 2000, 4000}

// BenchmarkApply measures the work of every host for every accepted change.
func BenchmarkApply(b *testing.B) {
	for _, teams := range benchTeams {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			doc := benchDocument(teams)
			change := benchChange(b, doc, 7)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := Apply(doc, change); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkEncodeDocument measures the encoding of a document and reports its
// size, also for sizes that Validate rejects.
func BenchmarkEncodeDocument(b *testing.B) {
	for _, teams := range append(benchTeams, 9800) {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			doc := benchDocument(teams)
			size := 0
			for b.Loop() {
				raw, err := Encode(doc)
				if err != nil {
					b.Fatal(err)
				}
				size = len(raw)
			}
			b.ReportMetric(float64(size), "bytes")
			b.ReportMetric(float64(len(Validate(doc))), "problems")
		})
	}
}

// BenchmarkDecodeHead measures the decoding of the head, which a watcher does
// for every accepted change, by length of the tail.
func BenchmarkDecodeHead(b *testing.B) {
	doc := benchDocument(1)
	for _, changes := range []int{8, 16, 32, 64} {
		b.Run(fmt.Sprintf("changes=%d", changes), func(b *testing.B) {
			head := &Head{Revision: 54_000, Checkpoint: 53_990}
			for i := range changes {
				head.Tail = append(head.Tail, benchChange(b, doc, i))
			}
			head.Checkpoint = head.Revision - Revision(changes)
			raw, err := Encode(head)
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				if _, err := DecodeHead(raw); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(raw)), "bytes")
		})
	}
}

// BenchmarkDocumentMemory measures the heap size of a decoded document.
func BenchmarkDocumentMemory(b *testing.B) {
	for _, teams := range benchTeams {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			raw, err := Encode(benchDocument(teams))
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				before := liveHeap()
				doc, err := DecodeDocument(raw)
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric((liveHeap()-before)/float64(teams), "bytes/team")
				runtime.KeepAlive(doc)
			}
		})
	}
}

func liveHeap() float64 {
	runtime.GC()
	runtime.GC() // The second collection empties the sync.Pool caches.
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
