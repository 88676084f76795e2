// Package mirror keeps copies of the store's tables in daemons.
//
// A Table is a copy that never goes back: rows only get newer, also when the store
// answers with an older state. A Follower keeps a Table up to date from the store's
// feed, or, while that lasts, from another daemon that follows the feed and passes
// its changes on. Passing on keeps the calls to the store independent of the number
// of daemons; a daemon that hears nothing for a moment follows the store itself.
//
// # Usage
//
//	f := mirror.NewFollower("servers", source, func(rows map[string]mirror.Row) { ... })
//	go f.Run(ctx)
//	u, ok := f.Since(version) // to pass on
//	f.Offer(u, now)           // passed on by another daemon
package mirror

import (
	"errors"
	"maps"
)

// Row is a row of a table.
type Row struct {
	Key   string `msgpack:"key"`
	Value []byte `msgpack:"value,omitempty"`
	// Version is that of the transaction that wrote the row.
	Version int64 `msgpack:"version"`
	Deleted bool  `msgpack:"deleted,omitempty"`
}

// Update is the changes of a table between two versions.
type Update struct {
	Table string `msgpack:"table"`
	From  int64  `msgpack:"from"`
	To    int64  `msgpack:"to"`
	Rows  []Row  `msgpack:"rows,omitempty"`
}

// ErrHistory means that the store has dropped the history that was asked for.
var ErrHistory = errors.New("the store has dropped its history")

// ErrStale means that the store answered with an older state than it did before.
var ErrStale = errors.New("the store answered with an older state")

// maxDeleted bounds the deletions that a table remembers to pass on.
const maxDeleted = 512

// Table is a copy of a table. It is not safe for concurrent use.
type Table struct {
	rows    map[string]Row
	version int64
	// deleted are the latest deletions, complete since the version before.
	deleted []Row
	before  int64
}

// Merge takes changed rows in.
func (t *Table) Merge(list []Row, version int64) {
	for _, r := range list {
		if old, ok := t.rows[r.Key]; ok && old.Version >= r.Version {
			continue
		}
		if r.Deleted {
			delete(t.rows, r.Key)
			t.deleted = append(t.deleted, Row{Key: r.Key, Version: r.Version, Deleted: true})
			continue
		}
		t.rows[r.Key] = r
	}
	t.version = max(t.version, version)
	if over := len(t.deleted) - maxDeleted; over > 0 {
		t.before = t.deleted[over-1].Version
		t.deleted = append([]Row(nil), t.deleted[over:]...)
	}
}

// Replace takes a full read in; false if it is older than what is known.
func (t *Table) Replace(list []Row, version int64) bool {
	if version < t.version {
		return false
	}
	t.rows = make(map[string]Row, len(list))
	t.deleted, t.before = nil, version
	t.Merge(list, version)
	return true
}

// Since returns the changes after a version; false if not all of them are known.
func (t *Table) Since(version int64) (Update, bool) {
	u := Update{From: version, To: t.version}
	if version < t.before || t.rows == nil {
		return u, false
	}
	for _, r := range t.rows {
		if r.Version > version {
			u.Rows = append(u.Rows, r)
		}
	}
	for _, r := range t.deleted {
		if r.Version > version {
			u.Rows = append(u.Rows, r)
		}
	}
	return u, true
}

// Rows returns a copy of the rows by key.
func (t *Table) Rows() map[string]Row { return maps.Clone(t.rows) }
