package steer

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/limpetlb/limpetlb/limpetd/layout"
	"github.com/limpetlb/limpetlb/limpetd/lease"
	"github.com/limpetlb/limpetlb/limpetd/sched"
)

// eraStore is a store that is only known by its era.
type eraStore int64

func (e eraStore) Era() int64 { return int64(e) }

func (eraStore) Read(context.Context) (lease.Row, int64, error) { return lease.Row{}, 0, nil }

func (eraStore) Write(context.Context, lease.Row, int64, bool) (int64, error) { return 0, nil }

// loadRouter only accepts the load of all daemons.
type loadRouter struct{ Router }

func (loadRouter) SetSharedLoad(map[string]sched.ServerLoad) {}

func (loadRouter) SetLeading(bool) {}

func (loadRouter) MergeLimits(map[string]sched.Limit) {}

// TestLeaseOfEarlierEraIsNotObserved guards against comparing the version of a lease of an earlier
// era, which arrives over a link, with versions of the store's era.
func TestLeaseOfEarlierEraIsNotObserved(t *testing.T) {
	s := &Controller{
		deps:  Deps{Leases: eraStore(2), Router: loadRouter{}, Clock: time.Now, Log: zap.NewNop()},
		lease: lease.NewCandidate(lease.Config{Instance: "self", Term: leaseTerm}),
	}
	update := func(era, version int64) {
		s.applyUpdate(stateUpdate{Loads: map[string]sched.ServerLoad{}, Lease: leaseState{Instance: "other", Era: era, Version: version}}, nil, nil)
	}
	update(2, 9)
	update(1, 30)
	require.EqualValues(t, 9, s.lease.Version())
	update(3, 4)
	require.EqualValues(t, 4, s.lease.Version())
	require.EqualValues(t, 3, s.lease.Era(), "the lease holder knows a later era than this daemon")
}

// TestLeaseOfPredecessorIsTakenAtOnceWithQuotas guards against a fleet that refuses the calls of its organisations for a
// term after a restart, and against a changed election in deployments without quotas.
func TestLeaseOfPredecessorIsTakenAtOnceWithQuotas(t *testing.T) {
	for rate, want := range map[float64]lease.Action{0: lease.Wait, 100: lease.Acquire} {
		s := &Controller{lease: lease.NewCandidate(lease.Config{VM: "vm", Instance: "vm-2", Term: time.Minute}), replan: make(chan struct{}, 1)}
		s.SetServers(&layout.Config{Organisations: []*layout.Organisation{{Name: "a", Quota: layout.Quota{PerSecond: rate}}}}, nil)
		s.lease.Observe(lease.Row{VM: "vm", Instance: "vm-1", Fence: 1}, 1, time.Now())
		require.Equal(t, want, s.lease.Next(time.Now()), "%v a second", rate)
	}
}
