// Package store holds the ports to the platform: the transactional table, the
// object store, the VM list and the weight store, and their HTTP adapter.
//
// An answer of the table can be lost after the write took effect. Therefore a
// value is stored in an envelope with the id of the transaction that wrote it,
// and Commit finds out by reading again whether a write without an answer took
// effect. A write is never repeated blindly.
//
// # Usage
//
//	tx := store.Tx{ID: store.NewID()}
//	tx.Require(key, version)
//	tx.Put(key, value)
//	err := store.Commit(ctx, table, tx)
//	switch code.Of(err) {
//	case code.OK:            // written
//	case code.StoreConflict: // another writer was first
//	case code.StoreUnknown:  // read the state again before deciding
//	}
package store

import (
	"context"
	"time"
)

// Row is a row of the table.
type Row struct {
	// Key identifies the row. Parts are joined by slashes.
	Key string `json:"key"`
	// Version is 1 or more and one more with each write of the row; a missing
	// row has version 0. A row that is written after its deletion goes on
	// with a higher version than it ever had.
	Version int64 `json:"version"`
	// Writer is the id of the transaction that wrote the row last. It is
	// part of the stored value, kept by this package, not by the platform.
	Writer string `json:"writer"`
	// Value is the stored value.
	Value []byte `json:"value"`
}

// Condition requires a row to have a version when a transaction commits.
type Condition struct {
	Key string `json:"key"`
	// Version is the required version; 0 requires the row to be missing.
	Version int64 `json:"version"`
}

// Write sets or deletes a row.
type Write struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Tx is a transaction: all writes happen if all conditions hold, else none.
type Tx struct {
	// ID is recognised when the row is read again; unique to the transaction.
	ID         string      `json:"id"`
	Conditions []Condition `json:"conditions,omitempty"`
	Writes     []Write     `json:"writes"`
}

// Require adds a condition; version 0 requires the row to be missing.
func (t *Tx) Require(key string, version int64) {
	t.Conditions = append(t.Conditions, Condition{Key: key, Version: version})
}

// Put adds a write of value.
func (t *Tx) Put(key string, value []byte) {
	t.Writes = append(t.Writes, Write{Key: key, Value: value})
}

// Delete adds the deletion of a row.
func (t *Tx) Delete(key string) {
	t.Writes = append(t.Writes, Write{Key: key, Delete: true})
}

// Table is the platform's transactional table. It must never use a version of a key
// again, also not after the row was deleted: a deletion that was decided on a version
// and comes late, from a second sweeper or after a lost answer, would else strike a
// row that was written since. Errors carry the codes
// StoreConflict, StoreUnknown (a write may have taken effect), StoreDown or
// StoreLimited (it has not).
type Table interface {
	// Get returns the rows that exist, in the order of keys.
	Get(ctx context.Context, keys ...string) ([]Row, error)
	// Scan returns the rows whose keys begin with prefix and come after
	// after, in key order, limit at most.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Apply tries tx once.
	Apply(ctx context.Context, tx Tx) error
}

// Objects is the platform's object store. Objects are written once under a key
// that is never used for other content, so a repeated Put is harmless. Who deletes
// an object never stores another one under its key, so that a deletion that comes
// late harms nothing.
type Objects interface {
	// Put stores body under key.
	Put(ctx context.Context, key string, body []byte) error
	// Get returns the body, or an error with code StoreNotFound.
	Get(ctx context.Context, key string) ([]byte, error)
	// Delete deletes an object for good. It is no error if there is none. An
	// error has code StoreUnknown if the object may be deleted, now or later.
	Delete(ctx context.Context, key string) error
}

// Kind is what a VM runs.
type Kind string

// The kinds of VM.
const (
	KindEntry   Kind = "entry"
	KindEngine  Kind = "engine"
	KindService Kind = "service"
)

// State is what the platform says of a VM.
type State string

// The states of a VM. A VM that is gone is not listed.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// Fencing tells how an engine treats an order with an old fencing number.
type Fencing string

// The kinds of fencing. Unknown counts as ignoring.
const (
	FencingRefuses Fencing = "refuses"
	FencingIgnores Fencing = "ignores"
	FencingUnknown Fencing = "unknown"
)

// VM is an entry of the platform's VM list.
type VM struct {
	// ID is unique and never used again.
	ID         string `json:"id"`
	Kind       Kind   `json:"kind"`
	DataCentre string `json:"data_centre"`
	Region     string `json:"region"`
	// Address is host:port: of the peer interface for an entry VM, of the
	// HTTP interface for a backend server.
	Address string `json:"address"`
	State   State  `json:"state"`
	// Pool groups backend servers: the engine pool or the service name.
	Pool string `json:"pool,omitempty"`
	// Fencing, MemoryMB and Accelerators describe an engine.
	Fencing      Fencing `json:"fencing,omitempty"`
	MemoryMB     int64   `json:"memory_mb,omitempty"`
	Accelerators int     `json:"accelerators,omitempty"`
}

// VMList is the platform's lagging list of live and leaving VMs.
type VMList interface {
	VMs(ctx context.Context) ([]VM, error)
}

// Limits of the platform.
const (
	// MaxValueBytes is the largest value of a row.
	MaxValueBytes = 256 << 10
	// CallTimeout bounds one call to the platform.
	CallTimeout = 2 * time.Second
)
