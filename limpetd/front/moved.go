package front

import (
	"slices"
	"strings"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/layout"
)

const (
	// movedTerm is how long it matters that a route led to other services before: longer than any caller takes a
	// stream up again.
	movedTerm = time.Minute
	// maxMoved bounds the moved routes that are remembered. With more, all routes count as moved.
	maxMoved = 1024
)

// movedRoute is a route for resumable streams that led to other services, or to the same ones by other weights, until at.
type movedRoute struct {
	host, prefix string
	at           time.Time
}

// movedRoutes remembers the routes whose streams may have begun at another service than new calls are sent to.
type movedRoutes struct {
	list []movedRoute
	// allUntil is until when all routes count as moved.
	allUntil time.Time
}

// record compares the routes of a configuration with those of the one that replaces it. A route that was removed may come
// back at another service; a new one has taken over the streams of the route that matched its prefix before, if any.
func (m *movedRoutes) record(from, to *activeConfig, now time.Time) {
	m.list = slices.DeleteFunc(m.list, func(r movedRoute) bool { return now.Sub(r.at) > movedTerm })
	m.compare(from, to, true, now)
	m.compare(to, from, false, now)
	if len(m.list) > maxMoved {
		m.list, m.allUntil = nil, now.Add(movedTerm)
	}
}

// compare records the routes of a configuration whose streams another one sends elsewhere or, with unmatched, to no
// service.
func (m *movedRoutes) compare(one, other *activeConfig, unmatched bool, now time.Time) {
	for i := range one.config.Routes {
		r := &one.config.Routes[i]
		if r.Kind != layout.Stream || !r.Resumable || len(m.list) > maxMoved {
			continue
		}
		o, ok := other.routeIndex.Match(r.Host, r.Prefix)
		if ok && !slices.Equal(o.Targets, r.Targets) || !ok && unmatched {
			m.list = append(m.list, movedRoute{r.Host, r.Prefix, now})
		}
	}
}

// contains reports whether the calls of a path may have been sent to other services lately.
func (m *movedRoutes) contains(host, path string, now time.Time) bool {
	return now.Before(m.allUntil) || slices.ContainsFunc(m.list, func(r movedRoute) bool {
		return r.host == host && strings.HasPrefix(path, r.prefix) && now.Sub(r.at) <= movedTerm
	})
}

// originService returns the service at which the stream began that the call takes up, if a record or the route shows it.
// The caller must hold the mu of the Front.
func (c *call) originService(now time.Time) (string, bool) {
	f, route := c.front, c.schedCall.Route
	if service, ok := f.origins.Service(hash(c.info.Resumes)); ok {
		return service, true
	}
	switch {
	case f.moved.contains(route.Host, c.request.URL.Path, now):
		return "", false
	case len(route.Targets) > 1 && c.info.Resumes == "":
		return "", false
	}
	// The route has picked the service by the id of the first call.
	return pickService(route, c.info.Resumes), true
}

// leadsTo reports whether a route sends calls to a service.
func leadsTo(r *layout.Route, service string) bool {
	return slices.ContainsFunc(r.Targets, func(t layout.Target) bool {
		return t.Service == service && (t.Weight > 0 || len(r.Targets) == 1)
	})
}
