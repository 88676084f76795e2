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

// firstEventTime returns the estimated time from the start of a prefill of the given length to the first event, which an
// engine generates in the decoding step after the prefill.
func (b *Balancer) firstEventTime(a *ReservationRequest, prefillTime time.Duration) time.Duration {
	step := blockGap
	if p := b.prefillSpeeds.services[a.Service]; p != nil {
		step = max(step, time.Duration(p.base))
	}
	return prefillTime + step
}
