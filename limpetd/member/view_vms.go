package member

import (
	"slices"
	"strings"

	"github.com/limpetlb/limpetlb/limpetd/store"
)

// vms returns the VM list merged with newer changes from peers, sorted by id. A VM
// that only peers reported as gone counts as leaving until this daemon's own read
// of the list lacks it.
func (v *view) vms() []store.VM {
	var vms []store.VM
	for id, e := range v.entries {
		if _, absent := v.absentSince[id]; e.Gone && absent {
			continue
		}
		vm := e.VM
		if e.Gone || v.daemons[id].Leaving || v.drainNotices[id].Leaving {
			vm.State = store.StateLeaving
		}
		vms = append(vms, vm)
	}
	for id, d := range v.daemons {
		if _, ok := v.entries[id]; !ok {
			vms = append(vms, unlistedVM(d))
		}
	}
	slices.SortFunc(vms, func(a, b store.VM) int { return strings.Compare(a.ID, b.ID) })
	return vms
}

// unlistedVM builds the VM entry of a daemon that is not in the list yet.
func unlistedVM(d Daemon) store.VM {
	vm := store.VM{
		ID: d.VM, Kind: store.KindEntry, DataCentre: d.DataCentre, Region: d.Region,
		Address: d.Address, State: store.StateLive,
	}
	if d.Leaving {
		vm.State = store.StateLeaving
	}
	return vm
}
