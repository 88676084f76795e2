package sched

import (
	"math"
	"time"
)

const (
	// minPaceSamples is the number of timed answers from which on they determine the pace of a server that reports none.
	minPaceSamples = 8
	// timedWeight is the weight of the newest timed answer in the long-term pace, quickWeight in the present one, and
	// figureWeight that of the newest reported figure in the usual figure.
	timedWeight = 0.03
	quickWeight = 0.3
	// If all answers or figures of changeTerm differ from the long-term pace by more than a factor of changeRatio, the pace
	// has changed for long: answers count in it with quickWeight, a figure replaces it. Slow moments are shorter.
	changeTerm   = time.Second
	changeRatio  = 1.25
	figureWeight = 0.02
	// If the answers of a server take longer or shorter than its figures say, by more than a factor of paceTolerance over
	// minCorrectionSamples of them, the figures do not state how quick the server usually is. Answers of a busy server vary
	// by less.
	paceTolerance        = 1.4
	minCorrectionSamples = 32
	// A rejection raises the present pace by a factor of rejectionRaise, to at most maxRaise times the long-term one: the
	// calls of a server that has no slot when one was expected to be free take longer than expected.
	rejectionRaise = 1.1
	maxRaise       = 2.5
	// paceAnchor draws the long-term pace towards 1. The speed of a service is measured relative to the paces of its
	// servers, and the paces relative to the speed of the service: without it, both could drift.
	paceAnchor = 0.001
	// quickAge and figureAge are the ages at which the weights of the timed answers and of the reported figure in the
	// present pace have fallen to 1/e. Reports reach the lease holder up to 250 ms late, and a slow moment lasts some
	// hundred milliseconds.
	quickAge  = 700 * time.Millisecond
	figureAge = 300 * time.Millisecond
	// minPace and maxPace bound a pace.
	minPace = 0.1
	maxPace = 10.0
	// usualPace is the figure of a server that is neither quick nor slow.
	usualPace = 100
	// A server whose pace is above slowPace times the mean pace of the answers of its service gets a call at least once in
	// trialInterval, if the call is on time there. Otherwise nothing would show that it has recovered.
	slowPace      = 1.15
	trialInterval = 700 * time.Millisecond
	// meanPaceWeight is the weight of the newest answer in the mean pace.
	meanPaceWeight = 0.02
)

// paceEstimate estimates how long work takes on a server, relative to the estimate of its service: from the figures that
// the server reports or, if it reports none, from timed answers. Answers are timed beside other prompts, so that the pace
// that they show is that of the load too.
type paceEstimate struct {
	// usual is the figure of the server apart from its slow moments, otherSince when the first of the figures arrived that
	// differ from it; zero if the last one did not.
	figure, usual        float64
	figures              int
	figureAt, otherSince time.Time
	timed, quick         float64
	samples              int
	timedAt              time.Time
	// changedSince is when the first of the answers arrived that differ from the long-term pace; zero if the last one did
	// not.
	changedSince time.Time
}

// report adds a reported figure in percent.
func (p *paceEstimate) report(percent int, now time.Time) {
	p.figure, p.figureAt = float64(percent)/usualPace, now
	p.figures++
	switch {
	case p.figures == 1:
		p.usual = p.figure
	case isSimilar(p.figure, p.usual):
		p.usual += figureWeight * (p.figure - p.usual)
		p.otherSince = time.Time{}
	case p.otherSince.IsZero():
		p.otherSince = now
	case now.Sub(p.otherSince) >= changeTerm:
		p.usual, p.otherSince = p.figure, time.Time{}
	}
}

// isSimilar reports whether two paces differ by changeRatio at most.
func isSimilar(a, b float64) bool { return a <= changeRatio*b && b <= changeRatio*a }

// add adds a timed answer, as a multiple of the time that the service takes.
func (p *paceEstimate) add(ratio float64, now time.Time) {
	ratio = min(max(ratio, minPace), maxPace)
	quick := p.timed + (p.quick-p.timed)*ageWeight(now.Sub(p.timedAt), quickAge)
	p.samples++
	weight := timedWeight
	switch {
	case isSimilar(ratio, p.timed):
		p.changedSince = time.Time{}
	case p.changedSince.IsZero():
		p.changedSince = now
	case (p.figures == 0 || p.correction() != 1) && now.Sub(p.changedSince) >= changeTerm:
		// A server whose figures state its pace shows such a change by itself.
		weight = quickWeight
	}
	p.timed += max(weight, 1/float64(p.samples))*(ratio-p.timed) + paceAnchor*(1-p.timed)
	p.quick = quick + max(quickWeight, 1/float64(p.samples))*(ratio-quick)
	p.timedAt = now
}

// recordRejection raises the present pace after a rejection of a call that was granted.
func (p *paceEstimate) recordRejection() {
	p.quick = max(p.quick, min(rejectionRaise*p.quick, maxRaise*p.timed))
}

// long returns the long-term pace.
func (p *paceEstimate) long() float64 {
	if p.figures > 0 {
		return p.usual * p.correction()
	}
	return p.correction()
}

