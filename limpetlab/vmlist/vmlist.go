// Package vmlist simulates the platform's list of VMs, which shows changes after a
// lag.
//
// # Usage
//
//	l := vmlist.New(2 * time.Second)
//	l.Add(store.VM{ID: "vm-a1", ...})
//	l.MarkLeaving("vm-a1")
//	vms, err := l.VMs(ctx) // the list of two seconds ago
package vmlist

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/store"
	"github.com/limpetlb/limpetlb/limpetlab/fault"
	"github.com/limpetlb/limpetlb/limpetlab/serve"
)

// ServerName is the server name of the VM list in the calls of its fault hook.
const ServerName = "vmlist"

// Option configures a List.
type Option func(*List)

// WithFaults sets the hook that injects faults into reads.
func WithFaults(p fault.Provider) Option {
	return func(l *List) { l.faults = p }
}

// snapshot is the content of the list from a time on.
type snapshot struct {
	since time.Time
	vms   []store.VM
}

// List is a VM list in memory. It is safe for concurrent use.
type List struct {
	lag    time.Duration
	faults fault.Provider

	mu sync.Mutex
	// snapshots is sorted by time.
	snapshots []snapshot
	reads     int64
}

var _ store.VMLister = (*List)(nil)

// New returns an empty list that shows changes after lag.
func New(lag time.Duration, opts ...Option) *List {
	l := &List{lag: lag, snapshots: []snapshot{{}}}
	for _, o := range opts {
		o(l)
	}
	return l
}

// Add adds a VM to the list, or replaces the VM with the same ID.
func (l *List) Add(vm store.VM) {
	l.update(func(vms []store.VM) []store.VM {
		return append(without(vms, vm.ID), vm)
	})
}

// MarkLeaving sets the state of a VM to leaving.
func (l *List) MarkLeaving(id string) {
	l.update(func(vms []store.VM) []store.VM {
		for i := range vms {
			if vms[i].ID == id {
				vms[i].State = store.StateLeaving
			}
		}
		return vms
	})
}

// Remove removes a VM from the list.
func (l *List) Remove(id string) {
	l.update(func(vms []store.VM) []store.VM { return without(vms, id) })
}

// without returns vms without the VM with an ID. It changes vms.
func without(vms []store.VM, id string) []store.VM {
	return slices.DeleteFunc(vms, func(v store.VM) bool { return v.ID == id })
}

// update adds a snapshot with an edited copy of the list, and drops the snapshots
// before the one that readers see.
func (l *List) update(edit func([]store.VM) []store.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	last := l.snapshots[len(l.snapshots)-1]
	next := snapshot{since: time.Now(), vms: edit(slices.Clone(last.vms))}
	l.snapshots = append(l.snapshots[l.visibleIndex():], next)
}

// visibleIndex returns the index of the snapshot that readers see: the latest that is
// at least lag old. The caller holds l.mu.
func (l *List) visibleIndex() int {
	until := time.Now().Add(-l.lag)
	for i := len(l.snapshots) - 1; i > 0; i-- {
		if !l.snapshots[i].since.After(until) {
			return i
		}
	}
	return 0
}

// VMs implements store.VMLister.
func (l *List) VMs(ctx context.Context) ([]store.VM, error) {
	action := fault.Of(l.faults, fault.Call{Server: ServerName, Step: "vms"})
	switch action.Kind {
	case fault.Down, fault.Refuse, fault.Drop, fault.Lost:
		return nil, code.Errorf(code.StoreDown, "the VM list is unavailable")
	case fault.Delay:
		select {
		case <-ctx.Done():
			return nil, code.Errorf(code.StoreDown, "no answer: %w", ctx.Err())
		case <-time.After(action.Delay):
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reads++
	return slices.Clone(l.snapshots[l.visibleIndex()].vms), nil
}

// Handler serves the list at /v1/vms.
func (l *List) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		vms, err := l.VMs(r.Context())
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		serve.WriteJSON(w, struct {
			VMs []store.VM `json:"vms"`
		}{vms})
	})
}
