// Package lease elects the lease holder: the one daemon that places the models of
// a data centre.
//
// The lease is a row of the table, which the lease holder renews. Another daemon
// takes the lease once it has seen the same version of the row for a whole term
// on its own monotonic clock, so clocks of different VMs are never compared.
//
// A process that finds the lease with an earlier process of its own VM takes it at once if SetInherits allows it.
//
// Taking the lease raises the fencing number and rewrites the fence row, a row of
// its own. Ledger writes are conditional on the version of the fence row, so the
// writes of a former lease holder fail once another daemon has taken the lease.
// Renewals do not change the fence row and so do not make ledger writes fail.
//
// The lease holder trusts its lease until a safety margin before the end of the
// term, which begins when the last take or renewal was sent. Correctness does not
// depend on this clock: if a lease holder is paused until another daemon has taken
// the lease, the next write of the paused daemon fails, and the memory for any
// order that the paused daemon still sends is already charged (see package ledger).
//
// A store that was restored from a copy of its data begins a new era. The lease row may then name
// an earlier lease holder or be missing, although a later one still acts. A lease is therefore
// valid only in the era in which it was taken, and a daemon takes the first lease of an era only
// when it has known the era for a term. The era is a part of the fencing number, which hence exceeds those that were lost.
//
// # Usage
//
//	c := lease.NewCandidate(lease.Config{...})
//	c.Observe(row, version, now)           // after each read
//	action := c.Next(now)                  // acquire, renew, or wait
//	c.RecordWrite(row, version, sent, now) // after each write that took effect
package lease

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/limpetlb/limpetlb/limpetd/code"
)

// Level is the feature level of the rows that this release writes, and the
// highest level that this release reads.
const Level = 1

// Row is the lease row of a data centre.
type Row struct {
	// Level is the feature level with which the row was written.
	Level int `msgpack:"level"`
	// VM and Instance identify the lease holder. They are empty if the lease is
	// free.
	VM       string `msgpack:"vm"`
	Instance string `msgpack:"instance"`
	// Fence is the fencing number. It grows each time the lease is taken.
	Fence int64 `msgpack:"fence"`
	// Era is the era of the store in which the lease was taken.
	Era int64 `msgpack:"era,omitempty"`
}

// fencesPerEra is the minimum distance between the fencing numbers of two eras. It exceeds the
// number of leases that can be lost when the store is restored, one in two seconds at most.
const fencesPerEra = 1 << 20

// Encode returns the stored form of r, with Level in place of r.Level.
func Encode(r Row) ([]byte, error) {
	r.Level = Level
	value, err := msgpack.Marshal(r)
	if err != nil {
		return nil, code.Errorf(code.Internal, "encode lease row: %w", err)
	}
	return value, nil
}

// Decode decodes a stored lease row. A nil value stands for a free lease with
// fencing number 0. The error has code LedgerLevel for a row of a newer feature
// level, and StoreCorrupt for a value that cannot be decoded.
func Decode(value []byte) (Row, error) {
	var r Row
	if value == nil {
		return r, nil
	}
	if err := msgpack.Unmarshal(value, &r); err != nil {
		return Row{}, code.Errorf(code.StoreCorrupt, "decode lease row: %w", err)
	}
	if r.Level > Level {
		return Row{}, code.Errorf(code.LedgerLevel, "lease row has feature level %d, but this daemon reads levels up to %d", r.Level, Level)
	}
	return r, nil
}

// Key returns the table key of a data centre's lease row.
func Key(environment, dataCentre string) string {
	return environment + "/lease/" + dataCentre
}

// FenceKey returns the table key of a data centre's fence row, on whose version
// ledger writes are conditional.
func FenceKey(environment, dataCentre string) string {
	return environment + "/fence/" + dataCentre
}

// Config describes a candidate, that is, a daemon that competes for a lease.
type Config struct {
	// VM is the id of the VM that the daemon runs on.
	VM string
	// Instance identifies the process.
	Instance string
	// Term is how long the lease lasts without a renewal.
	Term time.Duration
}

// Action is the next step of a candidate.
type Action int

// The actions.
const (
	// Wait means to do nothing: another daemon holds the lease, or the lease row
	// has not been read.
	Wait Action = iota
	// Acquire means to take the lease, which is free or has expired.
	Acquire
	// Renew means to renew the lease, which this daemon holds.
	Renew
)

// safetyMargin is the fraction of the term, at its end, in which the lease holder
// no longer trusts its lease.
const safetyMargin = 0.2