// correction returns by how much longer the answers of a server take than its figures say, if the difference is more than
// that of its load, or than those of its service, if it reports no figures.
func (p *paceEstimate) correction() float64 {
	if p.samples < minPaceSamples {
		return 1
	}
	if isLoad := p.timed <= paceTolerance && p.timed >= 1/paceTolerance; p.figures > 0 && (isLoad || p.samples < minCorrectionSamples) {
		return 1
	}
	return p.timed
}

// at returns the pace at a time.
func (p *paceEstimate) at(now time.Time) float64 {
	recent := 1.0
	if p.correction() != 1 {
		recent += (p.quick/p.timed - 1) * ageWeight(now.Sub(p.timedAt), quickAge)
	}
	if p.figures > 0 {
		recent *= 1 + (p.figure/p.usual-1)*ageWeight(now.Sub(p.figureAt), figureAge)
	}
	return min(max(p.long()*recent, minPace), maxPace)
}

// reported returns the pace that the figures of a server state; 1 if it reports none.
func (p *paceEstimate) reported(now time.Time) float64 {
	if p.figures == 0 {
		return 1
	}
	return p.usual + (p.figure-p.usual)*ageWeight(now.Sub(p.figureAt), figureAge)
}

// ageWeight returns the weight of what was observed some time ago, which falls to 1/e at the given age.
func ageWeight(age, to time.Duration) float64 {
	return math.Exp(-max(age, 0).Seconds() / to.Seconds())
}

// RecordPace records the pace that a server has reported in another response than that of a call, in percent; 0 if it
// reported none.
func (b *Balancer) RecordPace(id string, percent int, now time.Time) {
	if s := b.servers[id]; s != nil {
		b.reportPace(s, percent, now)
	}
}

// UsualPace returns the long-term pace of a server; 1 if nothing is known about it.
func (b *Balancer) UsualPace(id string) float64 {
	if s := b.servers[id]; s != nil && b.paced[s.entry.Service] {
		return s.pace.long()
	}
	return 1
}

// reportPace records the figure that a server has reported; 0 if it reports none.
func (b *Balancer) reportPace(s *server, percent int, now time.Time) {
	if percent > 0 {
		s.pace.report(percent, now)
		b.paced[s.entry.Service] = true
	}
}

// recordEngineTime records the time of a sample in the pace of its engine, and returns the time that an engine of the
// usual pace would have taken.
func (b *Balancer) recordEngineTime(sample Sample, now time.Time) time.Duration {
	s := b.servers[sample.Server]
	if s == nil || sample.Took <= 0 || sample.Took > maxSample || sample.Tokens <= 0 {
		return sample.Took
	}
	b.reportPace(s, sample.Pace, now)
	if !b.paced[sample.Service] {
		// Engines of services that report no pace are served as before.
		return sample.Took
	}
	if expected := b.prefillSpeeds.expected(sample); expected > 0 {
		s.pace.add(float64(sample.Took)/expected/s.pace.reported(now), now)
	}
	return time.Duration(float64(sample.Took) / b.notePace(s, now))
}

// notePace adds the pace of a server that has answered to the mean pace of its service, and returns the pace.
func (b *Balancer) notePace(s *server, now time.Time) float64 {
	pace := s.pace.at(now)
	mean := b.meanPace(s.entry.Service)
	b.meanPaces[s.entry.Service] = mean + meanPaceWeight*(pace-mean)
	return pace
}

// meanPace returns the mean pace of the answers of a service.
func (b *Balancer) meanPace(service string) float64 {
	if mean, ok := b.meanPaces[service]; ok {
		return mean
	}
	return 1
}

// expected returns the expected time of a sample in nanoseconds; 0 if it is not known.
func (v *prefillSpeeds) expected(s Sample) float64 {
	service := v.services[s.Service]
	if service == nil || service.weight < priorWeight {
		return 0
	}
	base := service.base
	if model := v.models[s.Service+"/"+s.Model]; model != nil && model.weight > 0 {
		base = model.base
	}
	return base + v.perToken(s.Service, s.Model)*float64(s.Tokens)
}

// dueForTrial reports whether a server that is slow for its service has got no call for trialInterval.
func (b *Balancer) dueForTrial(s *server, pace float64, now time.Time) bool {
	return pace > slowPace*b.meanPace(s.entry.Service) && now.Sub(s.grantedAt) >= trialInterval
}

// pacedRank weights the rank of a server by its pace: of servers with similar load, one that is twice as slow gets half
// as many calls. Many daemons that learn of a quick server at the same time therefore don't all choose it.
func pacedRank(rank uint64, pace float64) uint64 {
	if pace == 1 {
		return rank
	}
	// A float64 holds whole numbers of up to 53 bits.
	const bits = 53
	weighted := math.Pow(float64(rank>>(64-bits))/(1<<bits), pace)
	return uint64(min(weighted*(1<<bits), 1<<bits-1)) << (64 - bits)
}
