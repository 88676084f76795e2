// Package scale measures what each role of a daemon costs at several sizes of an
// environment, and extrapolates the figures linearly to the size that limpetlb is
// designed for.
//
// Each figure is the median of several runs of the daemon's own packages. Processor
// time and memory depend on the machine; counts and bytes do not.
//
// # Usage
//
//	r, err := scale.Run(ctx, scale.Config{Start: startNode})
//	for _, row := range r.Rows { fmt.Println(row.Role, row.Measure, row.Slope, row.AtTarget) }
package scale

import (
	"context"
	"math"
	"slices"

	"github.com/limpetlb/limpetlb/limpetlab/bound"
	"github.com/limpetlb/limpetlb/limpetlab/fleet"
)

// The size of the environment that limpetlb is designed for.
const (
	TargetDaemons     = 360
	TargetEngines     = 600
	TargetDataCentres = 7
	TargetModels      = 900
	// DaemonsPerDataCentre and EnginesPerDataCentre are the numbers in one data centre.
	DaemonsPerDataCentre = 52
	EnginesPerDataCentre = 86
	// AdaptersPerModel is the number of adapters of each model in the measurements.
	AdaptersPerModel = 3
	// SlotsPerEngine is the number of slots of an engine when each data centre
	// holds each model and adapter once.
	SlotsPerEngine = TargetModels * (1 + AdaptersPerModel) / EnginesPerDataCentre
	// TargetVMs is the number of entries of the VM list.
	TargetVMs = TargetDaemons + TargetEngines
)

// Config selects the measurements.
type Config struct {
	// Start starts complete daemons. If Start is nil, complete daemons are not
	// measured.
	Start fleet.StartFunc
	// Runs is the number of runs of which the median is taken; 0 means
	// DefaultRuns.
	Runs int
	// Quick restricts the measurements to the bytes of messages and calls, and to
	// one run.
	Quick bool
}

// Roles and units of the measures that totals are calculated from.
const (
	roleMembership = "membership"
	roleWatcher    = "watcher"
	roleDocuments  = "documents"
	rolePlacement  = "placement"
	roleReach      = "reach"
	roleAdmission  = "admission"
	unitBytes      = "bytes"
	unitTime       = "us"
)

// DefaultRuns is the default number of runs.
const DefaultRuns = 5

// Row holds the values of one measure of a role over several sizes.
type Row struct {
	Role    string `json:"role"`
	Measure string `json:"measure"`
	// Unit is the unit of the values; SizeUnit names what the sizes count.
	Unit     string    `json:"unit"`
	SizeUnit string    `json:"by"`
	Sizes    []int     `json:"sizes"`
	Values   []float64 `json:"values"`
	// Slope is the slope of the least-squares line of the values over the sizes.
	Slope float64 `json:"slope"`
	// Target is the size to design for. AtTarget is the value at that size: the
	// measured value if Target is one of Sizes, else the value on the least-squares
	// line.
	Target   int     `json:"target"`
	AtTarget float64 `json:"at_target"`
}

// Result holds all measurements, and the totals of a daemon with their limits.
type Result struct {
	Rows   []Row   `json:"rows"`
	Totals []Total `json:"totals"`
	bound.List
}

// measure describes one measure of a role and the sizes to measure.
type measure struct {
	role, name, unit, by string
	sizes                []int
	target               int
	// run returns the value of one run at a size.
	run func(ctx context.Context, size int) (float64, error)
}

// Run takes all measurements of c, one after the other.
func Run(ctx context.Context, c Config) (Result, error) {
	if c.Runs == 0 {
		c.Runs = DefaultRuns
	}
	if c.Quick {
		c.Runs = 1
	}
	var r Result
	for _, m := range measures(c) {
		row, err := m.row(ctx, c.Runs)
		if err != nil {
			return r, err
		}
		r.Rows = append(r.Rows, row)
	}
	r.addTotals(c.Quick)
	return r, nil
}

// measures returns the measures that c selects.
func measures(c Config) []measure {
	if c.Quick {
		all := slices.Concat(documentMeasures(), membershipMeasures(), trafficMeasures())
		return slices.DeleteFunc(all, func(m measure) bool { return m.unit != unitBytes })
	}
	all := slices.Concat(routingMeasures(), placementMeasures(), leaseHolderMeasures(), documentMeasures(), membershipMeasures(), reachMeasures(), trafficMeasures(), claimMeasures())
	if c.Start != nil {
		all = append(all, daemonMeasures(c.Start)...)
	}
	return all
}

// row measures all sizes. It alternates between the sizes, so that a period in which
// the machine is slow affects all of them.
func (m measure) row(ctx context.Context, runs int) (Row, error) {
	row := Row{Role: m.role, Measure: m.name, Unit: m.unit, SizeUnit: m.by, Sizes: m.sizes, Target: m.target}
	values := make([][]float64, len(m.sizes))
	for range runs {
		for i, size := range m.sizes {
			if err := ctx.Err(); err != nil {
				return row, err
			}
			v, err := m.run(ctx, size)
			if err != nil {
				return row, err
			}
			values[i] = append(values[i], v)
		}
	}
	for _, v := range values {
		row.Values = append(row.Values, median(v))
	}
	row.Slope, row.AtTarget = fitLine(m.sizes, row.Values, m.target)
	if i := slices.Index(m.sizes, m.target); i >= 0 {
		row.AtTarget = row.Values[i]
	}
	for i := range row.Values {
		row.Values[i] = rounded(row.Values[i])
	}
	row.Slope, row.AtTarget = rounded(row.Slope), rounded(row.AtTarget)
	return row, nil
}

// median sorts values and returns the middle one.
func median(values []float64) float64 {
	slices.Sort(values)
	return values[len(values)/2]
}

// fitLine returns the slope of the least-squares line, and its height at a size.
func fitLine(sizes []int, values []float64, at int) (slope, height float64) {
	n := float64(len(sizes))
	var sumX, sumY, sumXX, sumXY float64
	for i, s := range sizes {
		x, y := float64(s), values[i]
		sumX, sumY, sumXX, sumXY = sumX+x, sumY+y, sumXX+x*x, sumXY+x*y
	}
	slope = (n*sumXY - sumX*sumY) / (n*sumXX - sumX*sumX)
	return slope, (sumY-slope*sumX)/n + slope*float64(at)
}

// significantDigits is the number of significant digits of a reported figure.
const significantDigits = 4

// rounded returns v rounded to significantDigits.
func rounded(v float64) float64 {
	if v == 0 {
		return 0
	}
	scale := math.Pow(10, significantDigits-math.Ceil(math.Log10(math.Abs(v))))
	return math.Round(v*scale) / scale
}
