package rbench

import (
	"math"
	"math/rand/v2"
	"sort"
	"time"
)

// Names of the phases of the scenarios.
const (
	phaseCalm     = "calm"
	phaseRest     = "rest"
	phaseBurst    = "burst"
	phaseBefore   = "before"
	phaseOverload = "overload"
	phaseDrain    = "drain"
	phaseAfter    = "after"
	phaseFailing  = "failing"
	phaseStorm    = "storm"
	phaseSlow     = "slow"
	phaseHerd     = "herd"
)

// segment is a span of time of a workload with its load. Segments may overlap.
type segment struct {
	phase string
	from  time.Duration
	until time.Duration
	// load returns the request rate of each priority as a fraction of the
	// capacity, at a time since the start of the simulation.
	load func(at time.Duration) [3]float64
	// slots lists the requested slots, all equally often; nil requests all slots
	// by their weights.
	slots []int
}

// constantLoad returns a load that does not change over time.
func constantLoad(live, draft, night float64) func(time.Duration) [3]float64 {
	return func(time.Duration) [3]float64 { return [3]float64{live, draft, night} }
}

// generateRequests draws the requests of segments with exponentially distributed
// intervals and returns them ordered by arrival.
func (c *cluster) generateRequests(random *rand.Rand, skewed bool, segments []segment) []*request {
	var requests []*request
	weights := c.cumulativeWeights(skewed)
	for _, seg := range segments {
		for p := range priorities {
			at := seg.from
			for {
				perSecond := seg.load(at)[p] * c.capacity()
				if perSecond <= 0 {
					break
				}
				at += time.Duration(random.ExpFloat64() / perSecond * float64(time.Second))
				if at >= seg.until {
					break
				}
				slot := seg.drawSlot(random, weights)
				requests = append(requests, c.newRequest(random, len(requests), slot, &priorities[p], seg.phase, startTime.Add(at)))
			}
		}
	}
	sort.SliceStable(requests, func(i, j int) bool { return requests[i].arrived.Before(requests[j].arrived) })
	return requests
}

// drawSlot draws the slot of a request from cumulative weights.
func (seg *segment) drawSlot(random *rand.Rand, weights []float64) int {
	if seg.slots != nil {
		return seg.slots[random.IntN(len(seg.slots))]
	}
	x := random.Float64() * weights[len(weights)-1]
	return sort.SearchFloat64s(weights, x)
}

// cumulativeWeights returns the cumulative weights of the slots. The weights are
// equal, or if skewed, inversely proportional to the square root of the slot's
// popularity rank.
func (c *cluster) cumulativeWeights(skewed bool) []float64 {
	weights := make([]float64, len(c.slots))
	sum := 0.0
	for i := range weights {
		share := 1.0
		if skewed {
			share = 1 / math.Sqrt(float64((i*7)%len(weights)+1))
		}
		sum += share
		weights[i] = sum
	}
	return weights
}

const (
	// dayLength is the simulated length of a day, which is shortened.
	dayLength = 15 * time.Minute
	// burstLength is the length of a burst, burstInterval the time from the start
	// of a burst to the start of the next.
	burstLength   = 40 * time.Second
	burstInterval = 3 * time.Minute
	// firstBurst is the start of the first burst.
	firstBurst = 90 * time.Second
)

// dayLoad returns the workload of a day: the load rises and falls, most deferred
// work arrives at the beginning and the end, and sudden bursts are each for a few
// models.
func (c *cluster) dayLoad(random *rand.Rand, length time.Duration) []segment {
	segments := []segment{}
	from := time.Duration(0)
	for start := firstBurst; start+burstLength < length; start += burstInterval {
		segments = append(segments, segment{phase: phaseRest, from: from, until: start, load: restLoad(length)})
		from = start + burstLength
		segments = append(segments,
			segment{phase: phaseBurst, from: start, until: from, load: restLoad(length)},
			segment{phase: phaseBurst, from: start, until: from, load: constantLoad(0.8, 0.4, 0), slots: c.burstSlots(random)},
		)
	}
	return append(segments, segment{phase: phaseRest, from: from, until: length, load: restLoad(length)})
}

// restLoad returns the load outside bursts over a day of a length.
func restLoad(length time.Duration) func(time.Duration) [3]float64 {
	return func(at time.Duration) [3]float64 {
		day := math.Sin(math.Pi * float64(at) / float64(length))
		return [3]float64{0.1 + 0.2*day, 0.1 + 0.1*day, 0.15 * (1 - day)}
	}
}

// burstSlots draws the slots of a burst: a third of all models, with their adapters.
func (c *cluster) burstSlots(random *rand.Rand) []int {
	chosen := make(map[string]bool)
	for len(chosen) < (c.models+2)/3 {
		chosen[c.slots[random.IntN(len(c.slots))].Model] = true
	}
	var slots []int
	for i, s := range c.slots {
		if chosen[s.Model] {
			slots = append(slots, i)
		}
	}
	return slots
}
