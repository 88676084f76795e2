package demo

import (
	"context"

	"github.com/limpetlb/limpetlb/limpetd/lease"
	"github.com/limpetlb/limpetlb/limpetd/life"
	"github.com/limpetlb/limpetlb/limpetd/store"
	"github.com/limpetlb/limpetlb/limpetlab/fleet"
)

// freeze suspends the lease holder of a data centre, the daemon that places
// models there. The daemon gets no notice of the suspension. The balancer removes
// the daemon after balancerLag.
func (d *demo) freeze(ctx context.Context, dc string) {
	m := d.leaseHolder(ctx, dc)
	if m == nil {
		d.logProgress("no live daemon holds the lease of %s", dc)
		return
	}
	f, ok := m.Daemon.(fleet.Freezer)
	if !ok {
		d.logProgress("%s cannot be suspended", m.VM)
		return
	}
	d.logProgress("fault: %s is suspended", m.VM)
	if err := f.Freeze(); err != nil {
		d.logProgress("suspend %s: %v", m.VM, err)
		return
	}
	d.frozen = append(d.frozen, m)
	d.freezes++
	life.Sleep(ctx, balancerLag)
	d.fleet.Drop(m)
}

// leaseHolder returns the live daemon that holds the lease of a data centre, or
// nil when there is none or when the lease cannot be read.
func (d *demo) leaseHolder(ctx context.Context, dc string) *fleet.Member {
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

// thaw resumes the suspended daemons. The balancer sends them requests again once
// they are ready.
func (d *demo) thaw(ctx context.Context) {
	for _, m := range d.frozen {
		d.logProgress("fault ended: %s resumes", m.VM)
		if err := m.Daemon.(fleet.Freezer).Thaw(); err != nil {
			d.logProgress("resume %s: %v", m.VM, err)
		}
		go d.fleet.AddReady(ctx, m)
	}
	d.frozen = nil
}
