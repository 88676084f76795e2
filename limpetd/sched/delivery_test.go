package sched_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/layout"
	"github.com/limpetlb/limpetlb/limpetd/sched"
)

// stoppedServer is a server whose process is stopped.
var stoppedServer = &layout.Server{ID: "stopped", Service: "llm", Address: "10.0.0.9:80", StartedAt: 1}

// leaveStopped sends a call of each daemon to stoppedServer until no daemon may send one on to another server, and
// returns the number of these calls. Their first arrival is at the other server.
func (f *retryFleet) leaveStopped() int {
	n := 0
	for _, b := range f.daemons {
		for {
			d := sched.NewDelivery("llm")
			b.RecordFirstSend(d)
			if !b.TakeRetry(d, f.now) {
				break
			}
			b.RecordUnread(d, stoppedServer, "", f.now)
			b.RecordRead(d, f.now)
			n++
		}
	}
	return n
}

// resume lets stoppedServer read the calls that were left, and answer a new call of each daemon.
func (f *retryFleet) resume(left int) {
	for range left {
		f.arrivals = append(f.arrivals, f.now)
	}
	for _, b := range f.daemons {
		b.RecordSpoken(stoppedServer.ID, "", f.now, f.now)
	}
}

// A stopped server reads the calls that daemons have given up when it goes on, however long that takes.
func TestRetriesReadLateByAStoppedServerStayWithinBudget(t *testing.T) {
	for _, stop := range []time.Duration{time.Second, 6 * time.Second, 11 * time.Second, 13 * time.Second, 40 * time.Second, 4 * time.Minute} {
		for _, size := range fleetSizes[:3] {
			t.Run(fmt.Sprintf("%s, %d daemons", stop, size.daemons), func(t *testing.T) {
				f := newRetryFleet(t, 1, size.daemons)
				f.run(30*time.Second, size.rate, 0)
				left := f.leaveStopped()
				require.Positive(t, left)
				f.run(stop, size.rate, 0.6)
				f.resume(left)
				f.run(30*time.Second, size.rate, 0.6)
				f.requireWithinBudget()
				used, allowed := f.use(f.now)
				require.GreaterOrEqual(t, float64(used), 0.85*allowed, "the budget is used again after the server went on")
			})
		}
	}
}

// unreadFleet returns a daemon with one retry that stoppedServer may still read, and the time.
func unreadFleet(t *testing.T) (*sched.Balancer, time.Time) {
	t.Helper()
	f := newRetryFleet(t, 1, 1)
	b := f.daemons[0]
	b.SetServers([]*layout.Server{stoppedServer})
	f.run(40*time.Second, 40, 0)
	d := sched.NewDelivery("llm")
	b.RecordFirstSend(d)
	require.True(t, b.TakeRetry(d, f.now))
	b.RecordUnread(d, stoppedServer, "vm-2", f.now)
	b.RecordRead(d, f.now)
	return b, f.now
}

func TestUnreadRetryCountsUntilItsServerHasSpokenOrEnded(t *testing.T) {
	window := retryWindow + 100*time.Millisecond
	const late = 2 * time.Second
	pending := func(b *sched.Balancer, now time.Time) int { return b.RetryUse("llm", now).Pending }
	for name, c := range map[string]struct {
		evidence func(b *sched.Balancer, now time.Time)
		settles  bool
		margin   time.Duration
	}{
		"nothing": {func(*sched.Balancer, time.Time) {}, false, 0},
		"answer to an earlier request": {func(b *sched.Balancer, now time.Time) {
			b.RecordSpoken("stopped", "vm-2", now.Add(-5*time.Minute), now)
		}, false, 0},
		"answer on another path":    {func(b *sched.Balancer, now time.Time) { b.RecordSpoken("stopped", "", now, now) }, false, 0},
		"answer of another server":  {func(b *sched.Balancer, now time.Time) { b.RecordSpoken("other", "vm-2", now, now) }, false, 0},
		"answer to a later request": {func(b *sched.Balancer, now time.Time) { b.RecordSpoken("stopped", "vm-2", now, now) }, true, late},
		"the server is gone":        {func(b *sched.Balancer, _ time.Time) { b.SetServers(nil) }, false, 0},
		"the server started again": {func(b *sched.Balancer, _ time.Time) {
			b.SetServers([]*layout.Server{{ID: "stopped", Address: stoppedServer.Address, StartedAt: 2}})
		}, true, 0},
		"another server has its address": {func(b *sched.Balancer, _ time.Time) {
			b.SetServers([]*layout.Server{{ID: "other", Address: stoppedServer.Address}})
		}, true, 0},
	} {
		t.Run(name, func(t *testing.T) {
			b, now := unreadFleet(t)
			now = now.Add(time.Minute)
			require.Equal(t, 1, pending(b, now))
			c.evidence(b, now)
			if !c.settles {
				require.Equal(t, 1, pending(b, now.Add(3*time.Minute)))
				require.Zero(t, pending(b, now.Add(5*time.Minute)))
				return
			}
			require.Zero(t, pending(b, now))
			require.Equal(t, 1, b.RetryUse("llm", now.Add(retryWindow+c.margin)).Retries)
			require.Zero(t, b.RetryUse("llm", now.Add(window+c.margin)).Retries)
		})
	}
}

// A call that was not retried, or whose retry was not sent, uses nothing of the budget.
func TestUnsentRetryIsReturned(t *testing.T) {
	f := newRetryFleet(t, 1, 1)
	b := f.daemons[0]
	f.run(40*time.Second, 40, 0)
	d := sched.NewDelivery("llm")
	b.RecordFirstSend(d)
	b.RecordUnread(d, stoppedServer, "", f.now)
	require.Zero(t, b.RetryUse("llm", f.now).Retries)
	require.True(t, b.TakeRetry(d, f.now))
	require.Equal(t, 1, b.RetryUse("llm", f.now).Pending)
	b.RecordUnsent(d, true, f.now)
	require.Zero(t, b.RetryUse("llm", f.now).Retries)
	require.True(t, b.TakeRetry(d, f.now))
	b.RecordRead(d, f.now)
	require.Equal(t, 1, b.RetryUse("llm", f.now).Pending, "the stopped server may still read the first send")
	b.RecordSpoken(stoppedServer.ID, "", f.now.Add(time.Second), f.now.Add(time.Second))
	require.Zero(t, b.RetryUse("llm", f.now).Pending)
	require.Equal(t, 1, b.RetryUse("llm", f.now).Retries)
}
