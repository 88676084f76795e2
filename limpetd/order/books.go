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
	rowsPerTx = 64
)

// book is the copy of an engine's ledger row.
type book struct {
	row     ledger.Row
	version int64
	// fault is why the row can't be read; nothing is done with its engine.
	fault error
	// doubtful marks a row that a write without an answer may still change.
	doubtful bool
}

// books is a daemon's copy of the ledger of its data centre.
type books struct {
	table  store.Table
	prefix string
	copies map[string]*book
	// read is when the copy was read, fresh whether it may be written on.
	read  time.Time
	fresh bool
	// doubtful lists the engines of a write without an answer.
	doubtful []string
}

// newBooks returns an empty copy.
func newBooks(table store.Table, environment, dataCentre string) *books {
	return &books{table: table, prefix: ledger.Prefix(environment, dataCentre), copies: map[string]*book{}}
}

// refresh reads the ledger anew. On an error the old copy stays.
func (b *books) refresh(ctx context.Context, now time.Time) error {
	copies := map[string]*book{}
	after := ""
	for {
		rows, err := b.table.Scan(ctx, b.prefix, after, scanLimit)
		if err != nil {
			return err
		}
		for _, r := range rows {
			vm := ledger.EngineOf(b.prefix, r.Key)
			row, err := ledger.Decode(vm, r.Value)
			copies[vm] = &book{row: row, version: r.Version, fault: err}
			after = r.Key
		}
		if len(rows) < scanLimit {
			break
		}
	}
	for _, vm := range b.doubtful {
		if c, ok := copies[vm]; ok {
			c.doubtful = true
			continue
		}
		copies[vm] = &book{row: ledger.Row{Engine: vm}, doubtful: true}
	}
	b.copies, b.read, b.fresh = copies, now, true
	return nil
}

// copyRows reads the rows of some engines, for a daemon without the lease. The
// copy may not be written on. On an error the old copy stays.
func (b *books) copyRows(ctx context.Context, engines []string, now time.Time) error {
	copies := map[string]*book{}
	for part := range slices.Chunk(engines, scanLimit) {
		keys := make([]string, len(part))
		for i, vm := range part {
			keys[i] = b.prefix + vm
		}
		rows, err := b.table.Get(ctx, keys...)
		if err != nil {
			return err
		}
		for _, r := range rows {
			vm := ledger.EngineOf(b.prefix, r.Key)
			row, err := ledger.Decode(vm, r.Value)
			copies[vm] = &book{row: row, version: r.Version, fault: err}
		}
	}
	b.copies, b.read, b.fresh = copies, now, false
	return nil
}

// engines returns the engines that have a row, sorted.
func (b *books) engines() []string {
	vms := make([]string, 0, len(b.copies))
	for vm := range b.copies {
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
func (b *books) write(ctx context.Context, h lease.Hold, changes []change) error {
	for part := range slices.Chunk(changes, rowsPerTx) {
		if err := b.writePart(ctx, h, part); err != nil {
			return err
		}
	}
	return nil
}

// writePart commits the changes of one transaction.
func (b *books) writePart(ctx context.Context, h lease.Hold, changes []change) error {
	tx := store.Tx{ID: store.NewID()}
	tx.Require(h.Key, h.Version)
	for i := range changes {
		c := &changes[i]
		key := b.prefix + c.row.Engine
		var version int64
		if copied, ok := b.copies[c.row.Engine]; ok {
			version = copied.version
		}
		tx.Require(key, version)
		if c.remove {
			tx.Delete(key)
			continue
		}
		c.row.Fence = h.Fence
		value, err := ledger.Encode(c.row)
		if err != nil {
			return err
		}
		if len(value) > store.MaxValueBytes {
			return code.Errorf(code.Internal, "ledger row of %s takes %d bytes", c.row.Engine, len(value))
		}
		tx.Put(key, value)
	}
	err := store.Commit(ctx, b.table, tx)
	b.settle(err, changes)
	return err
}

// settle takes the outcome of a write into the copy.
func (b *books) settle(err error, changes []change) {
	switch code.Of(err) {
	case code.OK:
		for _, c := range changes {
			b.apply(c)
		}
	case code.StoreDown, code.StoreLimited:
	case code.StoreUnknown:
		b.fresh = false
		for _, c := range changes {
			if !slices.Contains(b.doubtful, c.row.Engine) {
				b.doubtful = append(b.doubtful, c.row.Engine)
			}
		}
	default:
		b.fresh = false
	}
}

// apply takes a written row into the copy.
func (b *books) apply(c change) {
	vm := c.row.Engine
	b.doubtful = slices.DeleteFunc(b.doubtful, func(d string) bool { return d == vm })
	if c.remove {
		delete(b.copies, vm)
		return
	}
	version := int64(1)
	if old, ok := b.copies[vm]; ok {
		version = old.version + 1
	}
	b.copies[vm] = &book{row: c.row, version: version}
}

// barrier returns the changes that rewrite rows in doubt, so that a write
// without an answer can't take effect later.
func (b *books) barrier() []change {
	var changes []change
	for _, vm := range b.engines() {
		if c := b.copies[vm]; c.doubtful && c.fault == nil {
			changes = append(changes, change{row: c.row})
		}
	}
	return changes
}

// newID returns the id of an order or grant.
func newID() string {
	return strings.ReplaceAll(store.NewID(), "-", "")
}
