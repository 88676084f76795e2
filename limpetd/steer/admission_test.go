package steer

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/limpetlb/limpetlb/limpetd/budget"
	"github.com/limpetlb/limpetlb/limpetd/guard"
	"github.com/limpetlb/limpetlb/limpetd/lease"
	"github.com/limpetlb/limpetlb/limpetd/sched"
)

// TestLinksNeedAProof guards against clients that are no daemons at the port for links, and against refusing daemons that
// this one has not read yet, or that run a build without proofs.
func TestLinksNeedAProof(t *testing.T) {
	self := Member{VM: "a", Instance: "a-1", Address: "10.0.0.1:1", Proves: true}
	other := Member{VM: "b", Instance: "b-1", Address: "10.0.0.2:1", Proves: true}
	earlier := Member{VM: "c", Instance: "c-1", Address: "10.0.0.3:1"}
	s := &Controller{settings: Config{Self: self}}
	require.True(t, s.admits(nil, "10.0.0.9"), "the list of daemons was not read")
	s.SetMembers([]Member{self, other, earlier})
	for name, c := range map[string]struct {
		proof []string
		ip    string
		want  bool
	}{
		"nothing":                               {nil, "10.0.0.9", false},
		"unknown instance":                      {[]string{"x"}, "10.0.0.9", false},
		"empty instance":                        {[]string{""}, "10.0.0.9", false},
		"this daemon, by one not listed":        {[]string{"a-1", "x-1"}, "10.0.0.9", true},
		"earlier lease holder, by one listed":   {[]string{"a-0", "b-1"}, "10.0.0.2", true},
		"address of a daemon with proofs":       {nil, "10.0.0.2", false},
		"address of an earlier build":           {nil, "10.0.0.3", true},
		"address that begins like a daemon's":   {nil, "10.0.0.", false},
		"instance of an earlier build":          {[]string{"c-1"}, "10.0.0.9", true},
		"this daemon after a restored list too": {[]string{"a-1"}, "10.0.0.2", true},
	} {
		require.Equal(t, c.want, s.admits(c.proof, c.ip), name)
	}
}

// guardedLinks is a server for links that admits those that name an instance.
type guardedLinks struct{ openLinks }

func (guardedLinks) admit(proof []string, _ string) error {
	if len(proof) > 0 && proof[0] == "a-1" {
		return nil
	}
	return errNotMember
}

// TestCallsWithoutLinkAreRefused guards against calls of clients that have not opened a link.
func TestCallsWithoutLinkAreRefused(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	served := make(chan error, 1)
	go func() { served <- serveLinks(ctx, l, guardedLinks{}) }()
	for instance, want := range map[string]codes.Code{"a-1": codes.OK, "a-2": codes.PermissionDenied} {
		stream, conn, err := dialLink(ctx, Member{Address: l.Addr().String(), Instance: instance}, Member{})
		require.NoError(t, err)
		var g sched.Reservation
		require.Equal(t, want, status.Code(conn.Invoke(ctx, reservePath, &sched.ReservationRequest{}, &g)))
		if want != codes.OK {
			require.Equal(t, want, status.Code(stream.RecvMsg(&stateUpdate{})))
			proven := withProof(ctx, Member{Instance: "a-1"}, Member{})
			require.Equal(t, want, status.Code(conn.Invoke(proven, reservePath, &sched.ReservationRequest{}, &g)), "a proof without a link")
		}
		require.NoError(t, conn.Close())
	}
	cancel()
	require.NoError(t, <-served)
}

