// Package ledger records how the memory of an engine is allocated: which slots
// are charged, which order each charge waits for, and which daemons may send
// orders to the engine.
//
// The memory of a slot is charged before the load order of the slot is sent. The
// charge is removed only when no load order of the slot can still reach the
// engine and the engine has confirmed an unload order that was sent after that.
//
// Grants name the daemons that may send orders: a daemon sends an order only
// under a grant that names its VM. Before an unload order is sent, every older
// grant must be void (see Row.GrantsToVoid for which). A grant is void once each daemon
// that it names is gone, or has answered that no order sent from its VM under the
// grant is still unanswered and that it sends no more orders under the grant.
//
// The functions on rows have no side effects. A Row is a value: methods that
// change a row return a changed copy. Only a SendTracker holds state: which orders one
// process has sent under which grant.
//
// # Usage
//
//	row, err := ledger.Decode(engineVM, value)
//	row, err = row.Charge(slot, memoryMB, orderID, at)
//	// commit the row, conditional on the lease's fence, then send the order
//	row, err = row.BeginUnload(slot, unloadID, grant, at)
//	// commit, wait until all of row.GrantsToVoid(slot) are void, send the unload, and
//	// once the unload is confirmed:
//	row, err = row.Release(slot, unloadID)
package ledger

import (
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/engine"
	"github.com/limpetlb/limpetlb/limpetd/envdoc"
)

// Level is the feature level of the rows that this release writes, and the
// highest level that this release reads.
const Level = 1

// Phase states whether the slot of a charge is to be loaded or to be unloaded.
type Phase string

// The phases of a charge. In PhaseCharged the slot is loaded or will be loaded.
// In PhaseUnloading the slot will be unloaded; it is not loaded again before the
// charge is released or the unload is cancelled.
const (
	PhaseCharged   Phase = "charged"
	PhaseUnloading Phase = "unloading"
)

// Grant permits daemons to send the orders of a row.
type Grant struct {
	// ID is the unique id of the grant.
	ID string `msgpack:"id"`
	// Senders are the VM ids of the daemons that may send orders.
	Senders []string `msgpack:"senders"`
}

// Allows reports whether the grant names the daemon on a VM.
func (g Grant) Allows(vm string) bool {
	return slices.Contains(g.Senders, vm)
}

// Charge is the memory that is allocated to a slot on an engine.
type Charge struct {
	Slot     envdoc.Slot `msgpack:"slot"`
	MemoryMB int64       `msgpack:"memory_mb"`
	Phase    Phase       `msgpack:"phase"`
	// Order is the id of the load order, or in PhaseUnloading of the unload order.
	Order string `msgpack:"order"`
	// Grant is the id of the grant that was written together with the unload.
	// Earlier grants of the row must be void before the unload order is sent; see
	// GrantsToVoid.
	Grant string `msgpack:"grant,omitempty"`
	// FirstGrant is the id of the first grant under which a load order of the slot may
	// have been sent; empty stands for the first grant of the row.
	FirstGrant string `msgpack:"since,omitempty"`
	// At is when the phase began, in milliseconds since 1970.
	At int64 `msgpack:"at"`
}

// Row is the ledger row of an engine.
type Row struct {
	// Level is the feature level with which the row was written.
	Level int `msgpack:"level"`
	// Engine is the VM id of the engine.
	Engine string `msgpack:"engine"`
	// MemoryMB is the limit on the sum of all charges, in megabytes.
	MemoryMB int64 `msgpack:"memory_mb"`
	// Fence is the fencing number under which the row was last written.
	Fence int64 `msgpack:"fence"`
	// Role is the role that was ordered last; empty if no role was ordered.
	Role engine.Role `msgpack:"role,omitempty"`
	// Grants are the grants that are not known to be void, the current grant last.
	Grants  []Grant  `msgpack:"grants"`
	Charges []Charge `msgpack:"charges"`
}

// Encode returns the stored form of r, compressed unless the row is short. It
// writes Level instead of r.Level.
func Encode(r Row) ([]byte, error) {
	r.Level = Level
	value, err := msgpack.Marshal(r)
	if err != nil {
		return nil, code.Errorf(code.Internal, "encode ledger row of %s: %w", r.Engine, err)
	}
	if value, err = compress(value); err != nil {
		return nil, code.Errorf(code.Internal, "compress ledger row of %s: %w", r.Engine, err)
	}
	return value, nil
}

// Decode decodes the stored row of an engine. The error has code LedgerLevel for
// a row of a newer feature level, and StoreCorrupt for a row that cannot be
// decoded or is inconsistent.
func Decode(engineVM string, value []byte) (Row, error) {
	value, err := decompress(value)
	if err != nil {
		return Row{}, code.Errorf(code.StoreCorrupt, "ledger row of %s: %w", engineVM, err)
	}
	// The level is decoded first, so that a row of a newer level gets the code
	// LedgerLevel even if the rest of the row has another structure.
	var header struct {
		Level int `msgpack:"level"`
	}
	if err := msgpack.Unmarshal(value, &header); err != nil {
		return Row{}, code.Errorf(code.StoreCorrupt, "ledger row of %s: %w", engineVM, err)
	}
	if header.Level > Level {
		return Row{}, code.Errorf(code.LedgerLevel, "ledger row of %s has feature level %d, but this daemon reads levels up to %d", engineVM, header.Level, Level)
	}
	var r Row
	if err := msgpack.Unmarshal(value, &r); err != nil {
		return Row{}, code.Errorf(code.StoreCorrupt, "ledger row of %s: %w", engineVM, err)
	}
	if err := r.validate(engineVM); err != nil {
		return Row{}, err
	}
	return r, nil
}

