package rbench

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Targets of the bounds, and the loads of the overload scenarios as fractions of
// the capacity.
const (
	// minBurstGain is the minimum ratio of attainment per accelerator to that of
	// the best baseline in bursts. minGain is the minimum outside bursts.
	minBurstGain = 1.2
	minGain      = 1
	// minUrgentAttainment is the minimum attainment of the most urgent priority,
	// which alone takes urgentLoad of the capacity while the total load is
	// totalLoad, twice the capacity.
	minUrgentAttainment = 0.95
	urgentLoad          = 0.7
	totalLoad           = 2
	// minDeferredAttainment is the minimum fraction of deferred work that meets
	// its deadline.
	minDeferredAttainment = 1
	// maxSendsPerRequest is the maximum number of sends per request while half of
	// the engines fail.
	maxSendsPerRequest = 1.1
	// recoveryTime is the time after an overload within which attainment must
	// return to its value before the overload.
	recoveryTime = 10 * time.Second
)

// measureDay simulates a day with bursts and bounds the gain in and between them.
func (b *bench) measureDay(c *cluster) error {
	length := dayLength
	if b.config.Quick {
		length = dayLength / 3
	}
	random := rand.New(rand.NewPCG(b.config.Seed, 3))
	policies := append([]string{policyLimpet}, baselinePolicies...)
	if err := b.runScenario(scenario{name: "day", cluster: c, skewed: true, segments: c.dayLoad(random, length), policies: policies}); err != nil {
		return err
	}
	b.result.AtLeast("burst: attainment per accelerator over the best baseline", minBurstGain, b.gain(phaseBurst))
	b.result.AtLeast("rest: attainment per accelerator over the best baseline", minGain, b.gain(phaseRest))
	deferred := priorities[len(priorities)-1].name
	for _, phase := range []string{phaseBurst, phaseRest} {
		b.result.AtLeast(phase+": deferred work by its deadline", minDeferredAttainment, b.findRow(policyLimpet, phase, deferred).Attainment)
	}
	return nil
}

// measureCalm simulates a day without bursts.
func (b *bench) measureCalm(c *cluster) error {
	length := dayLength
	if b.config.Quick {
		length = dayLength / 3
	}
	policies := append([]string{policyLimpet}, baselinePolicies...)
	segments := []segment{{phase: phaseCalm, until: length, load: restLoad(length)}}
	if err := b.runScenario(scenario{name: phaseCalm, cluster: c, skewed: true, segments: segments, policies: policies}); err != nil {
		return err
	}
	b.result.AtLeast("calm: attainment per accelerator over the best baseline", minGain, b.gain(phaseCalm))
	return nil
}

// measureOverload simulates a load of twice the capacity and bounds the attainment
// of urgent work and the recovery.
func (b *bench) measureOverload(c *cluster) error {
	const start, end = 20 * time.Second, 80 * time.Second
	before := constantLoad(0.3, 0.2, 0)
	segments := []segment{
		{phase: phaseBefore, until: start, load: before},
		{phase: phaseOverload, from: start, until: end, load: constantLoad(urgentLoad, totalLoad-urgentLoad, 0)},
		{phase: phaseDrain, from: end, until: end + recoveryTime, load: before},
		{phase: phaseAfter, from: end + recoveryTime, until: end + 3*recoveryTime, load: before},
	}
	policies := append([]string{policyLimpet}, baselinePolicies...)
	if err := b.runScenario(scenario{name: phaseOverload, cluster: c, segments: segments, policies: policies}); err != nil {
		return err
	}
	urgent := b.findRow(policyLimpet, phaseOverload, priorities[0].name).Attainment
	b.result.AtLeast("overload: attainment of urgent work", minUrgentAttainment, urgent)
	attainmentBefore := b.findRow(policyLimpet, phaseBefore, allPriorities).Attainment
	b.result.AtLeast("overload: attainment 10 s after its end", attainmentBefore, b.findRow(policyLimpet, phaseAfter, allPriorities).Attainment)
	return nil
}

// measureFailing bounds the sends per request while half of the engines fail, at a
// moderate load and at twice the capacity of all engines.
func (b *bench) measureFailing(c *cluster) error {
	policies := append([]string{policyLimpet}, baselinePolicies...)
	loads := map[string]func(time.Duration) [3]float64{
		phaseFailing: constantLoad(0.2, 0.1, 0),
		phaseStorm:   constantLoad(urgentLoad, totalLoad-urgentLoad, 0),
	}
	for _, phase := range []string{phaseFailing, phaseStorm} {
		segments := []segment{{phase: phase, until: time.Minute, load: loads[phase]}}
		if err := b.runScenario(scenario{name: phase, cluster: c, fault: faultFailing, segments: segments, policies: policies}); err != nil {
			return err
		}
		sends := b.findRow(policyLimpet, phase, allPriorities).SendsPerRequest
		b.result.AtMost(phase+": sends per request", maxSendsPerRequest, sends)
	}
	return nil
}

// measureSlow simulates a quarter of the engines at an eighth of their speed.
func (b *bench) measureSlow(c *cluster) error {
	segments := []segment{{phase: phaseSlow, until: time.Minute, load: constantLoad(0.2, 0.1, 0)}}
	policies := append([]string{policyLimpet}, baselinePolicies...)
	if err := b.runScenario(scenario{name: phaseSlow, cluster: c, fault: faultSlow, segments: segments, policies: policies}); err != nil {
		return err
	}
	b.result.AtLeast("slow: attainment per accelerator over the best baseline", minGain, b.gain(phaseSlow))
	return nil
}

// measureHerding bounds the spread of queue lengths with few and with many routers.
func (b *bench) measureHerding(*cluster) error {
	length := 20 * time.Second
	if b.config.Quick {
		length = 8 * time.Second
	}
	for _, routers := range []int{6, 360} {
		phase := fmt.Sprintf("%s_%d", phaseHerd, routers)
		segments := []segment{{phase: phase, until: length, load: constantLoad(0.7, 0, 0)}}
		policies := []string{policyLimpet, policyRoundRobin, policyLeastLoaded, policyTwoChoices}
		if err := b.runScenario(scenario{name: phase, cluster: newCluster(herdDeployment(routers)), segments: segments, policies: policies}); err != nil {
			return err
		}
		leastLoadedSpread := b.findRow(policyLeastLoaded, phase, allPriorities).QueueSpread
		b.result.AtMost(phase+": queue spread, at most that of least loaded", leastLoadedSpread, b.findRow(policyLimpet, phase, allPriorities).QueueSpread)
	}
	return nil
}

// gain returns the ratio of the attainment per accelerator of policyLimpet to that
// of the best baseline.
func (b *bench) gain(phase string) float64 {
	best := 0.0
	for _, policy := range baselinePolicies {
		best = max(best, b.findRow(policy, phase, allPriorities).AttainmentPerAccelerator)
	}
	return b.findRow(policyLimpet, phase, allPriorities).AttainmentPerAccelerator / best
}

// findRow returns the row of a policy, phase and priority, or a zero Row.
func (b *bench) findRow(policy, phase, priority string) Row {
	for _, r := range b.result.Rows {
		if r.Policy == policy && r.Phase == phase && r.Priority == priority {
			return r
		}
	}
	return Row{}
}
