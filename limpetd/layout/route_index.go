package layout

import "strings"

// RouteIndex matches a host and path to the route with the longest prefix that consists of
// whole path segments. The cost of a match grows with the segments of the path, not with
// the number of routes.
type RouteIndex struct {
	hosts map[string]*segment
}

// segment is a node of the tree of path segments.
type segment struct {
	// route is the route whose prefix ends at the node; nil if there is none.
	route    *Route
	children map[string]*segment
}

// NewRouteIndex returns an index of routes. Of two routes with the same host and prefix, the
// later one applies.
func NewRouteIndex(routes []Route) *RouteIndex {
	p := &RouteIndex{hosts: map[string]*segment{}}
	for i := range routes {
		r := &routes[i]
		node := p.hosts[r.Host]
		if node == nil {
			node = &segment{}
			p.hosts[r.Host] = node
		}
		for _, name := range strings.Split(strings.Trim(r.Prefix, "/"), "/") {
			if name == "" {
				continue
			}
			node = node.child(name)
		}
		node.route = r
	}
	return p
}

// child returns the child with the given name and creates it if it does not exist.
func (s *segment) child(name string) *segment {
	if s.children == nil {
		s.children = map[string]*segment{}
	}
	n := s.children[name]
	if n == nil {
		n = &segment{}
		s.children[name] = n
	}
	return n
}

// Match returns the route for a host and path, and whether there is one. A port in host is
// ignored. The last segment of the path is matched only if a slash follows it.
func (p *RouteIndex) Match(host, path string) (*Route, bool) {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	node := p.hosts[host]
	if node == nil || !strings.HasPrefix(path, "/") {
		return nil, false
	}
	best := node.route
	remaining := path[1:]
	for node != nil {
		i := strings.IndexByte(remaining, '/')
		if i < 0 {
			break
		}
		node = node.children[remaining[:i]]
		if node != nil && node.route != nil {
			best = node.route
		}
		remaining = remaining[i+1:]
	}
	return best, best != nil
}
