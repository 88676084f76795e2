package layout

import "strings"

// Paths finds the route of a path: the one with the longest prefix that ends at a
// slash. The cost of a match grows with the segments of the path, not with the
// number of routes.
type Paths struct {
	hosts map[string]*segment
}

// segment is a node of the tree of path segments.
type segment struct {
	route *Route
	next  map[string]*segment
}

// NewPaths returns the index of routes. Of two routes with the same host and
// prefix the later one counts.
func NewPaths(routes []Route) *Paths {
	p := &Paths{hosts: map[string]*segment{}}
	for i := range routes {
		r := &routes[i]
		at := p.hosts[r.Host]
		if at == nil {
			at = &segment{}
			p.hosts[r.Host] = at
		}
		for _, name := range strings.Split(strings.Trim(r.Prefix, "/"), "/") {
			if name == "" {
				continue
			}
			at = at.child(name)
		}
		at.route = r
	}
	return p
}

func (s *segment) child(name string) *segment {
	if s.next == nil {
		s.next = map[string]*segment{}
	}
	n := s.next[name]
	if n == nil {
		n = &segment{}
		s.next[name] = n
	}
	return n
}

// Match returns the route of a host and path. The last segment of the path only
// counts if a slash follows it.
func (p *Paths) Match(host, path string) (*Route, bool) {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	at := p.hosts[host]
	if at == nil || !strings.HasPrefix(path, "/") {
		return nil, false
	}
	best := at.route
	rest := path[1:]
	for at != nil {
		i := strings.IndexByte(rest, '/')
		if i < 0 {
			break
		}
		at = at.next[rest[:i]]
		if at != nil && at.route != nil {
			best = at.route
		}
		rest = rest[i+1:]
	}
	return best, best != nil
}
