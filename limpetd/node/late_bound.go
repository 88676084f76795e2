package node

import (
	"sync"

	"github.com/limpetlb/limpetlb/limpetd/admit"
	"github.com/limpetlb/limpetlb/limpetd/member"
	"github.com/limpetlb/limpetlb/limpetd/order"
	"github.com/limpetlb/limpetlb/limpetd/watch"
)

// shares joins what is told to peers and heard from them with the duties that
// have it. The members begin before those duties, so they are bound later.
type shares struct {
	mu     sync.RWMutex
	watch  *watch.Watch
	queue  *admit.Queue
	orders *order.Duty
}

var (
	_ member.ShareProvider = (*shares)(nil)
	_ member.ShareReceiver = (*shares)(nil)
	_ order.DemandProvider = (*shares)(nil)
)

// bind takes the duties.
func (s *shares) bind(w *watch.Watch, q *admit.Queue, o *order.Duty) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watch, s.queue, s.orders = w, q, o
}

// duties returns the duties; ok is false before they are bound.
func (s *shares) duties() (w *watch.Watch, q *admit.Queue, o *order.Duty, ok bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.watch, s.queue, s.orders, s.watch != nil
}

// Share returns what this daemon tells its peers.
func (s *shares) Share() member.Share {
	w, q, _, ok := s.duties()
	if !ok {
		return member.Share{}
	}
	return member.Share{Loads: w.Loads(), Demand: q.Demand()}
}

// Receive takes what a peer told.
func (s *shares) Receive(daemon string, share member.Share) {
	w, q, _, ok := s.duties()
	if !ok {
		return
	}
	w.Receive(daemon, share.Loads)
	q.Receive(daemon, share.Demand)
}

// Demand returns the demand of this data centre.
func (s *shares) Demand() []member.ModelDemand {
	_, q, _, ok := s.duties()
	if !ok {
		return nil
	}
	return q.DataCentreDemand()
}

// holder returns the VM that places models in this data centre, if known.
func (s *shares) holder() string {
	_, _, o, ok := s.duties()
	if !ok {
		return ""
	}
	return o.Status().Holder
}

// Placing tells whether this daemon places the models of its data centre.
func (s *shares) Placing() bool {
	_, _, o, ok := s.duties()
	return ok && o.Status().Mine
}
