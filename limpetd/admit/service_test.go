package admit

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/store"
)

// serviceVMs returns servers of pool "booking": two in the daemon's data centre and
// two in another data centre.
func serviceVMs() []store.VM {
	var vms []store.VM
	for i := range 4 {
		vm := store.VM{ID: fmt.Sprintf("s%d", i), Kind: store.KindService, Pool: "booking", DataCentre: "a", State: store.StateLive}
		if i >= 2 {
			vm.DataCentre = "b"
		}
		vms = append(vms, vm)
	}
	return vms
}

// withServiceQueue runs test in a synctest bubble, with a queue that uses serviceVMs.
func withServiceQueue(t *testing.T, test func(ctx context.Context, q *Queue, f *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := newFixture(time.Now(), 1)
		f.vms = serviceVMs()
		q := New(ctx, Config{VM: "d", DataCentre: "a"}, f.deps())
		test(ctx, q, f)
		cancel()
		require.NoError(t, q.Wait())
	})
}

func TestServiceChoosesTheFewestInFlightInItsDataCentre(t *testing.T) {
	withServiceQueue(t, func(ctx context.Context, q *Queue, _ *fixture) {
		count := make(map[string]int)
		send := func(n int) {
			for range n {
				ticket, err := q.AdmitService(ctx, ServiceRequest{Pool: "booking"})
				require.NoError(t, err)
				count[ticket.Choice().VM]++
			}
		}
		send(10)
		require.Equal(t, map[string]int{"s0": 5, "s1": 5}, count)
		send(30)
		require.Equal(t, 40, count["s0"]+count["s1"]+count["s2"]+count["s3"])
		require.Equal(t, remotePenalty, count["s0"]-count["s2"], "calls beyond the penalty go to the other data centre")
		require.Equal(t, remotePenalty, count["s1"]-count["s3"])
	})
}

func TestServiceSkipsFailingAndLeavingServers(t *testing.T) {
	withServiceQueue(t, func(ctx context.Context, q *Queue, f *fixture) {
		f.vms[1].State = store.StateLeaving
		count := make(map[string]int)
		for range 20 {
			ticket, err := q.AdmitService(ctx, ServiceRequest{Pool: "booking"})
			require.NoError(t, err)
			count[ticket.Choice().VM]++
			outcome := OutcomeAnswered
			if ticket.Choice().VM == "s0" {
				outcome = OutcomeFailed
			}
			ticket.Release(outcome)
			ticket.Release(outcome)
		}
		require.Equal(t, ejectAfterFailures, count["s0"])
		require.Zero(t, count["s1"])
		_, err := q.AdmitService(ctx, ServiceRequest{Pool: "other"})
		require.Equal(t, code.NoBackend, code.Of(err))
		require.Positive(t, RetryAfter(err))
		ticket, err := q.AdmitService(ctx, ServiceRequest{Pool: "booking", Exclude: []string{"s2"}})
		require.NoError(t, err)
		require.Equal(t, "s3", ticket.Choice().VM)
	})
}

func TestServiceRetriesShareTheBudget(t *testing.T) {
	withServiceQueue(t, func(ctx context.Context, q *Queue, _ *fixture) {
		granted := 0
		for range 100 {
			_, err := q.AdmitService(ctx, ServiceRequest{Pool: "booking"})
			require.NoError(t, err)
			if _, err = q.AdmitService(ctx, ServiceRequest{Pool: "booking", Attempt: 1}); err == nil {
				granted++
				continue
			}
			require.Equal(t, code.RetryBudget, code.Of(err))
		}
		require.InDelta(t, 10, granted, 1)
	})
}

func TestServiceCallsCountTowardsTheCallerLimit(t *testing.T) {
	withServiceQueue(t, func(ctx context.Context, q *Queue, _ *fixture) {
		refused := 0
		for range 10 {
			_, err := q.AdmitService(ctx, ServiceRequest{Pool: "booking", Caller: "limited"})
			refused += boolToInt(code.Of(err) == code.CallerLimit)
		}
		require.Equal(t, 8, refused)
	})
}
