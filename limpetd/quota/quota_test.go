package quota_test

import (
	"math/rand/v2"
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

// TestShare guards against shares of many daemons that begin together or add up to a burst, and against shares that are
// less than a call and admit none.
func TestShare(t *testing.T) {
	const charge = 50
	random := rand.New(rand.NewPCG(1, 1))
	for _, x := range []struct {
		what string
		// perSecond is the share of each daemon in calls, gap the mean time between its calls.
		perSecond float64
		gap       time.Duration
		// least and most bound the calls admitted in 20 s, relative to those that the shares add up to.
		least, most float64
	}{
		{"large share", 5, 100 * time.Millisecond, 0.95, 1.05},
		{"small share", 0.2, time.Second, 0.9, 1.05},
		{"small share, rare calls", 0.2, 5 * time.Second, 0.45, 0.7},
	} {
		const daemons, length = 300, 20 * time.Second
		admitted := 0
		for range daemons {
			var s quota.Share
			for at := time.Duration(0); at < length; at += time.Duration(random.ExpFloat64() * float64(x.gap)) {
				if s.Take(x.perSecond*charge, charge, random.Float64(), after(int(at/time.Millisecond))) {
					admitted++
				}
			}
		}
		part := float64(admitted) / (daemons * x.perSecond * length.Seconds())
		require.True(t, part >= x.least && part <= x.most, "%s: %.2f", x.what, part)
	}
}

// TestIdleShareIsBounded guards against bursts of daemons that used no share for a while, and of those whose lease holder
// answers now and then.
func TestIdleShareIsBounded(t *testing.T) {
	var s quota.Share
	take := func(ms int) int {
		n := 0
		for s.Take(100, 1, 0.999, after(ms)) {
			n++
		}
		return n
	}
	require.Equal(t, 50, take(0), "half a second at the start")
	require.Equal(t, 400, take(60_000), "four seconds")
	s.Force(10)
	require.Zero(t, take(60_050), "a further send uses it")
	s.Stop(after(60_100))
	require.Equal(t, 10, take(60_200), "the time since the last answer")
	s.Stop(after(60_200))
	require.Zero(t, take(60_200))
}

// TestShareAdmitsNoHugeCall guards against a single call that exceeds the quota, by the number of tokens that its caller
// states.
func TestShareAdmitsNoHugeCall(t *testing.T) {
	var s quota.Share
	require.False(t, s.Take(100, 1<<30, 0, after(1000)))
	require.True(t, s.Take(100, 50, 0, after(1000)), "it uses nothing")
	require.True(t, s.Take(100, quota.MaxOverdraft, 0, after(2000)))
}

// TestDaemonReportsUse guards against use of shares that the lease holder does not learn of, and against shares of
// daemons that are not counted.
func TestDaemonReportsUse(t *testing.T) {
	d := quota.NewDaemon(func() float64 { return 0.999 })
	d.SetLimits(map[string]quota.Limit{"a": {PerSecond: 800}})
	require.True(t, d.Limited("a"))
	require.False(t, d.Limited("b"))
	for ms := 0; ms < 3000; ms += 100 {
		require.False(t, d.TakeShare("a", 1, after(ms)), "the number of daemons is not known")
	}
	d.SetDaemons(6)
	require.False(t, d.TakeShare("a", 100, after(3000)), "more than half a second of a sixth of 0.7")
	require.Nil(t, d.TakeUse())
	require.True(t, d.TakeShare("a", 50, after(4000)))
	d.Force("a", 7)
	require.Equal(t, map[string]float64{"a": 57}, d.TakeUse())
	require.Nil(t, d.TakeUse())
	d.Return("a", 5, time.Time{}, after(5000))
	d.SetLimits(map[string]quota.Limit{"a": {PerSecond: 100}})
	_, ok := d.TakeCredit("a", 5, after(5100))
	require.True(t, ok, "a new limit keeps credit")
	d.RecordAnswer("a", after(5200))
	require.False(t, d.TakeShare("a", 1, after(5200)), "the share begins again")
}
