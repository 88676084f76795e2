// Package lint checks a configuration for errors, for entries that can never match, for limits that contradict each
// other, and for differences from another version.
//
// It knows the configuration in the form that daemons use. What only the reader of a file sees, such as unknown fields,
// the reader reports with the same type Finding.
//
// # Usage
//
//	findings := lint.Check(config, lint.Options{MemoryMB: 144})
//	findings = append(findings, lint.Compare(inForce, config)...)
package lint

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/layout"
)

// Finding is a result of a check. It contains no key of an organisation.
type Finding struct {
	Code code.Code
	// Place is the entry, and Value its value. Bound is what the value was compared with; empty if there is nothing.
	Place, Value, Bound string
}

// Options holds what the checks know beside the configuration.
type Options struct {
	// MemoryMB is the memory of the smallest VM; 0 if it is not known.
	MemoryMB int
}

const (
	// maxDuration is the longest duration that a configuration may have: a call that takes longer outlives the daemon.
	maxDuration = time.Hour
	// maxBody replaces a limit of bodies that is not set; the same as in package front.
	maxBody = 8 << 20
	// minBurstSeconds is the burst, in seconds of the rate, that each quota has at least.
	minBurstSeconds = 0.25
)

// checker collects findings.
type checker struct {
	config   *layout.Config
	findings []Finding
}

func (c *checker) add(n code.Code, place string, value, bound any) {
	c.findings = append(c.findings, Finding{n, place, fmt.Sprint(value), fmt.Sprint(bound)})
}

// Check returns the findings in a configuration.
func Check(config *layout.Config, o Options) []Finding {
	c := &checker{config: config}
	c.checkRoutes()
	c.checkHidden()
	c.checkServices()
	c.checkOrganisations()
	c.checkLimits(o)
	return c.findings
}

func routePlace(r *layout.Route) string               { return "route " + strconv.Quote(r.Name) }
func servicePlace(name string) string                 { return "service " + strconv.Quote(name) }
func organisationPlace(o *layout.Organisation) string { return "organisation " + strconv.Quote(o.Name) }

// checkDuration checks a duration, which may be 0 if it is not set.
func (c *checker) checkDuration(place string, d time.Duration) {
	if d < 0 || d > maxDuration {
		c.add(code.ConfigOutOfRange, place, d, "0s to "+maxDuration.String())
	}
}

// checkNumber checks a number that must not be negative.
func (c *checker) checkNumber(place string, n float64) {
	if n < 0 {
		c.add(code.ConfigOutOfRange, place, n, "at least 0")
	}
}

func (c *checker) checkRoutes() {
	names := map[string]bool{}
	for i := range c.config.Routes {
		r := &c.config.Routes[i]
		place := routePlace(r)
		if names[r.Name] {
			c.add(code.ConfigDuplicate, place, "route "+strconv.Itoa(i+1), "")
		}
		names[r.Name] = true
		if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
			c.add(code.ConfigBadPrefix, place, strconv.Quote(r.Prefix), "/…/")
		}
		c.checkDuration(place+" timeout", r.Timeout)
		c.checkDuration(place+" objective", r.Expectation)
		c.checkDuration(place+" longest pause", r.MaxPause)
		c.checkNumber(place+" priority", float64(r.Priority))
		if r.Timeout > 0 && r.Expectation > r.Timeout {
			c.add(code.ConfigObjectiveTooLate, place, r.Expectation, r.Timeout)
		}
		total := 0.0
		for _, t := range r.Targets {
			total += t.Weight
			c.checkNumber(place+" weight of "+servicePlace(t.Service), t.Weight)
			if c.config.Services[t.Service] == nil {
				c.add(code.ConfigMissingService, place, servicePlace(t.Service), "")
			}
		}
		if total == 0 {
			c.add(code.ConfigZeroWeights, place, total, "above 0")
		}
	}
}

// checkHidden finds routes that never match, because a later one has the same host and prefix, or the host a port.
func (c *checker) checkHidden() {
	later := map[string]*layout.Route{}
	for i := len(c.config.Routes) - 1; i >= 0; i-- {
		r := &c.config.Routes[i]
		key := r.Host + routePath(r)
		if other := later[key]; other != nil {
			c.add(code.ConfigHiddenRoute, routePlace(r), key, routePlace(other))
		} else if strings.Contains(r.Host, ":") && !strings.HasSuffix(r.Host, "]") {
			c.add(code.ConfigHiddenRoute, routePlace(r), strconv.Quote(r.Host), "a host without a port")
		}
		later[key] = r
	}
}

// routePath returns the prefix of a route as it is matched, by whole segments.
func routePath(r *layout.Route) string {
	segments := strings.FieldsFunc(r.Prefix, func(c rune) bool { return c == '/' })
	if len(segments) == 0 {
		return "/"
	}
	return "/" + strings.Join(segments, "/") + "/"
}

