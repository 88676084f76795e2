package batch

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/fakes"
	"github.com/limpetlb/limpetlb/limpetd/store"
)

// keepFor is how long the daemons of these tests keep ended batches.
const keepFor = 3 * time.Hour

// newKeyedSubmission returns a batch with an idempotency key, from which its id is
// derived.
func newKeyedSubmission() Submission {
	s := newSubmission(2)
	s.Key = "k"
	return s
}

// runBatch submits a batch with an idempotency key, waits until it has ended and returns
// its job.
func (e *testEnv) runBatch(t *testing.T, d *Manager) Job {
	j, err := d.Submit(t.Context(), newKeyedSubmission())
	require.NoError(t, err)
	j = waitEnded(t, d, j.ID)
	require.Equal(t, StateDone, j.State)
	return j
}

// requireSwept checks that no rows and no objects are left.
func (e *testEnv) requireSwept(t *testing.T) {
	rows, err := e.table.Scan(t.Context(), "batch/", "", 10)
	require.NoError(t, err)
	require.Empty(t, rows)
	require.Empty(t, e.objects.Keys())
}

// TestSweepDeletesObjectsAfterRetentionTime checks that a batch is complete until the
// retention time has passed, and that afterwards its rows and objects are deleted.
func TestSweepDeletesObjectsAfterRetentionTime(t *testing.T) {
	runInTestEnv(t, &fakes.Table{}, func(t *testing.T, e *testEnv) {
		e.keepFor = keepFor
		d, stop := e.startDaemon(t, e.table)
		defer stop()
		j := e.runBatch(t, d)
		time.Sleep(keepFor - time.Hour)
		requireComplete(t, d, j.ID, 2)
		time.Sleep(2 * time.Hour)
		e.requireSwept(t)
		_, err := d.Result(t.Context(), "app", j.ID)
		require.Equal(t, code.BatchNotFound, code.Of(err))
	})
}

// TestSweepContinuesAfterCrash stops a daemon that has deleted the objects of a batch
// but not its rows. Another daemon must delete the rows.
func TestSweepContinuesAfterCrash(t *testing.T) {
	var down atomic.Bool
	table := &fakes.Table{Fault: func(int) fakes.Fault { return downIf(&down) }}
	runInTestEnv(t, table, func(t *testing.T, e *testEnv) {
		e.keepFor = keepFor
		first, crash := e.startDaemon(t, e.table)
		j := e.runBatch(t, first)
		time.Sleep(keepFor - time.Hour)
		down.Store(true)
		time.Sleep(2 * time.Hour)
		require.Empty(t, e.objects.Keys())
		_, err := first.Get(t.Context(), "app", j.ID)
		require.NoError(t, err)
		_, err = first.Result(t.Context(), "app", j.ID)
		require.Equal(t, code.BatchNotFound, code.Of(err), "the result was deleted before the rows")
		crash()
		down.Store(false)
		_, stop := e.startDaemon(t, e.table)
		defer stop()
		time.Sleep(time.Hour)
		e.requireSwept(t)
	})
}

// TestSweepKeepsRowsOfUndeletedObjects makes the object store unavailable during a
// sweep. The rows must stay until the objects are deleted, since they are needed to find
// the objects.
func TestSweepKeepsRowsOfUndeletedObjects(t *testing.T) {
	runInTestEnv(t, &fakes.Table{}, func(t *testing.T, e *testEnv) {
		e.keepFor = keepFor
		var down atomic.Bool
		e.objects.Fault = func() fakes.Fault { return downIf(&down) }
		d, stop := e.startDaemon(t, e.table)
		defer stop()
		j := e.runBatch(t, d)
		time.Sleep(keepFor - time.Hour)
		down.Store(true)
		time.Sleep(2 * time.Hour)
		_, err := d.Get(t.Context(), "app", j.ID)
		require.NoError(t, err)
		require.ElementsMatch(t, j.ownedObjects("test"), e.objects.Keys())
		down.Store(false)
		time.Sleep(time.Hour)
		e.requireSwept(t)
	})
}

// downIf returns the fault of a store that is unavailable while down is set.
func downIf(down *atomic.Bool) fakes.Fault {
	if down.Load() {
		return fakes.Unavailable
	}
	return fakes.NoFault
}

// TestResultIsCompleteOrNotFound reads a result every second until it is deleted. Each
// read must return either all lines or BatchNotFound.
func TestResultIsCompleteOrNotFound(t *testing.T) {
	runInTestEnv(t, &fakes.Table{}, func(t *testing.T, e *testEnv) {
		e.keepFor = keepFor
		d, stop := e.startDaemon(t, e.table)
		defer stop()
		j := e.runBatch(t, d)
		time.Sleep(keepFor - time.Minute)
		var err error
		for err == nil {
			var lines []ItemResult
			lines, err = d.Result(t.Context(), "app", j.ID)
			require.True(t, err != nil || len(lines) == 2)
			time.Sleep(time.Second)
		}
		require.Equal(t, code.BatchNotFound, code.Of(err))
		require.False(t, time.Now().Before(j.EndedAt.Add(keepFor)))
	})
}

// blockingTable is a table whose Get blocks.
type blockingTable struct {
	store.Table
	reached chan struct{}
	release chan struct{}
}

// Get closes reached, waits until release is closed and then reads the rows.
func (b *blockingTable) Get(ctx context.Context, keys ...string) ([]store.Row, error) {
	close(b.reached)
	<-b.release
	return b.Table.Get(ctx, keys...)
}

