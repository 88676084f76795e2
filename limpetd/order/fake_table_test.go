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

// tableFault is a fault of a call to the fake table.
type tableFault int

const (
	tableAvailable tableFault = iota
	// tableDown fails the call; tableUnanswered applies a write without an answer;
	// tableLost has neither effect nor answer.
	tableDown
	tableUnanswered
	tableLost
	// tableDelayed applies a write one second after the caller has given up.
	tableDelayed
)

// fakeTable is a table in memory. Its fault hook decides the outcome of each call.
type fakeTable struct {
	mu                 sync.Mutex
	rows               map[string]store.Row
	fault              func(write bool) tableFault
	ledgerTransactions int
	// ledgerWritesFail makes only the writes of ledger rows fail.
	ledgerWritesFail bool
}

func newFakeTable() *fakeTable {
	return &fakeTable{rows: map[string]store.Row{}, fault: func(bool) tableFault { return tableAvailable }}
}

func (f *fakeTable) setFault(fault func(write bool) tableFault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fault = fault
}

func (f *fakeTable) setLedgerWritesFail(fail bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ledgerWritesFail = fail
}

// countLedgerTransactions counts the transactions that wrote ledger rows.
func (f *fakeTable) countLedgerTransactions() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ledgerTransactions
}

func (f *fakeTable) nextFault(write bool) tableFault {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fault(write)
}

func (f *fakeTable) Get(_ context.Context, keys ...string) ([]store.Row, error) {
	if f.nextFault(false) != tableAvailable {
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
	if f.nextFault(false) != tableAvailable {
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
	switch f.nextFault(true) {
	case tableDown:
		return code.Errorf(code.StoreDown, "table is down")
	case tableLost:
		return code.Errorf(code.StoreUnknown, "no answer")
	case tableDelayed:
		time.AfterFunc(time.Second, func() { _ = f.apply(tx) })
		return code.Errorf(code.StoreUnknown, "no answer")
	case tableUnanswered:
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
	ledgerWrites := 0
	for _, w := range tx.Writes {
		if strings.Contains(w.Key, "/ledger/") {
			ledgerWrites++
		}
	}
	if ledgerWrites > 0 && f.ledgerWritesFail {
		return code.Errorf(code.StoreDown, "table is down")
	}
	for _, w := range tx.Writes {
		if w.Delete {
			delete(f.rows, w.Key)
			continue
		}
		f.rows[w.Key] = store.Row{Key: w.Key, Version: f.rows[w.Key].Version + 1, Writer: tx.ID, Value: w.Value}
	}
	if ledgerWrites > 0 {
		f.ledgerTransactions++
	}
	return nil
}
