// Package table is a stand-in for the platform's transactional table.
//
// It keeps rows in memory, carries out conditional transactions of several
// rows, limits reads and writes, and loses calls and answers as its fault hook
// says. A version of a row is never used again, also after the row's deletion.
//
// # Usage
//
//	t := table.New(table.Config{WritesPerSecond: 400}, table.WithFaults(hook))
//	err := store.Commit(ctx, t, tx)    // in process
//	http.Handle("/v1/table/", t.Handler())
//	writes := t.Books().Writes
package table

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/life"
	"github.com/limpetlb/limpetlb/limpetd/store"
	"github.com/limpetlb/limpetlb/limpetlab/fault"
)

// Limits of the platform's table.
const (
	DefaultWritesPerSecond = 400
	DefaultReadsPerSecond  = 2000
)

// Name is the stand-in's server name in its fault hook.
const Name = "table"

// Config sets the limits; zero means the default.
type Config struct {
	// WritesPerSecond limits transactions, ReadsPerSecond gets and scans.
	WritesPerSecond float64
	ReadsPerSecond  float64
}

// Books are what the table saw.
type Books struct {
	// Writes counts transactions that took effect, Rows their writes.
	Writes int64 `json:"writes"`
	Rows   int64 `json:"rows"`
	// Conflicts counts transactions refused by a condition.
	Conflicts int64 `json:"conflicts"`
	// Reads counts gets and scans, Limited calls over a limit.
	Reads   int64 `json:"reads"`
	Limited int64 `json:"limited"`
	// LostAnswers counts transactions whose answer was lost.
	LostAnswers int64 `json:"lost_answers"`
	// RowsByPrefix counts row writes by the first part of the key.
	RowsByPrefix map[string]int64 `json:"rows_by_prefix"`
}

// Option changes a Table.
type Option func(*Table)

// WithFaults sets the fault hook.
func WithFaults(p fault.Provider) Option {
	return func(t *Table) { t.faults = p }
}

// Table is the stand-in. It is safe for concurrent use.
type Table struct {
	faults fault.Provider
	writes *rate.Limiter
	reads  *rate.Limiter

	mu       sync.Mutex
	keys     []string
	rows     map[string]store.Row
	versions map[string]int64
	books    Books
}

var _ store.Table = (*Table)(nil)

// New returns an empty table.
func New(c Config, opts ...Option) *Table {
	if c.WritesPerSecond == 0 {
		c.WritesPerSecond = DefaultWritesPerSecond
	}
	if c.ReadsPerSecond == 0 {
		c.ReadsPerSecond = DefaultReadsPerSecond
	}
	t := &Table{
		writes:   rate.NewLimiter(rate.Limit(c.WritesPerSecond), int(c.WritesPerSecond)),
		reads:    rate.NewLimiter(rate.Limit(c.ReadsPerSecond), int(c.ReadsPerSecond)),
		rows:     make(map[string]store.Row),
		versions: make(map[string]int64),
		books:    Books{RowsByPrefix: make(map[string]int64)},
	}
	for _, o := range opts {
		o(t)
	}
	return t
}

// Get implements store.Table.
func (t *Table) Get(ctx context.Context, keys ...string) ([]store.Row, error) {
	if err := t.read(ctx, "get", strings.Join(keys, ",")); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var rows []store.Row
	for _, k := range keys {
		if r, ok := t.rows[k]; ok {
			rows = append(rows, r)
		}
	}
	return rows, nil
}

// Scan implements store.Table.
func (t *Table) Scan(ctx context.Context, prefix, after string, limit int) ([]store.Row, error) {
	if err := t.read(ctx, "scan", prefix); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	from, _ := slices.BinarySearch(t.keys, prefix)
	if after >= prefix {
		at, found := slices.BinarySearch(t.keys, after)
		if found {
			at++
		}
		from = max(from, at)
	}
	var rows []store.Row
	for _, k := range t.keys[from:] {
		if !strings.HasPrefix(k, prefix) || len(rows) == limit {
			break
		}
		rows = append(rows, t.rows[k])
	}
	return rows, nil
}

