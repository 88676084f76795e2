// Package mirror keeps copies of the store's tables in daemons.
//
// A Table is a copy of a table. A row of the copy is replaced only by a newer version,
// also if the store returns an older state. A store that was restored from a copy of its data
// begins a new era, in which it gives out versions again: positions are ordered by era, then by
// version, and a copy is replaced as a whole when its era ends. A Follower keeps a Table up to date: it polls
// the store for changes or, as long as another daemon polls the store and relays the
// changes, applies the relayed changes. Because of the relay, the number of requests to the
// store does not grow with the number of daemons. A daemon that receives no relayed update
// for a short time polls the store itself. The relaying daemon sends whole tables to daemons
// that have just started.
//
// # Usage
//
//	f := mirror.NewFollower("servers", source, func(rows map[string]mirror.Row) { ... })
//	go f.Run(ctx)
//	u, ok := f.Since(version, now) // the update to relay to another daemon
//	f.ApplyRelayed(u, now)         // applies an update that another daemon relays
package mirror

import (
	"errors"
	"maps"
)

// Row is a row of a table, or the record that a row was deleted.
type Row struct {
	Key   string `msgpack:"key"`
	Value []byte `msgpack:"value,omitempty"`
	// Version is the version of the transaction that wrote or deleted the row.
	Version int64 `msgpack:"version"`
	Deleted bool  `msgpack:"deleted,omitempty"`
}

// Position is a state of the store: the newest version of an era. An era begins when the store
// has been restored from a copy of its data. The zero Position comes before all others.
type Position struct {
	Era     int64 `msgpack:"era"`
	Version int64 `msgpack:"version"`
}

// Before reports whether p is an earlier state than o.
func (p Position) Before(o Position) bool {
	return p.Era < o.Era || p.Era == o.Era && p.Version < o.Version
}

// Update holds the changes of a table after version From, up to version To of the same era, or all rows
// of the table as of version To if Whole is set.
type Update struct {
	Table string `msgpack:"table"`
	Era   int64  `msgpack:"era,omitempty"`
	From  int64  `msgpack:"from"`
	To    int64  `msgpack:"to"`
	Rows  []Row  `msgpack:"rows,omitempty"`
	Whole bool   `msgpack:"whole,omitempty"`
	// Withheld is whether changes before From are not relayed, so that a daemon that lacks them must poll the store.
	Withheld bool `msgpack:"withheld,omitempty"`
}

// ErrHistoryLost means that the store no longer holds the requested changes.
var ErrHistoryLost = errors.New("the store no longer holds the requested changes")

// ErrStale means that the store returned an older state than the one already read.
var ErrStale = errors.New("the store returned an older state than the one already read")

// maxDeletions limits the deletions that a table keeps for Since.
const maxDeletions = 512

// Table is a local copy of a table of the store. It is not safe for concurrent use.
type Table struct {
	rows     map[string]Row
	position Position
	// deletions are the latest deletions, complete after version deletionsAfter. deletedAt holds
	// the version of the last of them for each key.
	deletions      []Row
	deletedAt      map[string]int64
	deletionsAfter int64
}

// Merge applies changed rows, except those that are not newer than the row of the copy or its
// deletion. version is the version up to which the changes are complete, in the era of the copy.
func (t *Table) Merge(list []Row, version int64) {
	for _, r := range list {
		if r.Version <= t.lastChange(r.Key) {
			continue
		}
		if r.Deleted {
			delete(t.rows, r.Key)
			t.deletions = append(t.deletions, Row{Key: r.Key, Version: r.Version, Deleted: true})
			t.deletedAt[r.Key] = r.Version
			continue
		}
		t.rows[r.Key] = r
	}
	t.position.Version = max(t.position.Version, version)
	if excess := len(t.deletions) - maxDeletions; excess > 0 {
		t.forgetDeletions(excess)
	}
}

// lastChange returns the version in which a row was written or deleted last. The version of a
// deletion that is no longer kept, or came before the copy, is at most that which is returned.
func (t *Table) lastChange(key string) int64 {
	if r, ok := t.rows[key]; ok {
		return r.Version
	}
	return max(t.deletedAt[key], t.deletionsAfter)
}

// forgetDeletions drops the n oldest deletions.
func (t *Table) forgetDeletions(n int) {
	for _, r := range t.deletions[:n] {
		if t.deletedAt[r.Key] == r.Version {
			delete(t.deletedAt, r.Key)
		}
	}
	t.deletionsAfter = max(t.deletionsAfter, t.deletions[n-1].Version)
	t.deletions = append([]Row(nil), t.deletions[n:]...)
}

// Replace replaces all rows by those of a full read. If the read is older than the copy,
// Replace returns false and changes nothing.
func (t *Table) Replace(list []Row, at Position) bool {
	if at.Before(t.position) {
		return false
	}
	t.rows = make(map[string]Row, len(list))
	for _, r := range list {
		t.rows[r.Key] = r
	}
	t.deletions, t.deletedAt, t.deletionsAfter = nil, map[string]int64{}, at.Version
	t.position = at
	return true
}

// Since returns the changes after a position. It returns false if the table was never read, if
// the position is of another era, or if deletions after it are no longer kept.
func (t *Table) Since(after Position) (Update, bool) {
	u := Update{Era: t.position.Era, From: after.Version, To: t.position.Version}
	if after.Era != t.position.Era || after.Version < t.deletionsAfter || t.rows == nil {
		return u, false
	}
	for _, r := range t.rows {
		if r.Version > after.Version {
			u.Rows = append(u.Rows, r)
		}
	}
	for _, r := range t.deletions {
		if r.Version > after.Version {
			u.Rows = append(u.Rows, r)
		}
	}
	return u, true
}

// Whole returns all rows.
func (t *Table) Whole() Update {
	u := Update{Era: t.position.Era, To: t.position.Version, Whole: true, Rows: make([]Row, 0, len(t.rows))}
	for _, r := range t.rows {
		u.Rows = append(u.Rows, r)
	}
	return u
}

// Rows returns a copy of the rows by key.
func (t *Table) Rows() map[string]Row { return maps.Clone(t.rows) }
