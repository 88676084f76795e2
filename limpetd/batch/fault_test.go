package batch

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/fakes"
	_ "github.com/limpetlb/limpetlb/limpetd/seeds"
	"github.com/limpetlb/limpetlb/limpetd/store"
)

// TestBatchIsDurableBeforeItIsAccepted submits a batch while the table or the object
// store fails. Submit must return no error only if the job is stored.
func TestBatchIsDurableBeforeItIsAccepted(t *testing.T) {
	cases := []struct {
		name    string
		faults  []fakes.Fault
		objects fakes.Fault
		code    code.Code
		run     code.RunState
	}{
		{"no fault", nil, fakes.NoFault, code.OK, code.RunYes},
		{"response lost", []fakes.Fault{fakes.LostAnswer}, fakes.NoFault, code.OK, code.RunYes},
		{"transaction lost", []fakes.Fault{fakes.LostRequest}, fakes.NoFault, code.OK, code.RunYes},
		{"transaction delayed", []fakes.Fault{fakes.LateEffect}, fakes.NoFault, code.OK, code.RunYes},
		{"table down", []fakes.Fault{fakes.Unavailable}, fakes.NoFault, code.BatchStoreDown, code.RunNo},
		{"outcome unknown", []fakes.Fault{fakes.LostRequest, fakes.LostRequest, fakes.LostRequest, fakes.LostRequest}, fakes.NoFault, code.BatchStoreDown, code.RunUnknown},
		{"objects down", nil, fakes.Unavailable, code.BatchStoreDown, code.RunNo},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := &fakes.Table{Fault: func(n int) fakes.Fault {
				if n < len(c.faults) {
					return c.faults[n]
				}
				return fakes.NoFault
			}}
			runInTestEnv(t, table, func(t *testing.T, e *testEnv) {
				d, stop := e.startDaemon(t, e.table)
				defer stop()
				e.objects.Fault = func() fakes.Fault { return c.objects }
				j, err := d.Submit(t.Context(), newSubmission(1))
				require.Equal(t, c.code, code.Of(err))
				require.Equal(t, c.run, code.RunOf(err))
				_, err = d.Get(t.Context(), "app", j.ID)
				require.Equal(t, c.code == code.OK, err == nil)
			})
		})
	}
}

// TestHolderCrashRepeatsOnlyUnsavedItems crashes the lease holder after it has saved
// answers. The daemon that takes the job over may repeat at most the requests that were
// in flight at one time.
func TestHolderCrashRepeatsOnlyUnsavedItems(t *testing.T) {
	runInTestEnv(t, &fakes.Table{}, func(t *testing.T, e *testEnv) {
		first, crash := e.startCrashableDaemon(t)
		j, err := first.Submit(t.Context(), newSubmission(itemCount))
		require.NoError(t, err)
		for e.answerer.countAnswered() == 0 {
			time.Sleep(time.Second)
		}
		time.Sleep(itemTime + itemTime/2)
		second, stop := e.startDaemon(t, e.table)
		defer stop()
		crash()
		got := waitEnded(t, second, j.ID)
		require.Equal(t, StateDone, got.State)
		requireComplete(t, second, j.ID, itemCount)
		repeats := 0
		for _, n := range e.answerer.ended {
			repeats += n - 1
		}
		require.LessOrEqual(t, repeats, DefaultMaxRequestsInFlight)
	})
}

// disconnectableTable is a table that can be disconnected from the daemon that uses it.
type disconnectableTable struct {
	store.Table
	mu           sync.Mutex
	disconnected bool
}

func (d *disconnectableTable) setDisconnected(disconnected bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.disconnected = disconnected
}

func (d *disconnectableTable) checkConnection() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.disconnected {
		return code.Errorf(code.StoreDown, "the table is disconnected")
	}
	return nil
}

func (d *disconnectableTable) Apply(ctx context.Context, tx store.Tx) error {
	if err := d.checkConnection(); err != nil {
		return err
	}
	return d.Table.Apply(ctx, tx)
}

func (d *disconnectableTable) Get(ctx context.Context, keys ...string) ([]store.Row, error) {
	if err := d.checkConnection(); err != nil {
		return nil, err
	}
	return d.Table.Get(ctx, keys...)
}

// Scan implements store.Table.
func (d *disconnectableTable) Scan(ctx context.Context, prefix, after string, limit int) ([]store.Row, error) {
	if err := d.checkConnection(); err != nil {
		return nil, err
	}
	return d.Table.Scan(ctx, prefix, after, limit)
}

// startCrashableDaemon starts a daemon. crash disconnects the table and then stops the
// daemon, so that the daemon can't release its leases.
func (e *testEnv) startCrashableDaemon(t *testing.T) (d *Manager, crash func()) {
	table := &disconnectableTable{Table: e.table}
	d, stop := e.startDaemon(t, table)
	return d, func() {
		table.setDisconnected(true)
		stop()
	}
}

