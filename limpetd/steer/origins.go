package steer

import "github.com/limpetlb/limpetlb/limpetd/origin"

// originsSince returns the streams that are known after a version of the records, or nil, and the current
// version. With own, those that other daemons told of are left out.
func (s *Controller) originsSince(version int64, own bool) (*origin.Facts, int64) {
	if s.deps.Origins == nil {
		return nil, 0
	}
	facts, current := s.deps.Origins.OriginFacts(version, own)
	if facts.Empty() {
		return nil, current
	}
	return &facts, current
}

// mergeOrigins adds the streams that another daemon knows.
func (s *Controller) mergeOrigins(facts *origin.Facts) {
	if facts != nil && s.deps.Origins != nil {
		s.deps.Origins.MergeOriginFacts(*facts)
	}
}

// allOriginsSince is originsSince for the updates of the lease holder, which pass on what all daemons know.
func (s *Controller) allOriginsSince(version int64) (*origin.Facts, int64) {
	return s.originsSince(version, false)
}
