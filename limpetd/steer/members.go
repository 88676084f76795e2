package steer

import (
	"context"
	"slices"

	"go.uber.org/zap"

	"github.com/limpetlb/limpetlb/limpetd/life"
)

// joinLoop adds the daemons that have opened links, and this daemon, to the list of daemons while this daemon is
// the lease holder. If hundreds of daemons start together and each adds itself, their writes delay that of the
// lease, and all of them poll the store until there is a lease holder.
func (s *Controller) joinLoop(ctx context.Context) {
	for life.Sleep(ctx, joinPeriod) {
		if !s.IsLeaseHolder() {
			continue
		}
		list := s.unlistedMembers()
		if len(list) == 0 {
			continue
		}
		if err := s.deps.Members.Join(ctx, list); err != nil {
			s.deps.Log.Warn("members_unwritten", zap.Int("members", len(list)), zap.Error(err))
			continue
		}
		s.mu.Lock()
		for _, m := range list {
			if s.linked[m.VM] == m {
				delete(s.linked, m.VM)
			}
		}
		s.mu.Unlock()
	}
}

// unlistedMembers returns up to maxJoins daemons with a link that are not in the list of daemons.
func (s *Controller) unlistedMembers() []Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.membersKnown && !s.selfJoined {
		s.linked[s.settings.Self.VM], s.selfJoined = s.settings.Self, true
	}
	for _, m := range s.members {
		if s.linked[m.VM] == m {
			delete(s.linked, m.VM)
		}
	}
	list := make([]Member, 0, len(s.linked))
	for _, m := range s.linked {
		list = append(list, m)
	}
	return list[:min(len(list), maxJoins)]
}

// addLinked records that a daemon has opened a link.
func (s *Controller) addLinked(m *Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m == nil || s.deps.Members == nil || slices.Contains(s.members, *m) {
		return
	}
	s.linked[m.VM] = *m
}

// removeLinked records that the link of a daemon has ended. The daemon may be leaving, and must not be added
// after it has deleted its entry.
func (s *Controller) removeLinked(m *Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m != nil && s.linked[m.VM] == *m {
		delete(s.linked, m.VM)
	}
}
