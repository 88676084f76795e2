package admit

import (
	"math/rand/v2"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/route"
	"github.com/limpetlb/limpetlb/limpetd/store"
)

// serviceBalancer chooses backend servers of plain services. It prefers the server
// with the fewest calls of this daemon in flight, and servers of the daemon's data
// centre.
type serviceBalancer struct {
	dataCentre string
	random     *rand.Rand
	servers    map[string]*server
}

// server is the state of a backend server of a plain service, as observed through
// this daemon's own calls.
type server struct {
	outlier outlier
	// inFlight counts the calls in flight.
	inFlight int
	// listed marks the server while prune runs.
	listed bool
}

// newServiceBalancer returns a balancer without servers.
func newServiceBalancer(dataCentre string, random *rand.Rand) *serviceBalancer {
	return &serviceBalancer{dataCentre: dataCentre, random: random, servers: make(map[string]*server)}
}

// choose chooses a live server of the request's pool among vms and counts a call in
// flight to it. The error has code NoBackend and a retry-after.
func (s *serviceBalancer) choose(now time.Time, r ServiceRequest, vms []store.VM) (route.Choice, error) {
	s.prune(vms)
	var best *store.VM
	count := 0
	for i := range vms {
		vm := &vms[i]
		if !usable(vm, r) {
			continue
		}
		switch order := s.compare(now, vm, best); {
		case order < 0:
			best, count = vm, 1
		case order == 0:
			// Reservoir sampling: equally good servers have the same probability.
			count++
			if s.random.IntN(count) == 0 {
				best = vm
			}
		}
	}
	if best == nil {
		return route.Choice{}, refuse(code.NoBackend, minRetryAfter, "no live backend server of pool %q", r.Pool)
	}
	s.server(best.ID).inFlight++
	return route.Choice{VM: best.ID, Address: best.Address, DataCentre: best.DataCentre}, nil
}

// usable reports whether a VM is a live server of the request's pool that is not
// excluded.
func usable(vm *store.VM, r ServiceRequest) bool {
	if vm.Kind != store.KindService || vm.Pool != r.Pool || vm.State != store.StateLive {
		return false
	}
	for _, id := range r.Exclude {
		if id == vm.ID {
			return false
		}
	}
	return true
}

// compare returns a negative number if a is preferred to b, a positive number if b
// is preferred to a, and 0 if both are equally good. A server that is not ejected is
// preferred, then the server with the lower cost. Every server is preferred to nil.
func (s *serviceBalancer) compare(now time.Time, a, b *store.VM) int {
	if b == nil {
		return -1
	}
	x, y := s.server(a.ID), s.server(b.ID)
	if d := boolToInt(x.outlier.ejected(now)) - boolToInt(y.outlier.ejected(now)); d != 0 {
		return d
	}
	return s.cost(a, x) - s.cost(b, y)
}

// remotePenalty is added to the calls in flight of a server in another data centre. A
// server of this daemon's data centre is preferred until it has remotePenalty more calls
// in flight.
const remotePenalty = 8

// cost returns the calls in flight, with a penalty for servers of other data centres.
func (s *serviceBalancer) cost(vm *store.VM, x *server) int {
	return x.inFlight + remotePenalty*boolToInt(vm.DataCentre != s.dataCentre)
}

// boolToInt returns 1 for true and 0 for false.
func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// server returns the state of a VM's server and creates it if needed.
func (s *serviceBalancer) server(vm string) *server {
	x := s.servers[vm]
	if x == nil {
		x = &server{}
		s.servers[vm] = x
	}
	return x
}

// prune drops servers whose VMs are not in vms and that have no calls in flight.
func (s *serviceBalancer) prune(vms []store.VM) {
	for i := range vms {
		if x := s.servers[vms[i].ID]; x != nil {
			x.listed = true
		}
	}
	for id, x := range s.servers {
		if !x.listed && x.inFlight == 0 {
			delete(s.servers, id)
			continue
		}
		x.listed = false
	}
}

// release records the end of a call, and ejects the server if it has failed too often.
func (s *serviceBalancer) release(now time.Time, vm, pool string, o Outcome, vms []store.VM) {
	x := s.server(vm)
	x.inFlight--
	switch o {
	case OutcomeAnswered:
		x.outlier.recordSuccess()
	case OutcomeFailed:
		if x.outlier.recordFailure(now) && s.mayEject(now, pool, vms) {
			x.outlier.eject(now)
		}
	}
}

// mayEject reports whether one more server of a pool may be ejected.
func (s *serviceBalancer) mayEject(now time.Time, pool string, vms []store.VM) bool {
	group, ejected := 0, 0
	for i := range vms {
		if vms[i].Kind != store.KindService || vms[i].Pool != pool {
			continue
		}
		group++
		if s.server(vms[i].ID).outlier.ejected(now) {
			ejected++
		}
	}
	return mayEject(ejected, group)
}
