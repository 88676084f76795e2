package quota_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/quota"
)

var start = time.Unix(1000, 0)

func after(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// TestBucket guards against credit that does not come from the rate, and against calls that never fit.
func TestBucket(t *testing.T) {
	table := quota.NewTable()
	limits := map[string]quota.Limit{"a": {PerSecond: 1000, Burst: 500}, "small": {PerSecond: 1}, "none": {PerSecond: 1e-9}}
	table.SetLimits(limits, start)
	table.SetConnected(0.5, start)
	for _, step := range []struct {
		what         string
		ms           int
		organisation string
		charge       float64
		wait         time.Duration
		ok           bool
	}{
		{"empty at first", 0, "a", 100, 200 * time.Millisecond, false},
		{"half of the daemons are connected", 200, "a", 100, 0, true},
		{"charged once", 200, "a", 1, 10 * time.Millisecond, false},
		{"a suspended lease holder fills for a short time", 5000, "a", 301, 10 * time.Millisecond, false},
		{"what filled", 5000, "a", 300, 0, true},
		{"the burst bounds", 5600, "a", 300, 0, true},
		{"a call over the capacity needs a full bucket", 6100, "a", 600, 500 * time.Millisecond, false},
		{"full", 6600, "a", 600, 0, true},
		{"overdrawn", 6700, "a", 1, 102 * time.Millisecond, false},
		{"too large", 6700, "a", 500 + quota.MaxOverdraft + 1, time.Minute, false},
		{"a call of a small limit", 6700, "small", 1, 0, true},
		{"an invalid limit", 6700, "none", 1, time.Minute, false},
		{"no limit", 6700, "other", 1e9, 0, true},
	} {
		wait, ok := table.Check(step.organisation, step.charge, after(step.ms))
		require.Equal(t, step.ok, ok, step.what)
		require.InDelta(t, step.wait, wait, float64(time.Millisecond), step.what)
		if ok {
			require.Equal(t, step.organisation != "other", table.Charge(step.organisation, step.charge, after(step.ms)))
		}
	}
	table.SetConnected(1, after(7000))
	table.SetConnected(1, after(7600))
	table.SetLimits(map[string]quota.Limit{"a": {PerSecond: 100, Burst: 50}, "b": {PerSecond: 100}}, after(7600))
	for organisation, charge := range map[string]float64{"a": 50, "b": 0} {
		_, ok := table.Check(organisation, charge, after(7600))
		require.True(t, ok, "a lowered limit keeps what fits")
		table.Charge(organisation, charge, after(7600))
		_, ok = table.Check(organisation, 0.1, after(7600))
		require.False(t, ok, "a lowered limit bounds, and a new one starts empty")
	}
	table.SetConnected(1, after(8000))
	_, ok := table.Check("a", 39, after(8000))
	require.True(t, ok)
	table.Reset(after(8000))
	_, ok = table.Check("a", 0.1, after(8000))
	require.False(t, ok, "a new lease holder starts empty")
}

// TestCreditCountsOnce guards against credit that is used twice or outlives its term by being returned.
func TestCreditCountsOnce(t *testing.T) {
	var c quota.Credit
	c.Add(100, time.Time{}, after(0))
	c.Add(50, time.Time{}, after(500))
	_, ok := c.Take(151, after(600))
	require.False(t, ok)
	expiresAt, ok := c.Take(120, after(600))
	require.True(t, ok)
	require.Equal(t, after(1000), expiresAt)
	_, ok = c.Take(31, after(600))
	require.False(t, ok)
	c.Add(120, expiresAt, after(900))
	_, ok = c.Take(31, after(1000))
	require.False(t, ok, "the returned credit has expired")
	_, ok = c.Take(30, after(1499))
	require.True(t, ok)
	_, ok = c.Take(1, after(1499))
	require.False(t, ok)
}

// TestShare guards against shares of many daemons that begin together or add up to a burst.
func TestShare(t *testing.T) {
	for _, x := range []struct {
		what              string
		perSecond, random float64
		charge            float64
		// firstMS is when the share first suffices if a call asks every 100 ms. idleMS is a time without calls.
		firstMS, idleMS int
		// after is how many calls the share suffices for then.
		after int
	}{
		{"large share", 100, 0, 1, 700, 10_000, 100},
		{"random start", 100, 0.9, 1, 1600, 10_000, 100},
		{"small share", 0.5, 0, 1, 2600, 1000, 0},
		{"small share, idle", 0.5, 0, 1, 2600, 60_000, 0},
	} {
		var s quota.Share
		ms := 0
		for ; !s.Take(x.perSecond, x.charge, x.random, after(ms)); ms += 100 {
			require.LessOrEqual(t, ms, 5000, x.what)
		}
		require.Equal(t, x.firstMS, ms, x.what)
		n := 0
		for s.Take(x.perSecond, x.charge, x.random, after(ms+x.idleMS)) {
			n++
		}
		require.Equal(t, x.after, n, x.what)
		s.Force(10 * x.charge)
		require.False(t, s.Take(x.perSecond, 0.001, x.random, after(ms+x.idleMS+50)), "%s: a further send uses it", x.what)
		s.Stop()
		require.False(t, s.Take(x.perSecond, 0.001, x.random, after(ms+x.idleMS+60_000)), "%s: it starts below zero again", x.what)
	}
}

// TestDaemonReportsUse guards against use of shares that the lease holder does not learn of, and against shares of
// daemons that are not counted.
func TestDaemonReportsUse(t *testing.T) {
	d := quota.NewDaemon(func() float64 { return 0 })
	d.SetLimits(map[string]quota.Limit{"a": {PerSecond: 800}})
	require.True(t, d.Limited("a"))
	require.False(t, d.Limited("b"))
	for ms := 0; ms < 3000; ms += 100 {
		require.False(t, d.TakeShare("a", 1, after(ms)), "the number of daemons is not known")
	}
	d.SetDaemons(6)
	require.False(t, d.TakeShare("a", 100, after(3000)))
	require.False(t, d.TakeShare("a", 100, after(4000)))
	require.Nil(t, d.TakeUse())
	require.True(t, d.TakeShare("a", 100, after(4600)), "600 ms, and the time for 100 of 100 a second")
	d.Force("a", 7)
	require.Equal(t, map[string]float64{"a": 107}, d.TakeUse())
	require.Nil(t, d.TakeUse())
	d.Return("a", 5, time.Time{}, after(5000))
	d.SetLimits(map[string]quota.Limit{"a": {PerSecond: 100}})
	_, ok := d.TakeCredit("a", 5, after(5100))
	require.True(t, ok, "a new limit keeps credit")
	d.RecordAnswer("a")
	require.False(t, d.TakeShare("a", 1, after(60_000)))
}