func (c *checker) checkServices() {
	named, weighted, toEngines := map[string]bool{}, map[string]bool{}, map[string]bool{}
	for i := range c.config.Routes {
		for _, t := range c.config.Routes[i].Targets {
			named[t.Service] = true
			weighted[t.Service] = weighted[t.Service] || t.Weight > 0
			toEngines[t.Service] = toEngines[t.Service] || c.config.Routes[i].ToEngines
		}
	}
	for _, name := range slices.Sorted(maps.Keys(c.config.Services)) {
		s, place := c.config.Services[name], servicePlace(name)
		if named[name] && !weighted[name] {
			c.add(code.ConfigUnusedService, place, 0, "above 0")
		}
		c.checkNumber(place+" connections", float64(s.MaxConns))
		if s.Engines == nil {
			continue
		}
		e := s.Engines
		c.checkNumber(place+" slots", float64(e.Slots))
		c.checkNumber(place+" loads a second", e.LoadsPerSecond)
		c.checkNumber(place+" memory", e.MemoryMB)
		models := map[string]bool{}
		for _, m := range e.Models {
			model := place + " model " + strconv.Quote(m.Name)
			if models[m.Name] {
				c.add(code.ConfigDuplicate, model, "", "")
			}
			models[m.Name] = true
			c.checkNumber(model+" memory", m.MemoryMB)
			for _, d := range []time.Duration{m.StoreLoad, m.DiskLoad, m.MemoryLoad} {
				c.checkDuration(model+" load time", d)
			}
			switch {
			case !toEngines[name]:
				c.add(code.ConfigUnservedModel, model, "no route", "")
			case e.MemoryMB > 0 && m.MemoryMB > e.MemoryMB:
				c.add(code.ConfigUnservedModel, model, fmt.Sprint(m.MemoryMB, " MB"), fmt.Sprint(e.MemoryMB, " MB"))
			}
		}
	}
}

func (c *checker) checkOrganisations() {
	if c.config.Keys == nil {
		return
	}
	private := slices.ContainsFunc(c.config.Routes, func(r layout.Route) bool { return !r.Public })
	if keys := c.config.Keys.Len(); keys > 0 && !private {
		c.add(code.ConfigUnusedKeys, "organisations", fmt.Sprint(keys, " keys"), "")
	} else if keys == 0 && private {
		c.add(code.ConfigNoKeys, "organisations", "0 keys", "")
	}
	for _, names := range c.config.Keys.Shared() {
		c.add(code.ConfigSharedKey, "organisation "+strconv.Quote(names[1]), "a key", "organisation "+strconv.Quote(names[0]))
	}
	seen := map[string]bool{}
	for i, o := range c.config.Organisations {
		place := organisationPlace(o)
		switch {
		case o.Name == "":
			c.add(code.ConfigOutOfRange, "organisation "+strconv.Itoa(i+1)+" name", `""`, "a name")
		case strings.ContainsFunc(o.Name, func(r rune) bool { return r < ' ' || r == 0x7f }) || strings.TrimSpace(o.Name) != o.Name:
			c.add(code.ConfigOutOfRange, place+" name", strconv.Quote(o.Name), "a value of a header")
		}
		if seen[o.Name] {
			c.add(code.ConfigDuplicate, place, "organisation "+strconv.Itoa(i+1), "")
		}
		seen[o.Name] = true
		c.checkQuota(place, o.Quota)
	}
}

func (c *checker) checkQuota(place string, q layout.Quota) {
	if q.Invalid {
		c.add(code.ConfigOutOfRange, place+" quota", "invalid", "0 to 2^53")
		return
	}
	if !q.Limited() {
		return
	}
	one := 1.0
	if q.Unit == layout.Tokens {
		one = q.PlainTokens
		if q.PerSecond < one {
			c.add(code.ConfigQuotaTooSmall, place+" rate", q.PerSecond, one)
		}
	}
	if burst := max(q.Burst, minBurstSeconds*q.PerSecond); burst < one {
		c.add(code.ConfigBurstTooSmall, place+" burst", burst, one)
	}
}

func (c *checker) checkLimits(o Options) {
	l := c.config.Limits
	c.checkNumber("limit of header bytes", float64(l.MaxHeaderBytes))
	c.checkNumber("limit of body bytes", float64(l.MaxBodyBytes))
	c.checkDuration("header timeout", l.HeaderTimeout)
	c.checkDuration("idle timeout", l.IdleTimeout)
	body := l.MaxBodyBytes
	if body <= 0 {
		body = maxBody
	}
	if memory := int64(o.MemoryMB) << 20; memory > 0 && body > memory {
		c.add(code.ConfigBodyOverMemory, "limit of body bytes", body, memory)
	}
}
