package front

import (
	"context"
	"net/http"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/layout"
	"github.com/limpetlb/limpetlb/limpetd/quota"
	"github.com/limpetlb/limpetlb/limpetd/sched"
)

// quotaRetryAfter is the Retry-After of a call for which this daemon finds no quota while the lease holder does not
// answer. It is short, because another daemon may reach the lease holder.
const quotaRetryAfter = 100 * time.Millisecond

// charge is what was charged for a send of a call. It is guarded by the mu of the Front.
type charge struct {
	// held is whether the next send is charged.
	held bool
	// expiresAt is when the credit expires that the charge was taken from; zero if it was not.
	expiresAt time.Time
}

// applyQuotas puts the quotas of the configuration in force.
func (f *Front) applyQuotas() {
	config := f.activeConfig.Load().config
	limits := quotaLimits(config)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.activeConfig.Load().config != config {
		// The limits of the newer configuration are put in force with it.
		return
	}
	f.quotas.SetLimits(limits, time.Now())
	f.holdings.SetLimits(limits)
}

// quotaLimits returns the limits of the organisations that have one.
func quotaLimits(c *layout.Config) map[string]quota.Limit {
	limits := map[string]quota.Limit{}
	for _, o := range c.Organisations {
		if o.Quota.Limited() {
			limits[o.Name] = quota.Limit{PerSecond: o.Quota.PerSecond, Burst: o.Quota.Burst}
		}
	}
	return limits
}

// SetQuotaDaemons sets the number of daemons that share the quotas while the lease holder does not answer; 0 if this
// daemon is not in their list, so that the others do not count it.
func (f *Front) SetQuotaDaemons(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.holdings.SetDaemons(n)
}

// StartQuotas empties the buckets of all quotas, because this daemon has become the lease holder.
func (f *Front) StartQuotas() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.quotas.Reset(time.Now())
}

// SetConnected sets the fraction of the daemons that are connected to this one, the lease holder.
func (f *Front) SetConnected(fraction float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.quotas.SetConnected(fraction, time.Now())
}

// ChargeQuotas charges what a daemon has used without an answer of this one, the lease holder.
func (f *Front) ChargeQuotas(use map[string]float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	for organisation, units := range use {
		f.quotas.Charge(organisation, units, now)
	}
}

// TakeQuotaUse returns what this daemon has used without an answer of the lease holder since the last call.
func (f *Front) TakeQuotaUse() map[string]float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.holdings.TakeUse()
}

// Reserve answers a request of any daemon for a reservation of engine time, and charges the quota of its
// organisation if the answer is Chosen. Without a service, it only charges. Nothing is charged if Charge is 0.
func (f *Front) Reserve(a sched.ReservationRequest) sched.Reservation {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	if a.Charge > 0 && !a.Unconditional {
		if wait, ok := f.quotas.Check(a.Organisation, a.Charge, now); !ok {
			return sched.Reservation{Verdict: sched.OverQuota, Delay: wait}
		}
	}
	g := sched.Reservation{Verdict: sched.Chosen}
	if a.Organisation == "" || a.Service != "" {
		g = f.balancer.Reserve(&a, now)
		f.metrics.recordReservation(g, f.balancer.ReasonOf(&a, g, now))
	}
	if g.Verdict == sched.Chosen && a.Charge > 0 {
		g.Charged = f.quotas.Charge(a.Organisation, a.Charge, now)
	}
	return g
}

// units returns what a send of the call counts as; 0 if no quota applies. The caller must hold mu.
func (c *call) units() float64 {
	o := c.schedCall.Organisation
	if o == nil || !c.front.holdings.Limited(o.Name) {
		return 0
	}
	if c.info.InvalidTokens {
		return o.Quota.Charge(0, 0)
	}
	return o.Quota.Charge(c.info.PromptTokens, c.info.OutputTokens)
}

// needsCharge reports whether the call must be charged before it is sent, and no unused credit suffices, which it
// takes otherwise. The caller must hold mu.
func (c *call) needsCharge(now time.Time) bool {
	units := c.units()
	if units <= 0 || c.charge.held {
		return false
	}
	expiresAt, ok := c.front.holdings.TakeCredit(c.organisation(), units, now)
	if ok {
		c.charge = charge{true, expiresAt}
	}
	return !ok
}

