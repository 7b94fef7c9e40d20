package schedule

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against choosing a backend server that is full, is cold without a free
// slot or already failed the request, and against using a link between regions
// without need.
func TestPick(t *testing.T) {
	local := Candidate{Index: 0, Region: "a", Limit: 4, Capacity: 10}
	remote := Candidate{Index: 1, Region: "b", Limit: 4, Capacity: 10}
	full := Candidate{Index: 2, Region: "a", Limit: 1, OwnInFlight: 1, Capacity: 10}
	busy := Candidate{Index: 3, Region: "a", Limit: 4, ReportedInFlight: 9, Capacity: 10}

	cases := []struct {
		name       string
		candidates []Candidate
		attempted  []int
		want       int
	}{
		{"empty", nil, nil, -1},
		{"local first", []Candidate{remote, local}, nil, 1},
		{"remote when local is overloaded", []Candidate{remote, busy}, nil, 0},
		{"full is skipped", []Candidate{full, remote}, nil, 1},
		{"attempted is skipped", []Candidate{local, remote}, []int{0}, 1},
		{"none left", []Candidate{full}, nil, -1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(4) {
				require.Equal(t, c.want, Pick(c.candidates, Request{Region: "a", Attempted: c.attempted}, seed))
			}
		})
	}
}

// geometric is a memoryless distribution of output lengths.
type geometric float64

func (g geometric) Survival(_, ahead int) float64 { return math.Pow(float64(g), float64(ahead)) }

const meanOutput200 = geometric(0.995)

func engine(index int, tokens float32) Candidate {
	return Candidate{Index: index, Region: "a", Limit: 1000, Capacity: 100, KVTokens: tokens, Headroom: 1}
}

// Guards against choosing a server where the request fits now but not after the
// running generations have grown, and against headroom without effect.
func TestPickUsesPredictedPeak(t *testing.T) {
	s := SurvivalOf(geometric(0.9995), 0)
	young, old := engine(0, 10000), engine(1, 10000)
	young.ReportedInFlight, old.ReportedInFlight = 8, 8
	young.Demand.Add(8, 200, &s)
	old.Demand.Add(8, 400, &Survival{1})
	req := Request{Region: "a", PromptTokens: 200, Survival: s}
	for seed := range uint64(4) {
		require.Equal(t, 1, Pick([]Candidate{young, old}, req, seed))
	}
	peak := young.Demand.Peak(0)
	require.Greater(t, peak, float32(8*200))
	require.Greater(t, young.Demand.Peak(2), young.Demand.Peak(1))
	young.KVTokens = peak
	require.Equal(t, -1, Pick([]Candidate{young}, req, 0), "predicted peak exceeds the KV cache")
	young.ReportedInFlight = 0
	require.Equal(t, 0, Pick([]Candidate{young}, req, 0), "an idle engine must accept any request")
}

// Guards against all hosts using the same free capacity of a lagged report:
// beyond its share, a host leaves capacity for the others.
func TestPickLeavesCapacityForOtherHosts(t *testing.T) {
	s := SurvivalOf(meanOutput200, 0)
	c := engine(0, 10000)
	c.ReportedInFlight, c.Hosts = 10, 9
	c.Demand.Add(10, 700, &s)
	req := Request{Region: "a", PromptTokens: 500, Survival: s}
	require.Equal(t, -1, Pick([]Candidate{c}, req, 0))
	c.Share = 0.5
	require.Equal(t, 0, Pick([]Candidate{c}, req, 0))
	c.Share, c.Hosts = 0, 1
	require.Equal(t, 0, Pick([]Candidate{c}, req, 0))
	c.MaxBatch = 12
	require.Equal(t, 0, Pick([]Candidate{c}, req, 0))
	c.Hosts = 9
	require.Equal(t, -1, Pick([]Candidate{c}, req, 0))
}

// Guards against traffic between regions without need, a popular prefix that
// overloads one backend server, and too many concurrent prefills.
func TestPickRegionAffinityPrefill(t *testing.T) {
	a, b, remote := engine(0, 1e5), engine(1, 1e5), engine(2, 1e5)
	remote.Region = "b"
	a.ReportedInFlight = 5
	req := Request{Region: "a", PromptTokens: 100, CachedPrefixes: []CachedPrefix{{Index: 0, Tokens: 90}}}
	require.Equal(t, 0, Pick([]Candidate{a, b, remote}, req, 1))
	a.ReportedInFlight = 30
	require.Equal(t, 1, Pick([]Candidate{a, b, remote}, req, 1))
	b.MaxPrefill, b.Prefilling = 1, 1
	a.ReportedInFlight = 90
	require.Equal(t, 2, Pick([]Candidate{a, b, remote}, req, 1))
	req.LocalOnly = true
	require.Equal(t, 0, Pick([]Candidate{a, b, remote}, req, 1))
}

