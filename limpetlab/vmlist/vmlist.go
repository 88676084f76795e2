// Package vmlist is a stand-in for the platform's lagging list of VMs.
//
// # Usage
//
//	l := vmlist.New(2 * time.Second)
//	l.Add(store.VM{ID: "vm-a1", ...})
//	l.Leave("vm-a1")
//	vms, err := l.VMs(ctx) // as they were two seconds ago
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

// Name is the stand-in's server name in its fault hook.
const Name = "vmlist"

// Option changes a List.
type Option func(*List)

// WithFaults sets the fault hook.
func WithFaults(p fault.Provider) Option {
	return func(l *List) { l.faults = p }
}

// version is the list since a time.
type version struct {
	since time.Time
	vms   []store.VM
}

// List is the stand-in. It is safe for concurrent use.
type List struct {
	lag    time.Duration
	faults fault.Provider

	mu       sync.Mutex
	versions []version
	reads    int64
}

var _ store.VMList = (*List)(nil)

// New returns an empty list that tells of changes after lag.
func New(lag time.Duration, opts ...Option) *List {
	l := &List{lag: lag, versions: []version{{}}}
	for _, o := range opts {
		o(l)
	}
	return l
}

// Add lists a VM, in place of one with the same id.
func (l *List) Add(vm store.VM) {
	l.change(func(vms []store.VM) []store.VM {
		return append(without(vms, vm.ID), vm)
	})
}

// Leave marks a VM as leaving.
func (l *List) Leave(id string) {
	l.change(func(vms []store.VM) []store.VM {
		for i := range vms {
			if vms[i].ID == id {
				vms[i].State = store.StateLeaving
			}
		}
		return vms
	})
}

// Remove takes a VM off the list.
func (l *List) Remove(id string) {
	l.change(func(vms []store.VM) []store.VM { return without(vms, id) })
}

// without returns vms but the one with id.
func without(vms []store.VM, id string) []store.VM {
	return slices.DeleteFunc(vms, func(v store.VM) bool { return v.ID == id })
}

// change adds a version of the list and forgets those no longer told.
func (l *List) change(edit func([]store.VM) []store.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	last := l.versions[len(l.versions)-1]
	next := version{since: time.Now(), vms: edit(slices.Clone(last.vms))}
	l.versions = append(l.versions[l.visible():], next)
}

// visible returns the index of the version told now. l.mu is held.
func (l *List) visible() int {
	until := time.Now().Add(-l.lag)
	for i := len(l.versions) - 1; i > 0; i-- {
		if !l.versions[i].since.After(until) {
			return i
		}
	}
	return 0
}

// VMs implements store.VMList.
func (l *List) VMs(ctx context.Context) ([]store.VM, error) {
	a := fault.Of(l.faults, fault.Call{Server: Name, Step: "vms"})
	switch a.Kind {
	case fault.Down, fault.Refuse, fault.Drop, fault.Lost:
		return nil, code.Errorf(code.StoreDown, "the VM list is down")
	case fault.Delay:
		select {
		case <-ctx.Done():
			return nil, code.Errorf(code.StoreDown, "no answer: %w", ctx.Err())
		case <-time.After(a.Delay):
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reads++
	return slices.Clone(l.versions[l.visible()].vms), nil
}

// Handler serves the list at /v1/vms.
func (l *List) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		vms, err := l.VMs(r.Context())
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		serve.JSON(w, struct {
			VMs []store.VM `json:"vms"`
		}{vms})
	})
}
