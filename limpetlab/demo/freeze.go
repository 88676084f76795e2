package demo

import (
	"context"

	"github.com/limpetlb/limpetlb/limpetd/lease"
	"github.com/limpetlb/limpetlb/limpetd/life"
	"github.com/limpetlb/limpetlb/limpetd/store"
	"github.com/limpetlb/limpetlb/limpetlab/fleet"
)

// freeze stops the daemon that places models in a data centre, which does not
// know of it. The balancer takes a moment to notice.
func (d *demo) freeze(ctx context.Context, dc string) {
	m := d.holder(ctx, dc)
	if m == nil {
		d.say("nobody places models in %s", dc)
		return
	}
	f, ok := m.Daemon.(fleet.Freezer)
	if !ok {
		d.say("%s cannot be stopped", m.VM)
		return
	}
	d.say("fault: %s stops", m.VM)
	if err := f.Freeze(); err != nil {
		d.say("stop %s: %v", m.VM, err)
		return
	}
	d.frozen = append(d.frozen, m)
	d.stops++
	life.Sleep(ctx, balancerLag)
	d.fleet.Drop(m)
}

// holder returns the daemon that holds the lease of a data centre; nil for none.
func (d *demo) holder(ctx context.Context, dc string) *fleet.Member {
	rows, err := store.NewClient(d.world.PlatformURL(dc)).Get(ctx, lease.Key(d.fleet.Scope(), dc))
	if err != nil || len(rows) == 0 {
		return nil
	}
	row, err := lease.Decode(rows[0].Value)
	if err != nil {
		return nil
	}
	for _, m := range d.fleet.Live() {
		if m.VM == row.VM {
			return m
		}
	}
	return nil
}

// thaw wakes the stopped daemons. They get requests again once they are ready.
func (d *demo) thaw(ctx context.Context) {
	for _, m := range d.frozen {
		d.say("fault ended: %s wakes", m.VM)
		if err := m.Daemon.(fleet.Freezer).Thaw(); err != nil {
			d.say("wake %s: %v", m.VM, err)
		}
		go d.fleet.AddReady(ctx, m)
	}
	d.frozen = nil
}