// Guards against shares that leave a portion of a server unassigned or assign
// it twice.
func TestShare(t *testing.T) {
	for hosts := 1; hosts <= 12; hosts++ {
		for servers := 1; servers <= 14; servers++ {
			perServer := make([]float32, servers)
			for h := range hosts {
				sum := float32(0)
				for s := range servers {
					x := Share(h, hosts, s, servers)
					perServer[s] += x
					sum += x
				}
				require.InDelta(t, float64(servers)/float64(hosts), sum, 1e-4)
			}
			for _, x := range perServer {
				require.InDelta(t, 1, x, 1e-4)
			}
		}
	}
	require.Zero(t, Share(0, 0, 0, 0))
}

// Guards against own requests counted both from the report and individually
// when the report lags.
func TestTrackerSeparatesOwnFromOthers(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(100, 0).Add(time.Duration(ms) * time.Millisecond) }
	tr := NewTracker()
	tr.Sent(1, 100, meanOutput200, at(0))
	tr.Sent(2, 100, meanOutput200, at(10))
	tr.Progress(1, 50)
	tr.Ended(2, at(600))
	tr.Sent(3, 100, meanOutput200, at(700))
	require.Zero(t, tr.ApplyReport(Report{At: at(500), InFlight: 5, KVUsed: 1000, KVTotal: 10000, Preemptions: 2}, at(1000)))
	n, tokens := tr.EstimateOthers(at(1000))
	require.Equal(t, 3, n)
	require.Equal(t, 1000-150-100, tokens)
	tr.Refresh(&Survival{1}, at(1000))
	var c Candidate
	tr.FillCandidate(&c)
	require.Equal(t, 2, c.OwnInFlight)
	require.Equal(t, 4, c.ReportedInFlight)
	require.Equal(t, 1, c.SentSinceReport)
	require.Equal(t, 2, c.Prefilling+1)
	require.InDelta(t, 750+150+100, c.Demand.Mean[0], 1)
	require.InDelta(t, 100, c.DemandSinceReport.Mean[0], 1)

	require.Equal(t, 3, tr.ApplyReport(Report{At: at(1500), Preemptions: 5}, at(2000)))
	require.Zero(t, tr.ApplyReport(Report{At: at(1400), Preemptions: 9}, at(2000)), "an older report")
	require.Zero(t, tr.ApplyReport(Report{At: at(2500), Preemptions: 1, Incarnation: "new"}, at(3000)))
}

// Guards against headroom that does not grow with preemptions or never shrinks.
func TestHeadroom(t *testing.T) {
	var h Headroom
	now := time.Unix(100, 0)
	require.InDelta(t, MinHeadroom, h.Value(now), 1e-6)
	h.RecordPreemptions(10, now)
	high := h.Value(now)
	require.Greater(t, high, float32(MinHeadroom))
	h.RecordPreemptions(1_000_000, now)
	require.InDelta(t, MaxHeadroom, h.Value(now), 1e-6)
	require.InDelta(t, MinHeadroom, h.Value(now.Add(20*headroomHalfLife)), 0.01)
}

// Guards against a batch limit that misses the token gap target or is derived
// from too few reports.
func TestBatchLimit(t *testing.T) {
	var m StepModel
	require.Zero(t, m.BatchLimit(52))
	for i := range 200 {
		n := 20 + i%30
		m.Observe(n, 14+0.4*float64(n))
	}
	limit := m.BatchLimit(52)
	require.InDelta(t, (gapTargetShare*52-14)/0.4, limit, 1.01)
	require.Zero(t, m.BatchLimit(0))
	require.Equal(t, 1, m.BatchLimit(10))
}

// BenchmarkPick100 measures the choice on the request path. The target is at
// most 10 us at 100 candidates, without allocation.
func BenchmarkPick100(b *testing.B) {
	s := SurvivalOf(meanOutput200, 0)
	candidates := make([]Candidate, 100)
	for i := range candidates {
		c := engine(i, 1e5)
		c.ReportedInFlight, c.Hosts, c.Share = i%60, 9, float32(i%3)/2
		c.Demand.Add(float32(i%60), 800, &s)
		candidates[i] = c
	}
	req := Request{Region: "a", PromptTokens: 500, Survival: s, Attempted: []int{3}, CachedPrefixes: []CachedPrefix{{1, 100}, {7, 300}}}
	seed := uint64(0)
	b.ReportAllocs()
	for b.Loop() {
		seed++
		if Pick(candidates, req, seed) < 0 {
			b.Fatal("no candidate picked")
		}
	}
}

// Guards against memory allocation on the request path.
func TestPickAllocatesNothing(t *testing.T) {
	s := SurvivalOf(meanOutput200, 0)
	candidates := []Candidate{engine(0, 1e5), engine(1, 1e5)}
	req := Request{Region: "a", PromptTokens: 500, Survival: s, Attempted: []int{1}, CachedPrefixes: []CachedPrefix{{0, 100}}}
	require.Zero(t, testing.AllocsPerRun(100, func() { Pick(candidates, req, 1) }))
}
