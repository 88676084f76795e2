package world

import (
	"github.com/limpetlb/limpetlb/limpetd/store"
	"github.com/limpetlb/limpetlb/limpetlab/link"
)

// Partition is a group of servers from which a data centre can be disconnected.
type Partition int

// The partitions.
const (
	// FromPlatform is the platform: its table, object store and VM list.
	FromPlatform Partition = iota
	// FromPeers is the VMs of all other data centres.
	FromPeers
)

// Disconnect disconnects a data centre from groups of servers.
func (w *Environment) Disconnect(dc string, sides ...Partition) {
	for _, s := range sides {
		if s == FromPlatform {
			w.platforms[dc].Stop()
			continue
		}
		w.mu.Lock()
		w.isolated[dc] = true
		for k, l := range w.links {
			if k.from == dc || k.to == dc {
				l.Cut()
			}
		}
		w.mu.Unlock()
	}
}

// Reconnect reconnects a data centre to all servers. Links to data centres that are still
// disconnected from their peers stay cut.
func (w *Environment) Reconnect(dc string) error {
	if err := w.platforms[dc].Restart(); err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.isolated, dc)
	for k, l := range w.links {
		if w.isolated[k.from] || w.isolated[k.to] {
			continue
		}
		if err := l.ClearFaults(); err != nil {
			return err
		}
	}
	return nil
}

// reachableVMs returns vms with the addresses at which dc reaches them. For VMs of
// other data centres, these are the addresses of links, which it starts as needed.
func (w *Environment) reachableVMs(dc string, vms []store.VM) ([]store.VM, error) {
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
			if w.isolated[dc] || w.isolated[vm.DataCentre] {
				l.Cut()
			}
		}
		vm.Address = l.Address()
	}
	return vms, nil
}
