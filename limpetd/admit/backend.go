package admit

import (
	"time"

	"github.com/limpetlb/limpetlb/limpetd/route"
)

const (
	// sampleWeight is the weight of a new sample in the moving averages of a backend.
	sampleWeight = 0.1
	// maxSlowness caps each slowness sample.
	maxSlowness = 8
	// endedTTL is how long an ended call is kept while no newer report arrives.
	endedTTL = 10 * time.Second
)

// backend is the state of an engine as observed through this daemon's own calls.
type backend struct {
	vm string
	// number is the engine's index in the view, or -1 if the view does not hold
	// the engine.
	number int
	// salt differs between daemons and between engines; see roundingThreshold.
	salt    uint64
	outlier outlier
	// instance is the engine instance that the window applies to.
	instance string
	// window is the maximum number of requests that the engine should have.
	window          float64
	windowChangedAt time.Time
	// windowLimited is whether a class found no room since the window last changed.
	windowLimited bool
	// inFlight are the calls in flight, recent the calls that ended after the
	// last report was measured.
	inFlight []*Call
	recent   []callSpan
	// counts relate to the last report, which was measured at reportedAt.
	counts     counts
	reportedAt time.Time
	// slowness averages the ratio of measured to estimated times to the first
	// token, each sample between 1 and maxSlowness. serviceTime averages the seconds
	// that an answered call stays on the engine.
	slowness    ewma
	serviceTime ewma
	// reserve is the fraction of the window that is kept for urgent calls. It
	// was computed at reserveUpdatedAt and last raised at reserveRaisedAt.
	reserve                           float64
	reserveUpdatedAt, reserveRaisedAt time.Time
}

// callSpan is the time that an ended call spent on an engine.
type callSpan struct {
	sent, ended time.Time
}

// counts relates the calls of this daemon to the time at which an engine's report was
// measured. sent counts the calls that were sent after that time, and promptTokens
// their uncached prompt tokens while they have no first token. ended counts the calls
// that ended after that time. sentBefore counts the calls that were in flight at that
// time, which the report therefore includes.
type counts struct {
	sent, promptTokens, ended, sentBefore int
}

// recount computes the counts for a report that was measured at reportedAt. It
// drops the calls that ended before the report or more than endedTTL ago.
func (b *backend) recount(now, reportedAt time.Time) {
	b.reportedAt = reportedAt
	b.counts = counts{}
	kept := b.recent[:0]
	for _, s := range b.recent {
		if s.ended.Before(reportedAt) || now.Sub(s.ended) > endedTTL {
			continue
		}
		kept = append(kept, s)
		b.counts.ended++
		b.counts.add(!s.sent.Before(reportedAt))
	}
	b.recent = kept
	for _, c := range b.inFlight {
		after := !c.sent.Before(reportedAt)
		b.counts.add(after)
		if after && !c.gotFirstToken {
			b.counts.promptTokens += c.uncachedTokens()
		}
	}
}

// add counts a call as sent after the report, or before it.
func (c *counts) add(after bool) {
	if after {
		c.sent++
	} else {
		c.sentBefore++
	}
}

// stalled reports whether a call in flight is stalled.
func (b *backend) stalled(now time.Time) bool {
	for _, c := range b.inFlight {
		if c.stalled(now) {
			return true
		}
	}
	return false
}

// recordSend records that a call was sent.
func (b *backend) recordSend(c *Call) {
	c.flightIndex = len(b.inFlight)
	b.inFlight = append(b.inFlight, c)
	b.counts.add(true)
	b.counts.promptTokens += c.uncachedTokens()
}

// recordFirstToken records the first token of a call; repeated calls have no effect.
func (b *backend) recordFirstToken(c *Call) {
	if !c.gotFirstToken && !c.sent.Before(b.reportedAt) {
		b.counts.promptTokens -= c.uncachedTokens()
	}
	c.gotFirstToken = true
}

// recordEnd records that a call in flight ended.
func (b *backend) recordEnd(c *Call) {
	b.recordFirstToken(c)
	last := b.inFlight[len(b.inFlight)-1]
	b.inFlight[c.flightIndex] = last
	last.flightIndex = c.flightIndex
	b.inFlight[len(b.inFlight)-1] = nil
	b.inFlight = b.inFlight[:len(b.inFlight)-1]
	b.counts.ended++
	b.recent = append(b.recent, callSpan{sent: c.sent, ended: c.ended})
}

// own returns what this daemon has measured of the engine with its own calls, as an input to
// route.Choose. daemons is the number of live daemons, and mayRetry is whether the
// retry budget allows a retry.
func (b *backend) own(now time.Time, e *route.Engine, daemons int, mayRetry bool) route.LocalState {
	o := route.LocalState{
		Ejected:         b.outlier.ejected(now),
		Suspect:         b.outlier.suspect(now),
		Sent:            b.counts.sent,
		SentTokens:      b.counts.promptTokens,
		Ended:           b.counts.ended,
		Slowness:        b.slowness.value,
		MeanServiceTime: time.Duration(b.serviceTime.value * float64(time.Second)),
	}
	if b.outlier.ejections > 0 && (len(b.inFlight) > 0 || !mayRetry) {
		// After an ejection the engine is probed with one call at a time, and
		// only while the retry budget allows the call to be sent again.
		o.Ejected = true
	}
	o.ClassesWithRoom, o.ClassesWithRoomAfterWait = b.room(e, daemons)
	return o
}
