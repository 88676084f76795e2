// Package lease decides who places the models of a data centre.
//
// The lease is a row of the table that its holder renews. Another daemon takes
// it when it has seen the same version of the row for a whole term on its own
// monotonic clock, so no two clocks are compared. Taking raises the fence, which
// has a row of its own: a ledger write requires the version of the fence row and
// so fails once another daemon has taken the lease, while renewals don't
// disturb it.
//
// A holder trusts its lease until a margin before the term ends, counted from
// the moment before the renewal was sent. Nothing rests on that clock: a holder
// that was paused and wakes later fails at its next write, and the orders it
// still sends are charged (see package ledger).
//
// # Usage
//
//	m := lease.NewMachine(lease.Config{...})
//	action := m.Next(now)     // take, renew, or wait
//	m.Observe(row, now)       // after each read
//	m.Held(fence, version, sentAt) // after each write that took effect
package lease

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/limpetlb/limpetlb/limpetd/code"
)

// Level is the feature level of the row.
const Level = 1

// Row is the lease of a data centre.
type Row struct {
	Level int `msgpack:"level"`
	// VM and Instance are the holder; empty means that the lease is free.
	VM       string `msgpack:"vm"`
	Instance string `msgpack:"instance"`
	// Fence grows by one each time that the lease is taken.
	Fence int64 `msgpack:"fence"`
}

// Encode returns the stored form of r.
func Encode(r Row) ([]byte, error) {
	r.Level = Level
	value, err := msgpack.Marshal(r)
	if err != nil {
		return nil, code.Errorf(code.Internal, "encode lease: %w", err)
	}
	return value, nil
}

// Decode reads a stored lease. Nil is the free lease with fence 0. Errors have
// code StoreCorrupt or LedgerLevel.
func Decode(value []byte) (Row, error) {
	var r Row
	if value == nil {
		return r, nil
	}
	if err := msgpack.Unmarshal(value, &r); err != nil {
		return Row{}, code.Errorf(code.StoreCorrupt, "lease: %w", err)
	}
	if r.Level > Level {
		return Row{}, code.Errorf(code.LedgerLevel, "lease has level %d, this daemon reads %d", r.Level, Level)
	}
	return r, nil
}

// Key returns the table key of a data centre's lease.
func Key(environment, dataCentre string) string {
	return environment + "/lease/" + dataCentre
}

// FenceKey returns the table key of the fence that ledger writes require.
func FenceKey(environment, dataCentre string) string {
	return environment + "/fence/" + dataCentre
}

// Config describes a candidate for a lease.
type Config struct {
	VM       string
	Instance string
	// Term is how long a lease lasts without renewal.
	Term time.Duration
}

// Action is what a candidate does next.
type Action int

// The actions.
const (
	// Wait means that another daemon holds the lease.
	Wait Action = iota
	// Take means that the lease is free or lapsed.
	Take
	// Renew means that this daemon holds the lease and renews it.
	Renew
)

// marginShare is the part of the term at its end in which a holder no longer
// trusts its lease.
const marginShare = 0.2

// Machine is a candidate's view of the lease. It is not safe for concurrent use.
type Machine struct {
	config Config
	row    Row
	// version is that of the lease row, since when it was first seen.
	version int64
	since   time.Time
	known   bool
	// until is the end of this daemon's trust in its own lease.
	until time.Time
	// fenceVersion is the version of the fence row while this daemon holds.
	fenceVersion int64
}

// NewMachine returns a candidate that knows nothing.
func NewMachine(c Config) *Machine {
	return &Machine{config: c}
}

// Observe takes a read of the lease row; version 0 means that it is missing.
func (m *Machine) Observe(row Row, version int64, now time.Time) {
	if !m.known || version != m.version {
		m.since = now
	}
	m.row, m.version, m.known = row, version, true
}

// Next returns what to do at now.
func (m *Machine) Next(now time.Time) Action {
	switch {
	case !m.known:
		return Wait
	case m.Mine():
		return Renew
	case m.row.Instance == "":
		return Take
	case now.Sub(m.since) >= m.config.Term:
		return Take
	}
	return Wait
}

// Mine tells whether the row seen last names this process.
func (m *Machine) Mine() bool {
	return m.known && m.row.Instance == m.config.Instance
}

// Valid tells whether this daemon trusts its lease at now.
func (m *Machine) Valid(now time.Time) bool {
	return m.Mine() && now.Before(m.until)
}

// Taken returns the row that takes the lease.
func (m *Machine) Taken() Row {
	return Row{VM: m.config.VM, Instance: m.config.Instance, Fence: m.row.Fence + 1}
}

// Row and Version return the lease row seen last.
func (m *Machine) Row() Row { return m.row }

// Version returns the version of the lease row seen last.
func (m *Machine) Version() int64 { return m.version }

// Held notes that a take or renewal, sent at sent, took effect as version.
func (m *Machine) Held(row Row, version int64, sent, now time.Time) {
	m.Observe(row, version, now)
	margin := time.Duration(marginShare * float64(m.config.Term))
	m.until = sent.Add(m.config.Term - margin)
}

// Fenced notes the version of the fence row that ledger writes require.
func (m *Machine) Fenced(version int64) { m.fenceVersion = version }

// FenceVersion returns the version of the fence row that ledger writes require.
func (m *Machine) FenceVersion() int64 { return m.fenceVersion }

// Forget drops the trust in the lease, for example when a conditional write
// showed that another daemon has taken it.
func (m *Machine) Forget() {
	m.known = false
	m.until = time.Time{}
}
