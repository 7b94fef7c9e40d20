package gossip

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"monsoonkeel.example/monsoonkeel/core/pace"
	"monsoonkeel.example/monsoonkeel/core/serverstate"
	pb "monsoonkeel.example/monsoonkeel/internal/gossippb"
)

const (
	// maxStatePaces and maxDigestPaces limit the processes of backend servers whose pace is in a state or a digest; few is
	// what a digest keeps if it would not fit into a message otherwise.
	maxStatePaces  = 64
	maxDigestPaces = 256
	fewPaces       = 16
	// paceUnit is the resolution of the numbers of samples and of the logarithms in a message.
	paceUnit = 0.01
	// maxPaceSamples limits the number of samples of a step of load in a message, and maxPaceLog the binary logarithm of the
	// ratio of one sample: no server is 65,536 times as fast as the others.
	maxPaceSamples = 1e6
	maxPaceLog     = 16
)

// paceSums are the measurements of several hosts by process.
type paceSums map[serverstate.Process]pace.Report

func (p paceSums) add(reports []pace.Report) {
	for _, r := range reports {
		sum := p[r.Process]
		sum.Process = r.Process
		sum.Add(r)
		p[r.Process] = sum
	}
}

// list returns the sums in the order of limitPaces.
func (p paceSums) list() []pace.Report {
	return limitPaces(slices.Collect(maps.Values(p)), len(p))
}

func totalSamples(r pace.Report) (total float64) {
	for _, n := range r.Samples {
		total += n
	}
	return total
}

// limitPaces returns the reports with most samples, those with most first.
func limitPaces(reports []pace.Report, limit int) []pace.Report {
	if len(reports) == 0 {
		return nil
	}
	reports = slices.Clone(reports)
	slices.SortFunc(reports, func(a, b pace.Report) int {
		return cmp.Or(cmp.Compare(totalSamples(b), totalSamples(a)), cmp.Compare(a.ID, b.ID), cmp.Compare(a.StartTime, b.StartTime))
	})
	return reports[:min(len(reports), limit)]
}

// paceUnits converts a figure to units of paceUnit.
func paceUnits(x, limit float64) int64 {
	if math.IsNaN(x) {
		return 0
	}
	return int64(math.Round(min(max(x, -limit), limit) / paceUnit))
}

// encodePaces encodes measurements. Those without samples are left out, and so are the steps after the last one with samples.
func encodePaces(reports []pace.Report) (list []*pb.Pace) {
	for _, r := range reports {
		p := &pb.Pace{Process: &pb.Process{Id: r.ID, StartTime: r.StartTime}}
		for i, n := range r.Samples {
			samples := paceUnits(max(n, 0), maxPaceSamples)
			if samples == 0 {
				continue
			}
			for len(p.Samples) < i {
				p.Samples, p.LogRatios = append(p.Samples, 0), append(p.LogRatios, 0)
			}
			p.Samples = append(p.Samples, samples)
			p.LogRatios = append(p.LogRatios, paceUnits(r.LogRatios[i], maxPaceSamples*maxPaceLog))
		}
		p.Events, p.Late = paceUnits(max(r.Gaps.Events, 0), maxPaceSamples), paceUnits(max(r.Gaps.Late, 0), maxPaceSamples)
		if len(p.Samples) > 0 || p.Late > 0 {
			list = append(list, p)
		}
	}
	return list
}

// decodePaces decodes the measurements in a message, up to a number of them. A figure out of range is replaced by the nearest
// one in it.
func decodePaces(list []*pb.Pace, limit int) (reports []pace.Report) {
	for _, m := range list[:min(len(list), limit)] {
		r := pace.Report{Process: serverstate.Process{ID: m.Process.GetId(), StartTime: m.Process.GetStartTime()}}
		for i, n := range m.Samples[:min(len(m.Samples), pace.LoadSteps)] {
			r.Samples[i] = min(max(float64(n)*paceUnit, 0), maxPaceSamples)
			if i < len(m.LogRatios) {
				limit := r.Samples[i] * maxPaceLog
				r.LogRatios[i] = min(max(float64(m.LogRatios[i])*paceUnit, -limit), limit)
			}
		}
		r.Gaps.Events = min(max(float64(m.Events)*paceUnit, 0), maxPaceSamples)
		r.Gaps.Late = min(max(float64(m.Late)*paceUnit, 0), r.Gaps.Events)
		reports = append(reports, r)
	}
	return reports
}
