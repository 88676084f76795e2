package store

import (
	"context"
	cryptorand "crypto/rand"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/life"
)

// Limits of Commit.
const (
	commitTries     = 4
	commitFirstWait = 20 * time.Millisecond
)

// NewID returns an id for a transaction or another thing that must be unique.
func NewID() string {
	return cryptorand.Text()
}

// Commit applies tx and finds out what became of it when the table does not
// answer. The error has code StoreConflict, StoreDown or StoreLimited when tx
// certainly has no effect, and StoreUnknown when it may have or get one.
//
// A transaction with a condition on a row that it writes takes effect at most
// once however often it is sent, so Commit sends it again under the same id. A
// conflict after a lost answer is settled by the writer of the rows. Any other
// transaction is sent once.
func Commit(ctx context.Context, t Table, tx Tx) error {
	guarded := len(guards(tx)) > 0
	unsure := false
	wait := commitFirstWait
	random := pauses(tx)
	var err error
	for range commitTries {
		err = t.Apply(ctx, tx)
		switch c := code.Of(err); {
		case c == code.OK:
			return nil
		case c == code.StoreConflict && unsure:
			return settle(ctx, t, tx)
		case c == code.StoreUnknown:
			unsure = true
		case !unsure:
			return err
		}
		if !guarded || !life.Sleep(ctx, wait/2+time.Duration(random.Int64N(int64(wait)))) {
			break
		}
		wait *= 2
	}
	if code.Of(err) == code.StoreUnknown {
		return err
	}
	return code.Errorf(code.StoreUnknown, "transaction %s: %w", tx.ID, err)
}

// guards returns the conditions on rows that tx changes. Each of them fails
// once tx has taken effect.
func guards(tx Tx) []Condition {
	var covered []Condition
	for _, c := range tx.Conditions {
		for _, w := range tx.Writes {
			if w.Key == c.Key && (!w.Delete || c.Version > 0) {
				covered = append(covered, c)
				break
			}
		}
	}
	return covered
}

// settle reads the guarded rows of tx after a conflict and says whether an
// earlier try took effect.
func settle(ctx context.Context, t Table, tx Tx) error {
	conditions := guards(tx)
	keys := make([]string, 0, len(conditions))
	for _, c := range conditions {
		keys = append(keys, c.Key)
	}
	rows, err := t.Get(ctx, keys...)
	if err != nil {
		return code.Errorf(code.StoreUnknown, "transaction %s: %w", tx.ID, err)
	}
	found := make(map[string]Row, len(rows))
	for _, r := range rows {
		found[r.Key] = r
		if r.Writer == tx.ID {
			return nil
		}
	}
	for _, c := range conditions {
		if untouched(c, found[c.Key]) {
			return code.Errorf(code.StoreConflict, "transaction %s: row %s has version %d, required %d", tx.ID, c.Key, found[c.Key].Version, c.Version)
		}
	}
	return code.Errorf(code.StoreUnknown, "transaction %s: its rows were written again", tx.ID)
}

// untouched tells whether the transaction with condition c cannot have written
// row r: r is still at the required version, or the next version is another's.
func untouched(c Condition, r Row) bool {
	if r.Version == 0 {
		return false
	}
	return r.Version == c.Version || r.Version == c.Version+1
}

// pauses returns the source of the pauses before tx is sent again. They follow
// from the rows and versions of tx, so that those of different rows are spread
// and a run in fake time repeats itself.
func pauses(tx Tx) *rand.Rand {
	d := xxhash.New()
	for _, c := range tx.Conditions {
		_, _ = fmt.Fprintln(d, c.Key, c.Version)
	}
	return rand.New(rand.NewPCG(d.Sum64(), uint64(len(tx.Writes))))
}
