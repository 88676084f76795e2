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

// sweepLoop sweeps ended batches at random intervals, until the daemon leaves or stops.
func (d *Manager) sweepLoop(ctx context.Context, rng *rand.Rand) error {
	for {
		select {
		case <-d.tomb.Dying():
			return nil
		case <-d.leaving:
			return nil
		case <-time.After(random.Jitter(rng, sweepInterval)):
			if err := d.sweep(ctx); err != nil {
				d.deps.Log.Info("batch_sweep_failed", zap.Int("code", int(code.Of(err))), zap.Error(err))
			}
		}
	}
}

// sweep deletes the oldest of the ended batches whose retention time has passed: first
// their objects, then their rows in one transaction. If the daemon fails or the store
// is down in between, the rows that are left list the remaining objects for the next
// sweep. Sweeps of several daemons at the same time are safe, because the rows of ended
// batches are not written again.
func (d *Manager) sweep(ctx context.Context) error {
	rows, err := d.expiredRows(ctx)
	if err != nil || len(rows) == 0 {
		return err
	}
	tx := store.Tx{ID: store.NewID()}
	sweepErr := d.sweepRows(ctx, rows, &tx)
	if len(tx.Writes) == 0 {
		return sweepErr
	}
	if err := store.Commit(ctx, d.deps.Table, tx); err != nil {
		return err
	}
	d.jobsSwept.Inc(int64(len(tx.Conditions)))
	return sweepErr
}

// expiredRows returns rows of the list of ended batches whose retention time has
// passed: the oldest, sweepPageSize at most.
func (d *Manager) expiredRows(ctx context.Context) ([]store.Row, error) {
	rows, err := d.deps.Table.Scan(ctx, endedPrefix(d.config.Environment), "", sweepPageSize)
	if err != nil {
		return nil, err
	}
	end := endedKey(d.config.Environment, d.now().Add(-d.config.Retention), "")
	n := sort.Search(len(rows), func(i int) bool { return rows[i].Key >= end })
	return rows[:n], nil
}

// sweepRows deletes the objects of the batches that rows lists, and adds the deletion
// of the rows and of the job rows to tx. It stops at the first batch with an object
// that can't be deleted.
func (d *Manager) sweepRows(ctx context.Context, rows []store.Row, tx *store.Tx) error {
	keys := make([]string, len(rows))
	for i, row := range rows {
		keys[i] = string(row.Value)
	}
	found, err := d.deps.Table.Get(ctx, keys...)
	if err != nil {
		return err
	}
	jobRows := make(map[string]store.Row, len(found))
	for _, row := range found {
		jobRows[row.Key] = row
	}
	for i, row := range rows {
		if err := d.deleteObjects(ctx, row.Key, jobRows[keys[i]]); err != nil {
			return err
		}
		tx.Require(row.Key, row.Version)
		tx.Delete(row.Key)
		tx.Delete(keys[i])
	}
	return nil
}

// deleteObjects deletes the objects of an ended job. listKey is the key of the job in
// the list of ended batches, row the row of the job. If row is missing or can't be
// decoded, there are no objects to delete. The objects of a job that was submitted
// under the same idempotency key after a sweep are kept.
func (d *Manager) deleteObjects(ctx context.Context, listKey string, row store.Row) error {
	if row.Version == 0 {
		return nil
	}
	j, err := decodeJob(row)
	if err != nil {
		d.deps.Log.Error("batch_row_corrupt", zap.String("key", row.Key), zap.Error(err))
		return nil
	}
	if !j.HasEnded() || endedKey(d.config.Environment, j.EndedAt, j.ID) != listKey {
		return nil
	}
	for _, key := range j.ownedObjects(d.config.Environment) {
		if err := d.deleteObject(ctx, key); err != nil {
			return err
		}
	}
	return nil
}
