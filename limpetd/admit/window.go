package admit

import (
	"math"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/route"
)

const (
	// defaultWindow is the window of an engine that has not told its batch
	// limit.
	defaultWindow = 16
	// minWindowPart and maxWindowPart bound a window as parts of the batch
	// limit.
	minWindowPart = 0.25
	maxWindowPart = 1.1
	// windowShrink and windowGrow change a window, once a windowPeriod.
	windowShrink = 0.85
	windowGrow   = 0.05
	windowPeriod = time.Second
	// latePart is the part of the expectation that a first token may take on the
	// engine before it counts as late.
	latePart = 0.6
)

const (
	// minReserve and maxReserve bound the reserve for urgent calls. It grows by
	// reserveGrow, once a reservePeriod, while urgent calls find no room or
	// their first tokens are late. It shrinks by reserveShrink a second, and by
	// reserveDrop once it was not raised for reserveHold.
	minReserve    = 0.1
	maxReserve    = 0.9
	reserveGrow   = 0.2
	reserveShrink = 0.01
	reserveDrop   = 0.2
	reserveHold   = 5 * time.Second
	reservePeriod = 250 * time.Millisecond
	// deferredPart is the part of the window less the reserve that deferred calls
	// may fill.
	deferredPart = 0.65
	// undivided is the part of what a class may fill below which room is not
	// divided among daemons.
	undivided = 0.5
)

// limit returns the batch limit of an engine.
func limit(e *route.Engine) float64 {
	if e.Report.BatchLimit > 0 {
		return float64(e.Report.BatchLimit)
	}
	return defaultWindow
}

// begin keeps the window within the bounds of the engine.
func (b *backend) begin(e *route.Engine) {
	batch := limit(e)
	if b.window == 0 || b.instance != e.Report.Instance {
		b.instance = e.Report.Instance
		b.window = batch * maxWindowPart
	}
	b.window = min(max(b.window, batch*minWindowPart, 1), batch*maxWindowPart)
}

// adapt changes the window after a first token that needed took of the time
// expected for it.
func (b *backend) adapt(now time.Time, took, expected time.Duration, e *route.Engine) {
	if expected <= 0 || now.Sub(b.windowAt) < windowPeriod {
		return
	}
	switch {
	case took > time.Duration(latePart*float64(expected)):
		b.raiseReserve(now)
		b.window *= windowShrink
	case b.limited && took < expected/2:
		b.window += windowGrow * limit(e)
	default:
		return
	}
	b.windowAt, b.limited = now, false
	b.begin(e)
}

// room returns the numbers of classes that the engine has room for, and has for
// calls that waited. Other daemons send too, which this one learns only from the
// next report. Arrivals come at a rate that engines mostly keep up with, but calls
// that wait in many daemons would all be sent at once: for them what is free in
// the report is divided among the daemons, by their part of the engine's load, and
// a daemon may replace its own calls that ended.
func (b *backend) room(e *route.Engine, daemons int) (room, waited int) {
	load := float64(e.Report.Running + e.Report.Waiting)
	share := 1 / float64(max(daemons, 1))
	if load > 0 {
		share = max(share, min(float64(b.counts.before)/load, 1))
	}
	change := float64(b.counts.sent - b.counts.ended)
	normal := (1 - b.reserve) * min(b.window, limit(e))
	limits := [classes]float64{b.window, normal, normal * deferredPart}
	for class, most := range limits {
		if load+change+1 > most {
			b.limited = true
			break
		}
		room = class + 1
	}
	for class, most := range limits {
		if load+change >= most*undivided && divide((most-load)*share, b.fraction(e)) <= change {
			break
		}
		waited = class + 1
	}
	return room, waited
}

// raiseReserve notes that an urgent call found no room.
func (b *backend) raiseReserve(now time.Time) {
	if now.Sub(b.reserveAt) < reservePeriod {
		return
	}
	b.lowerReserve(now)
	b.reserve = min(b.reserve+reserveGrow, maxReserve)
	b.raisedAt = now
}

// lowerReserve lets the reserve shrink with time.
func (b *backend) lowerReserve(now time.Time) {
	shrink := reserveShrink
	if now.Sub(b.raisedAt) > reserveHold {
		shrink = reserveDrop
	}
	if !b.reserveAt.IsZero() {
		b.reserve -= shrink * now.Sub(b.reserveAt).Seconds()
	}
	b.reserve = max(b.reserve, minReserve)
	b.reserveAt = now
}

// divide returns a share as a whole number. Its fraction is rounded by a number
// that differs between daemons, so that the shares of many daemons add up to what
// is free.
func divide(share, fraction float64) float64 {
	whole := math.Floor(share)
	if fraction < share-whole {
		whole++
	}
	return whole
}

// fraction returns a number between 0 and 1 that depends on the daemon and the
// report of an engine.
func (b *backend) fraction(e *route.Engine) float64 {
	x := b.salt ^ uint64(e.Report.Sequence)*0x9e3779b97f4a7c15
	return unit(mix(x))
}
