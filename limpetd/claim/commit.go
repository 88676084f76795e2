package claim

import (
	"context"
	"encoding/json"
	"slices"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/store"
)

// rowWrite is a conditional write to one row, which is committed in a group with
// other writes. The fields result, found and err are set once done is closed.
type rowWrite struct {
	key string
	// version is the version that the row must have; 0 if the row must not exist.
	version int64
	value   []byte
	result  Result
	// found is the row as read after a conflict; its Version is 0 if the row does
	// not exist.
	found store.Row
	err   error
	done  chan struct{}
}

// complete sets the result of the write and wakes its submitter.
func (w *rowWrite) complete(r Result, found store.Row, err error) {
	w.result = r
	w.found = found
	w.err = err
	close(w.done)
}

// writeRecord writes a record to a row on the condition that the row has the given
// version, and waits for the result. Another daemon may commit the write.
func (s *Claims) writeRecord(ctx context.Context, key string, version int64, r Record) *rowWrite {
	w := &rowWrite{key: key, version: version, done: make(chan struct{})}
	value, err := json.Marshal(r)
	if err != nil {
		return &rowWrite{err: err}
	}
	w.value = value
	if s.forward(ctx, w) {
		return w
	}
	return s.submit(ctx, w)
}

// submit queues a write for the committers of this daemon and waits for the
// result. If the queue is full, the result is NotWritten. If w is not completed
// before ctx or the daemon ends, submit returns a different rowWrite with result
// Uncertain, since a committer may still change w.
func (s *Claims) submit(ctx context.Context, w *rowWrite) *rowWrite {
	select {
	case s.writeQueue <- w:
	default:
		return &rowWrite{err: code.Errorf(code.StoreLimited, "too many writes of claims are queued")}
	}
	select {
	case <-w.done:
		return w
	case <-ctx.Done():
	case <-s.tomb.Dying():
	}
	return &rowWrite{result: Uncertain, err: code.Errorf(code.StoreUnknown, "the table did not answer in time")}
}

// commitLoop commits queued writes in groups. Each committer runs it.
func (s *Claims) commitLoop(ctx context.Context) error {
	for {
		select {
		case <-s.tomb.Dying():
			return nil
		case first := <-s.writeQueue:
			if err := s.pacer.wait(ctx); err != nil {
				first.complete(NotWritten, store.Row{}, code.Errorf(code.Stopping, "the daemon is stopping"))
				continue
			}
			group, duplicates := s.collectGroup(first)
			s.commit(ctx, group)
			s.completeDuplicates(ctx, duplicates)
		}
	}
}

// collectGroup returns first together with further writes that are already queued,
// at most one for each row. duplicates are queued writes to a row that a write of
// the group already goes to.
func (s *Claims) collectGroup(first *rowWrite) (group, duplicates []*rowWrite) {
	group = []*rowWrite{first}
	keys := map[string]bool{first.key: true}
	for len(group) < maxGroupSize {
		select {
		case w := <-s.writeQueue:
			if keys[w.key] {
				duplicates = append(duplicates, w)
				continue
			}
			keys[w.key] = true
			group = append(group, w)
		default:
			return group, duplicates
		}
	}
	return group, duplicates
}

// completeDuplicates completes writes that were not tried because their group held
// another write to the same row: with Conflict if the row now has another version,
// else with NotTried.
func (s *Claims) completeDuplicates(ctx context.Context, duplicates []*rowWrite) {
	if len(duplicates) == 0 {
		return
	}
	found, err := s.readRows(ctx, duplicates)
	for _, w := range duplicates {
		row := found[w.key]
		switch {
		case err != nil:
			w.complete(NotWritten, store.Row{}, err)
		case row.Version != w.version:
			w.complete(Conflict, row, nil)
		default:
			w.complete(NotTried, store.Row{}, nil)
		}
	}
}

// readRows reads the rows that writes go to. It returns the rows that exist, by
// table key.
func (s *Claims) readRows(ctx context.Context, writes []*rowWrite) (map[string]store.Row, error) {
	keys := make([]string, 0, len(writes))
	for _, w := range writes {
		if !slices.Contains(keys, w.key) {
			keys = append(keys, w.key)
		}
	}
	ctx, cancel := context.WithTimeout(ctx, store.CallTimeout)
	defer cancel()
	rows, err := s.deps.Table.Get(ctx, keys...)
	if err != nil {
		return nil, err
	}
	found := make(map[string]store.Row, len(rows))
	for _, row := range rows {
		found[row.Key] = row
	}
	return found, nil
}

// commit commits a group in one transaction and completes its writes. After a
// conflict the writes that caused the conflict are completed, and the others are
// committed again in a new transaction.
func (s *Claims) commit(ctx context.Context, group []*rowWrite) {
	for len(group) > 0 {
		tx := store.Tx{ID: store.NewID()}
		for _, w := range group {
			tx.Require(w.key, w.version)
			tx.Put(w.key, w.value)
		}
		s.groupCommits.Inc(1)
		err := s.apply(ctx, tx)
		switch code.Of(err) {
		case code.OK:
			s.rowsWritten.Inc(int64(len(group)))
			completeAll(group, Written, nil)
			return
		case code.StoreConflict, code.StoreUnknown:
			group = s.resolveGroup(ctx, group, tx.ID, err)
		default:
			completeAll(group, NotWritten, err)
			return
		}
	}
}

// resolveGroup reads the rows of a group whose transaction, with the id txID, failed
// with cause: a conflict, or an unknown result. It completes the writes whose
// result the rows show and returns the writes to commit again.
func (s *Claims) resolveGroup(ctx context.Context, group []*rowWrite, txID string, cause error) []*rowWrite {
	found, err := s.readRows(ctx, group)
	if err != nil {
		completeAll(group, unreadResult(cause), err)
		return nil
	}
	var retry []*rowWrite
	for _, w := range group {
		row := found[w.key]
		switch {
		case row.Writer == txID:
			w.complete(Written, row, nil)
		case row.Version != w.version:
			w.complete(Conflict, row, nil)
		case code.Of(cause) == code.StoreConflict:
			retry = append(retry, w)
		default:
			w.complete(Uncertain, row, cause)
		}
	}
	if len(retry) == len(group) && len(group) > 0 {
		// No row shows the conflict any more: another writer inserted a row, which
		// has been deleted since.
		completeAll(retry, NotWritten, cause)
		return nil
	}
	return retry
}

// apply commits one transaction with a timeout of twice store.CallTimeout.
func (s *Claims) apply(ctx context.Context, tx store.Tx) error {
	ctx, cancel := context.WithTimeout(ctx, 2*store.CallTimeout)
	defer cancel()
	return store.Commit(ctx, s.deps.Table, tx)
}

// unreadResult returns the result of a write whose transaction failed with cause and
// whose row could not be read afterwards.
func unreadResult(cause error) Result {
	if code.Of(cause) == code.StoreConflict {
		return NotWritten
	}
	return Uncertain
}

// completeAll completes all writes of a group with the same result.
func completeAll(group []*rowWrite, r Result, err error) {
	for _, w := range group {
		w.complete(r, store.Row{}, err)
	}
}
