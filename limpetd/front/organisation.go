package front

import (
	"math"
	"net/http"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/layout"
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

// hasValidKey reports whether the configuration in force still has the key of the call. A key may be withdrawn while
// its calls wait.
func (c *call) hasValidKey() bool {
	if !c.hasKey {
		return true
	}
	config := c.front.activeConfig.Load().config
	return config.Keys == nil || config.Keys.Match(c.key) != nil
}

// endWithoutKey ends a call that has no valid key.
func (c *call) endWithoutKey() {
	if c.runs > 0 {
		c.fail(code.BadKey, http.StatusBadGateway, "the key was withdrawn")
		return
	}
	c.writer.Header().Set("WWW-Authenticate", "Key")
	c.fail(code.BadKey, http.StatusUnauthorized, "the key is missing, unknown or withdrawn")
}

// organisation returns the name of the caller's organisation; empty if the call needs none.
func (c *call) organisation() string {
	if o := c.schedCall.Organisation; o != nil {
		return o.Name
	}
	return ""
}

// topPriority returns the priority of the most urgent calls of a route: that of the route or of an organisation.
func topPriority(c *layout.Config, r *layout.Route) int {
	if c.Keys == nil || r.Public || len(c.Organisations) == 0 {
		return r.Priority
	}
	top := math.MaxInt
	for _, o := range c.Organisations {
		priority := r.Priority
		if o.HasPriority {
			priority = o.Priority
		}
		top = min(top, priority)
	}
	return top
}
