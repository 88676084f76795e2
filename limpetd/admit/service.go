package admit

import (
	"math/rand/v2"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/route"
	"github.com/limpetlb/limpetlb/limpetd/store"
)

// services chooses backend servers of plain services: the one with the fewest
// calls of this daemon in flight, rather in the own data centre.
type services struct {
	dataCentre string
	random     *rand.Rand
	servers    map[string]*server
}

// server is what this daemon knows of a backend server of a service.
type server struct {
	outlier     outlier
	outstanding int
	seen        bool
}

// newServices returns services without a server.
func newServices(dataCentre string, random *rand.Rand) *services {
	return &services{dataCentre: dataCentre, random: random, servers: make(map[string]*server)}
}

// choose chooses a server of a pool among the live VMs.
func (s *services) choose(now time.Time, r ServiceRequest, vms []store.VM) (route.Choice, error) {
	s.forget(vms)
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
			// Each of several equal servers is taken with the same chance.
			count++
			if s.random.IntN(count) == 0 {
				best = vm
			}
		}
	}
	if best == nil {
		return route.Choice{}, refuse(code.NoBackend, minRetryAfter, "no live backend server of pool %q", r.Pool)
	}
	s.server(best.ID).outstanding++
	return route.Choice{VM: best.ID, Address: best.Address, DataCentre: best.DataCentre}, nil
}

// usable tells whether a VM can take the call.
func usable(vm *store.VM, r ServiceRequest) bool {
	if vm.Kind != store.KindService || vm.Pool != r.Pool || vm.State != store.StateLive {
		return false
	}
	for _, x := range r.Exclude {
		if x == vm.ID {
			return false
		}
	}
	return true
}

// compare tells whether a goes before b: one that is not ejected, then the one with
// fewer calls in flight, with a handicap for other data centres.
func (s *services) compare(now time.Time, a, b *store.VM) int {
	if b == nil {
		return -1
	}
	x, y := s.server(a.ID), s.server(b.ID)
	if d := number(x.outlier.ejected(now)) - number(y.outlier.ejected(now)); d != 0 {
		return d
	}
	return s.cost(a, x) - s.cost(b, y)
}

// remoteCalls is the number of calls in flight by which a server of the own data
// centre may exceed one of another.
const remoteCalls = 8

// cost returns the calls in flight, with a handicap for other data centres.
func (s *services) cost(vm *store.VM, x *server) int {
	return x.outstanding + remoteCalls*number(vm.DataCentre != s.dataCentre)
}

// number returns 1 for true.
func number(b bool) int {
	if b {
		return 1
	}
	return 0
}

// server returns the record of a server.
func (s *services) server(vm string) *server {
	x := s.servers[vm]
	if x == nil {
		x = &server{}
		s.servers[vm] = x
	}
	return x
}

// forget drops the records of VMs that are gone.
func (s *services) forget(vms []store.VM) {
	for i := range vms {
		if x := s.servers[vms[i].ID]; x != nil {
			x.seen = true
		}
	}
	for id, x := range s.servers {
		if !x.seen && x.outstanding == 0 {
			delete(s.servers, id)
			continue
		}
		x.seen = false
	}
}

// release notes the end of a call.
func (s *services) release(now time.Time, vm, pool string, o Outcome, vms []store.VM) {
	x := s.server(vm)
	x.outstanding--
	switch o {
	case OutcomeAnswered:
		x.outlier.answered()
	case OutcomeFailed:
		if x.outlier.failed(now) && s.mayEject(now, pool, vms) {
			x.outlier.eject(now)
		}
	}
}

// mayEject tells whether one more server of a pool may be ejected.
func (s *services) mayEject(now time.Time, pool string, vms []store.VM) bool {
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
