package batch

import (
	"context"
	"math/rand/v2"
	"sort"
	"time"

	"go.uber.org/zap"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/random"
	"github.com/limpetlb/limpetlb/limpetd/store"
)

// sweepLoop deletes batches that ended long ago.
func (d *Duty) sweepLoop(ctx context.Context, own *rand.Rand) error {
	for {
		select {
		case <-d.tomb.Dying():
			return nil
		case <-d.leaving:
			return nil
		case <-time.After(random.Around(own, sweepEvery)):
			if err := d.sweep(ctx); err != nil {
				d.deps.Log.Info("batch_sweep_failed", zap.Int("code", int(code.Of(err))), zap.Error(err))
			}
		}
	}
}

// sweep deletes the oldest ended batches that are kept no longer: first their
// objects, then their rows in one transaction. What is left after a death or an
// outage is named by its rows and found by the next sweep. The rows of ended
// batches are not written again, so a second sweeper does no harm.
func (d *Duty) sweep(ctx context.Context) error {
	rows, err := d.aged(ctx)
	if err != nil || len(rows) == 0 {
		return err
	}
	tx := store.Tx{ID: store.NewID()}
	failure := d.sweepAll(ctx, rows, &tx)
	if len(tx.Writes) == 0 {
		return failure
	}
	if err := store.Commit(ctx, d.deps.Table, tx); err != nil {
		return err
	}
	d.swept.Inc(int64(len(tx.Conditions)))
	return failure
}

// aged returns the rows of the oldest batches that are kept no longer.
func (d *Duty) aged(ctx context.Context) ([]store.Row, error) {
	rows, err := d.deps.Table.Scan(ctx, endedPrefix(d.config.Environment), "", sweepPage)
	if err != nil {
		return nil, err
	}
	last := endedKey(d.config.Environment, d.now().Add(-d.config.KeepFor), "")
	n := sort.Search(len(rows), func(i int) bool { return rows[i].Key >= last })
	return rows[:n], nil
}

// sweepAll deletes the objects of batches and adds the deletion of their rows to
// tx. It ends at the first object that cannot be deleted.
func (d *Duty) sweepAll(ctx context.Context, rows []store.Row, tx *store.Tx) error {
	keys := make([]string, len(rows))
	for i, row := range rows {
		keys[i] = string(row.Value)
	}
	found, err := d.deps.Table.Get(ctx, keys...)
	if err != nil {
		return err
	}
	jobs := make(map[string]store.Row, len(found))
	for _, row := range found {
		jobs[row.Key] = row
	}
	for i, row := range rows {
		if err := d.sweepObjects(ctx, row.Key, jobs[keys[i]]); err != nil {
			return err
		}
		tx.Require(row.Key, row.Version)
		tx.Delete(row.Key)
		tx.Delete(keys[i])
	}
	return nil
}

// sweepObjects deletes the objects of the job that ended lists. A row that is
// missing or cannot be read names none; one of another job, which was handed in
// under the same key after a sweep, is left alone.
func (d *Duty) sweepObjects(ctx context.Context, ended string, row store.Row) error {
	if row.Version == 0 {
		return nil
	}
	j, err := decodeJob(row)
	if err != nil {
		d.deps.Log.Error("batch_row_corrupt", zap.String("key", row.Key), zap.Error(err))
		return nil
	}
	if !j.Final() || endedKey(d.config.Environment, j.Ended, j.ID) != ended {
		return nil
	}
	for _, key := range j.owned(d.config.Environment) {
		if err := d.delete(ctx, key); err != nil {
			return err
		}
	}
	return nil
}
