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

// kept is how long the batches of these tests are kept.
const kept = 3 * time.Hour

// keyed is a batch whose id follows from its key.
func keyed() Submission {
	s := submission(2)
	s.Key = "k"
	return s
}

// aged runs a batch to its end and lets it grow old.
func (w *world) aged(t *testing.T, d *Duty) Job {
	j, err := d.Submit(t.Context(), keyed())
	require.NoError(t, err)
	j = ended(t, d, j.ID)
	require.Equal(t, StateDone, j.State)
	return j
}

// requireSwept checks that neither rows nor objects are left.
func (w *world) requireSwept(t *testing.T) {
	rows, err := w.table.Scan(t.Context(), "batch/", "", 10)
	require.NoError(t, err)
	require.Empty(t, rows)
	require.Empty(t, w.objects.Keys())
}

func TestSweepDeletesObjectsOnceTheyAreOld(t *testing.T) {
	inWorld(t, &fakes.Table{}, func(t *testing.T, w *world) {
		w.keepFor = kept
		d, stop := w.daemon(t, w.table)
		defer stop()
		j := w.aged(t, d)
		time.Sleep(kept - time.Hour)
		requireWhole(t, d, j.ID, 2)
		time.Sleep(2 * time.Hour)
		w.requireSwept(t)
		_, err := d.Result(t.Context(), "app", j.ID)
		require.Equal(t, code.BatchNotFound, code.Of(err))
	})
}

// TestSweepGoesOnAfterADeath lets a sweeper die between the objects and the rows.
func TestSweepGoesOnAfterADeath(t *testing.T) {
	var down atomic.Bool
	table := &fakes.Table{Fault: func(int) fakes.Fault { return downIf(&down) }}
	inWorld(t, table, func(t *testing.T, w *world) {
		w.keepFor = kept
		first, die := w.daemon(t, w.table)
		j := w.aged(t, first)
		time.Sleep(kept - time.Hour)
		down.Store(true)
		time.Sleep(2 * time.Hour)
		require.Empty(t, w.objects.Keys())
		_, err := first.Get(t.Context(), "app", j.ID)
		require.NoError(t, err)
		_, err = first.Result(t.Context(), "app", j.ID)
		require.Equal(t, code.BatchNotFound, code.Of(err), "the result is gone for good")
		die()
		down.Store(false)
		_, stop := w.daemon(t, w.table)
		defer stop()
		time.Sleep(time.Hour)
		w.requireSwept(t)
	})
}

// TestSweepKeepsTheRowsOfObjectsThatAreLeft takes the object store away.
func TestSweepKeepsTheRowsOfObjectsThatAreLeft(t *testing.T) {
	inWorld(t, &fakes.Table{}, func(t *testing.T, w *world) {
		w.keepFor = kept
		var down atomic.Bool
		w.objects.Fault = func() fakes.Fault { return downIf(&down) }
		d, stop := w.daemon(t, w.table)
		defer stop()
		j := w.aged(t, d)
		time.Sleep(kept - time.Hour)
		down.Store(true)
		time.Sleep(2 * time.Hour)
		_, err := d.Get(t.Context(), "app", j.ID)
		require.NoError(t, err)
		require.ElementsMatch(t, j.owned("test"), w.objects.Keys())
		down.Store(false)
		time.Sleep(time.Hour)
		w.requireSwept(t)
	})
}

// downIf is the fault of a store that is away while down is set.
func downIf(down *atomic.Bool) fakes.Fault {
	if down.Load() {
		return fakes.Down
	}
	return fakes.None
}

// TestResultIsWholeOrNotFound reads the result at each moment around its deletion.
func TestResultIsWholeOrNotFound(t *testing.T) {
	inWorld(t, &fakes.Table{}, func(t *testing.T, w *world) {
		w.keepFor = kept
		d, stop := w.daemon(t, w.table)
		defer stop()
		j := w.aged(t, d)
		time.Sleep(kept - time.Minute)
		var err error
		for err == nil {
			var lines []Line
			lines, err = d.Result(t.Context(), "app", j.ID)
			require.True(t, err != nil || len(lines) == 2)
			time.Sleep(time.Second)
		}
		require.Equal(t, code.BatchNotFound, code.Of(err))
		require.False(t, time.Now().Before(j.Ended.Add(kept)))
	})
}

// heldTable holds a transaction back until it is let go.
type heldTable struct {
	store.Table
	reached chan struct{}
	release chan struct{}
}

