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
	maxCommitAttempts    = 4
	initialCommitBackoff = 20 * time.Millisecond
)

// NewID returns a random unique id, for example for a transaction.
func NewID() string {
	return cryptorand.Text()
}

// Commit applies tx, and determines the outcome if the table does not answer. The
// error has code StoreConflict, StoreDown or StoreLimited if tx certainly has no
// effect, and StoreUnknown if tx may have taken effect or may still do so.
//
// A transaction with a condition on a row that it writes takes effect at most once
// however often it is sent, so Commit retries it with the same id. If a retry after a
// lost answer conflicts, the writer of the rows shows whether an earlier attempt took
// effect. Commit sends any other transaction only once.
func Commit(ctx context.Context, t Table, tx Tx) error {
	retryable := len(writeConditions(tx)) > 0
	outcomeUnknown := false
	backoff := initialCommitBackoff
	random := newBackoffRand(tx)
	var err error
	for range maxCommitAttempts {
		err = t.Apply(ctx, tx)
		switch c := code.Of(err); {
		case c == code.OK:
			return nil
		case c == code.StoreConflict && outcomeUnknown:
			return resolveConflict(ctx, t, tx)
		case c == code.StoreUnknown:
			outcomeUnknown = true
		case !outcomeUnknown:
			return err
		}
		if !retryable || !life.Sleep(ctx, backoff/2+time.Duration(random.Int64N(int64(backoff)))) {
			break
		}
		backoff *= 2
	}
	if code.Of(err) == code.StoreUnknown {
		return err
	}
	return code.Errorf(code.StoreUnknown, "transaction %s: %w", tx.ID, err)
}

// writeConditions returns the conditions on rows that tx changes. Each of these
// conditions fails once tx has taken effect.
func writeConditions(tx Tx) []Condition {
	var conditions []Condition
	for _, c := range tx.Conditions {
		for _, w := range tx.Writes {
			if w.Key == c.Key && (!w.Delete || c.Version > 0) {
				conditions = append(conditions, c)
				break
			}
		}
	}
	return conditions
}

// resolveConflict reads the rows of writeConditions after a conflict. It returns nil if
// an earlier attempt took effect, StoreConflict if tx has no effect, and StoreUnknown if
// the rows cannot be read or do not show the outcome.
func resolveConflict(ctx context.Context, t Table, tx Tx) error {
	conditions := writeConditions(tx)
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
		if notWritten(c, found[c.Key]) {
			return code.Errorf(code.StoreConflict, "transaction %s: row %s has version %d, required %d", tx.ID, c.Key, found[c.Key].Version, c.Version)
		}
	}
	return code.Errorf(code.StoreUnknown, "transaction %s: the outcome is unknown, since its rows were written again", tx.ID)
}

// notWritten reports whether the transaction with condition c cannot have written row
// r: r still has the required version, or another transaction wrote the next version.
// The caller has checked that the transaction is not the writer of r.
func notWritten(c Condition, r Row) bool {
	if r.Version == 0 {
		return false
	}
	return r.Version == c.Version || r.Version == c.Version+1
}

// newBackoffRand returns the random source of the backoff before retries of tx. The seed
// depends on the rows and versions of the conditions, so that retries on different rows
// are spread and a run in fake time is reproducible.
func newBackoffRand(tx Tx) *rand.Rand {
	digest := xxhash.New()
	for _, c := range tx.Conditions {
		_, _ = fmt.Fprintln(digest, c.Key, c.Version)
	}
	return rand.New(rand.NewPCG(digest.Sum64(), uint64(len(tx.Writes))))
}