// TestAllDaemonsAreAdmittedTogether guards against limits of connections that refuse some of 361 daemons which open their
// links at the same time, as after a restart of all, when few of them are in the list.
func TestAllDaemonsAreAdmittedTogether(t *testing.T) {
	const daemons, maxUnadmitted = 360, 128
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	g := guard.New(t.Context(), guard.Config{MemoryMB: 144, MaxFDs: 3075}, guard.Deps{})
	door := g.Door(l, guard.DoorConfig{Max: budget.LinkLimit(144, 3075), MaxUnadmitted: maxUnadmitted, UnadmittedBytes: budget.LinkBytes})
	self := Member{VM: "a", Instance: "a-1", Address: l.Addr().String(), Proves: true}
	s := &Controller{settings: Config{Self: self}}
	s.SetMembers([]Member{self})
	ctx, cancel := context.WithCancel(t.Context())
	served := make(chan error, 1)
	go func() { served <- serveLinks(ctx, door, membersOnly{s}) }()
	var opening sync.WaitGroup
	var results [daemons]error
	for i := range daemons {
		opening.Go(func() {
			// Beside other load, a connect may time out, or a connection expire before its link arrives. Daemons then
			// try again.
			for results[i] = errNoHolder; status.Code(results[i]) == codes.Unavailable && ctx.Err() == nil; {
				results[i] = openLink(ctx, t, self)
			}
		})
	}
	opening.Wait()
	for i, err := range results {
		require.NoError(t, err, "daemon %d", i)
	}
	require.Eventually(t, func() bool { return g.Used(budget.Connections) == 0 }, 30*time.Second, 10*time.Millisecond,
		"admitted connections are not charged, others expire")
	cancel()
	require.NoError(t, <-served)
}

// openLink opens a link to the lease holder, and sends a request on its connection. The connection stays open. It waits
// for the header of the link: a connection that ends before that is replaced by another one, which has no link.
func openLink(ctx context.Context, t *testing.T, holder Member) error {
	stream, conn, err := dialLink(ctx, holder, Member{Instance: "x"})
	if err != nil {
		return err
	}
	t.Cleanup(func() { _ = conn.Close() })
	header, err := stream.Header()
	if err != nil {
		return err
	}
	if header == nil {
		return stream.RecvMsg(&stateUpdate{})
	}
	var r sched.Reservation
	return conn.Invoke(ctx, reservePath, &sched.ReservationRequest{}, &r)
}

// membersOnly is a server for links that admits like the lease holder, and sends a header on each link.
type membersOnly struct{ *Controller }

func (m membersOnly) admit(proof []string, ip string) error {
	if m.admits(proof, ip) {
		return nil
	}
	return errNotMember
}

func (membersOnly) handleLink(s grpc.ServerStream) error {
	if err := s.SendHeader(nil); err != nil {
		return err
	}
	return openLinks{}.handleLink(s)
}

func (membersOnly) handleReserve(sched.ReservationRequest) (sched.Reservation, error) {
	return sched.Reservation{}, nil
}

// noLease is a store without a lease.
type noLease struct{ LeaseStore }

func (noLease) Era() int64 { return 0 }

// TestOnlyLeaseHolderAdmits guards against clients that open links to a daemon that has not read the list of daemons, such
// as one that starts while the store is away: it can't check their proofs.
func TestOnlyLeaseHolderAdmits(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	g := guard.New(t.Context(), guard.Config{MemoryMB: 144}, guard.Deps{})
	door := g.Door(l, guard.DoorConfig{MaxUnadmitted: 2, UnadmittedBytes: budget.LinkBytes})
	self := Member{VM: "a", Instance: "a-1", Address: l.Addr().String()}
	s := &Controller{settings: Config{Self: self}, deps: Deps{Leases: noLease{}, Clock: time.Now}, lease: lease.NewCandidate(lease.Config{VM: "a"}), broadcaster: newBroadcaster(nil)}
	ctx, cancel := context.WithCancel(t.Context())
	served := make(chan error, 1)
	go func() { served <- serveLinks(ctx, door, s) }()
	require.Equal(t, codes.FailedPrecondition, status.Code(openLink(ctx, t, self)))
	require.Equal(t, int64(budget.LinkBytes), g.Used(budget.Connections), "the connection is not admitted")
	cancel()
	require.NoError(t, <-served)
}
