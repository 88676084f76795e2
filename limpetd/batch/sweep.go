package batch

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/random"
	"github.com/limpetlb/limpetlb/limpetd/store"
)

// sweepLoop deletes the rows of batches that ended long ago.
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

// sweep deletes the oldest ended batches in one transaction. The rows of ended
// batches are not written again, so a second sweeper does no harm.
func (d *Duty) sweep(ctx context.Context) error {
	rows, err := d.deps.Table.Scan(ctx, endedPrefix(d.config.Environment), "", sweepPage)
	if err != nil {
		return err
	}
	last := endedKey(d.config.Environment, d.now().Add(-d.config.KeepFor), "")
	tx := store.Tx{ID: store.NewID()}
	for _, row := range rows {
		if row.Key >= last {
			break
		}
		tx.Require(row.Key, row.Version)
		tx.Delete(row.Key)
		tx.Delete(string(row.Value))
	}
	if len(tx.Writes) == 0 {
		return nil
	}
	return store.Commit(ctx, d.deps.Table, tx)
}
