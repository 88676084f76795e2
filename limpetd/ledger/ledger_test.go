package ledger

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/envdoc"
	_ "github.com/limpetlb/limpetlb/limpetd/seeds"
)

// testSlot returns the i-th of a set of different slots.
func testSlot(i int) envdoc.Slot { return envdoc.Slot{Model: fmt.Sprint("m", i), Version: "1"} }

// TestChargesStayWithinMemory applies random changes to a row. The charges never
// exceed the row's memory, no method changes its receiver, and each row can be
// encoded and decoded. A grant that an unload refers to is never removed, since
// Decode would reject the row.
func TestChargesStayWithinMemory(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		r := Row{Level: Level, Engine: "e", MemoryMB: 100}.AddGrant(Grant{ID: "g", Senders: []string{"vm-1"}})
		for i := range rapid.IntRange(1, 50).Draw(rt, "steps") {
			slot := testSlot(rapid.IntRange(0, 5).Draw(rt, "slot"))
			before := r.ChargedMB()
			next, err := r, error(nil)
			switch rapid.IntRange(0, 4).Draw(rt, "change") {
			case 0:
				next, err = r.Charge(slot, rapid.Int64Range(0, 60).Draw(rt, "memory"), fmt.Sprint("o", i), time.Unix(1, 0))
			case 1:
				next, err = r.BeginUnload(slot, fmt.Sprint("o", i), Grant{ID: fmt.Sprint("g", i), Senders: []string{"vm-2"}}, time.Unix(1, 0))
			case 2:
				c, _ := r.FindCharge(slot)
				next, err = r.Release(slot, c.Order)
			case 3:
				next, err = r.CancelUnload(slot, fmt.Sprint("o", i), time.Unix(1, 0))
			case 4:
				next = r.DropGrants(func(Grant) bool { return rapid.Bool().Draw(rt, "void") })
			}
			require.Equal(rt, before, r.ChargedMB(), "a method must not change its receiver")
			if err != nil {
				continue
			}
			r = next
			require.LessOrEqual(rt, r.ChargedMB(), r.MemoryMB)
			value, err := Encode(r)
			require.NoError(rt, err)
			decoded, err := Decode("e", value)
			require.NoError(rt, err)
			require.Equal(rt, r.ChargedMB(), decoded.ChargedMB())
			require.Equal(rt, r.CurrentGrant(), decoded.CurrentGrant())
		}
	})
}

// TestUnloadWaitsForOlderGrants checks that the grant from before an unload must
// be void before the unload is sent, and that only the confirmation of this
// unload order frees the memory.
func TestUnloadWaitsForOlderGrants(t *testing.T) {
	r := Row{Engine: "e", MemoryMB: 100}.AddGrant(Grant{ID: "a", Senders: []string{"vm-1"}})
	r, err := r.Charge(testSlot(1), 60, "load", time.Unix(1, 0))
	require.NoError(t, err)
	_, err = r.Charge(testSlot(2), 60, "load", time.Unix(1, 0))
	require.Equal(t, code.MemoryExceeded, code.Of(err))
	r, err = r.BeginUnload(testSlot(1), "unload", Grant{ID: "b", Senders: []string{"vm-2"}}, time.Unix(1, 0))
	require.NoError(t, err)
	require.Equal(t, []Grant{{ID: "a", Senders: []string{"vm-1"}}}, r.GrantsToVoid(testSlot(1)))
	_, err = r.Release(testSlot(1), "another")
	require.Equal(t, code.OrderRefused, code.Of(err))
	require.Equal(t, int64(60), r.ChargedMB())
	r, err = r.Release(testSlot(1), "unload")
	require.NoError(t, err)
	require.Zero(t, r.ChargedMB())
}

// TestUnloadIgnoresGrantsBeforeCharge checks that the unload of a slot doesn't wait
// for grants from before the slot was charged, also after grants were removed and
// after an unload was cancelled.
func TestUnloadIgnoresGrantsBeforeCharge(t *testing.T) {
	at := time.Unix(1, 0)
	olderIDs := func(r Row, n int) string {
		ids := ""
		for _, g := range r.GrantsToVoid(testSlot(n)) {
			ids += g.ID
		}
		return ids
	}
	r := Row{Engine: "e", MemoryMB: 100}
	for i, grant := range []string{"a", "b"} {
		var err error
		r, err = r.AddGrant(Grant{ID: grant}).Charge(testSlot(i+1), 10, "load", at)
		require.NoError(t, err)
	}
	for i, grant := range []string{"c", "d"} {
		var err error
		r, err = r.BeginUnload(testSlot(i+1), "unload", Grant{ID: grant}, at)
		require.NoError(t, err)
	}
	require.Equal(t, "ab", olderIDs(r, 1))
	require.Equal(t, "bc", olderIDs(r, 2))
	dropped := r.DropGrants(func(g Grant) bool { return g.ID == "b" })
	require.Equal(t, "a", olderIDs(dropped, 1))
	require.Equal(t, "c", olderIDs(dropped, 2))
	cancelled, err := r.CancelUnload(testSlot(2), "load", at)
	require.NoError(t, err)
	cancelled, err = cancelled.BeginUnload(testSlot(2), "unload", Grant{ID: "e"}, at)
	require.NoError(t, err)
	require.Equal(t, "bcd", olderIDs(cancelled, 2))
}

// TestSendTrackerVoid checks that a grant is void only once no order sent under it can
// still reach an engine: orders of an earlier process on the VM, orders in flight,
// and orders that ended without an answer. Prune must keep current grants.
func TestSendTrackerVoid(t *testing.T) {
	start := time.Unix(1000, 0)
	g := NewSendTracker(10*time.Second, start)
	require.False(t, g.CloseAndCheckVoid("unused", start), "an earlier process on the VM may have sent orders")
	require.True(t, g.CloseAndCheckVoid("unused", start.Add(10*time.Second)))
	g.RecordCreated("own")
	require.True(t, g.BeginSend("own"))
	require.False(t, g.CloseAndCheckVoid("own", start))
	require.False(t, g.BeginSend("own"), "CloseAndCheckVoid must close the grant")
	g.EndSend("own", false, start)
	require.False(t, g.CloseAndCheckVoid("own", start.Add(9*time.Second)), "the unanswered order may still arrive")
	require.True(t, g.CloseAndCheckVoid("own", start.Add(10*time.Second)))
	later := start.Add(time.Minute)
	g.Prune(func(string) bool { return true }, later)
	require.False(t, g.IsOpen("own"))
	g.Prune(func(string) bool { return false }, later)
	require.Empty(t, g.grants)
}

// FuzzDecode checks that Decode reports any invalid value with code StoreCorrupt
// or LedgerLevel, and that rows it accepts can be encoded.
func FuzzDecode(f *testing.F) {
	value, err := Encode(Row{Engine: "e", MemoryMB: 1, Charges: []Charge{{Slot: testSlot(1), Phase: PhaseCharged, Order: "o"}}})
	require.NoError(f, err)
	f.Add(value)
	f.Add([]byte{0x81})
	f.Fuzz(func(t *testing.T, value []byte) {
		r, err := Decode("e", value)
		if err != nil {
			c := code.Of(err)
			require.True(t, c == code.StoreCorrupt || c == code.LedgerLevel, "%v", err)
			return
		}
		_, err = Encode(r)
		require.NoError(t, err)
	})
}
