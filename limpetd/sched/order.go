package sched

import "time"

// latestStart returns the latest start of the prefill, counted from now, with which the first event comes within the
// objective. It is negative if no start is early enough.
//
// MaxStartDelay alone leaves a fixed part of the objective for the prefill and the first decoding step. With an objective
// of 400 ms that is 60 ms, which many prompts exceed: their streams began late although their start was granted.
func (a *ReservationRequest) latestStart(firstEvent time.Duration) time.Duration {
	// The expectation of the call is at least the shortest one of its service.
	left := a.MaxStartDelay + time.Duration((1-expectationShare)*float64(a.ShortestExpectation))
	return left - firstEvent
}

const (
	// delayQuantile is the part of the first events that come within the estimated delay, delayStep the step by which a
	// sample moves the estimate.
	delayQuantile = 0.75
	delayStep     = 15 * time.Millisecond
	// maxDelayShare limits the delay to a part of the shortest expectation, so that calls are not refused for an estimate
	// that engines have not kept for a moment.
	maxDelayShare = 0.25
)

// firstEventDelay estimates how much longer than its prefill engines take to send the first event of a call: the rest of
// the step in progress, a decoding step, and other prompts that are prefilled in the same step.
type firstEventDelay struct{ delay time.Duration }

// add adds the difference between a measured time to the first event and the estimated time of the prefill.
func (d *firstEventDelay) add(excess time.Duration) {
	if excess > d.delay {
		d.delay += time.Duration(delayQuantile * float64(delayStep))
		return
	}
	d.delay = max(d.delay-time.Duration((1-delayQuantile)*float64(delayStep)), 0)
}

// recordDelay records a sample for the estimated delay of first events.
func (b *Balancer) recordDelay(s Sample) {
	d := b.delays[s.Service]
	if d == nil {
		d = &firstEventDelay{delay: blockGap}
		b.delays[s.Service] = d
	}
	d.add(s.Took - b.prefillSpeeds.prefillTime(s.Service, s.Model, s.Tokens))
}

// firstEventTime returns the estimated time from the start of a prefill of the given length to the first event.
func (b *Balancer) firstEventTime(a *ReservationRequest, prefillTime time.Duration) time.Duration {
	delay := blockGap
	if d := b.delays[a.Service]; d != nil {
		delay = max(delay, min(d.delay, time.Duration(maxDelayShare*float64(a.ShortestExpectation))))
	}
	return prefillTime + delay
}
