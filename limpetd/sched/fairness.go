package sched

import (
	"math"
	"time"
)

const (
	// leastServed is the part of the mean share of granted calls below which an organisation's calls are not put behind
	// others for their priority or work. The requirement is a quarter; the rest is for the delay of the correction.
	leastServed = 0.4
	// minAsked is the decayed number of calls from which on the share of an organisation counts.
	minAsked = 1.0
	// maxCounts limits the organisations that are counted by model. Above it, those without recent calls are dropped.
	maxCounts = 256
)

// counts are the decayed numbers of calls that asked and that were granted.
type counts struct {
	at             time.Time
	asked, granted float64
}

// decay forgets old calls.
func (c *counts) decay(now time.Time) {
	if passed := now.Sub(c.at); passed > 0 {
		f := math.Exp(-float64(passed) / float64(demandWindow))
		c.at, c.asked, c.granted = now, c.asked*f, c.granted*f
	}
}

// add counts a call that asked for the first time, and one that was granted.
func (c *counts) add(asks, granted bool) {
	if asks {
		c.asked++
	}
	if granted {
		c.granted++
	}
}

// of returns the counts of an organisation, decayed to now.
func (d *demand) of(organisation string) *counts {
	c := d.organisations[organisation]
	if c == nil {
		if d.organisations == nil {
			d.organisations = map[string]*counts{}
		}
		if len(d.organisations) >= maxCounts {
			for name, o := range d.organisations {
				if o.decay(d.at); o.asked < minAsked {
					delete(d.organisations, name)
				}
			}
		}
		c = &counts{at: d.at}
		d.organisations[organisation] = c
	}
	c.decay(d.at)
	return c
}

// recordOrganisation counts the answer to a request for all calls and for those of its organisation.
func (d *demand) recordOrganisation(a *ReservationRequest, granted bool) {
	if a.CallerOrganisation == "" {
		return
	}
	d.all.decay(d.at)
	d.all.add(a.Waited <= firstAsk, granted)
	d.of(a.CallerOrganisation).add(a.Waited <= firstAsk, granted)
}

// isNeglected reports whether the organisation of the request is granted a far smaller share of its calls than all
// organisations are.
func (d *demand) isNeglected(a *ReservationRequest) bool {
	if a.CallerOrganisation == "" || d.all.asked < minAsked {
		return false
	}
	c := d.of(a.CallerOrganisation)
	return c.asked >= minAsked && c.granted*d.all.asked < leastServed*d.all.granted*c.asked
}

// organisation returns the name of the call's organisation.
func (c *Call) organisation() string {
	if c.Organisation == nil {
		return ""
	}
	return c.Organisation.Name
}
