package quota

import (
	"maps"
	"time"
)

// Daemon holds the shares and the credit of a daemon.
type Daemon struct {
	// random returns numbers in [0, 1).
	random func() float64
	// daemons is the number of daemons; 0 if it is not known.
	daemons  int
	holdings map[string]*holding
}

// holding is what a daemon holds of an organisation's quota.
type holding struct {
	limit  Limit
	share  Share
	credit Credit
	// used is what was used without the lease holder and is to be reported to it.
	used float64
	// answeredAt is when the lease holder last answered a call; zero if it never has.
	answeredAt time.Time
}

// NewDaemon returns a Daemon without organisations, which uses no shares before SetDaemons.
func NewDaemon(random func() float64) *Daemon {
	return &Daemon{random: random, holdings: map[string]*holding{}}
}

// SetLimits replaces the limits.
func (d *Daemon) SetLimits(limits map[string]Limit) {
	maps.DeleteFunc(d.holdings, func(name string, _ *holding) bool { return !has(limits, name) })
	for name, l := range limits {
		if h := d.holdings[name]; h != nil {
			h.limit = l
		} else {
			d.holdings[name] = &holding{limit: l}
		}
	}
}

// SetDaemons sets the number of daemons that share the quotas; 0 if it is not known, or if this daemon is not
// one of those that the others count.
func (d *Daemon) SetDaemons(n int) { d.daemons = n }

// Limited reports whether the calls of an organisation must be charged.
func (d *Daemon) Limited(organisation string) bool { return d.holdings[organisation] != nil }

// TakeCredit uses unused credit for a call. It returns when the credit would have expired.
func (d *Daemon) TakeCredit(organisation string, charge float64, now time.Time) (expiresAt time.Time, ok bool) {
	h := d.holdings[organisation]
	if h == nil {
		return time.Time{}, false
	}
	return h.credit.Take(charge, now)
}

// Return keeps the charge of a call that was not sent. expiresAt is as in Credit.Add.
func (d *Daemon) Return(organisation string, charge float64, expiresAt, now time.Time) {
	if h := d.holdings[organisation]; h != nil {
		h.credit.Add(charge, expiresAt, now)
	}
}

// TakeShare uses the share of this daemon for a call that the lease holder has not charged.
func (d *Daemon) TakeShare(organisation string, charge float64, now time.Time) bool {
	h := d.holdings[organisation]
	if h == nil || d.daemons == 0 || !h.share.Take(h.limit.PerSecond/float64(d.daemons)*shareFraction, charge, d.random(), now) {
		return false
	}
	h.used += charge
	return true
}

// Force uses the share for a further send of a call, which is not refused.
func (d *Daemon) Force(organisation string, charge float64) {
	if h := d.holdings[organisation]; h != nil {
		h.share.Force(charge)
		h.used += charge
	}
}

// RecordAnswer records that the lease holder has answered a call of an organisation.
func (d *Daemon) RecordAnswer(organisation string, now time.Time) {
	if h := d.holdings[organisation]; h != nil {
		h.share.Stop(now)
		h.answeredAt = now
	}
}

// AnsweredAt returns when the lease holder last answered a call of an organisation; the zero time if it never has.
func (d *Daemon) AnsweredAt(organisation string) time.Time {
	if h := d.holdings[organisation]; h != nil {
		return h.answeredAt
	}
	return time.Time{}
}

// TakeUse returns what was used without the lease holder since the last call, by organisation; nil if nothing was.
func (d *Daemon) TakeUse() map[string]float64 {
	var use map[string]float64
	for name, h := range d.holdings {
		if h.used == 0 {
			continue
		}
		if use == nil {
			use = map[string]float64{}
		}
		use[name], h.used = h.used, 0
	}
	return use
}
