// Package store defines the interfaces to the platform (the transactional table, the
// object store and the VM list) and implements them over HTTP.
//
// The answer to a write can be lost after the write took effect. Therefore each value
// is stored in an envelope with the id of the transaction that wrote the value, and
// Commit reads the rows again to determine whether a write without an answer took
// effect. Commit retries only a write that takes effect at most once.
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
	// Key identifies the row. The parts of a key are separated by slashes.
	Key string `json:"key"`
	// Version is at least 1 and grows by one with each write of the row; a
	// missing row has version 0. A row that is written again after its deletion
	// gets a higher version than all earlier ones.
	Version int64 `json:"version"`
	// Writer is the id of the transaction that last wrote the row. This package
	// stores the id in the envelope of the value; the platform does not record it.
	Writer string `json:"writer"`
	// Value is the stored value.
	Value []byte `json:"value"`
}

// Condition requires that a row has a version when a transaction commits.
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

// Tx is a transaction: all writes take effect if all conditions hold, else none.
type Tx struct {
	// ID is unique to the transaction, and the Writer of the rows that it writes.
	ID         string      `json:"id"`
	Conditions []Condition `json:"conditions,omitempty"`
	Writes     []Write     `json:"writes"`
}

// Require adds a condition on a row; version 0 requires the row to be missing.
func (t *Tx) Require(key string, version int64) {
	t.Conditions = append(t.Conditions, Condition{Key: key, Version: version})
}

// Put adds a write of value to a row.
func (t *Tx) Put(key string, value []byte) {
	t.Writes = append(t.Writes, Write{Key: key, Value: value})
}

// Delete adds the deletion of a row.
func (t *Tx) Delete(key string) {
	t.Writes = append(t.Writes, Write{Key: key, Delete: true})
}

// Table is the platform's transactional table. The table must never reuse a version of
// a key, even after the row was deleted: otherwise a late deletion that requires an old
// version, from a second sweeper or after a lost answer, would delete a row that was
// written since. Errors have code StoreConflict, StoreDown or StoreLimited if a write has
// no effect, and StoreUnknown if a write may have taken effect.
type Table interface {
	// Get returns the rows that exist, in the order of keys.
	Get(ctx context.Context, keys ...string) ([]Row, error)
	// Scan returns at most limit rows, in key order, whose keys begin with prefix
	// and are greater than after.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Apply sends tx once, without retries.
	Apply(ctx context.Context, tx Tx) error
}

// ObjectStore is the platform's object store. An object is written once, under a key that
// is never used for other content, so a repeated Put is harmless. A process that deletes
// an object never stores another object under the same key, so a late deletion is
// harmless too.
type ObjectStore interface {
	// Put stores body under key.
	Put(ctx context.Context, key string, body []byte) error
	// Get returns the body of an object. The error has code StoreNotFound if
	// there is no such object.
	Get(ctx context.Context, key string) ([]byte, error)
	// Delete permanently deletes an object. Deleting a missing object is no
	// error. The error has code StoreUnknown if the object may have been
	// deleted or may still be deleted.
	Delete(ctx context.Context, key string) error
}

// Kind indicates what a VM runs.
type Kind string

// The kinds of VM.
const (
	KindEntry   Kind = "entry"
	KindEngine  Kind = "engine"
	KindService Kind = "service"
)

// State is the state of a VM according to the platform.
type State string

// The states of a VM. The VM list does not contain VMs that are gone.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// Fencing indicates how an engine handles an order with an old fencing number.
type Fencing string

// The kinds of fencing. FencingUnknown is treated as FencingIgnores.
const (
	FencingRefuses Fencing = "refuses"
	FencingIgnores Fencing = "ignores"
	FencingUnknown Fencing = "unknown"
)

// VM is an entry of the platform's VM list.
type VM struct {
	// ID is unique and never reused.
	ID         string `json:"id"`
	Kind       Kind   `json:"kind"`
	DataCentre string `json:"data_centre"`
	Region     string `json:"region"`
	// Address is the host:port of the peer interface for an entry VM, and of the
	// HTTP interface for a backend server.
	Address string `json:"address"`
	State   State  `json:"state"`
	// Pool is the pool of a backend server, to which the pool of a model or of a
	// plain service refers.
	Pool string `json:"pool,omitempty"`
	// Fencing, MemoryMB and Accelerators describe an engine.
	Fencing      Fencing `json:"fencing,omitempty"`
	MemoryMB     int64   `json:"memory_mb,omitempty"`
	Accelerators int     `json:"accelerators,omitempty"`
}

// VMLister returns the platform's list of live and leaving VMs, which lags behind changes.
type VMLister interface {
	VMs(ctx context.Context) ([]VM, error)
}

// Limits of the platform.
const (
	// MaxValueBytes is the largest size of a value of a row.
	MaxValueBytes = 256 << 10
	// CallTimeout is the timeout of a call to the platform.
	CallTimeout = 2 * time.Second
)