// validate returns an error with code StoreCorrupt if the row is inconsistent.
func (r Row) validate(engineVM string) error {
	if r.Level < 1 || r.Engine != engineVM || r.MemoryMB < 0 {
		return code.Errorf(code.StoreCorrupt, "ledger row of %s is inconsistent: engine %q, level %d, memory %d MB", engineVM, r.Engine, r.Level, r.MemoryMB)
	}
	for i, c := range r.Charges {
		invalid := c.MemoryMB < 0 || c.Order == "" || c.Slot.Model == ""
		if invalid || (c.Phase != PhaseCharged && c.Phase != PhaseUnloading) {
			return code.Errorf(code.StoreCorrupt, "ledger row of %s: invalid charge of slot %s", engineVM, c.Slot)
		}
		if c.Phase == PhaseUnloading && !r.hasGrant(c.Grant) {
			return code.Errorf(code.StoreCorrupt, "ledger row of %s does not list grant %s, which the unload of slot %s refers to", engineVM, c.Grant, c.Slot)
		}
		if slices.ContainsFunc(r.Charges[:i], func(other Charge) bool { return other.Slot == c.Slot }) {
			return code.Errorf(code.StoreCorrupt, "ledger row of %s charges slot %s twice", engineVM, c.Slot)
		}
	}
	return nil
}

// ChargedMB returns the sum of all charges in megabytes.
func (r Row) ChargedMB() int64 {
	var sum int64
	for _, c := range r.Charges {
		sum += c.MemoryMB
	}
	return sum
}

// FindCharge returns the charge of a slot, and whether the slot is charged.
func (r Row) FindCharge(slot envdoc.Slot) (Charge, bool) {
	if i := r.chargeIndex(slot); i >= 0 {
		return r.Charges[i], true
	}
	return Charge{}, false
}

// chargeIndex returns the index of a slot's charge in r.Charges, or -1.
func (r Row) chargeIndex(slot envdoc.Slot) int {
	return slices.IndexFunc(r.Charges, func(c Charge) bool { return c.Slot == slot })
}

// CurrentGrant returns the current grant, under which new orders are sent, or the zero
// Grant if the row has no grants.
func (r Row) CurrentGrant() Grant {
	if len(r.Grants) == 0 {
		return Grant{}
	}
	return r.Grants[len(r.Grants)-1]
}

// clone returns a copy of r whose charges and grants can be changed without
// changing r. The Senders of the grants are shared.
func (r Row) clone() Row {
	r.Charges = slices.Clone(r.Charges)
	r.Grants = slices.Clone(r.Grants)
	return r
}

// Charge adds the charge of a slot whose load order will be sent with the id
// orderID. The error has code MemoryExceeded if memoryMB is negative or the sum of
// the charges would exceed the row's memory, and OrderRefused if the slot is
// already charged.
func (r Row) Charge(slot envdoc.Slot, memoryMB int64, orderID string, at time.Time) (Row, error) {
	if memoryMB < 0 || r.ChargedMB()+memoryMB > r.MemoryMB {
		return r, code.Errorf(code.MemoryExceeded, "slot %s needs %d MB, but engine %s has already charged %d of %d MB", slot, memoryMB, r.Engine, r.ChargedMB(), r.MemoryMB)
	}
	if r.chargeIndex(slot) >= 0 {
		return r, code.Errorf(code.OrderRefused, "slot %s is already charged on engine %s", slot, r.Engine)
	}
	r = r.clone()
	r.Charges = append(r.Charges, Charge{Slot: slot, MemoryMB: memoryMB, Phase: PhaseCharged, Order: orderID, FirstGrant: r.CurrentGrant().ID, At: at.UnixMilli()})
	return r, nil
}

// BeginUnload moves a charge to PhaseUnloading and makes g the current grant.
// Unloads that are written together share one grant. The error has code
// OrderRefused if the slot is not charged or is already unloading.
func (r Row) BeginUnload(slot envdoc.Slot, orderID string, g Grant, at time.Time) (Row, error) {
	i := r.chargeIndex(slot)
	if i < 0 || r.Charges[i].Phase != PhaseCharged {
		return r, code.Errorf(code.OrderRefused, "slot %s is not charged, or already unloading, on engine %s", slot, r.Engine)
	}
	r = r.AddGrant(g)
	c := &r.Charges[i]
	c.Phase = PhaseUnloading
	c.Order = orderID
	c.Grant = g.ID
	c.At = at.UnixMilli()
	return r, nil
}

