package front

import (
	"math"
	"net/http"
	"slices"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/layout"
	"github.com/limpetlb/limpetlb/limpetd/sched"
)

// authenticate finds the organisation of the caller by the key of the call. It returns false if it ended the call,
// because its route needs a key and the call has none, an unknown one or several. No log line or response
// contains the key.
func (c *call) authenticate(config *layout.Config, route *layout.Route) bool {
	if config.Keys == nil || route.Public {
		return true
	}
	c.schedCall.Route = route
	if len(c.info.Keys) == 1 {
		c.key, c.hasKey = layout.HashKey(c.info.Keys[0])
	}
	c.info.Keys = nil
	if c.hasKey {
		c.schedCall.Organisation = config.Keys.Match(c.key)
	}
	if c.schedCall.Organisation == nil {
		c.endWithoutKey()
		return false
	}
	// Requests of different organisations are different requests.
	c.info.Caller = c.schedCall.Organisation.Name
	return true
}

// keepKey reports whether the configuration in force still has the key of the call. A key may be withdrawn, or given to
// another organisation, while its calls wait. The caller must hold mu or own the call, which then must not wait.
func (c *call) keepKey() bool {
	if !c.hasKey {
		return true
	}
	config := c.front.activeConfig.Load().config
	if config.Keys == nil {
		return true
	}
	o := config.Keys.Match(c.key)
	if o == nil {
		return false
	}
	if o.Name != c.organisation() {
		c.front.deps.Dialect.SetOrganisation(c.request.Header, o.Name)
	}
	c.schedCall.Organisation = o
	return true
}

// endWithdrawn ends the waits of the calls whose keys are no longer valid.
func (f *Front) endWithdrawn() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.waiters = slices.DeleteFunc(f.waiters, func(w *waiter) bool {
		if w.call.keepKey() {
			return false
		}
		w.result <- sched.Choice{Verdict: sched.KeyWithdrawn}
		return true
	})
}

// endWithoutKey ends a call that has no valid key. Clients do not repeat a call that is answered with 401, also if a
// server has run it.
func (c *call) endWithoutKey() {
	if !c.responseBegun {
		c.writer.Header().Set("WWW-Authenticate", "Key")
	}
	c.fail(code.BadKey, http.StatusUnauthorized, "the key is missing, unknown or withdrawn")
}

// organisation returns the name of the caller's organisation; empty if the call needs none.
func (c *call) organisation() string {
	if o := c.schedCall.Organisation; o != nil {
		return o.Name
	}
	return ""
}

// organisationPriority returns the priority of the most urgent organisation that has one, math.MaxInt if none has, and
// whether the priority of the route applies to another organisation.
func organisationPriority(list []*layout.Organisation) (top int, routeApplies bool) {
	top, routeApplies = math.MaxInt, len(list) == 0
	for _, o := range list {
		if o.HasPriority {
			top = min(top, o.Priority)
		} else {
			routeApplies = true
		}
	}
	return top, routeApplies
}
