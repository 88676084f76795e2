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
	// scanLimit bounds the rows that one call to the table reads.
	scanLimit = 500
	// maxRowsPerTx bounds the rows that one transaction writes.
	maxRowsPerTx = 64
)

// cachedRow is the cached ledger row of an engine.
type cachedRow struct {
	row     ledger.Row
	version int64
	// fault is why the row can't be decoded. The row is then left alone, and its engine
	// gets no orders.
	fault error
	// uncertain is whether a write without an answer may still change the row.
	uncertain bool
}

// ledgerCache is a daemon's copy of the ledger rows of its data centre.
type ledgerCache struct {
	table   store.Table
	prefix  string
	entries map[string]*cachedRow
	// readAt is when the rows were read. writable is whether the cache holds all rows
	// and none is known to be outdated, so that writes may be based on it.
	readAt   time.Time
	writable bool
	// uncertain lists the engines whose rows a write without an answer may still
	// change.
	uncertain []string
}

// newLedgerCache returns an empty cache.
func newLedgerCache(table store.Table, environment, dataCentre string) *ledgerCache {
	return &ledgerCache{table: table, prefix: ledger.Prefix(environment, dataCentre), entries: map[string]*cachedRow{}}
}

// refresh reads all rows. On an error the cache stays as it was.
func (lc *ledgerCache) refresh(ctx context.Context, now time.Time) error {
	entries := map[string]*cachedRow{}
	after := ""
	for {
		rows, err := lc.table.Scan(ctx, lc.prefix, after, scanLimit)
		if err != nil {
			return err
		}
		for _, r := range rows {
			vm := ledger.EngineVM(lc.prefix, r.Key)
			row, err := ledger.Decode(vm, r.Value)
			entries[vm] = &cachedRow{row: row, version: r.Version, fault: err}
			after = r.Key
		}
		if len(rows) < scanLimit {
			break
		}
	}
	for _, vm := range lc.uncertain {
		if cached, ok := entries[vm]; ok {
			cached.uncertain = true
			continue
		}
		entries[vm] = &cachedRow{row: ledger.Row{Engine: vm}, uncertain: true}
	}
	lc.entries, lc.readAt, lc.writable = entries, now, true
	return nil
}

// readRows reads the rows of some engines, for a daemon without the lease. No write may
// be based on the result. On an error the cache stays as it was.
func (lc *ledgerCache) readRows(ctx context.Context, engines []string, now time.Time) error {
	entries := map[string]*cachedRow{}
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
			vm := ledger.EngineVM(lc.prefix, r.Key)
			row, err := ledger.Decode(vm, r.Value)
			entries[vm] = &cachedRow{row: row, version: r.Version, fault: err}
		}
	}
	lc.entries, lc.readAt, lc.writable = entries, now, false
	return nil
}

// engineIDs returns the sorted VM ids of the engines that have a cached row.
func (lc *ledgerCache) engineIDs() []string {
	vms := make([]string, 0, len(lc.entries))
	for vm := range lc.entries {
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

// write commits changed rows. Each write requires that the row has not changed since it
// was read and that no other daemon has taken the lease. After an error other than
// StoreDown and StoreLimited the cache is not writable.
func (lc *ledgerCache) write(ctx context.Context, hold lease.Hold, changes []change) error {
	for batch := range slices.Chunk(changes, maxRowsPerTx) {
		if err := lc.writeBatch(ctx, hold, batch); err != nil {
			return err
		}
	}
	return nil
}

// writeBatch commits changes in one transaction.
func (lc *ledgerCache) writeBatch(ctx context.Context, hold lease.Hold, changes []change) error {
	tx := store.Tx{ID: store.NewID()}
	tx.Require(hold.Key, hold.Version)
	for i := range changes {
		c := &changes[i]
		key := lc.prefix + c.row.Engine
		var version int64
		if cached, ok := lc.entries[c.row.Engine]; ok {
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
			return code.Errorf(code.Internal, "ledger row of engine %s takes %d bytes, more than the table allows", c.row.Engine, len(value))
		}
		tx.Put(key, value)
	}
	err := store.Commit(ctx, lc.table, tx)
	lc.recordOutcome(err, changes)
	return err
}

// recordOutcome updates the cache after a write.
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

// apply updates the cache with a committed change.
func (lc *ledgerCache) apply(c change) {
	vm := c.row.Engine
	lc.uncertain = slices.DeleteFunc(lc.uncertain, func(engine string) bool { return engine == vm })
	if c.remove {
		delete(lc.entries, vm)
		return
	}
	version := int64(1)
	if old, ok := lc.entries[vm]; ok {
		version = old.version + 1
	}
	lc.entries[vm] = &cachedRow{row: c.row, version: version}
}

// rewriteUncertain returns changes that write the uncertain rows again, with their
// cached content. The new row versions make a delayed write fail, so that it can't take
// effect later.
func (lc *ledgerCache) rewriteUncertain() []change {
	var changes []change
	for _, vm := range lc.engineIDs() {
		if cached := lc.entries[vm]; cached.uncertain && cached.fault == nil {
			changes = append(changes, change{row: cached.row})
		}
	}
	return changes
}

// newID returns an id for an order or grant.
func newID() string {
	return strings.ReplaceAll(store.NewID(), "-", "")
}