// Release removes the charge of an unloaded slot. The caller must ensure that all
// grants returned by GrantsToVoid were void before the unload order was sent, and that
// the engine has confirmed the unload. The error has code OrderRefused if the
// charge does not wait for the unload order orderID.
func (r Row) Release(slot envdoc.Slot, orderID string) (Row, error) {
	i := r.chargeIndex(slot)
	if i < 0 || r.Charges[i].Phase != PhaseUnloading || r.Charges[i].Order != orderID {
		return r, code.Errorf(code.OrderRefused, "slot %s on engine %s does not wait for unload order %s", slot, r.Engine, orderID)
	}
	r = r.clone()
	r.Charges = slices.Delete(r.Charges, i, i+1)
	return r, nil
}

// AddGrant makes g the current grant. It adds nothing if the current grant
// already has the id of g.
func (r Row) AddGrant(g Grant) Row {
	r = r.clone()
	if r.CurrentGrant().ID != g.ID {
		r.Grants = append(r.Grants, g)
	}
	return r
}

// CancelUnload moves a charge from PhaseUnloading back to PhaseCharged, with
// loadID as the id of the load order. CancelUnload is safe at any time, since the
// memory stays charged. An unload order that was already sent may still empty
// the slot; the slot is then loaded again. The error has code OrderRefused if the
// slot is not unloading.
func (r Row) CancelUnload(slot envdoc.Slot, loadID string, at time.Time) (Row, error) {
	i := r.chargeIndex(slot)
	if i < 0 || r.Charges[i].Phase != PhaseUnloading {
		return r, code.Errorf(code.OrderRefused, "slot %s is not unloading on engine %s", slot, r.Engine)
	}
	r = r.clone()
	c := r.Charges[i]
	r.Charges[i] = Charge{Slot: slot, MemoryMB: c.MemoryMB, Phase: PhaseCharged, Order: loadID, FirstGrant: c.FirstGrant, At: at.UnixMilli()}
	return r, nil
}

// GrantsToVoid returns the grants that must be void before the unload order of a slot is
// sent: the grants from the one that was current when the slot was charged up to
// the one written with the unload, without the latter. Grants from before the
// charge need not be void, since a daemon loads a slot only if the row charges
// the slot and the row's current grant names the daemon. For a slot that is not
// unloading, GrantsToVoid returns all grants.
func (r Row) GrantsToVoid(slot envdoc.Slot) []Grant {
	c, ok := r.FindCharge(slot)
	if !ok || c.Phase != PhaseUnloading {
		return r.Grants
	}
	end := slices.IndexFunc(r.Grants, func(g Grant) bool { return g.ID == c.Grant })
	if end < 0 {
		return r.Grants
	}
	first := slices.IndexFunc(r.Grants[:end+1], func(g Grant) bool { return g.ID == c.FirstGrant })
	return r.Grants[max(0, first):end]
}

// RemoveSender removes the daemon on a VM from the senders of each grant for which
// isVoid reports that the grant is void for this daemon.
func (r Row) RemoveSender(vm string, isVoid func(g Grant) bool) Row {
	r = r.clone()
	for i, g := range r.Grants {
		if !g.Allows(vm) || !isVoid(g) {
			continue
		}
		remaining := slices.DeleteFunc(slices.Clone(g.Senders), func(sender string) bool { return sender == vm })
		r.Grants[i].Senders = remaining
	}
	return r
}

// Senders returns the VM ids of the senders of all grants. A VM that several
// grants name is listed once for each grant.
func (r Row) Senders() []string {
	var senders []string
	for _, g := range r.Grants {
		senders = append(senders, g.Senders...)
	}
	return senders
}

// DropGrants removes the grants for which isVoid returns true, except the current
// grant and grants that an unload refers to. A charge whose FirstGrant is a removed grant
// gets the next kept grant as its FirstGrant.
func (r Row) DropGrants(isVoid func(g Grant) bool) Row {
	r = r.clone()
	var kept []Grant
	// successor maps the id of a removed grant to the id of the next kept grant.
	successor := map[string]string{}
	var dropped []string
	for i, g := range r.Grants {
		if i < len(r.Grants)-1 && !r.unloadRefersTo(g.ID) && isVoid(g) {
			dropped = append(dropped, g.ID)
			continue
		}
		kept = append(kept, g)
		for _, id := range dropped {
			successor[id] = g.ID
		}
		dropped = nil
	}
	r.Grants = kept
	for i := range r.Charges {
		if id, ok := successor[r.Charges[i].FirstGrant]; ok {
			r.Charges[i].FirstGrant = id
		}
	}
	return r
}

// unloadRefersTo reports whether the unload of any charge was written together with
// a grant.
func (r Row) unloadRefersTo(grant string) bool {
	return slices.ContainsFunc(r.Charges, func(c Charge) bool { return c.Phase == PhaseUnloading && c.Grant == grant })
}

// hasGrant reports whether the row lists a grant.
func (r Row) hasGrant(grant string) bool {
	return slices.ContainsFunc(r.Grants, func(g Grant) bool { return g.ID == grant })
}
