// Package fakes holds small fakes for tests at the interfaces to the platform,
// the admission and the engines. Each has one hook for faults.
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

// Fault is what goes wrong in a call to the platform.
type Fault int

// The faults. Down has no effect; LostAnswer has its effect and no answer;
// LostCall has neither; LateEffect has no answer and its effect before the next
// call but one.
const (
	None Fault = iota
	Down
	LostAnswer
	LostCall
	LateEffect
)

// Table is a table in memory. A version of a row is never used again, also after
// the row's deletion.
type Table struct {
	// Fault decides on the n-th call of Apply, counted from 0; nil for none.
	Fault func(n int) Fault
	// ReadFault decides on each Get and Scan; nil for none.
	ReadFault func() Fault

	mu   sync.Mutex
	rows map[string]store.Row
	// versions are the last versions of all rows, deleted ones too.
	versions map[string]int64
	late     []store.Tx
	calls    int
	writes   int
}

var _ store.Table = (*Table)(nil)

// Get returns rows.
func (t *Table) Get(_ context.Context, keys ...string) ([]store.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ReadFault != nil && t.ReadFault() != None {
		return nil, code.Errorf(code.StoreDown, "table down")
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

// Scan returns rows by prefix.
func (t *Table) Scan(_ context.Context, prefix, after string, limit int) ([]store.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ReadFault != nil && t.ReadFault() != None {
		return nil, code.Errorf(code.StoreDown, "table down")
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

// Apply applies a transaction.
func (t *Table) Apply(_ context.Context, tx store.Tx) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	fault := None
	if t.Fault != nil {
		fault = t.Fault(t.calls)
	}
	t.calls++
	late := t.late
	t.late = nil
	var err error
	switch fault {
	case Down:
		err = code.Errorf(code.StoreDown, "table down")
	case LostCall:
		err = code.Errorf(code.StoreUnknown, "no answer")
	case LateEffect:
		t.late = append(t.late, tx)
		err = code.Errorf(code.StoreUnknown, "no answer")
	case LostAnswer:
		t.apply(tx)
		err = code.Errorf(code.StoreUnknown, "no answer")
	default:
		if !t.apply(tx) {
			err = code.Errorf(code.StoreConflict, "conflict")
		}
	}
	for _, l := range late {
		t.apply(l)
	}
	return err
}

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
	t.writes++
	return true
}

// Transactions returns the number of transactions that took effect.
func (t *Table) Transactions() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.writes
}

// Objects is an object store in memory.
type Objects struct {
	// Fault decides on each call; nil for none.
	Fault func() Fault

	mu     sync.Mutex
	bodies map[string][]byte
}

var _ store.Objects = (*Objects)(nil)

// Put stores an object.
func (o *Objects) Put(_ context.Context, key string, body []byte) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.Fault != nil && o.Fault() != None {
		return code.Errorf(code.StoreDown, "objects down")
	}
	if o.bodies == nil {
		o.bodies = make(map[string][]byte)
	}
	o.bodies[key] = body
	return nil
}

// Delete deletes an object.
func (o *Objects) Delete(_ context.Context, key string) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.Fault != nil && o.Fault() != None {
		return code.Errorf(code.StoreDown, "objects down")
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

// Get returns an object.
func (o *Objects) Get(_ context.Context, key string) ([]byte, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.Fault != nil && o.Fault() != None {
		return nil, code.Errorf(code.StoreDown, "objects down")
	}
	body, ok := o.bodies[key]
	if !ok {
		return nil, code.Errorf(code.StoreNotFound, "no object %s", key)
	}
	return body, nil
}
