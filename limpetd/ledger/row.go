// Package ledger is the account of an engine's memory: which slots are charged,
// which order each charge waits for, and who may send orders.
//
// A slot's memory is charged before its load is sent. The charge goes only when
// no load of the slot can still reach the engine and an unload sent after that
// is confirmed. Who may send loads is written in grants: a daemon sends an order
// only under a grant that names its VM. Before an unload is sent, every older
// grant has to be void, that is, each daemon it names has answered that nothing
// sent from its VM is unanswered and that it sends nothing more, or is gone.
//
// All functions are pure. A Row is a value; the methods that change it return
// a changed copy.
//
// # Usage
//
//	row, err := ledger.Decode(key, value)
//	row, err = row.Charge(slot, memoryMB, orderID, at)
//	// commit the row on the lease's fence, then send the order
//	row, err = row.BeginUnload(slot, unloadID, grant, at)
//	// commit, void row.Older(slot), send the unload, and once confirmed
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

// Level is the feature level of the rows that this release writes and the
// highest that it reads.
const Level = 1

// Phase is the state of a charge.
type Phase string

// The phases. A charged slot is loaded or to be loaded; an unloading one is to
// be unloaded and is never loaded again before its charge is released.
const (
	PhaseCharged   Phase = "charged"
	PhaseUnloading Phase = "unloading"
)

// Grant allows daemons to send the orders of a row.
type Grant struct {
	// ID is unique to the grant.
	ID string `msgpack:"id"`
	// Senders are the VM ids of the daemons.
	Senders []string `msgpack:"senders"`
}

// Allows tells whether the grant names the daemon on a VM.
func (g Grant) Allows(vm string) bool {
	return slices.Contains(g.Senders, vm)
}

// Charge is the memory of a slot on an engine.
type Charge struct {
	Slot     envdoc.Slot `msgpack:"slot"`
	MemoryMB int64       `msgpack:"memory_mb"`
	Phase    Phase       `msgpack:"phase"`
	// Order is the id of the load, or of the unload in phase unloading.
	Order string `msgpack:"order"`
	// Grant is the grant written with the unload; those before it in the row
	// have to be void before the unload is sent.
	Grant string `msgpack:"grant,omitempty"`
	// Since is the first grant under which a load of the slot may have been sent;
	// empty means any of the row.
	Since string `msgpack:"since,omitempty"`
	// At is when the phase began, in milliseconds since 1970.
	At int64 `msgpack:"at"`
}

// Row is the ledger row of an engine.
type Row struct {
	Level  int    `msgpack:"level"`
	Engine string `msgpack:"engine"`
	// MemoryMB is the memory that charges may take.
	MemoryMB int64 `msgpack:"memory_mb"`
	// Fence is the fencing number of the last writer.
	Fence int64 `msgpack:"fence"`
	// Role is the role ordered last; empty means none was.
	Role engine.Role `msgpack:"role,omitempty"`
	// Grants are those not known to be void, the current one last.
	Grants  []Grant  `msgpack:"grants"`
	Charges []Charge `msgpack:"charges"`
}

// Encode returns the stored form of r, compressed unless it is short.
func Encode(r Row) ([]byte, error) {
	r.Level = Level
	value, err := msgpack.Marshal(r)
	if err != nil {
		return nil, code.Errorf(code.Internal, "encode ledger row of %s: %w", r.Engine, err)
	}
	if value, err = pack(value); err != nil {
		return nil, code.Errorf(code.Internal, "compress ledger row of %s: %w", r.Engine, err)
	}
	return value, nil
}

// Decode reads a stored row. The error has code LedgerLevel for a row of a newer
// feature level and StoreCorrupt for one that cannot be read.
func Decode(engineVM string, value []byte) (Row, error) {
	value, err := unpack(value)
	if err != nil {
		return Row{}, code.Errorf(code.StoreCorrupt, "ledger row of %s: %w", engineVM, err)
	}
	var head struct {
		Level int `msgpack:"level"`
	}
	if err := msgpack.Unmarshal(value, &head); err != nil {
		return Row{}, code.Errorf(code.StoreCorrupt, "ledger row of %s: %w", engineVM, err)
	}
	if head.Level > Level {
		return Row{}, code.Errorf(code.LedgerLevel, "ledger row of %s has level %d, this daemon reads %d", engineVM, head.Level, Level)
	}
	var r Row
	if err := msgpack.Unmarshal(value, &r); err != nil {
		return Row{}, code.Errorf(code.StoreCorrupt, "ledger row of %s: %w", engineVM, err)
	}
	if err := r.check(engineVM); err != nil {
		return Row{}, err
	}
	return r, nil
}