// read applies limit and faults to a read.
func (t *Table) read(ctx context.Context, step, key string) error {
	t.mu.Lock()
	t.books.Reads++
	t.mu.Unlock()
	if !t.reads.Allow() {
		return t.limited()
	}
	a := fault.Of(t.faults, fault.Call{Server: Name, Step: step, Key: key})
	switch a.Kind {
	case fault.Delay:
		return pause(ctx, a.Delay)
	case fault.Down, fault.Drop, fault.Lost, fault.Refuse:
		return code.Errorf(code.StoreDown, "the table is down")
	}
	return nil
}

// limited counts a call over its limit.
func (t *Table) limited() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.books.Limited++
	return code.Errorf(code.StoreLimited, "over the rate")
}

// Apply implements store.Table.
func (t *Table) Apply(ctx context.Context, tx store.Tx) error {
	if !t.writes.Allow() {
		return t.limited()
	}
	a := fault.Of(t.faults, fault.Call{Server: Name, Step: "apply", Key: firstKey(tx)})
	switch a.Kind {
	case fault.Down, fault.Refuse:
		return code.Errorf(code.StoreDown, "the table is down")
	case fault.Drop:
		return code.Errorf(code.StoreUnknown, "no answer")
	case fault.Delay:
		return t.late(ctx, a.Delay, tx)
	case fault.Lost:
		_ = t.commit(tx)
		t.mu.Lock()
		t.books.LostAnswers++
		t.mu.Unlock()
		return code.Errorf(code.StoreUnknown, "no answer")
	case fault.Duplicate:
		_ = t.commit(tx)
	}
	return t.commit(tx)
}

// late commits tx after d even when the caller has stopped waiting by then.
func (t *Table) late(ctx context.Context, d time.Duration, tx store.Tx) error {
	done := make(chan error, 1)
	go func() {
		time.Sleep(d)
		done <- t.commit(tx)
	}()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return code.Errorf(code.StoreUnknown, "no answer: %w", ctx.Err())
	}
}

// commit carries tx out when its conditions hold.
func (t *Table) commit(tx store.Tx) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range tx.Conditions {
		if v := t.rows[c.Key].Version; v != c.Version {
			t.books.Conflicts++
			return code.Errorf(code.StoreConflict, "row %s has version %d, required %d", c.Key, v, c.Version)
		}
	}
	t.books.Writes++
	for _, w := range tx.Writes {
		t.write(tx.ID, w)
	}
	return nil
}

// write carries out one write of a transaction. t.mu is held.
func (t *Table) write(writer string, w store.Write) {
	prefix, _, _ := strings.Cut(w.Key, "/")
	t.books.Rows++
	t.books.RowsByPrefix[prefix]++
	at, found := slices.BinarySearch(t.keys, w.Key)
	if w.Delete {
		if found {
			t.keys = slices.Delete(t.keys, at, at+1)
			delete(t.rows, w.Key)
		}
		return
	}
	if !found {
		t.keys = slices.Insert(t.keys, at, w.Key)
	}
	t.versions[w.Key]++
	t.rows[w.Key] = store.Row{
		Key:     w.Key,
		Version: t.versions[w.Key],
		Writer:  writer,
		Value:   slices.Clone(w.Value),
	}
}

// Books returns what the table saw so far.
func (t *Table) Books() Books {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.books
	b.RowsByPrefix = make(map[string]int64, len(t.books.RowsByPrefix))
	for k, v := range t.books.RowsByPrefix {
		b.RowsByPrefix[k] = v
	}
	return b
}

// firstKey names a transaction by its first write.
func firstKey(tx store.Tx) string {
	if len(tx.Writes) == 0 {
		return ""
	}
	return tx.Writes[0].Key
}

// pause waits for d, less when ctx ends.
func pause(ctx context.Context, d time.Duration) error {
	if !life.Sleep(ctx, d) {
		return code.Errorf(code.StoreDown, "no answer: %w", ctx.Err())
	}
	return nil
}
