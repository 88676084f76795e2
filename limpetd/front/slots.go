package front

import (
	"time"

	"github.com/limpetlb/limpetlb/limpetd/sched"
)

// sharesSlots reports whether the lease holder reserves the slots of the call's service for the calls of all daemons.
// The caller must hold mu.
func (c *call) sharesSlots() bool {
	return c.schedCall.Model == "" && c.front.balancer.SharesSlots(c.schedCall.Service)
}

// choiceWhenFull returns the choice for a call for which the lease holder has found no room. The caller must hold mu.
func (c *call) choiceWhenFull(g sched.Reservation, now time.Time) sched.Choice {
	if c.sharesSlots() {
		return c.front.balancer.SlotsFull(&c.schedCall, g.Delay, now)
	}
	return c.front.balancer.ChoiceWhenRefused(g, &c.schedCall, now)
}

// reportPlain reports to the lease holder how long a plain server took to answer a call whose slot the lease holder
// has reserved; 0 if the server has rejected the call.
func (a *attempt) reportPlain(took time.Duration, r ResponseHeaders) {
	c := &a.call.schedCall
	if a.alone && c.Model == "" {
		a.call.front.deps.Reserver.RecordSample(sched.Sample{Service: c.Service, Took: took, Server: a.server.ID, Pace: r.pace()})
	}
}

// fullReason returns the reason for the refusal of a call for which no server has room.
func (c *call) fullReason() string {
	if c.schedCall.Model == "" {
		return "no server has room in time"
	}
	return "no engine has room in time"
}

// needsSlot reports whether the lease holder must have reserved a slot for the call.
func (c *call) needsSlot() bool {
	c.front.mu.Lock()
	defer c.front.mu.Unlock()
	return c.sharesSlots()
}

// reportFirstEvent reports to the lease holder how long an engine took to begin its response, or to answer with an error,
// which says nothing about the pace of the engine.
func (a *attempt) reportFirstEvent(r ResponseHeaders, now time.Time) {
	c := &a.call.schedCall
	sample := sched.Sample{Service: c.Service, Model: c.Model, Tokens: c.PromptTokens, Took: now.Sub(a.sentAt)}
	if !a.isError {
		sample.Server, sample.Pace = a.server.ID, r.pace()
	}
	a.call.front.deps.Reserver.RecordSample(sample)
}