// isCharged reports whether the call may be sent: whether its send was charged or is a further one, which is not refused
// for lack of quota. The caller must hold mu.
func (c *call) isCharged(now time.Time) bool {
	if !c.needsCharge(now) {
		return true
	}
	if c.runs == 0 {
		return false
	}
	c.front.holdings.Force(c.organisation(), c.units())
	c.charge = charge{held: true}
	return true
}

// addCharge adds the charge of the call to a request to the lease holder. The caller must hold mu.
func (c *call) addCharge(a *sched.ReservationRequest, now time.Time) {
	if c.needsCharge(now) {
		a.Organisation, a.Charge, a.Unconditional = c.organisation(), c.units(), c.runs > 0
	}
}

// recordCharge records whether the lease holder has charged the call. It reports whether the call may go on: a lease
// holder that chooses without charging can't tell whether there is quota left, and the share of this daemon decides.
func (c *call) recordCharge(a *sched.ReservationRequest, g *sched.Reservation) bool {
	if a.Organisation == "" {
		return true
	}
	f := c.front
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case g.Charged:
		c.charge = charge{held: true}
	case g.Verdict == sched.Chosen:
		return c.takeShare(time.Now())
	}
	if g.Charged || g.Verdict == sched.OverQuota {
		f.holdings.RecordAnswer(a.Organisation, time.Now())
	}
	return true
}

// takeShare charges the share of this daemon. The caller must hold mu.
func (c *call) takeShare(now time.Time) bool {
	if !c.isCharged(now) {
		c.charge = charge{held: c.front.holdings.TakeShare(c.organisation(), c.units(), now)}
		return c.charge.held
	}
	return true
}

// chargeOwnChoice charges a call for which this daemon chooses the server, if there is one. It asks the lease holder if
// mayAsk is set, and uses the share of this daemon otherwise. It returns false with the reason if the call may not be sent.
func (c *call) chargeOwnChoice(ctx context.Context, mayAsk bool) (sched.Choice, bool) {
	f := c.front
	f.mu.Lock()
	now := time.Now()
	charged, units := c.isCharged(now), c.units()
	var choice sched.Choice
	if !charged {
		choice = f.balancer.Choose(&c.schedCall, now)
	}
	f.mu.Unlock()
	if charged || choice.Verdict != sched.Chosen {
		return choice, charged
	}
	unknown := sched.Choice{Verdict: sched.QuotaUnknown, RetryAfter: quotaRetryAfter}
	if mayAsk && f.deps.Reserver != nil {
		a := sched.ReservationRequest{Organisation: c.organisation(), Charge: units}
		if g, err := f.deps.Reserver.Reserve(ctx, a); err == nil {
			c.outcome.asks++
			c.recordCharge(&a, &g)
			if g.Verdict == sched.OverQuota {
				return sched.Choice{Verdict: sched.OverQuota, RetryAfter: g.Delay}, false
			}
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return unknown, c.takeShare(time.Now())
}

// useCharge records that the call was sent.
func (c *call) useCharge() {
	c.front.mu.Lock()
	defer c.front.mu.Unlock()
	c.charge.held = false
}

// keepCharge records that the server has not run the call, so that its charge serves for the next send.
func (c *call) keepCharge() {
	c.front.mu.Lock()
	defer c.front.mu.Unlock()
	c.charge.held = c.units() > 0
}

// returnCharge keeps the charge of a call that is not sent for other calls of its organisation.
func (c *call) returnCharge() {
	f := c.front
	f.mu.Lock()
	defer f.mu.Unlock()
	if c.charge.held {
		f.holdings.Return(c.organisation(), c.units(), c.charge.expiresAt, time.Now())
		c.charge = charge{}
	}
}

// endOverQuota ends a call for which the organisation has no quota left.
func (c *call) endOverQuota(choice sched.Choice) {
	c.front.metrics.overQuota.Inc(1)
	if !c.responseBegun {
		c.writer.Header().Set("Retry-After", formatSeconds(choice.RetryAfter))
	}
	c.fail(code.OverQuota, http.StatusTooManyRequests, "the organisation has used its quota")
}

// endWithoutQuota ends a call for which this daemon does not know whether the organisation has quota left.
func (c *call) endWithoutQuota(choice sched.Choice) {
	c.front.metrics.quotaUnknown.Inc(1)
	c.giveUp(code.QuotaUnknown, choice, "the lease holder, which keeps the quotas, does not answer")
}
