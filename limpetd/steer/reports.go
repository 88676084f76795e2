package steer

// Used notes a call and its work, in tokens of a prompt.
func (s *Steerer) Used(service, model, adapter string, work float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.declared(service, model) {
		return
	}
	k := slot{service, model, adapter}
	u := s.counts.used[k]
	u.Calls++
	u.Work += work
	s.counts.used[k] = u
}

// declared tells whether engines of a service may load a model. Others are not counted, as
// callers can name any.
func (s *Steerer) declared(service, model string) bool {
	if s.config == nil {
		return false
	}
	c := s.config.Services[service]
	return c != nil && c.Engines != nil && c.Engines.Model(model) != nil
}

// Want notes a call that waits for a model or adapter.
func (s *Steerer) Want(service, model, adapter string) {
	s.mu.Lock()
	known := s.declared(service, model)
	if known {
		s.counts.waiting[slot{service, model, adapter}]++
	}
	s.mu.Unlock()
	if known {
		poke(s.urgent)
	}
}

func (s *Steerer) take() told {
	own := s.deps.Listener.Own()
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.counts.take(s.settings.Self.VM)
	t.Loads = own
	return t
}

// report hands a report to the plan.
func (s *Steerer) report(t told) {
	select {
	case s.reports <- t:
	default:
		s.deps.Scope.Counter("reports_dropped").Inc(1)
	}
}
