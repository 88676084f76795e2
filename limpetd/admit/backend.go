package admit

import (
	"time"

	"github.com/limpetlb/limpetlb/limpetd/route"
)

const (
	// sampleWeight is the weight of a new sample in the means of a backend.
	sampleWeight = 0.1
	// maxSlowness bounds the slowness that is believed.
	maxSlowness = 8
	// keepEnded is how long an ended call is kept when no report comes.
	keepEnded = 10 * time.Second
)

// backend is what this daemon knows of an engine from its own calls.
type backend struct {
	vm       string
	number   int
	salt     uint64
	outlier  outlier
	instance string
	// window is the number of requests that the engine should have at most.
	window   float64
	windowAt time.Time
	limited  bool
	// flight are the calls in flight, past those that ended after the report.
	flight []*Call
	past   []span
	// counts are those since the report that was measured at at.
	counts   counts
	at       time.Time
	slowness mean
	hold     mean
	// reserve is the part of the window that is kept for urgent calls, as of
	// reserveAt; it was raised last at raisedAt.
	reserve             float64
	reserveAt, raisedAt time.Time
}

// span is the time of a call on an engine.
type span struct {
	sent, ended time.Time
}

// counts are the calls of this daemon with regard to a report: sent after it, the
// prompt tokens of those without a first token, ended after it, and before it
// those that it counts.
type counts struct {
	sent, tokens, ended, before int
}

// recount counts the calls anew for the report measured at at, and drops those
// that ended before it or long ago.
func (b *backend) recount(now, at time.Time) {
	b.at = at
	b.counts = counts{}
	kept := b.past[:0]
	for _, p := range b.past {
		if p.ended.Before(at) || now.Sub(p.ended) > keepEnded {
			continue
		}
		kept = append(kept, p)
		b.counts.ended++
		b.counts.add(!p.sent.Before(at))
	}
	b.past = kept
	for _, c := range b.flight {
		after := !c.sent.Before(at)
		b.counts.add(after)
		if after && !c.first {
			b.counts.tokens += c.need()
		}
	}
}

// add counts a call as sent after or before the report.
func (k *counts) add(after bool) {
	if after {
		k.sent++
	} else {
		k.before++
	}
}

// stalls tells whether an urgent call waits too long for its first token.
func (b *backend) stalls(now time.Time) bool {
	for _, c := range b.flight {
		if c.stalls(now) {
			return true
		}
	}
	return false
}

// send notes that a call was sent.
func (b *backend) send(c *Call) {
	c.slot = len(b.flight)
	b.flight = append(b.flight, c)
	b.counts.add(true)
	b.counts.tokens += c.need()
}

// firstToken notes the first token of a call.
func (b *backend) firstToken(c *Call) {
	if !c.first && !c.sent.Before(b.at) {
		b.counts.tokens -= c.need()
	}
	c.first = true
}

// end notes that a call in flight ended.
func (b *backend) end(c *Call) {
	b.firstToken(c)
	last := b.flight[len(b.flight)-1]
	b.flight[c.slot] = last
	last.slot = c.slot
	b.flight[len(b.flight)-1] = nil
	b.flight = b.flight[:len(b.flight)-1]
	b.counts.ended++
	b.past = append(b.past, span{sent: c.sent, ended: c.ended})
}

// own returns what the choice needs to know of the backend.
func (b *backend) own(now time.Time, e *route.Engine, daemons int, mayTry bool) route.Own {
	o := route.Own{
		Ejected:    b.outlier.ejected(now),
		Suspect:    b.outlier.suspect(now),
		Sent:       b.counts.sent,
		SentTokens: b.counts.tokens,
		Ended:      b.counts.ended,
		Slowness:   b.slowness.value,
		Hold:       time.Duration(b.hold.value * float64(time.Second)),
	}
	if b.outlier.times > 0 && (len(b.flight) > 0 || !mayTry) {
		// After an ejection one call at a time tries the engine, and only
		// while it could be sent again.
		o.Ejected = true
	}
	o.Room, o.WaitedRoom = b.room(e, daemons)
	return o
}
