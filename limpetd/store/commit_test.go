package store

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/limpetlb/limpetlb/limpetd/code"
	_ "github.com/limpetlb/limpetlb/limpetd/seeds"
)

// outcome is how a fake table handles a call of Apply.
type outcome int

const (
	answered outcome = iota
	lostAnswer
	lostRequest
	down
	limited
	competingWrite
	outcomeCount
)

// fakeTable holds rows in memory and handles each call of Apply with the next outcome of
// script. Without a next outcome, a call succeeds or conflicts.
type fakeTable struct {
	Table
	rows     map[string]Row
	versions map[string]int64
	script   []outcome
	effects  map[string]int
	readable bool
	attempts int
}

func newFakeTable(script ...outcome) *fakeTable {
	return &fakeTable{
		rows:     make(map[string]Row),
		versions: make(map[string]int64),
		script:   script,
		effects:  make(map[string]int),
		readable: true,
	}
}

func (f *fakeTable) Get(_ context.Context, keys ...string) ([]Row, error) {
	if !f.readable {
		return nil, code.Errorf(code.StoreDown, "down")
	}
	var rows []Row
	for _, k := range keys {
		if r, ok := f.rows[k]; ok {
			rows = append(rows, r)
		}
	}
	return rows, nil
}

func (f *fakeTable) Apply(_ context.Context, tx Tx) error {
	f.attempts++
	o := answered
	if len(f.script) > 0 {
		o, f.script = f.script[0], f.script[1:]
	}
	switch o {
	case lostAnswer:
		_ = f.commit(tx)
		return code.Errorf(code.StoreUnknown, "no answer")
	case lostRequest:
		return code.Errorf(code.StoreUnknown, "no answer")
	case down:
		return code.Errorf(code.StoreDown, "down")
	case limited:
		return code.Errorf(code.StoreLimited, "limited")
	case competingWrite:
		_ = f.commit(Tx{ID: "rival", Writes: tx.Writes})
	}
	return f.commit(tx)
}

func (f *fakeTable) commit(tx Tx) error {
	for _, c := range tx.Conditions {
		if f.rows[c.Key].Version != c.Version {
			return code.Errorf(code.StoreConflict, "row %s", c.Key)
		}
	}
	f.effects[tx.ID]++
	for _, w := range tx.Writes {
		f.versions[w.Key]++
		delete(f.rows, w.Key)
		if !w.Delete {
			f.rows[w.Key] = Row{Key: w.Key, Version: f.versions[w.Key], Writer: tx.ID, Value: w.Value}
		}
	}
	return nil
}

// insertTx returns a transaction that inserts a row and requires the row to be missing.
func insertTx() Tx {
	tx := Tx{ID: NewID()}
	tx.Require("row", 0)
	tx.Put("row", []byte("value"))
	return tx
}

// TestCommitOutcome checks that the error of Commit agrees with the effects on the table,
// for any order of faults.
func TestCommitOutcome(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		script := rapid.SliceOfN(rapid.IntRange(0, int(outcomeCount)-1), 0, 6).Draw(rt, "script")
		conditional := rapid.Bool().Draw(rt, "conditional")
		f := newFakeTable()
		f.readable = rapid.Bool().Draw(rt, "readable")
		for _, o := range script {
			f.script = append(f.script, outcome(o))
		}
		tx := insertTx()
		if !conditional {
			tx.Conditions = nil
		}
		var err error
		synctest.Test(t, func(t *testing.T) { err = Commit(t.Context(), f, tx) })
		effects := f.effects[tx.ID]
		require.LessOrEqual(rt, effects, 1)
		switch c := code.Of(err); c {
		case code.OK:
			require.Equal(rt, 1, effects)
		case code.StoreConflict, code.StoreDown, code.StoreLimited:
			require.Zero(rt, effects)
		default:
			require.Equal(rt, code.StoreUnknown, c)
		}
		if !conditional {
			require.Equal(rt, 1, f.attempts, "a transaction without conditions was sent again")
		}
	})
}

func TestCommitResolvesLostAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeTable(lostAnswer)
		require.NoError(t, Commit(t.Context(), f, insertTx()))
		require.Equal(t, 2, f.attempts)
	})
}

func TestCommitResolvesCompetingWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeTable(lostRequest, competingWrite)
		require.Equal(t, code.StoreConflict, code.Of(Commit(t.Context(), f, insertTx())))
	})
}
