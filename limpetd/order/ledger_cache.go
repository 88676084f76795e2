package order

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/lease"
	"github.com/limpetlb/limpetlb/limpetd/ledger"
	"github.com/limpetlb/limpetlb/limpetd/store"
)

const (
	scanLimit = 500
	// rowsPerTx bounds the rows that one transaction writes.
	maxRowsPerTx = 64
)

// book is the copy of an engine's ledger row.
type cachedRow struct {
	row     ledger.Row
	version int64
	// fault is why the row can't be read; nothing is done with its engine.
	fault error
	// doubtful marks a row that a write without an answer may still change.
	uncertain bool
}

// books is a daemon's copy of the ledger of its data centre.
type ledgerCache struct {
	table  store.Table
	prefix string
	rows   map[string]*cachedRow
	// read is when the copy was read, fresh whether it may be written on.
	readAt   time.Time
	writable bool
	// doubtful lists the engines of a write without an answer.
	uncertain []string
}

// newBooks returns an empty copy.
func newLedgerCache(table store.Table, environment, dataCentre string) *ledgerCache {
	return &ledgerCache{table: table, prefix: ledger.Prefix(environment, dataCentre), rows: map[string]*cachedRow{}}
}

// refresh reads the ledger anew. On an error the old copy stays.
func (lc *ledgerCache) refresh(ctx context.Context, now time.Time) error {
	byEngine := map[string]*cachedRow{}
	after := ""
	for {
		rows, err := lc.table.Scan(ctx, lc.prefix, after, scanLimit)
		if err != nil {
			return err
		}
		for _, r := range rows {
			vm := ledger.EngineOf(lc.prefix, r.Key)
			row, err := ledger.Decode(vm, r.Value)
			byEngine[vm] = &cachedRow{row: row, version: r.Version, fault: err}
			after = r.Key
		}
		if len(rows) < scanLimit {
			break
		}
	}
	for _, vm := range lc.uncertain {
		if cached, ok := byEngine[vm]; ok {
			cached.uncertain = true
			continue
		}
		byEngine[vm] = &cachedRow{row: ledger.Row{Engine: vm}, uncertain: true}
	}
	lc.rows, lc.readAt, lc.writable = byEngine, now, true
	return nil
}

// copyRows reads the rows of some engines, for a daemon without the lease. The
// copy may not be written on. On an error the old copy stays.
func (lc *ledgerCache) readRows(ctx context.Context, engines []string, now time.Time) error {
	byEngine := map[string]*cachedRow{}
	for batch := range slices.Chunk(engines, scanLimit) {
		keys := make([]string, len(batch))
		for i, vm := range batch {
			keys[i] = lc.prefix + vm
		}
		rows, err := lc.table.Get(ctx, keys...)
		if err != nil {
			return err
		}
		for _, r := range rows {
			vm := ledger.EngineOf(lc.prefix, r.Key)
			row, err := ledger.Decode(vm, r.Value)
			byEngine[vm] = &cachedRow{row: row, version: r.Version, fault: err}
		}
	}
	lc.rows, lc.readAt, lc.writable = byEngine, now, false
	return nil
}

// engines returns the engines that have a row, sorted.
func (lc *ledgerCache) engines() []string {
	vms := make([]string, 0, len(lc.rows))
	for vm := range lc.rows {
		vms = append(vms, vm)
	}
	slices.Sort(vms)
	return vms
}

// change is a row to be written.
type change struct {
	row ledger.Row
	// remove deletes the row.
	remove bool
}

// write commits changed rows, each only if nobody wrote it since it was read,
// and only while no other daemon has taken the lease. After an error other than
// StoreDown and StoreLimited the copy is stale.
func (lc *ledgerCache) write(ctx context.Context, hold lease.Hold, changes []change) error {
	for batch := range slices.Chunk(changes, maxRowsPerTx) {
		if err := lc.writeBatch(ctx, hold, batch); err != nil {
			return err
		}
	}
	return nil
}

// writePart commits the changes of one transaction.
func (lc *ledgerCache) writeBatch(ctx context.Context, hold lease.Hold, changes []change) error {
	tx := store.Tx{ID: store.NewID()}
	tx.Require(hold.Key, hold.Version)
	for i := range changes {
		c := &changes[i]
		key := lc.prefix + c.row.Engine
		var version int64
		if cached, ok := lc.rows[c.row.Engine]; ok {
			version = cached.version
		}
		tx.Require(key, version)
		if c.remove {
			tx.Delete(key)
			continue
		}
		c.row.Fence = hold.Fence
		value, err := ledger.Encode(c.row)
		if err != nil {
			return err
		}
		if len(value) > store.MaxValueBytes {
			return code.Errorf(code.Internal, "ledger row of %s takes %d bytes", c.row.Engine, len(value))
		}
		tx.Put(key, value)
	}
	err := store.Commit(ctx, lc.table, tx)
	lc.recordOutcome(err, changes)
	return err
}

// settle takes the outcome of a write into the copy.
func (lc *ledgerCache) recordOutcome(err error, changes []change) {
	switch code.Of(err) {
	case code.OK:
		for _, c := range changes {
			lc.apply(c)
		}
	case code.StoreDown, code.StoreLimited:
	case code.StoreUnknown:
		lc.writable = false
		for _, c := range changes {
			if !slices.Contains(lc.uncertain, c.row.Engine) {
				lc.uncertain = append(lc.uncertain, c.row.Engine)
			}
		}
	default:
		lc.writable = false
	}
}

// apply takes a written row into the copy.
func (lc *ledgerCache) apply(c change) {
	vm := c.row.Engine
	lc.uncertain = slices.DeleteFunc(lc.uncertain, func(engine string) bool { return engine == vm })
	if c.remove {
		delete(lc.rows, vm)
		return
	}
	version := int64(1)
	if old, ok := lc.rows[vm]; ok {
		version = old.version + 1
	}
	lc.rows[vm] = &cachedRow{row: c.row, version: version}
}

// barrier returns the changes that rewrite rows in doubt, so that a write
// without an answer can't take effect later.
func (lc *ledgerCache) rewriteUncertain() []change {
	var changes []change
	for _, vm := range lc.engines() {
		if cached := lc.rows[vm]; cached.uncertain && cached.fault == nil {
			changes = append(changes, change{row: cached.row})
		}
	}
	return changes
}

// newID returns the id of an order or grant.
func newID() string {
	return strings.ReplaceAll(store.NewID(), "-", "")
}
