package rbench

import (
	"math"
	"math/rand/v2"
	"sort"
	"time"
)

// The phases of a run.
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

// stretch is a time with a constant or changing load.
type stretch struct {
	phase string
	from  time.Duration
	until time.Duration
	// load is the requests a second as a part of the capacity, by priority, at
	// a time since the run began.
	load func(at time.Duration) [3]float64
	// slots are those asked for; nil means all, by popularity.
	slots []int
}

// constant returns a load that does not change.
func constant(live, draft, night float64) func(time.Duration) [3]float64 {
	return func(time.Duration) [3]float64 { return [3]float64{live, draft, night} }
}

// generate draws the requests of stretches, in the order of arrival.
func (w *world) generate(random *rand.Rand, popular bool, stretches []stretch) []*job {
	var jobs []*job
	weights := w.popularity(popular)
	for _, st := range stretches {
		for p := range priorities {
			at := st.from
			for {
				perSecond := st.load(at)[p] * w.capacity()
				if perSecond <= 0 {
					break
				}
				at += time.Duration(random.ExpFloat64() / perSecond * float64(time.Second))
				if at >= st.until {
					break
				}
				slot := st.draw(random, weights)
				jobs = append(jobs, w.newJob(random, len(jobs), slot, &priorities[p], st.phase, begin.Add(at)))
			}
		}
	}
	sort.SliceStable(jobs, func(i, j int) bool { return jobs[i].arrived.Before(jobs[j].arrived) })
	return jobs
}

// draw draws a slot.
func (st *stretch) draw(random *rand.Rand, weights []float64) int {
	if st.slots != nil {
		return st.slots[random.IntN(len(st.slots))]
	}
	x := random.Float64() * weights[len(weights)-1]
	return sort.SearchFloat64s(weights, x)
}

// popularity returns the sums of the slots' weights: equal, or falling with the
// square root of the place.
func (w *world) popularity(falling bool) []float64 {
	weights := make([]float64, len(w.slots))
	sum := 0.0
	for i := range weights {
		share := 1.0
		if falling {
			share = 1 / math.Sqrt(float64((i*7)%len(weights)+1))
		}
		sum += share
		weights[i] = sum
	}
	return weights
}

const (
	// dayLength is the length of the shortened day.
	dayLength = 15 * time.Minute
	// burstLength is the length of a burst, burstEvery the time between two.
	burstLength = 40 * time.Second
	burstEvery  = 3 * time.Minute
	// firstBurst is when the first burst begins.
	firstBurst = 90 * time.Second
)

// day returns the load of a day: it rises and falls, deferred work comes at its
// beginning and end, and bursts come without warning, each for a few models.
func (w *world) day(random *rand.Rand, length time.Duration) []stretch {
	stretches := []stretch{}
	from := time.Duration(0)
	for start := firstBurst; start+burstLength < length; start += burstEvery {
		stretches = append(stretches, stretch{phase: phaseRest, from: from, until: start, load: restLoad(length)})
		from = start + burstLength
		stretches = append(stretches,
			stretch{phase: phaseBurst, from: start, until: from, load: restLoad(length)},
			stretch{phase: phaseBurst, from: start, until: from, load: constant(0.8, 0.4, 0), slots: w.hot(random)},
		)
	}
	return append(stretches, stretch{phase: phaseRest, from: from, until: length, load: restLoad(length)})
}

// restLoad returns the load between bursts.
func restLoad(length time.Duration) func(time.Duration) [3]float64 {
	return func(at time.Duration) [3]float64 {
		day := math.Sin(math.Pi * float64(at) / float64(length))
		return [3]float64{0.1 + 0.2*day, 0.1 + 0.1*day, 0.15 * (1 - day)}
	}
}

// hot draws the slots of a burst: a third of all models with their adapters.
func (w *world) hot(random *rand.Rand) []int {
	chosen := make(map[string]bool)
	for len(chosen) < (w.models+2)/3 {
		chosen[w.slots[random.IntN(len(w.slots))].Model] = true
	}
	var hot []int
	for i, s := range w.slots {
		if chosen[s.Model] {
			hot = append(hot, i)
		}
	}
	return hot
}