// Candidate is the state machine of a candidate: what it last read or wrote of the
// lease, and what to do next. A Keeper drives one Candidate; package steer drives its
// own. A Candidate is not safe for concurrent use.
type Candidate struct {
	config Config
	// era is the era of the store, and eraSince when this daemon learned of it.
	era      int64
	eraSince time.Time
	// row is the lease row that was last read or written.
	row Row
	// version is the version of the lease row, and firstSeen when this version was
	// first read or written.
	version   int64
	firstSeen time.Time
	// observed reports whether the lease row was read or written since the last
	// Invalidate.
	observed bool
	// trustedUntil is when this daemon stops trusting that it holds the lease.
	trustedUntil time.Time
	// fenceVersion is the version of the fence row as of this daemon's last write.
	fenceVersion int64
	// inherits is whether the lease of an earlier process of the VM is taken at once.
	inherits bool
}

// NewCandidate returns the state machine of a candidate that has not read the lease
// row yet.
func NewCandidate(c Config) *Candidate {
	return &Candidate{config: c}
}

// EnterEra records that the store is in the given era, and reports whether the era is later than
// the one known before. The trust in a lease of an earlier era ends. Without EnterEra, all is one
// era, whose first term is over.
func (m *Candidate) EnterEra(era int64, now time.Time) bool {
	if era <= m.era {
		return false
	}
	m.era, m.eraSince = era, now
	m.Invalidate()
	return true
}

// SetInherits sets whether this daemon takes the lease of an earlier process of its VM at once, instead of after a term.
func (m *Candidate) SetInherits(inherits bool) { m.inherits = inherits }

// Era returns the era of the store.
func (m *Candidate) Era() int64 { return m.era }

// Observe records the lease row as read at now. Version 0 means that the table has
// no lease row.
func (m *Candidate) Observe(row Row, version int64, now time.Time) {
	if !m.observed || version != m.version {
		m.firstSeen = now
	}
	m.row, m.version, m.observed = row, version, true
}

// Next returns the next step of the candidate at now.
func (m *Candidate) Next(now time.Time) Action {
	switch {
	case !m.observed:
		return Wait
	case m.IsHolder():
		return Renew
	case m.row.Era > m.era, m.row.Era < m.era && now.Sub(m.eraSince) < m.config.Term:
		return Wait
	case m.row.Instance == "":
		return Acquire
	case m.isPredecessor():
		return Acquire
	case now.Sub(m.firstSeen) >= m.config.Term:
		return Acquire
	}
	return Wait
}

// IsHolder reports whether the last observed row names this process as the lease
// holder in the era of the store.
func (m *Candidate) IsHolder() bool {
	return m.observed && m.row.Instance == m.config.Instance && m.row.Era == m.era
}

// isPredecessor reports whether the last observed row names an earlier process of this VM in the era of the store. A VM
// runs one process at a time, so that process has ended, and its lease needs no term to expire.
func (m *Candidate) isPredecessor() bool {
	return m.inherits && m.config.VM != "" && m.row.VM == m.config.VM && m.row.Instance != m.config.Instance && m.row.Era == m.era
}

// Trusted reports whether this daemon trusts, at now, that it holds the lease.
func (m *Candidate) Trusted(now time.Time) bool {
	return m.IsHolder() && now.Before(m.trustedUntil)
}

// TakeoverRow returns the lease row to write in order to take the lease.
func (m *Candidate) TakeoverRow() Row {
	fence := m.row.Fence + (m.era-m.row.Era)*fencesPerEra + 1
	return Row{VM: m.config.VM, Instance: m.config.Instance, Fence: fence, Era: m.era}
}

// FreeRow returns the lease row to write in order to release the lease.
func (m *Candidate) FreeRow() Row { return Row{Fence: m.row.Fence, Era: m.row.Era} }

// Row returns the last observed lease row.
func (m *Candidate) Row() Row { return m.row }

// Version returns the version of the last observed lease row.
func (m *Candidate) Version() int64 { return m.version }

// RecordWrite records that a take or renewal, sent at sent, took effect: the lease row is
// now row, in the given version. This daemon trusts the lease until the safety margin
// before the end of the term, which begins at sent.
func (m *Candidate) RecordWrite(row Row, version int64, sent, now time.Time) {
	m.Observe(row, version, now)
	margin := time.Duration(safetyMargin * float64(m.config.Term))
	m.trustedUntil = sent.Add(m.config.Term - margin)
}

// SetFenceVersion records the version of the fence row on which ledger writes are
// conditional.
func (m *Candidate) SetFenceVersion(version int64) { m.fenceVersion = version }

// FenceVersion returns the version of the fence row on which ledger writes are
// conditional.
func (m *Candidate) FenceVersion() int64 { return m.fenceVersion }

// Invalidate ends the trust in the lease until the lease row is observed again, for
// example after a conditional write failed because another daemon had taken the
// lease.
func (m *Candidate) Invalidate() {
	m.observed = false
	m.trustedUntil = time.Time{}
}
