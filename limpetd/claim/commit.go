package claim

import (
	"context"
	"encoding/json"
	"slices"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/store"
)

// write is a conditional write of one row, committed in a group with others.
type write struct {
	key     string
	version int64
	value   []byte
	result  Result
	// found is the row that was met instead; Version 0 for none.
	found store.Row
	err   error
	done  chan struct{}
}

// end completes the write.
func (w *write) end(r Result, found store.Row, err error) {
	w.result = r
	w.found = found
	w.err = err
	close(w.done)
}

// write writes a record if the row has a version, and waits for the result.
func (s *Claims) write(ctx context.Context, key string, version int64, r Record) *write {
	w := &write{key: key, version: version, done: make(chan struct{})}
	value, err := json.Marshal(r)
	if err != nil {
		return &write{err: err}
	}
	w.value = value
	if s.forward(ctx, w) {
		return w
	}
	return s.submit(ctx, w)
}

// submit has a write committed by this daemon and waits for the result.
func (s *Claims) submit(ctx context.Context, w *write) *write {
	select {
	case s.writes <- w:
	default:
		return &write{err: code.Errorf(code.StoreLimited, "too many claims wait for the table")}
	}
	select {
	case <-w.done:
		return w
	case <-ctx.Done():
	case <-s.tomb.Dying():
	}
	return &write{result: Uncertain, err: code.Errorf(code.StoreUnknown, "the table has not answered in time")}
}

// commitLoop commits the writes that wait, many at once.
func (s *Claims) commitLoop(ctx context.Context) error {
	for {
		select {
		case <-s.tomb.Dying():
			return nil
		case first := <-s.writes:
			if err := s.pace.wait(ctx); err != nil {
				first.end(NotWritten, store.Row{}, code.Errorf(code.Stopping, "the daemon stops"))
				continue
			}
			group, twins := s.group(first)
			s.commit(ctx, group)
			s.endTwins(ctx, twins)
		}
	}
}

// group takes further writes that wait already. Twins are second writes of one
// row.
func (s *Claims) group(first *write) (group, twins []*write) {
	group = []*write{first}
	keys := map[string]bool{first.key: true}
	for len(group) < groupSize {
		select {
		case w := <-s.writes:
			if keys[w.key] {
				twins = append(twins, w)
				continue
			}
			keys[w.key] = true
			group = append(group, w)
		default:
			return group, twins
		}
	}
	return group, twins
}

// endTwins ends the writes that another one of their group went before: as in
// conflict with what it wrote, or to be tried again.
func (s *Claims) endTwins(ctx context.Context, twins []*write) {
	if len(twins) == 0 {
		return
	}
	found, err := s.found(ctx, twins)
	for _, w := range twins {
		row := found[w.key]
		switch {
		case err != nil:
			w.end(NotWritten, store.Row{}, err)
		case row.Version != w.version:
			w.end(Conflict, row, nil)
		default:
			w.end(Crowded, store.Row{}, nil)
		}
	}
}

// found reads the rows of writes.
func (s *Claims) found(ctx context.Context, group []*write) (map[string]store.Row, error) {
	keys := make([]string, 0, len(group))
	for _, w := range group {
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

// commit writes a group in one transaction. Rows that are in conflict leave the
// group and the others are tried again.
func (s *Claims) commit(ctx context.Context, group []*write) {
	for len(group) > 0 {
		tx := store.Tx{ID: store.NewID()}
		for _, w := range group {
			tx.Require(w.key, w.version)
			tx.Put(w.key, w.value)
		}
		s.groups.Inc(1)
		err := s.apply(ctx, tx)
		switch code.Of(err) {
		case code.OK:
			s.rows.Inc(int64(len(group)))
			endAll(group, Written, nil)
			return
		case code.StoreConflict, code.StoreUnknown:
			group = s.reread(ctx, group, tx.ID, err)
		default:
			endAll(group, NotWritten, err)
			return
		}
	}
}

// reread finds out about each write of a group that was refused or not
// answered. It returns those that are to be tried again.
func (s *Claims) reread(ctx context.Context, group []*write, tx string, cause error) []*write {
	found, err := s.found(ctx, group)
	if err != nil {
		endAll(group, uncertainAfter(cause), err)
		return nil
	}
	var again []*write
	for _, w := range group {
		row := found[w.key]
		switch {
		case row.Writer == tx:
			w.end(Written, row, nil)
		case row.Version != w.version:
			w.end(Conflict, row, nil)
		case code.Of(cause) == code.StoreConflict:
			again = append(again, w)
		default:
			w.end(Uncertain, row, cause)
		}
	}
	if len(again) == len(group) && len(group) > 0 {
		// All conditions hold again: another writer came and went.
		endAll(again, NotWritten, cause)
		return nil
	}
	return again
}

// apply commits one transaction within a bounded time.
func (s *Claims) apply(ctx context.Context, tx store.Tx) error {
	ctx, cancel := context.WithTimeout(ctx, 2*store.CallTimeout)
	defer cancel()
	return store.Commit(ctx, s.deps.Table, tx)
}

// uncertainAfter is the result of a write whose state could not be read.
func uncertainAfter(cause error) Result {
	if code.Of(cause) == code.StoreConflict {
		return NotWritten
	}
	return Uncertain
}

func endAll(group []*write, r Result, err error) {
	for _, w := range group {
		w.end(r, store.Row{}, err)
	}
}