// check refuses a row that contradicts itself.
func (r Row) check(engineVM string) error {
	if r.Level < 1 || r.Engine != engineVM || r.MemoryMB < 0 {
		return code.Errorf(code.StoreCorrupt, "ledger row of %s names engine %q with level %d and %d MB", engineVM, r.Engine, r.Level, r.MemoryMB)
	}
	for i, c := range r.Charges {
		bad := c.MemoryMB < 0 || c.Order == "" || c.Slot.Model == ""
		if bad || (c.Phase != PhaseCharged && c.Phase != PhaseUnloading) {
			return code.Errorf(code.StoreCorrupt, "ledger row of %s: bad charge of %s", engineVM, c.Slot)
		}
		if c.Phase == PhaseUnloading && !r.names(c.Grant) {
			return code.Errorf(code.StoreCorrupt, "ledger row of %s lacks grant %s of %s", engineVM, c.Grant, c.Slot)
		}
		if slices.ContainsFunc(r.Charges[:i], func(o Charge) bool { return o.Slot == c.Slot }) {
			return code.Errorf(code.StoreCorrupt, "ledger row of %s charges %s twice", engineVM, c.Slot)
		}
	}
	return nil
}

// Committed returns the memory of all charges in megabytes.
func (r Row) Committed() int64 {
	var sum int64
	for _, c := range r.Charges {
		sum += c.MemoryMB
	}
	return sum
}

// Find returns the charge of a slot.
func (r Row) Find(slot envdoc.Slot) (Charge, bool) {
	if i := r.index(slot); i >= 0 {
		return r.Charges[i], true
	}
	return Charge{}, false
}

func (r Row) index(slot envdoc.Slot) int {
	return slices.IndexFunc(r.Charges, func(c Charge) bool { return c.Slot == slot })
}

// Current returns the grant under which orders are sent.
func (r Row) Current() Grant {
	if len(r.Grants) == 0 {
		return Grant{}
	}
	return r.Grants[len(r.Grants)-1]
}

// clone copies what the methods change.
func (r Row) clone() Row {
	r.Charges = slices.Clone(r.Charges)
	r.Grants = slices.Clone(r.Grants)
	return r
}

// Charge adds the charge of a slot whose load will be sent with the id order.
// The error has code MemoryExceeded when the memory does not suffice, and
// OrderRefused when the slot is charged already.
func (r Row) Charge(slot envdoc.Slot, memoryMB int64, order string, at time.Time) (Row, error) {
	if memoryMB < 0 || r.Committed()+memoryMB > r.MemoryMB {
		return r, code.Errorf(code.MemoryExceeded, "%s takes %d MB, engine %s has %d of %d MB charged", slot, memoryMB, r.Engine, r.Committed(), r.MemoryMB)
	}
	if r.index(slot) >= 0 {
		return r, code.Errorf(code.OrderRefused, "%s is charged on engine %s", slot, r.Engine)
	}
	r = r.clone()
	r.Charges = append(r.Charges, Charge{Slot: slot, MemoryMB: memoryMB, Phase: PhaseCharged, Order: order, Since: r.Current().ID, At: at.UnixMilli()})
	return r, nil
}

// BeginUnload turns a charge to phase unloading and makes g the current grant.
// Several unloads written together share a grant. The error has code
// OrderRefused when the slot is not charged or unloading already.
func (r Row) BeginUnload(slot envdoc.Slot, order string, g Grant, at time.Time) (Row, error) {
	i := r.index(slot)
	if i < 0 || r.Charges[i].Phase != PhaseCharged {
		return r, code.Errorf(code.OrderRefused, "%s is not charged on engine %s", slot, r.Engine)
	}
	r = r.AddGrant(g)
	c := &r.Charges[i]
	c.Phase = PhaseUnloading
	c.Order = order
	c.Grant = g.ID
	c.At = at.UnixMilli()
	return r, nil
}

