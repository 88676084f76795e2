package steer

import (
	"context"
	"errors"
	"io"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"

	"github.com/limpetlb/limpetlb/limpetd/crash"
	"github.com/limpetlb/limpetlb/limpetd/lease"
	"github.com/limpetlb/limpetlb/limpetd/life"
	"github.com/limpetlb/limpetlb/limpetd/mirror"
	"github.com/limpetlb/limpetlb/limpetd/origin"
)

// TestFullUpdateIsSentAfterFailedEncoding guards against a new link that never gets the full state
// because the first update could not be encoded.
func TestFullUpdateIsSentAfterFailedEncoding(t *testing.T) {
	b := newBroadcaster(nil)
	s := b.add(nil)
	now := time.Now()
	failFull := func(u stateUpdate) (encodedMessage, error) {
		if u.Full {
			return nil, errors.New("not encoded")
		}
		return encode(u)
	}
	require.Error(t, b.broadcast(nil, nil, noCrashes, noOrigins, failFull, now))
	require.Empty(t, s.queue)
	var sent []stateUpdate
	record := func(u stateUpdate) (encodedMessage, error) {
		sent = append(sent, u)
		return encode(u)
	}
	require.NoError(t, b.broadcast(nil, nil, noCrashes, noOrigins, record, now))
	require.Len(t, s.queue, 1)
	require.True(t, sent[len(sent)-1].Full)
}

// noCrashes is a crashSource without facts.
func noCrashes(int64) (*crash.Facts, int64) { return nil, 0 }

// noOrigins is an originSource without facts.
func noOrigins(int64) (*origin.Facts, int64) { return nil, 0 }

// TestUrgentUpdatesAreBounded guards against an update to all daemons for each report on the ends of many servers.
func TestUrgentUpdatesAreBounded(t *testing.T) {
	for _, links := range []int{0, 5, 74, 194, 360} {
		delay := urgentDelay(links)
		require.LessOrEqual(t, float64(links)/delay.Seconds(), 1000.0, "messages a second")
		require.LessOrEqual(t, delay, 2*updatePeriod)
	}
}

// oneRow is a table of the store with one row.
type oneRow struct{}

func (oneRow) Read(context.Context, string) ([]mirror.Row, mirror.Position, error) {
	return []mirror.Row{{Key: "k", Version: 7}}, mirror.Position{Version: 9}, nil
}

func (oneRow) Changes(ctx context.Context, _ string, after mirror.Position, wait time.Duration) ([]mirror.Row, mirror.Position, error) {
	life.Sleep(ctx, wait)
	return nil, after, nil
}

// followOneRow returns a follower of a table with one row, which it has read.
func followOneRow(t *testing.T) *mirror.Follower {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	f := mirror.NewFollower("t", oneRow{}, func(map[string]mirror.Row) {}, mirror.WithRelay(func() bool { return true }))
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		f.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	require.Eventually(t, func() bool { return !f.PolledAt().IsZero() }, time.Second, time.Millisecond)
	return f
}

// TestNewDaemonsGetWholeTables guards against daemons that start and have to read the tables from the store, and
// against encoding the tables for each of them.
func TestNewDaemonsGetWholeTables(t *testing.T) {
	b := newBroadcaster([]*mirror.Follower{followOneRow(t)})
	for range 3 {
		b.add(map[string]mirror.Position{"t": {}})
	}
	b.add(map[string]mirror.Position{"t": {Version: 9}})
	var full []stateUpdate
	record := func(u stateUpdate) (encodedMessage, error) {
		if u.Full {
			full = append(full, u)
		}
		return encode(u)
	}
	require.NoError(t, b.broadcast(nil, nil, noCrashes, noOrigins, record, time.Now()))
	require.Len(t, full, 2, "one for the new daemons, one for the daemon that has the table")
	rows := 0
	for _, u := range full {
		require.Len(t, u.Tables, 1)
		rows += len(u.Tables[0].Rows)
		require.Equal(t, u.Tables[0].Whole, len(u.Tables[0].Rows) == 1)
	}
	require.Equal(t, 1, rows)
}

// TestFullStatesAreEncodedOnce guards against a lease holder that encodes the full state for each of 360 daemons which open
// links together, and closes all links because their updates become too old meanwhile.
func TestFullStatesAreEncodedOnce(t *testing.T) {
	const daemons, positions = 360, 9
	synctest.Test(t, func(t *testing.T) {
		b := newBroadcaster([]*mirror.Follower{followOneRow(t)})
		var all []*subscriber
		for i := range daemons {
			all = append(all, b.add(map[string]mirror.Position{"t": {Version: 9 + int64(i%positions)}}))
		}
		full := 0
		encodeSlowly := func(u stateUpdate) (encodedMessage, error) {
			if u.Full {
				full++
				time.Sleep(maxFullStates)
			}
			return encode(u)
		}
		for updates := 1; slices.ContainsFunc(all, func(s *subscriber) bool { return s.needsFull }); updates++ {
			start := time.Now()
			require.NoError(t, b.broadcast(nil, nil, noCrashes, noOrigins, encodeSlowly, start))
			require.LessOrEqual(t, time.Since(start), 2*maxFullStates, "the others wait for the next update")
			require.LessOrEqual(t, updates, positions)
		}
		require.Equal(t, positions, full, "daemons that lack the same changes get the same message")
		for _, s := range all {
			require.NotEmpty(t, s.queue)
		}
	})
}

// sentUpdates is the link of a daemon that records what it receives.
type sentUpdates struct {
	grpc.ServerStream
	ctx  context.Context
	sent chan any
}

func (s sentUpdates) Context() context.Context { return s.ctx }

func (s sentUpdates) SendMsg(m any) error {
	s.sent <- m
	return nil
}

// TestOldUpdatesAreReplaced guards against a lease holder that closes all links when its processor was busy for a moment,
// and against sending updates that are old, or later ones without them.
func TestOldUpdatesAreReplaced(t *testing.T) {
	self := Member{VM: "a", Instance: "a-1"}
	s := &Controller{settings: Config{Self: self}, deps: Deps{Leases: noLease{}, Clock: time.Now}, broadcaster: newBroadcaster(nil)}
	s.lease = lease.NewCandidate(lease.Config{VM: self.VM, Instance: self.Instance, Term: time.Minute})
	s.lease.RecordWrite(lease.Row{VM: self.VM, Instance: self.Instance, Fence: 1}, 1, time.Now(), time.Now())
	require.True(t, s.IsLeaseHolder())
	b, encodeUpdate := s.broadcaster, func(u stateUpdate) (encodedMessage, error) { return encode(u) }
	sub := b.add(nil)
	require.NoError(t, b.broadcast(nil, nil, noCrashes, noOrigins, encodeUpdate, time.Now().Add(-2*maxQueueDelay)))
	require.NoError(t, b.broadcast(nil, nil, noCrashes, noOrigins, encodeUpdate, time.Now().Add(time.Minute)))
	require.Len(t, sub.queue, 2)
	link := sentUpdates{ctx: t.Context(), sent: make(chan any)}
	failed, ended := make(chan error), make(chan error)
	go func() { ended <- s.sendUpdates(link, sub, failed) }()
	require.Eventually(t, func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return sub.needsFull
	}, time.Second, time.Millisecond)
	require.NoError(t, b.broadcast(nil, nil, noCrashes, noOrigins, encodeUpdate, time.Now()))
	var u stateUpdate
	require.NoError(t, codec{}.Unmarshal((<-link.sent).(encodedMessage), &u))
	require.True(t, u.Full)
	failed <- io.EOF
	require.ErrorIs(t, <-ended, io.EOF)
}
