package lint

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/layout"
)

// Compare returns what a configuration changes for the callers of another version, in the order of the codes.
func Compare(before, after *layout.Config) []Finding {
	c := &checker{config: after}
	c.compareRoutes(before)
	c.compareOrganisations(before)
	c.compareLimits(before)
	slices.SortStableFunc(c.findings, func(a, b Finding) int { return int(a.Code - b.Code) })
	return c.findings
}

func (c *checker) compareRoutes(before *layout.Config) {
	index := layout.NewRouteIndex(c.config.Routes)
	for i := range before.Routes {
		old := &before.Routes[i]
		place := routePlace(old)
		r, ok := index.Match(old.Host, routePath(old))
		if !ok {
			c.add(code.ConfigCallersRefused, place, "no route", old.Host+routePath(old))
			continue
		}
		if c.config.Keys != nil && !r.Public && (before.Keys == nil || old.Public) {
			c.add(code.ConfigCallersRefused, place, "needs a key", "needs none")
		}
		if a, b := shares(old), shares(r); a != b {
			c.add(code.ConfigTrafficMoved, place, b, a)
		}
		c.lowered(place+" timeout", old.Timeout.Seconds(), r.Timeout.Seconds())
		c.lowered(place+" attempts", float64(old.MaxAttempts), float64(r.MaxAttempts))
		c.delayed(place, old.Priority, r.Priority)
	}
	for _, name := range slices.Sorted(maps.Keys(before.Services)) {
		old, s := before.Services[name], c.config.Services[name]
		if s == nil {
			continue
		}
		c.lowered(servicePlace(name)+" connections", float64(old.MaxConns), float64(s.MaxConns))
		if old.Engines == nil || s.Engines == nil {
			continue
		}
		for _, m := range old.Engines.Models {
			if s.Engines.Model(m.Name) == nil {
				c.add(code.ConfigCallersRefused, servicePlace(name), "no model", m.Name)
			}
		}
	}
}

// shares describes the shares of a route's targets.
func shares(r *layout.Route) string {
	total := 0.0
	for _, t := range r.Targets {
		total += t.Weight
	}
	var list []string
	for _, t := range r.Targets {
		if t.Weight > 0 {
			list = append(list, fmt.Sprintf("%s %.3g", t.Service, t.Weight/total))
		}
	}
	slices.Sort(list)
	return strings.Join(list, ", ")
}

// lowered reports a limit that is lower than before. 0 means that there is no limit.
func (c *checker) lowered(place string, before, after float64) {
	if after > 0 && (before <= 0 || after < before) {
		bound := fmt.Sprint(before)
		if before <= 0 {
			bound = "no limit"
		}
		c.add(code.ConfigLimitLowered, place, after, bound)
	}
}

func (c *checker) delayed(place string, before, after int) {
	if after > before {
		c.add(code.ConfigPriorityLowered, place, after, before)
	}
}

func (c *checker) compareOrganisations(before *layout.Config) {
	if before.Keys == nil || c.config.Keys == nil {
		return
	}
	byName := make(map[string]*layout.Organisation, len(c.config.Organisations))
	for _, o := range c.config.Organisations {
		byName[o.Name] = o
	}
	for _, old := range before.Organisations {
		place, o := organisationPlace(old), byName[old.Name]
		if o == nil {
			c.add(code.ConfigCallersRefused, place, "no organisation", "")
			continue
		}
		c.lowered(place+" rate", old.Quota.PerSecond, o.Quota.PerSecond)
		if o.Quota.Limited() && old.Quota.Limited() {
			c.lowered(place+" burst", old.Quota.Burst, o.Quota.Burst)
		}
		if old.HasPriority && o.HasPriority {
			c.delayed(place, old.Priority, o.Priority)
		}
	}
	if n := before.Keys.Missing(c.config.Keys); n > 0 {
		c.add(code.ConfigKeysWithdrawn, "organisations", fmt.Sprint(n, " keys"), fmt.Sprint(before.Keys.Len(), " keys"))
	}
}

func (c *checker) compareLimits(before *layout.Config) {
	a, b := before.Limits, c.config.Limits
	c.lowered("limit of header bytes", float64(a.MaxHeaderBytes), float64(b.MaxHeaderBytes))
	c.lowered("limit of body bytes", float64(a.MaxBodyBytes), float64(b.MaxBodyBytes))
	c.lowered("header timeout", a.HeaderTimeout.Seconds(), b.HeaderTimeout.Seconds())
	c.lowered("idle timeout", a.IdleTimeout.Seconds(), b.IdleTimeout.Seconds())
}
