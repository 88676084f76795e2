package rbench

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// The targets.
const (
	// burstGain is the least gain over the best baseline in bursts, restGain
	// that between them.
	burstGain = 1.2
	restGain  = 1
	// urgentAttainment is the least attainment of urgent work that alone fills
	// urgentLoad of the engines, at twice the capacity.
	urgentAttainment = 0.95
	urgentLoad       = 0.7
	totalLoad        = 2
	// deferredAttainment is the part of deferred work that makes its deadline.
	deferredAttainment = 1
	// maxSendsPerRequest bounds sends with half of the engines failing.
	maxSendsPerRequest = 1.1
	// recoveryTime is the time after an overload in which attainment is back.
	recoveryTime = 10 * time.Second
)

// day measures bursts and the time between them.
func (b *bench) day(w *world) error {
	length := dayLength
	if b.config.Quick {
		length = dayLength / 3
	}
	random := rand.New(rand.NewPCG(b.config.Seed, 3))
	policies := append([]string{policyLimpet}, baselines...)
	if err := b.play(scenario{name: "day", world: w, popular: true, stretches: w.day(random, length), policies: policies}); err != nil {
		return err
	}
	b.result.AtLeast("burst: attainment per accelerator over the best baseline", burstGain, b.gain(phaseBurst))
	b.result.AtLeast("rest: attainment per accelerator over the best baseline", restGain, b.gain(phaseRest))
	night := priorities[len(priorities)-1].name
	for _, phase := range []string{phaseBurst, phaseRest} {
		b.result.AtLeast(phase+": deferred work by its deadline", deferredAttainment, b.find(policyLimpet, phase, night).Attainment)
	}
	return nil
}

// calm measures a day without bursts.
func (b *bench) calm(w *world) error {
	length := dayLength
	if b.config.Quick {
		length = dayLength / 3
	}
	policies := append([]string{policyLimpet}, baselines...)
	stretches := []stretch{{phase: phaseCalm, until: length, load: restLoad(length)}}
	if err := b.play(scenario{name: phaseCalm, world: w, popular: true, stretches: stretches, policies: policies}); err != nil {
		return err
	}
	b.result.AtLeast("calm: attainment per accelerator over the best baseline", restGain, b.gain(phaseCalm))
	return nil
}

// overload measures urgent work and recovery at twice the capacity.
func (b *bench) overload(w *world) error {
	const at, end = 20 * time.Second, 80 * time.Second
	before := constant(0.3, 0.2, 0)
	stretches := []stretch{
		{phase: phaseBefore, until: at, load: before},
		{phase: phaseOverload, from: at, until: end, load: constant(urgentLoad, totalLoad-urgentLoad, 0)},
		{phase: phaseDrain, from: end, until: end + recoveryTime, load: before},
		{phase: phaseAfter, from: end + recoveryTime, until: end + 3*recoveryTime, load: before},
	}
	policies := append([]string{policyLimpet}, baselines...)
	if err := b.play(scenario{name: phaseOverload, world: w, stretches: stretches, policies: policies}); err != nil {
		return err
	}
	urgent := b.find(policyLimpet, phaseOverload, priorities[0].name).Attainment
	b.result.AtLeast("overload: attainment of urgent work", urgentAttainment, urgent)
	was := b.find(policyLimpet, phaseBefore, allPriorities).Attainment
	b.result.AtLeast("overload: attainment 10 s after its end", was, b.find(policyLimpet, phaseAfter, allPriorities).Attainment)
	return nil
}

// failing measures sends with half of the engines failing, at a moderate load and
// at twice the capacity of all engines.
func (b *bench) failing(w *world) error {
	policies := append([]string{policyLimpet}, baselines...)
	loads := map[string]func(time.Duration) [3]float64{
		phaseFailing: constant(0.2, 0.1, 0),
		phaseStorm:   constant(urgentLoad, totalLoad-urgentLoad, 0),
	}
	for _, phase := range []string{phaseFailing, phaseStorm} {
		stretches := []stretch{{phase: phase, until: time.Minute, load: loads[phase]}}
		if err := b.play(scenario{name: phase, world: w, fault: faultFailing, stretches: stretches, policies: policies}); err != nil {
			return err
		}
		sends := b.find(policyLimpet, phase, allPriorities).SendsPerRequest
		b.result.AtMost(phase+": sends per request", maxSendsPerRequest, sends)
	}
	return nil
}

// slow measures a quarter of the engines at an eighth of their speed.
func (b *bench) slow(w *world) error {
	stretches := []stretch{{phase: phaseSlow, until: time.Minute, load: constant(0.2, 0.1, 0)}}
	policies := append([]string{policyLimpet}, baselines...)
	if err := b.play(scenario{name: phaseSlow, world: w, fault: faultSlow, stretches: stretches, policies: policies}); err != nil {
		return err
	}
	b.result.AtLeast("slow: attainment per accelerator over the best baseline", restGain, b.gain(phaseSlow))
	return nil
}

// herding measures the spread of queue lengths with few and many routers.
func (b *bench) herding(*world) error {
	length := 20 * time.Second
	if b.config.Quick {
		length = 8 * time.Second
	}
	for _, routers := range []int{6, 360} {
		phase := fmt.Sprintf("%s_%d", phaseHerd, routers)
		stretches := []stretch{{phase: phase, until: length, load: constant(0.7, 0, 0)}}
		policies := []string{policyLimpet, policyRoundRobin, policyLeastLoaded, policyTwoChoices}
		if err := b.play(scenario{name: phase, world: newWorld(herd(routers)), stretches: stretches, policies: policies}); err != nil {
			return err
		}
		worst := b.find(policyLeastLoaded, phase, allPriorities).QueueSpread
		b.result.AtMost(phase+": queue spread, at most that of least loaded", worst, b.find(policyLimpet, phase, allPriorities).QueueSpread)
	}
	return nil
}

// gain returns limpet's attainment per accelerator over that of the best
// baseline.
func (b *bench) gain(phase string) float64 {
	best := 0.0
	for _, policy := range baselines {
		best = max(best, b.find(policy, phase, allPriorities).AttainmentPerAccelerator)
	}
	return b.find(policyLimpet, phase, allPriorities).AttainmentPerAccelerator / best
}

// find returns a row.
func (b *bench) find(policy, phase, priority string) Row {
	for _, r := range b.result.Rows {
		if r.Policy == policy && r.Phase == phase && r.Priority == priority {
			return r
		}
	}
	return Row{}
}