// TestDisconnectedHolderDoesNotEndJobAgain disconnects the lease holder from the table
// until another daemon has taken the job over and ended it. After the reconnection the
// first holder must not change the job.
func TestDisconnectedHolderDoesNotEndJobAgain(t *testing.T) {
	runInTestEnv(t, &fakes.Table{}, func(t *testing.T, e *testEnv) {
		table := &disconnectableTable{Table: e.table}
		first, stopFirst := e.startDaemon(t, table)
		defer stopFirst()
		j, err := first.Submit(t.Context(), newSubmission(itemCount))
		require.NoError(t, err)
		time.Sleep(itemTime)
		table.setDisconnected(true)
		second, stopSecond := e.startDaemon(t, e.table)
		defer stopSecond()
		got := waitEnded(t, second, j.ID)
		require.Equal(t, 2, got.LeaseCount)
		table.setDisconnected(false)
		time.Sleep(time.Minute)
		after, err := first.Get(t.Context(), "app", j.ID)
		require.NoError(t, err)
		require.Equal(t, got, after, "the first holder ended the job a second time")
		requireComplete(t, first, j.ID, itemCount)
	})
}

// TestLeavingDaemonHandsJobOver lets the lease holder leave while it runs a job. Another
// daemon must be able to take the job at once and must not repeat an answered item.
func TestLeavingDaemonHandsJobOver(t *testing.T) {
	runInTestEnv(t, &fakes.Table{}, func(t *testing.T, e *testEnv) {
		e.saveEvery = time.Hour
		first, stop := e.startDaemon(t, e.table)
		defer stop()
		j, err := first.Submit(t.Context(), newSubmission(itemCount))
		require.NoError(t, err)
		for e.answerer.countAnswered() == 0 {
			time.Sleep(time.Second)
		}
		require.NoError(t, first.Leave(t.Context()))
		held, err := first.Get(t.Context(), "app", j.ID)
		require.NoError(t, err)
		require.True(t, held.CanLease(time.Now()))
		second, stopSecond := e.startDaemon(t, e.table)
		defer stopSecond()
		require.Equal(t, StateDone, waitEnded(t, second, j.ID).State)
		requireComplete(t, second, j.ID, itemCount)
		for prompt, n := range e.answerer.ended {
			require.Equal(t, 1, n, prompt)
		}
	})
}

// TestJobEndsOnceUnderFaults runs a job while daemons crash and transactions fail at
// random. The job must end exactly once, with a complete result.
func TestJobEndsOnceUnderFaults(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		faults := rapid.SliceOfN(rapid.SampledFrom([]fakes.Fault{
			fakes.NoFault, fakes.Unavailable, fakes.LostAnswer, fakes.LostRequest, fakes.LateEffect,
		}), 0, 40).Draw(r, "faults")
		lifetimes := rapid.SliceOfN(rapid.IntRange(1, 300), 0, 4).Draw(r, "lives")
		table := &fakes.Table{Fault: func(n int) fakes.Fault {
			// The first transaction stores the job and must not fail.
			if n > 0 && n <= len(faults) {
				return faults[n-1]
			}
			return fakes.NoFault
		}}
		runInTestEnv(t, table, func(t *testing.T, e *testEnv) {
			last, stop := e.startCrashableDaemon(t)
			j, err := last.Submit(t.Context(), newSubmission(itemCount))
			require.NoError(t, err)
			for _, seconds := range lifetimes {
				time.Sleep(time.Duration(seconds) * time.Second)
				stop()
				last, stop = e.startCrashableDaemon(t)
			}
			defer func() { stop() }()
			got := waitEnded(t, last, j.ID)
			require.Equal(t, StateDone, got.State)
			requireComplete(t, last, j.ID, itemCount)
			time.Sleep(5 * time.Minute)
			after, err := last.Get(t.Context(), "app", j.ID)
			require.NoError(t, err)
			require.Equal(t, got, after)
			open, err := e.table.Scan(t.Context(), openPrefix("test"), "", 10)
			require.NoError(t, err)
			require.Empty(t, open)
		})
	})
}

// TestResultIsStoredBeforeJobEnds makes the object store, but not the table,
// unavailable when the result is to be written. The job must not end before its result
// is stored.
func TestResultIsStoredBeforeJobEnds(t *testing.T) {
	runInTestEnv(t, &fakes.Table{}, func(t *testing.T, e *testEnv) {
		var down atomic.Bool
		e.objects.Fault = func() fakes.Fault { return downIf(&down) }
		d, stop := e.startDaemon(t, e.table)
		defer stop()
		j, err := d.Submit(t.Context(), newSubmission(1))
		require.NoError(t, err)
		for held := j; held.State == StateQueued; time.Sleep(time.Second) {
			held, err = d.Get(t.Context(), "app", j.ID)
			require.NoError(t, err)
		}
		down.Store(true)
		time.Sleep(2 * itemTime)
		got, err := d.Get(t.Context(), "app", j.ID)
		require.NoError(t, err)
		require.False(t, got.HasEnded(), "the job ended without its result")
		down.Store(false)
		require.Equal(t, StateDone, waitEnded(t, d, j.ID).State)
		requireComplete(t, d, j.ID, 1)
	})
}