// TestConcurrentSweepsKeepNewBatchOfSameKey blocks one sweep between its two reads while
// another daemon sweeps and the batch is submitted again under the same idempotency key.
// The blocked sweep must not delete the new batch.
func TestConcurrentSweepsKeepNewBatchOfSameKey(t *testing.T) {
	runInTestEnv(t, &fakes.Table{}, func(t *testing.T, e *testEnv) {
		e.keepFor = keepFor
		d, stop := e.startDaemon(t, e.table)
		defer stop()
		e.runBatch(t, d)
		time.Sleep(keepFor - time.Hour)
		blocking := &blockingTable{Table: e.table, reached: make(chan struct{}), release: make(chan struct{})}
		slow, stopSlow := e.startDaemon(t, blocking)
		defer stopSlow()
		require.NoError(t, slow.Leave(withTimeout(t, time.Minute)))
		time.Sleep(time.Hour + time.Second)
		swept := make(chan error)
		go func() { swept <- slow.sweep(t.Context()) }()
		<-blocking.reached
		require.NoError(t, d.sweep(t.Context()))
		e.requireSwept(t)

		j, err := d.Submit(t.Context(), newKeyedSubmission())
		require.NoError(t, err)
		close(blocking.release)
		require.Equal(t, code.StoreConflict, code.Of(<-swept))
		require.Equal(t, StateDone, waitEnded(t, d, j.ID).State)
		requireComplete(t, d, j.ID, 2)
	})
}

// withTimeout returns a context that ends after d or with the test.
func withTimeout(t *testing.T, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), d)
	t.Cleanup(cancel)
	return ctx
}

// TestLateDeletionKeepsNewBatchOfSameKey deletes the objects of a swept batch a second
// time, after the batch was submitted again under the same idempotency key. The objects
// of the new batch must have other keys.
func TestLateDeletionKeepsNewBatchOfSameKey(t *testing.T) {
	runInTestEnv(t, &fakes.Table{}, func(t *testing.T, e *testEnv) {
		e.keepFor = keepFor
		d, stop := e.startDaemon(t, e.table)
		defer stop()
		old := e.runBatch(t, d)
		time.Sleep(keepFor + time.Hour)
		e.requireSwept(t)
		j, err := d.Submit(t.Context(), newKeyedSubmission())
		require.NoError(t, err)
		require.Equal(t, old.ID, j.ID)
		for _, key := range old.ownedObjects("test") {
			require.NoError(t, e.objects.Delete(t.Context(), key))
		}
		require.Equal(t, StateDone, waitEnded(t, d, j.ID).State)
		requireComplete(t, d, j.ID, 2)
	})
}

// TestUnreferencedObjectsAreDeleted submits a batch twice, saves its lines several times
// and lets its lease holder lose the lease. Only the objects to which the job's row
// refers may be left.
func TestUnreferencedObjectsAreDeleted(t *testing.T) {
	runInTestEnv(t, &fakes.Table{}, func(t *testing.T, e *testEnv) {
		e.keepFor = keepFor
		table := &disconnectableTable{Table: e.table}
		first, stopFirst := e.startDaemon(t, table)
		defer stopFirst()
		s := newKeyedSubmission()
		s.Items = newSubmission(itemCount).Items
		j, err := first.Submit(t.Context(), s)
		require.NoError(t, err)
		_, err = first.Submit(t.Context(), s)
		require.NoError(t, err)
		require.Equal(t, []string{j.InputKey}, e.objects.Keys())
		time.Sleep(itemTime)
		table.setDisconnected(true)
		second, stopSecond := e.startDaemon(t, e.table)
		defer stopSecond()
		got := waitEnded(t, second, j.ID)
		table.setDisconnected(false)
		time.Sleep(time.Minute)
		require.ElementsMatch(t, got.ownedObjects("test"), e.objects.Keys())
	})
}

// TestSweepKeepsSharedObjects sweeps a batch whose input has a key without the job id,
// as older jobs have. Other jobs may share the object, so it must be kept.
func TestSweepKeepsSharedObjects(t *testing.T) {
	runInTestEnv(t, &fakes.Table{}, func(t *testing.T, e *testEnv) {
		e.keepFor = keepFor
		d, stop := e.startDaemon(t, e.table)
		defer stop()
		shared := "batch/test/input/0123"
		require.NoError(t, e.objects.Put(t.Context(), shared, []byte("[]")))
		j := Job{ID: "old", Caller: "app", InputKey: shared}.AsEnded(StateDone, time.Now())
		require.NoError(t, store.Commit(t.Context(), e.table, d.jobTx(j, 0)))
		time.Sleep(keepFor + time.Hour)
		require.Equal(t, []string{shared}, e.objects.Keys())
	})
}

// TestPartOfResultIsAnError guards against a part of an object that is taken for all lines of a result, or for all items.
func TestPartOfResultIsAnError(t *testing.T) {
	runInTestEnv(t, &fakes.Table{}, func(t *testing.T, e *testEnv) {
		d, stop := e.startDaemon(t, e.table)
		defer stop()
		j := e.runBatch(t, d)
		for _, key := range []string{j.InputKey, j.ResultKey} {
			body, err := e.objects.Get(t.Context(), key)
			require.NoError(t, err)
			for n := range body {
				require.NoError(t, e.objects.Put(t.Context(), key, body[:n]))
				_, err := d.readLines(t.Context(), key)
				require.Equal(t, code.StoreCorrupt, code.Of(err), n)
				err = d.loadInput(t.Context(), &jobRun{initial: Job{InputKey: key}})
				require.Equal(t, code.StoreCorrupt, code.Of(err), n)
			}
		}
	})
}