// Get tells that it is reached and waits.
func (h *heldTable) Get(ctx context.Context, keys ...string) ([]store.Row, error) {
	close(h.reached)
	<-h.release
	return h.Table.Get(ctx, keys...)
}

// TestSweepersAtOnceLeaveANewBatchOfTheSameKey holds one sweeper between its two
// reads, while another one sweeps and the batch is handed in again.
func TestSweepersAtOnceLeaveANewBatchOfTheSameKey(t *testing.T) {
	inWorld(t, &fakes.Table{}, func(t *testing.T, w *world) {
		w.keepFor = kept
		d, stop := w.daemon(t, w.table)
		defer stop()
		w.aged(t, d)
		time.Sleep(kept - time.Hour)
		held := &heldTable{Table: w.table, reached: make(chan struct{}), release: make(chan struct{})}
		slow, stopSlow := w.daemon(t, held)
		defer stopSlow()
		require.NoError(t, slow.Leave(withTimeout(t, time.Minute)))
		time.Sleep(time.Hour + time.Second)
		swept := make(chan error)
		go func() { swept <- slow.sweep(t.Context()) }()
		<-held.reached
		require.NoError(t, d.sweep(t.Context()))
		w.requireSwept(t)

		j, err := d.Submit(t.Context(), keyed())
		require.NoError(t, err)
		close(held.release)
		require.Equal(t, code.StoreConflict, code.Of(<-swept))
		require.Equal(t, StateDone, ended(t, d, j.ID).State)
		requireWhole(t, d, j.ID, 2)
	})
}

func withTimeout(t *testing.T, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), d)
	t.Cleanup(cancel)
	return ctx
}

// TestLateDeletionLeavesANewBatchOfTheSameKey deletes the objects of a swept batch
// once more.
func TestLateDeletionLeavesANewBatchOfTheSameKey(t *testing.T) {
	inWorld(t, &fakes.Table{}, func(t *testing.T, w *world) {
		w.keepFor = kept
		d, stop := w.daemon(t, w.table)
		defer stop()
		old := w.aged(t, d)
		time.Sleep(kept + time.Hour)
		w.requireSwept(t)
		j, err := d.Submit(t.Context(), keyed())
		require.NoError(t, err)
		require.Equal(t, old.ID, j.ID)
		for _, key := range old.owned("test") {
			require.NoError(t, w.objects.Delete(t.Context(), key))
		}
		require.Equal(t, StateDone, ended(t, d, j.ID).State)
		requireWhole(t, d, j.ID, 2)
	})
}

// TestObjectsThatNoRowNamesAreDeleted counts the objects of a batch that was
// handed in twice, saved often and lost by a holder.
func TestObjectsThatNoRowNamesAreDeleted(t *testing.T) {
	inWorld(t, &fakes.Table{}, func(t *testing.T, w *world) {
		w.keepFor = kept
		cut := &cutTable{Table: w.table}
		first, stopFirst := w.daemon(t, cut)
		defer stopFirst()
		s := keyed()
		s.Items = submission(items).Items
		j, err := first.Submit(t.Context(), s)
		require.NoError(t, err)
		_, err = first.Submit(t.Context(), s)
		require.NoError(t, err)
		require.Equal(t, []string{j.Input}, w.objects.Keys())
		time.Sleep(itemTime)
		cut.set(true)
		second, stopSecond := w.daemon(t, w.table)
		defer stopSecond()
		got := ended(t, second, j.ID)
		cut.set(false)
		time.Sleep(time.Minute)
		require.ElementsMatch(t, got.owned("test"), w.objects.Keys())
	})
}

// TestSweepLeavesSharedObjects sweeps a batch whose input is named as it was
// before keys held the id of the job.
func TestSweepLeavesSharedObjects(t *testing.T) {
	inWorld(t, &fakes.Table{}, func(t *testing.T, w *world) {
		w.keepFor = kept
		d, stop := w.daemon(t, w.table)
		defer stop()
		shared := "batch/test/input/0123"
		require.NoError(t, w.objects.Put(t.Context(), shared, []byte("[]")))
		j := Job{ID: "old", Caller: "app", Input: shared}.End(StateDone, time.Now())
		require.NoError(t, store.Commit(t.Context(), w.table, d.jobTx(j, 0)))
		time.Sleep(kept + time.Hour)
		require.Equal(t, []string{shared}, w.objects.Keys())
	})
}
