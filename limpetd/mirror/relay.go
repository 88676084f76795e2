package mirror

import (
	"slices"
	"time"
)

// WithPrivate sets the function that reports whether a row must not reach other daemons, for example because it holds
// keys. Such a row is not relayed: daemons that lack it poll the store. Its value is dropped once onChange has received
// it; later calls of onChange receive the row without a value.
func WithPrivate(private func(Row) bool) Option {
	return func(f *Follower) { f.isPrivate = private }
}

// Since returns the changes after a position, to be relayed to another daemon. It returns
// false if the copy lacks some of the changes, or if the store has not responded to this
// follower within storeTimeout. If one of the changed rows is private, the update has no rows and is
// marked as withheld.
func (f *Follower) Since(after Position, now time.Time) (Update, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.read || now.Sub(f.polledAt) > storeTimeout {
		return Update{}, false
	}
	u, ok := f.table.Since(after)
	u.Table = f.name
	if slices.ContainsFunc(u.Rows, f.withholds) {
		u.From, u.Rows, u.Withheld = u.To, nil, true
	}
	return u, ok
}

// Whole returns all rows, to be relayed to a daemon whose copy lacks changes that are no longer kept. It
// returns false as Since does.
func (f *Follower) Whole(now time.Time) (Update, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.read || now.Sub(f.polledAt) > storeTimeout {
		return Update{}, false
	}
	u := f.table.Whole()
	u.Table = f.name
	if slices.ContainsFunc(u.Rows, f.withholds) {
		return Update{}, false
	}
	return u, true
}

// privateRows returns the versions of those of the rows that are private.
func (f *Follower) privateRows(list []Row) map[string]int64 {
	versions := map[string]int64{}
	for _, r := range list {
		if !r.Deleted && f.isPrivate(r) {
			versions[r.Key] = r.Version
		}
	}
	return versions
}

// withholds reports whether a row of the copy is private. The caller must hold mu.
func (f *Follower) withholds(r Row) bool { return !r.Deleted && f.private[r.Key] == r.Version }

// change calls onChange, and drops the values of private rows.
func (f *Follower) change(rows map[string]Row) {
	f.onChange(rows)
	f.mu.Lock()
	defer f.mu.Unlock()
	for key, version := range f.private {
		r, ok := f.table.rows[key]
		switch {
		case !ok || r.Version != version:
			delete(f.private, key)
		case rows[key].Version == version:
			r.Value = nil
			f.table.rows[key] = r
		}
	}
}