// Release removes the charge of an unloaded slot. The caller knows that every
// grant of Older was void before the unload was sent and that the unload is
// confirmed. The error has code OrderRefused when the charge does not wait for
// this unload.
func (r Row) Release(slot envdoc.Slot, order string) (Row, error) {
	i := r.index(slot)
	if i < 0 || r.Charges[i].Phase != PhaseUnloading || r.Charges[i].Order != order {
		return r, code.Errorf(code.OrderRefused, "%s on engine %s does not wait for unload %s", slot, r.Engine, order)
	}
	r = r.clone()
	r.Charges = slices.Delete(r.Charges, i, i+1)
	return r, nil
}

// AddGrant makes g the current grant.
func (r Row) AddGrant(g Grant) Row {
	r = r.clone()
	if r.Current().ID != g.ID {
		r.Grants = append(r.Grants, g)
	}
	return r
}

// CancelUnload turns an unloading charge back into a charged one, whose load has
// the id load. It is always safe, since the memory stays charged; an unload that
// was sent already may still empty the slot, and then it is loaded again.
func (r Row) CancelUnload(slot envdoc.Slot, load string, at time.Time) (Row, error) {
	i := r.index(slot)
	if i < 0 || r.Charges[i].Phase != PhaseUnloading {
		return r, code.Errorf(code.OrderRefused, "%s is not unloading on engine %s", slot, r.Engine)
	}
	r = r.clone()
	c := r.Charges[i]
	r.Charges[i] = Charge{Slot: slot, MemoryMB: c.MemoryMB, Phase: PhaseCharged, Order: load, Since: c.Since, At: at.UnixMilli()}
	return r, nil
}

// Older returns the grants that have to be void before the unload of a slot is
// sent: those written before it since the slot was charged. A daemon sends loads
// only of slots that a row charges whose current grant names it, so that earlier
// grants let no load of the slot out.
func (r Row) Older(slot envdoc.Slot) []Grant {
	c, ok := r.Find(slot)
	if !ok || c.Phase != PhaseUnloading {
		return r.Grants
	}
	at := slices.IndexFunc(r.Grants, func(g Grant) bool { return g.ID == c.Grant })
	if at < 0 {
		return r.Grants
	}
	since := slices.IndexFunc(r.Grants[:at+1], func(g Grant) bool { return g.ID == c.Since })
	return r.Grants[max(0, since):at]
}

// Withdraw takes a daemon out of the grants that void tells are void for it.
func (r Row) Withdraw(vm string, void func(g Grant) bool) Row {
	r = r.clone()
	for i, g := range r.Grants {
		if !g.Allows(vm) || !void(g) {
			continue
		}
		others := slices.DeleteFunc(slices.Clone(g.Senders), func(s string) bool { return s == vm })
		r.Grants[i].Senders = others
	}
	return r
}

// Senders lists the daemons of all grants, once for each grant.
func (r Row) Senders() []string {
	var senders []string
	for _, g := range r.Grants {
		senders = append(senders, g.Senders...)
	}
	return senders
}

// DropGrants removes grants that are void. The current grant stays, and those
// that an unload refers to. What was charged since a removed one then is charged
// since the next.
func (r Row) DropGrants(void func(g Grant) bool) Row {
	r = r.clone()
	var kept []Grant
	next := map[string]string{}
	var dropped []string
	for i, g := range r.Grants {
		if i < len(r.Grants)-1 && !r.refers(g.ID) && void(g) {
			dropped = append(dropped, g.ID)
			continue
		}
		kept = append(kept, g)
		for _, id := range dropped {
			next[id] = g.ID
		}
		dropped = nil
	}
	r.Grants = kept
	for i := range r.Charges {
		if id, ok := next[r.Charges[i].Since]; ok {
			r.Charges[i].Since = id
		}
	}
	return r
}

// refers tells whether an unload was written with a grant.
func (r Row) refers(grant string) bool {
	return slices.ContainsFunc(r.Charges, func(c Charge) bool { return c.Phase == PhaseUnloading && c.Grant == grant })
}

// names tells whether the row lists a grant.
func (r Row) names(grant string) bool {
	return slices.ContainsFunc(r.Grants, func(g Grant) bool { return g.ID == grant })
}
