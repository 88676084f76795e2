package node

import (
	"sync"

	"github.com/limpetlb/limpetlb/limpetd/admit"
	"github.com/limpetlb/limpetlb/limpetd/member"
	"github.com/limpetlb/limpetlb/limpetd/order"
	"github.com/limpetlb/limpetlb/limpetd/watch"
)

// lateBound connects the membership with the components that provide the share
// sent to peers and receive the shares of peers. The membership starts before
// these components, so bind sets them later. Until then the methods return zero
// values.
type lateBound struct {
	mu     sync.RWMutex
	watch  *watch.Watch
	queue  *admit.Queue
	orders *order.Controller
}

var (
	_ member.DaemonReportProvider = (*lateBound)(nil)
	_ member.DaemonReportReceiver = (*lateBound)(nil)
	_ order.DemandProvider        = (*lateBound)(nil)
)

// bind sets the components.
func (s *lateBound) bind(w *watch.Watch, q *admit.Queue, o *order.Controller) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watch, s.queue, s.orders = w, q, o
}

// components returns the components. ok reports whether bind has set them.
func (s *lateBound) components() (w *watch.Watch, q *admit.Queue, o *order.Controller, ok bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.watch, s.queue, s.orders, s.watch != nil
}

// DaemonReport returns the loads and the demand that this daemon sends to its peers.
func (s *lateBound) DaemonReport() member.DaemonReport {
	w, q, _, ok := s.components()
	if !ok {
		return member.DaemonReport{}
	}
	return member.DaemonReport{EngineReports: w.LocalReports(), Demand: q.Demand()}
}

// Receive passes the loads and the demand from a peer to the components. Shares
// that arrive before bind are dropped.
func (s *lateBound) Receive(daemon string, share member.DaemonReport) {
	w, q, _, ok := s.components()
	if !ok {
		return
	}
	w.ReceiveReports(daemon, share.EngineReports)
	q.ReceivePeerDemand(daemon, share.Demand)
}

// Demand returns the demand for each model in this data centre.
func (s *lateBound) Demand() []member.ModelDemand {
	_, q, _, ok := s.components()
	if !ok {
		return nil
	}
	return q.DataCentreDemand()
}

// leaseHolder returns the VM of the lease holder, which places models in this data
// centre, or an empty string if the lease holder is not known.
func (s *lateBound) leaseHolder() string {
	_, _, o, ok := s.components()
	if !ok {
		return ""
	}
	return o.Status().LeaseHolder
}

// Placing reports whether this daemon is the lease holder, which places the models
// of its data centre.
func (s *lateBound) Placing() bool {
	_, _, o, ok := s.components()
	return ok && o.Status().HoldsLease
}
