package order

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/store"
)

// tableFault is what becomes of a call to the fake table.
type tableFault int

const (
	tableUp tableFault = iota
	// tableDown fails calls, tableMute carries writes out without an answer,
	// tableLost neither carries them out nor answers.
	tableDown
	tableMute
	tableLost
	// tableLate carries a write out a second after it was given up.
	tableLate
)

// fakeTable is the table. Its fault hook meets each call by the daemon.
type fakeTable struct {
	mu     sync.Mutex
	rows   map[string]store.Row
	fault  func(write bool) tableFault
	writes int
	// ledgerDown fails the writes of ledger rows alone.
	ledgerDown bool
}

func newFakeTable() *fakeTable {
	return &fakeTable{rows: map[string]store.Row{}, fault: func(bool) tableFault { return tableUp }}
}

func (f *fakeTable) setFault(fault func(write bool) tableFault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fault = fault
}

func (f *fakeTable) setLedgerDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ledgerDown = down
}

// transactions counts those that wrote to the ledger.
func (f *fakeTable) transactions() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.writes
}

func (f *fakeTable) meet(write bool) tableFault {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fault(write)
}

func (f *fakeTable) Get(_ context.Context, keys ...string) ([]store.Row, error) {
	if f.meet(false) != tableUp {
		return nil, code.Errorf(code.StoreDown, "table is down")
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	var rows []store.Row
	for _, k := range keys {
		if r, ok := f.rows[k]; ok {
			rows = append(rows, r)
		}
	}
	return rows, nil
}

func (f *fakeTable) Scan(_ context.Context, prefix, after string, limit int) ([]store.Row, error) {
	if f.meet(false) != tableUp {
		return nil, code.Errorf(code.StoreDown, "table is down")
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	var rows []store.Row
	for k, r := range f.rows {
		if strings.HasPrefix(k, prefix) && k > after {
			rows = append(rows, r)
		}
	}
	slices.SortFunc(rows, func(a, b store.Row) int { return strings.Compare(a.Key, b.Key) })
	return rows[:min(limit, len(rows))], nil
}

func (f *fakeTable) Apply(_ context.Context, tx store.Tx) error {
	switch f.meet(true) {
	case tableDown:
		return code.Errorf(code.StoreDown, "table is down")
	case tableLost:
		return code.Errorf(code.StoreUnknown, "no answer")
	case tableLate:
		time.AfterFunc(time.Second, func() { _ = f.apply(tx) })
		return code.Errorf(code.StoreUnknown, "no answer")
	case tableMute:
		_ = f.apply(tx)
		return code.Errorf(code.StoreUnknown, "no answer")
	}
	return f.apply(tx)
}

func (f *fakeTable) apply(tx store.Tx) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range tx.Conditions {
		if f.rows[c.Key].Version != c.Version {
			return code.Errorf(code.StoreConflict, "row %s has version %d", c.Key, f.rows[c.Key].Version)
		}
	}
	ledger := 0
	for _, w := range tx.Writes {
		if strings.Contains(w.Key, "/ledger/") {
			ledger++
		}
	}
	if ledger > 0 && f.ledgerDown {
		return code.Errorf(code.StoreDown, "table is down")
	}
	for _, w := range tx.Writes {
		if w.Delete {
			delete(f.rows, w.Key)
			continue
		}
		f.rows[w.Key] = store.Row{Key: w.Key, Version: f.rows[w.Key].Version + 1, Writer: tx.ID, Value: w.Value}
	}
	if ledger > 0 {
		f.writes++
	}
	return nil
}
