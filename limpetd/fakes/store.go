// Package fakes provides fakes of the platform, the admission and the engines for tests.
// The fakes of the platform and the engines have hooks that inject faults.
//
// # Usage
//
//	table := &fakes.Table{Fault: func(call int) fakes.Fault { return fakes.LostAnswer }}
//	claims := claim.New(ctx, config, claim.Deps{Table: table})
package fakes

import (
	"context"
	"maps"
	"slices"
	"sort"
	"strings"
	"sync"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/store"
)

// Fault is a fault that is injected into a call to the platform.
type Fault int

// The faults. Unavailable rejects the call without effect. LostAnswer applies the call but
// returns no answer. LostRequest does neither. LateEffect returns no answer, and applies
// the call after the next call and before the call after that.
const (
	NoFault Fault = iota
	Unavailable
	LostAnswer
	LostRequest
	LateEffect
)

// Table is a table in memory. The versions of a row are never reused, even after the row
// was deleted.
type Table struct {
	// Fault returns the fault of the n-th call of Apply, counted from 0; a nil
	// function injects no faults.
	Fault func(n int) Fault
	// ReadFault returns the fault of each Get and Scan; every fault but NoFault acts
	// as Unavailable. A nil function injects no faults.
	ReadFault func() Fault

	mu   sync.Mutex
	rows map[string]store.Row
	// versions holds the last version of each row, including deleted rows.
	versions map[string]int64
	delayed  []store.Tx
	calls    int
	commits  int
}

var _ store.Table = (*Table)(nil)

// Get implements store.Table.
func (t *Table) Get(_ context.Context, keys ...string) ([]store.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ReadFault != nil && t.ReadFault() != NoFault {
		return nil, code.Errorf(code.StoreDown, "the table is down")
	}
	var rows []store.Row
	for _, k := range keys {
		if r, ok := t.rows[k]; ok {
			rows = append(rows, r)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	return rows, nil
}

// Scan implements store.Table.
func (t *Table) Scan(_ context.Context, prefix, after string, limit int) ([]store.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ReadFault != nil && t.ReadFault() != NoFault {
		return nil, code.Errorf(code.StoreDown, "the table is down")
	}
	var rows []store.Row
	for k, r := range t.rows {
		if strings.HasPrefix(k, prefix) && k > after {
			rows = append(rows, r)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	return rows[:min(limit, len(rows))], nil
}

// Apply implements store.Table.
func (t *Table) Apply(_ context.Context, tx store.Tx) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	fault := NoFault
	if t.Fault != nil {
		fault = t.Fault(t.calls)
	}
	t.calls++
	delayed := t.delayed
	t.delayed = nil
	var err error
	switch fault {
	case Unavailable:
		err = code.Errorf(code.StoreDown, "the table is down")
	case LostRequest:
		err = code.Errorf(code.StoreUnknown, "no answer")
	case LateEffect:
		t.delayed = append(t.delayed, tx)
		err = code.Errorf(code.StoreUnknown, "no answer")
	case LostAnswer:
		t.apply(tx)
		err = code.Errorf(code.StoreUnknown, "no answer")
	default:
		if !t.apply(tx) {
			err = code.Errorf(code.StoreConflict, "conflict")
		}
	}
	for _, d := range delayed {
		t.apply(d)
	}
	return err
}

// apply applies tx and reports whether the conditions of tx hold.
func (t *Table) apply(tx store.Tx) bool {
	for _, c := range tx.Conditions {
		if t.rows[c.Key].Version != c.Version {
			return false
		}
	}
	if t.rows == nil {
		t.rows = make(map[string]store.Row)
		t.versions = make(map[string]int64)
	}
	for _, w := range tx.Writes {
		if w.Delete {
			delete(t.rows, w.Key)
			continue
		}
		t.versions[w.Key]++
		t.rows[w.Key] = store.Row{Key: w.Key, Version: t.versions[w.Key], Writer: tx.ID, Value: w.Value}
	}
	t.commits++
	return true
}

// Transactions returns the number of transactions that took effect.
func (t *Table) Transactions() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.commits
}

// Objects is an object store in memory.
type Objects struct {
	// Fault returns the fault of each call; every fault but NoFault acts as Unavailable. A
	// nil function injects no faults.
	Fault func() Fault

	mu     sync.Mutex
	bodies map[string][]byte
}

var _ store.ObjectStore = (*Objects)(nil)

// Put implements store.ObjectStore.
func (o *Objects) Put(_ context.Context, key string, body []byte) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.Fault != nil && o.Fault() != NoFault {
		return code.Errorf(code.StoreDown, "the object store is down")
	}
	if o.bodies == nil {
		o.bodies = make(map[string][]byte)
	}
	o.bodies[key] = body
	return nil
}

// Delete implements store.ObjectStore.
func (o *Objects) Delete(_ context.Context, key string) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.Fault != nil && o.Fault() != NoFault {
		return code.Errorf(code.StoreDown, "the object store is down")
	}
	delete(o.bodies, key)
	return nil
}

// Keys returns the keys of all objects, sorted.
func (o *Objects) Keys() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Sorted(maps.Keys(o.bodies))
}

// Get implements store.ObjectStore.
func (o *Objects) Get(_ context.Context, key string) ([]byte, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.Fault != nil && o.Fault() != NoFault {
		return nil, code.Errorf(code.StoreDown, "the object store is down")
	}
	body, ok := o.bodies[key]
	if !ok {
		return nil, code.Errorf(code.StoreNotFound, "no object %s", key)
	}
	return body, nil
}
