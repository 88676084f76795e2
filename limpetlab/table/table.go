// Package table simulates the platform's transactional table.
//
// The table keeps rows in memory, executes conditional transactions over several
// rows, limits the rate of reads and writes, and drops calls and answers as its fault
// hook decides. The version of a row is never reused, not even after the row is
// deleted.
//
// # Usage
//
//	t := table.New(table.Config{WritesPerSecond: 400}, table.WithFaults(hook))
//	err := store.Commit(ctx, t, tx)        // in process
//	http.Handle("/v1/table/", t.Handler()) // over HTTP
//	writes := t.Stats().Writes
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

// Rate limits of the platform's table.
const (
	DefaultWritesPerSecond = 400
	DefaultReadsPerSecond  = 2000
)

// ServerName is the server name of the table in the calls of its fault hook.
const ServerName = "table"

// Config sets the rate limits; zero means the default.
type Config struct {
	// WritesPerSecond limits transactions, ReadsPerSecond limits gets and scans.
	WritesPerSecond float64
	ReadsPerSecond  float64
}

// Stats holds the number of calls, by result, and the number of written rows.
type Stats struct {
	// Writes counts transactions that took effect, Rows counts their row writes.
	Writes int64 `json:"writes"`
	Rows   int64 `json:"rows"`
	// Conflicts counts transactions that failed a condition.
	Conflicts int64 `json:"conflicts"`
	// Reads counts gets and scans, Limited counts calls that exceeded a rate limit.
	Reads   int64 `json:"reads"`
	Limited int64 `json:"limited"`
	// LostAnswers counts transactions whose answer was lost.
	LostAnswers int64 `json:"lost_answers"`
	// RowsByPrefix counts row writes by the part of the key before the first slash.
	RowsByPrefix map[string]int64 `json:"rows_by_prefix"`
}

// Option configures a Table.
type Option func(*Table)

// WithFaults sets the hook that injects faults into calls.
func WithFaults(p fault.Provider) Option {
	return func(t *Table) { t.faults = p }
}

// Table is a transactional table in memory. It is safe for concurrent use.
type Table struct {
	faults       fault.Provider
	writeLimiter *rate.Limiter
	readLimiter  *rate.Limiter

	mu sync.Mutex
	// keys holds the keys of rows, sorted. versions holds the last version of each
	// key, also of deleted rows.
	keys     []string
	rows     map[string]store.Row
	versions map[string]int64
	stats    Stats
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
		writeLimiter: rate.NewLimiter(rate.Limit(c.WritesPerSecond), int(c.WritesPerSecond)),
		readLimiter:  rate.NewLimiter(rate.Limit(c.ReadsPerSecond), int(c.ReadsPerSecond)),
		rows:         make(map[string]store.Row),
		versions:     make(map[string]int64),
		stats:        Stats{RowsByPrefix: make(map[string]int64)},
	}
	for _, o := range opts {
		o(t)
	}
	return t
}

// Get implements store.Table.
func (t *Table) Get(ctx context.Context, keys ...string) ([]store.Row, error) {
	if err := t.admitRead(ctx, "get", strings.Join(keys, ",")); err != nil {
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
	if err := t.admitRead(ctx, "scan", prefix); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	start, _ := slices.BinarySearch(t.keys, prefix)
	if after >= prefix {
		at, found := slices.BinarySearch(t.keys, after)
		if found {
			at++
		}
		start = max(start, at)
	}
	var rows []store.Row
	for _, k := range t.keys[start:] {
		if !strings.HasPrefix(k, prefix) || len(rows) == limit {
			break
		}
		rows = append(rows, t.rows[k])
	}
	return rows, nil
}

// admitRead counts a read, and applies the rate limit and faults to it.
func (t *Table) admitRead(ctx context.Context, step, key string) error {
	t.mu.Lock()
	t.stats.Reads++
	t.mu.Unlock()
	if !t.readLimiter.Allow() {
		return t.rejectLimited()
	}
	action := fault.Of(t.faults, fault.Call{Server: ServerName, Step: step, Key: key})
	switch action.Kind {
	case fault.Delay:
		return sleep(ctx, action.Delay)
	case fault.Down, fault.Drop, fault.Lost, fault.Refuse:
		return code.Errorf(code.StoreDown, "the table is unavailable")
	}
	return nil
}

// rejectLimited counts a call over its rate limit and returns the call's error.
func (t *Table) rejectLimited() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stats.Limited++
	return code.Errorf(code.StoreLimited, "rate limit exceeded")
}

// Apply implements store.Table.
func (t *Table) Apply(ctx context.Context, tx store.Tx) error {
	if !t.writeLimiter.Allow() {
		return t.rejectLimited()
	}
	action := fault.Of(t.faults, fault.Call{Server: ServerName, Step: "apply", Key: firstKey(tx)})
	switch action.Kind {
	case fault.Down, fault.Refuse:
		return code.Errorf(code.StoreDown, "the table is unavailable")
	case fault.Drop:
		return code.Errorf(code.StoreUnknown, "no answer")
	case fault.Delay:
		return t.commitAfter(ctx, action.Delay, tx)
	case fault.Lost:
		_ = t.commit(tx)
		t.mu.Lock()
		t.stats.LostAnswers++
		t.mu.Unlock()
		return code.Errorf(code.StoreUnknown, "no answer")
	case fault.Duplicate:
		_ = t.commit(tx)
	}
	return t.commit(tx)
}

// commitAfter commits tx after d, even if ctx ends before that.
func (t *Table) commitAfter(ctx context.Context, d time.Duration, tx store.Tx) error {
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

// commit executes tx if its conditions hold.
func (t *Table) commit(tx store.Tx) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range tx.Conditions {
		if v := t.rows[c.Key].Version; v != c.Version {
			t.stats.Conflicts++
			return code.Errorf(code.StoreConflict, "row %s has version %d, required %d", c.Key, v, c.Version)
		}
	}
	t.stats.Writes++
	for _, w := range tx.Writes {
		t.write(tx.ID, w)
	}
	return nil
}

// write executes one write of a transaction. The caller holds t.mu.
func (t *Table) write(writer string, w store.Write) {
	prefix, _, _ := strings.Cut(w.Key, "/")
	t.stats.Rows++
	t.stats.RowsByPrefix[prefix]++
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

// Stats returns the current counts.
func (t *Table) Stats() Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	current := t.stats
	current.RowsByPrefix = make(map[string]int64, len(t.stats.RowsByPrefix))
	for prefix, n := range t.stats.RowsByPrefix {
		current.RowsByPrefix[prefix] = n
	}
	return current
}

// firstKey returns the key of a transaction's first write, or "" if tx has no writes.
func firstKey(tx store.Tx) string {
	if len(tx.Writes) == 0 {
		return ""
	}
	return tx.Writes[0].Key
}

// sleep waits for d. It returns an error if ctx ends before that.
func sleep(ctx context.Context, d time.Duration) error {
	if !life.Sleep(ctx, d) {
		return code.Errorf(code.StoreDown, "no answer: %w", ctx.Err())
	}
	return nil
}
