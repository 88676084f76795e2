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

// outcome is what a fake table does to one Apply.
type outcome int

const (
	answered outcome = iota
	lostAnswer
	lostCall
	down
	limited
	rival
	outcomes
)

// fakeTable keeps rows and meets each Apply with the next outcome.
type fakeTable struct {
	Table
	rows     map[string]Row
	versions map[string]int64
	script   []outcome
	effects  map[string]int
	reads    bool
	sends    int
}

func newFakeTable(script ...outcome) *fakeTable {
	return &fakeTable{
		rows:     make(map[string]Row),
		versions: make(map[string]int64),
		script:   script,
		effects:  make(map[string]int),
		reads:    true,
	}
}

func (f *fakeTable) Get(_ context.Context, keys ...string) ([]Row, error) {
	if !f.reads {
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
	f.sends++
	o := answered
	if len(f.script) > 0 {
		o, f.script = f.script[0], f.script[1:]
	}
	switch o {
	case lostAnswer:
		_ = f.commit(tx)
		return code.Errorf(code.StoreUnknown, "no answer")
	case lostCall:
		return code.Errorf(code.StoreUnknown, "no answer")
	case down:
		return code.Errorf(code.StoreDown, "down")
	case limited:
		return code.Errorf(code.StoreLimited, "limited")
	case rival:
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

// guardedTx inserts a row that must be missing.
func guardedTx() Tx {
	tx := Tx{ID: NewID()}
	tx.Require("row", 0)
	tx.Put("row", []byte("value"))
	return tx
}

// TestCommitTellsTheTruth checks Commit's outcome against what the table did,
// for any order of faults.
func TestCommitTellsTheTruth(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		script := rapid.SliceOfN(rapid.IntRange(0, int(outcomes)-1), 0, 6).Draw(rt, "script")
		guarded := rapid.Bool().Draw(rt, "guarded")
		f := newFakeTable()
		f.reads = rapid.Bool().Draw(rt, "reads")
		for _, o := range script {
			f.script = append(f.script, outcome(o))
		}
		tx := guardedTx()
		if !guarded {
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
		if !guarded {
			require.Equal(rt, 1, f.sends, "sent again without a guard")
		}
	})
}

func TestCommitSettlesLostAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeTable(lostAnswer)
		require.NoError(t, Commit(t.Context(), f, guardedTx()))
		require.Equal(t, 2, f.sends)
	})
}

func TestCommitSettlesRival(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeTable(lostCall, rival)
		require.Equal(t, code.StoreConflict, code.Of(Commit(t.Context(), f, guardedTx())))
	})
}
