package world

import (
	"github.com/limpetlb/limpetlb/limpetd/store"
	"github.com/limpetlb/limpetlb/limpetlab/link"
)

// Side is what a data centre can be cut off from.
type Side int

// The sides of a data centre.
const (
	// Platform is the platform's table, object store and VM list.
	Platform Side = iota
	// Peers are all VMs of other data centres.
	Peers
)

// Cut cuts a data centre off.
func (w *World) Cut(dc string, sides ...Side) {
	for _, s := range sides {
		if s == Platform {
			w.platforms[dc].Stop()
			continue
		}
		w.mu.Lock()
		w.cut[dc] = true
		for k, l := range w.links {
			if k.from == dc || k.to == dc {
				l.Cut()
			}
		}
		w.mu.Unlock()
	}
}

// Heal ends all cuts of a data centre.
func (w *World) Heal(dc string) error {
	if err := w.platforms[dc].Restart(); err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.cut, dc)
	for k, l := range w.links {
		if w.cut[k.from] || w.cut[k.to] {
			continue
		}
		if err := l.Heal(); err != nil {
			return err
		}
	}
	return nil
}

// view returns vms with the addresses by which dc reaches them: those of other
// data centres through links.
func (w *World) view(dc string, vms []store.VM) ([]store.VM, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range vms {
		vm := &vms[i]
		if vm.DataCentre == dc {
			continue
		}
		key := linkKey{from: dc, to: vm.DataCentre, address: vm.Address}
		l, ok := w.links[key]
		if !ok {
			opened, err := link.Start(vm.Address)
			if err != nil {
				return nil, err
			}
			l = opened
			w.links[key] = l
			if w.cut[dc] || w.cut[vm.DataCentre] {
				l.Cut()
			}
		}
		vm.Address = l.Address()
	}
	return vms, nil
}
