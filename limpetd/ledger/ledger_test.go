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

func slot(i int) envdoc.Slot { return envdoc.Slot{Model: fmt.Sprint("m", i), Version: "1"} }

// TestRowKeepsMemory draws changes of a row: it never commits more than the
// memory, survives coding, and a grant that an unload refers to stays.
func TestRowKeepsMemory(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		r := Row{Level: Level, Engine: "e", MemoryMB: 100}.AddGrant(Grant{ID: "g", Senders: []string{"vm-1"}})
		for i := range rapid.IntRange(1, 50).Draw(rt, "steps") {
			s := slot(rapid.IntRange(0, 5).Draw(rt, "slot"))
			before := r.Committed()
			next, err := r, error(nil)
			switch rapid.IntRange(0, 4).Draw(rt, "change") {
			case 0:
				next, err = r.Charge(s, rapid.Int64Range(0, 60).Draw(rt, "memory"), fmt.Sprint("o", i), time.Unix(1, 0))
			case 1:
				next, err = r.BeginUnload(s, fmt.Sprint("o", i), Grant{ID: fmt.Sprint("g", i), Senders: []string{"vm-2"}}, time.Unix(1, 0))
			case 2:
				c, _ := r.Find(s)
				next, err = r.Release(s, c.Order)
			case 3:
				next, err = r.CancelUnload(s, fmt.Sprint("o", i), time.Unix(1, 0))
			case 4:
				next = r.DropGrants(func(Grant) bool { return rapid.Bool().Draw(rt, "void") })
			}
			require.Equal(rt, before, r.Committed(), "a row is a value")
			if err != nil {
				continue
			}
			r = next
			require.LessOrEqual(rt, r.Committed(), r.MemoryMB)
			value, err := Encode(r)
			require.NoError(rt, err)
			again, err := Decode("e", value)
			require.NoError(rt, err)
			require.Equal(rt, r.Committed(), again.Committed())
			require.Equal(rt, r.Current(), again.Current())
		}
	})
}

func TestUnloadWaitsForOlderGrants(t *testing.T) {
	r := Row{Engine: "e", MemoryMB: 100}.AddGrant(Grant{ID: "a", Senders: []string{"vm-1"}})
	r, err := r.Charge(slot(1), 60, "load", time.Unix(1, 0))
	require.NoError(t, err)
	_, err = r.Charge(slot(2), 60, "load", time.Unix(1, 0))
	require.Equal(t, code.MemoryExceeded, code.Of(err))
	r, err = r.BeginUnload(slot(1), "unload", Grant{ID: "b", Senders: []string{"vm-2"}}, time.Unix(1, 0))
	require.NoError(t, err)
	require.Equal(t, []Grant{{ID: "a", Senders: []string{"vm-1"}}}, r.Older(slot(1)))
	_, err = r.Release(slot(1), "another")
	require.Equal(t, code.OrderRefused, code.Of(err))
	require.Equal(t, int64(60), r.Committed())
	r, err = r.Release(slot(1), "unload")
	require.NoError(t, err)
	require.Zero(t, r.Committed())
}

// TestUnloadWaitsSinceCharge requires that grants from before a slot was charged
// don't hold its unload up, and that removed grants don't change that.
func TestUnloadWaitsSinceCharge(t *testing.T) {
	at := time.Unix(1, 0)
	ids := func(r Row, n int) string {
		list := ""
		for _, g := range r.Older(slot(n)) {
			list += g.ID
		}
		return list
	}
	r := Row{Engine: "e", MemoryMB: 100}
	for i, grant := range []string{"a", "b"} {
		var err error
		r, err = r.AddGrant(Grant{ID: grant}).Charge(slot(i+1), 10, "load", at)
		require.NoError(t, err)
	}
	for i, grant := range []string{"c", "d"} {
		var err error
		r, err = r.BeginUnload(slot(i+1), "unload", Grant{ID: grant}, at)
		require.NoError(t, err)
	}
	require.Equal(t, "ab", ids(r, 1))
	require.Equal(t, "bc", ids(r, 2))
	dropped := r.DropGrants(func(g Grant) bool { return g.ID == "b" })
	require.Equal(t, "a", ids(dropped, 1))
	require.Equal(t, "c", ids(dropped, 2))
	back, err := r.CancelUnload(slot(2), "load", at)
	require.NoError(t, err)
	back, err = back.BeginUnload(slot(2), "unload", Grant{ID: "e"}, at)
	require.NoError(t, err)
	require.Equal(t, "bcd", ids(back, 2))
}

func TestGate(t *testing.T) {
	start := time.Unix(1000, 0)
	g := NewGate(10*time.Second, start)
	require.False(t, g.Void("unused", start), "a process before this one may have sent")
	require.True(t, g.Void("unused", start.Add(10*time.Second)))
	g.Own("own")
	require.True(t, g.Begin("own"))
	require.False(t, g.Void("own", start))
	require.False(t, g.Begin("own"), "a grant that is asked about is closed")
	g.End("own", false, start)
	require.False(t, g.Void("own", start.Add(9*time.Second)), "the send may still arrive")
	require.True(t, g.Void("own", start.Add(10*time.Second)))
	later := start.Add(time.Minute)
	g.Prune(func(string) bool { return true }, later)
	require.False(t, g.Open("own"))
	g.Prune(func(string) bool { return false }, later)
	require.Empty(t, g.grants)
}

func FuzzDecode(f *testing.F) {
	value, err := Encode(Row{Engine: "e", MemoryMB: 1, Charges: []Charge{{Slot: slot(1), Phase: PhaseCharged, Order: "o"}}})
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
