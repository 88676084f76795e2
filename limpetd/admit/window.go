package admit

import (
	"math"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/route"
)

const (
	// defaultBatchLimit is assumed for an engine that does not report its batch
	// limit.
	defaultBatchLimit = 16
	// minWindowFraction and maxWindowFraction bound a window as fractions of the
	// batch limit.
	minWindowFraction = 0.25
	maxWindowFraction = 1.1
	// windowShrink is the factor by which a window shrinks, windowGrow the
	// fraction of the batch limit by which it grows. A window changes at most
	// once per windowPeriod.
	windowShrink = 0.85
	windowGrow   = 0.05
	windowPeriod = time.Second
	// lateFraction is the fraction of a call's expected time to the first token
	// that may pass on the engine before the first token counts as late.
	lateFraction = 0.6
)

const (
	// minReserve and maxReserve bound the reserve for urgent calls, a fraction of
	// the window. The reserve grows by reserveGrow, at most once per
	// reservePeriod, while urgent calls find no room in time or first tokens are late.
	// It shrinks by reserveShrink per second, and by reserveDrop per second once it
	// has not been raised for reserveHold.
	minReserve    = 0.1
	maxReserve    = 0.9
	reserveGrow   = 0.2
	reserveShrink = 0.01
	reserveDrop   = 0.2
	reserveHold   = 5 * time.Second
	reservePeriod = 250 * time.Millisecond
	// deferredFraction is the fraction of the window without the reserve that
	// deferred calls may fill.
	deferredFraction = 0.65
	// undividedFraction is the fraction of a class's limit up to which the room
	// is not divided among the daemons.
	undividedFraction = 0.5
)

// batchLimit returns the batch limit of an engine.
func batchLimit(e *route.Engine) float64 {
	if e.Report.BatchLimit > 0 {
		return float64(e.Report.BatchLimit)
	}
	return defaultBatchLimit
}

// clampWindow keeps the window within the engine's bounds. A new instance of the
// engine starts with the largest window.
func (b *backend) clampWindow(e *route.Engine) {
	batch := batchLimit(e)
	if b.window == 0 || b.instance != e.Report.Instance {
		b.instance = e.Report.Instance
		b.window = batch * maxWindowFraction
	}
	b.window = min(max(b.window, batch*minWindowFraction, 1), batch*maxWindowFraction)
}

// adaptWindow changes the window after the first token of a call. took is the time from
// the send to the first token, and expected the time from the arrival of the call to the
// expected first token. A late first token shrinks the window and raises the reserve. An
// early one grows the window if a class found no room since the last change.
func (b *backend) adaptWindow(now time.Time, took, expected time.Duration, e *route.Engine) {
	if expected <= 0 || now.Sub(b.windowChangedAt) < windowPeriod {
		return
	}
	switch {
	case took > time.Duration(lateFraction*float64(expected)):
		b.raiseReserve(now)
		b.window *= windowShrink
	case b.windowLimited && took < expected/2:
		b.window += windowGrow * batchLimit(e)
	default:
		return
	}
	b.windowChangedAt, b.windowLimited = now, false
	b.clampWindow(e)
}

// room returns the number of classes that the engine has room for, counted from the
// most urgent class, and the same number for calls that waited.
//
// Other daemons send calls to the engine too, which this daemon sees only in the
// next report. Calls that are sent on arrival come at a rate that engines mostly
// keep up with, but calls that wait in many daemons would all be sent at the same
// time. For such calls, the capacity that is free according to the report is
// divided among the daemons: each gets a part in proportion to its share of the
// engine's load, but at least an equal part. A daemon may also replace its own calls
// that ended since the report.
func (b *backend) room(e *route.Engine, daemons int) (room, waited int) {
	load := float64(e.Report.Running + e.Report.Waiting)
	share := 1 / float64(max(daemons, 1))
	if load > 0 {
		share = max(share, min(float64(b.counts.sentBefore)/load, 1))
	}
	change := float64(b.counts.sent - b.counts.ended)
	normal := (1 - b.reserve) * min(b.window, batchLimit(e))
	classLimits := [classCount]float64{b.window, normal, normal * deferredFraction}
	for class, limit := range classLimits {
		if load+change+1 > limit {
			b.windowLimited = true
			break
		}
		room = class + 1
	}
	for class, limit := range classLimits {
		if load+change >= limit*undividedFraction && roundShare((limit-load)*share, b.roundingThreshold(e)) <= change {
			break
		}
		waited = class + 1
	}
	return room, waited
}

// raiseReserve raises the reserve, because an urgent call found no room in time or a
// first token was late.
func (b *backend) raiseReserve(now time.Time) {
	if now.Sub(b.reserveUpdatedAt) < reservePeriod {
		return
	}
	b.decayReserve(now)
	b.reserve = min(b.reserve+reserveGrow, maxReserve)
	b.reserveRaisedAt = now
}

// decayReserve shrinks the reserve by the time since its last update.
func (b *backend) decayReserve(now time.Time) {
	shrink := reserveShrink
	if now.Sub(b.reserveRaisedAt) > reserveHold {
		shrink = reserveDrop
	}
	if !b.reserveUpdatedAt.IsZero() {
		b.reserve -= shrink * now.Sub(b.reserveUpdatedAt).Seconds()
	}
	b.reserve = max(b.reserve, minReserve)
	b.reserveUpdatedAt = now
}

// roundShare rounds a share up if its fractional part exceeds threshold, and down
// otherwise. With thresholds that are spread evenly over the daemons, the rounded
// shares add up to about the sum of the shares.
func roundShare(share, threshold float64) float64 {
	whole := math.Floor(share)
	if threshold < share-whole {
		whole++
	}
	return whole
}

// roundingThreshold returns a pseudo-random number in [0, 1) that depends on the
// daemon, the engine and the sequence number of the engine's report.
func (b *backend) roundingThreshold(e *route.Engine) float64 {
	x := b.salt ^ uint64(e.Report.Sequence)*0x9e3779b97f4a7c15
	return unitFloat(mixBits(x))
}
