//go:build !race

package quota_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/quota"
	"github.com/limpetlb/limpetlb/limpetd/random"
)

// The fleet's times are those of package steer and of the requirements page.
const (
	tick         = 20 * time.Millisecond
	runTime      = 60 * time.Second
	warmUp       = 8 * time.Second
	failAt       = 25 * time.Second
	window       = 8 * time.Second
	applyTime    = 3 * time.Second
	reportPeriod = 250 * time.Millisecond
	leaseTerm    = 2 * time.Second
	renewPeriod  = 600 * time.Millisecond
	over, slack  = 0.1, 11_000
	organisation = "a"
	// These parts of the calls are rejected by servers, and sent twice.
	rejectedShare, repeatedShare = 0.02, 0.02
	seeds                        = 8
)

// vm is a daemon of the simulated fleet.
type vm struct {
	daemon *quota.Daemon
	table  *quota.Table
	// up, suspended, noStore and side are what failures change. Daemons on different sides don't reach each other.
	up, suspended, noStore, oldBuild bool
	side                             int
	// linked is whether the last report reached the lease holder.
	linked bool
	// holder is the lease holder that the daemon knows, or -1. renewedAt is when the daemon last renewed the lease,
	// reportedAt when each daemon last reported to it.
	holder     int
	renewedAt  time.Time
	reportedAt map[int]time.Time
	// appliesAt is when the daemon learns of the present limit and list of daemons.
	appliesAt time.Time
}

// fleet simulates daemons that take calls of one organisation.
type fleet struct {
	random *rand.Rand
	// hot is the part of the calls that arrive at the lease holder.
	hot     float64
	now     time.Time
	vms     []*vm
	members int
	limit   quota.Limit
	// holder and renewedAt are the lease in the store.
	holder    int
	renewedAt time.Time
	// used is what ran, and bounds the limits in force, by tick.
	used   []float64
	bounds []float64
	// owed and admitted are sums after warmUp; reference is a bucket that never fails.
	owed, admitted float64
	reference      *quota.Table
}

func newFleet(source *rand.Rand, n int, l quota.Limit) *fleet {
	f := &fleet{random: source, now: time.Unix(1000, 0), members: n, limit: l, holder: -1, reference: quota.NewTable()}
	for range n {
		f.vms = append(f.vms, &vm{})
		f.start(f.vms[len(f.vms)-1])
	}
	f.setLimit(l)
	return f
}

// start starts the process of a daemon.
func (f *fleet) start(v *vm) {
	*v = vm{daemon: quota.NewDaemon(f.random.Float64), table: quota.NewTable(), up: true, holder: -1, side: v.side, noStore: v.noStore, reportedAt: map[int]time.Time{}}
	f.apply(v)
}

func (f *fleet) apply(v *vm) {
	v.daemon.SetLimits(map[string]quota.Limit{organisation: f.limit})
	v.daemon.SetDaemons(f.members)
	v.table.SetLimits(map[string]quota.Limit{organisation: f.limit}, f.now)
}

func (f *fleet) setLimit(l quota.Limit) {
	f.limit = l
	f.reference.SetLimits(map[string]quota.Limit{organisation: l}, f.now)
	f.reference.SetConnected(1, f.now)
	f.announce()
}

// announce lets the daemons learn of a change one after the other.
func (f *fleet) announce() {
	for _, v := range f.vms {
		v.appliesAt = f.now.Add(time.Duration(f.random.Int64N(int64(time.Second))))
	}
}

// runs reports whether a daemon runs.
func (v *vm) runs() bool { return v.up && !v.suspended }

// mayCharge reports whether the lease of a daemon is valid.
func (f *fleet) mayCharge(i int) bool {
	return f.vms[i].runs() && f.now.Sub(f.vms[i].renewedAt) < leaseTerm
}

// reaches reports whether a daemon gets answers of its lease holder.
func (f *fleet) reaches(i int) bool {
	n := f.vms[i].holder
	if n < 0 {
		return false
	}
	h := f.vms[n]
	holds := !h.renewedAt.IsZero() && (h.noStore || f.now.Sub(h.renewedAt) < leaseTerm)
	return holds && h.runs() && h.side == f.vms[i].side
}

// step simulates a tick.
func (f *fleet) step(calls float64, tokens int) {
	f.now = f.now.Add(tick)
	f.used = append(f.used, 0)
	f.bounds = append(f.bounds, f.limit.PerSecond*window.Seconds()+f.limit.Burst)
	for i, v := range f.vms {
		if v.runs() {
			f.stepDaemon(i, v)
		}
	}
	for n := poisson(f.random, calls*tick.Seconds()); n > 0; n-- {
		i := f.random.IntN(len(f.vms))
		if f.holder >= 0 && f.random.Float64() < f.hot {
			i = f.holder
		}
		f.call(i, float64(1+f.random.IntN(2*tokens)))
	}
}

func (f *fleet) stepDaemon(i int, v *vm) {
	if !v.appliesAt.IsZero() && f.now.After(v.appliesAt) {
		f.apply(v)
		v.appliesAt = time.Time{}
	}
	slow := f.now.UnixNano()/int64(tick)%int64(reportPeriod/tick) == int64(i)%int64(reportPeriod/tick)
	switch {
	case !v.noStore && f.holder == i && f.now.Sub(v.renewedAt) >= renewPeriod && !v.renewedAt.IsZero():
		v.renewedAt, f.renewedAt = f.now, f.now
	case !v.noStore && f.now.Sub(f.renewedAt) >= leaseTerm && f.random.Float64() < 0.05:
		f.holder, f.renewedAt = i, f.now
		v.renewedAt, v.holder = f.now, i
		v.table.Reset(f.now)
	}
	if !slow {
		return
	}
	if !v.noStore && f.holder >= 0 {
		v.holder = f.holder
	}
	if f.mayCharge(i) {
		connected := 0
		v.reportedAt[i] = f.now
		for _, at := range v.reportedAt {
			if f.now.Sub(at) <= quota.ReportAge {
				connected++
			}
		}
		v.table.SetConnected(float64(connected)/float64(f.members), f.now)
	}
	if !f.reaches(i) {
		v.linked = false
		return
	}
	h, use := f.vms[v.holder], v.daemon.TakeUse()
	h.reportedAt[i] = f.now
	// What a daemon without a link used is not reported: the lease holder left that part of the quota to it.
	linked := v.linked
	v.linked = true
	for name, use := range use {
		if linked && f.mayCharge(v.holder) {
			h.table.Charge(name, use, f.now)
		}
	}
}

// call simulates a call at a daemon.
func (f *fleet) call(i int, charge float64) {
	v := f.vms[i]
	if !v.runs() {
		return
	}
	_, owed := f.reference.Check(organisation, charge, f.now)
	rejected, repeated := f.random.Float64() < rejectedShare, f.random.Float64() < repeatedShare
	if owed && f.warm() {
		f.owed += charge
	}
	if owed && !rejected {
		f.reference.Charge(organisation, charge, f.now)
		if repeated {
			f.reference.Charge(organisation, charge, f.now)
		}
	}
	answers := f.reaches(i) && f.mayCharge(v.holder) && !f.vms[v.holder].oldBuild
	expiresAt, ok := v.daemon.TakeCredit(organisation, charge, f.now)
	switch {
	case ok:
	case answers:
		v.daemon.RecordAnswer(organisation, f.now)
		if _, ok = f.vms[v.holder].table.Check(organisation, charge, f.now); !ok {
			return
		}
		f.vms[v.holder].table.Charge(organisation, charge, f.now)
	case !v.daemon.TakeShare(organisation, charge, f.now):
		return
	}
	if f.warm() {
		f.admitted += charge
	}
	if rejected {
		v.daemon.Return(organisation, charge, expiresAt, f.now)
		return
	}
	f.used[len(f.used)-1] += charge
	if repeated {
		v.daemon.Force(organisation, charge)
		f.used[len(f.used)-1] += charge
	}
}

func (f *fleet) warm() bool { return len(f.used) > int(warmUp/tick) }

// requireRule requires that no window uses more than the rule allows. A lowered limit counts from the start of the
// first window after all daemons have learned of it.
func (f *fleet) requireRule(t *testing.T, what string) {
	t.Helper()
	ticks, applied, sum := int(window/tick), int(applyTime/tick), 0.0
	for at := range f.used {
		sum += f.used[at]
		if at < ticks {
			continue
		}
		sum -= f.used[at-ticks]
		bound := 0.0
		for from := max(at-ticks-applied, 0); from <= at; from += applied / 4 {
			bound = max(bound, f.bounds[from])
		}
		require.LessOrEqual(t, sum, max(bound, f.bounds[at])*(1+over)+slack, "%s, at %v", what, time.Duration(at)*tick)
	}
}

// poisson returns a random number of events of which a number is expected.
func poisson(source *rand.Rand, expected float64) int {
	n, p, end := 0, source.Float64(), math.Exp(-expected)
	for ; p > end; n++ {
		p *= source.Float64()
	}
	return n
}

// failure changes the fleet at failAt and, if it returns a function, changes it back after a time.
type failure struct {
	name  string
	after time.Duration
	begin func(f *fleet)
	end   func(f *fleet)
}

// each changes the daemons to which a condition applies.
func each(f *fleet, applies func(i int) bool, change func(v *vm)) {
	for i, v := range f.vms {
		if applies(i) {
			change(v)
		}
	}
}

func (f *fleet) isHolder(i int) bool { return i == f.holder }

func anyOf(int) bool { return true }

func kill(v *vm)    { v.up = false }
func suspend(v *vm) { v.suspended = true }
func resume(v *vm)  { v.suspended = false }
func rejoin(v *vm)  { v.side, v.noStore = 0, false }

func (f *fleet) restart() { each(f, func(i int) bool { return !f.vms[i].up }, f.start) }

// failures are those of the requirements page.
var failures = []failure{
	{"lease holder killed", 3 * time.Second, func(f *fleet) { each(f, f.isHolder, kill) }, (*fleet).restart},
	{"lease holder suspended", 7 * time.Second, func(f *fleet) { each(f, f.isHolder, suspend) }, func(f *fleet) { each(f, anyOf, resume) }},
	{"lease holder cut off from the daemons", 6 * time.Second, func(f *fleet) { each(f, f.isHolder, func(v *vm) { v.side = 1 }) }, func(f *fleet) { each(f, anyOf, rejoin) }},
	{"lease holder cut off from the store", 6 * time.Second, func(f *fleet) { each(f, f.isHolder, func(v *vm) { v.noStore = true }) }, func(f *fleet) { each(f, anyOf, rejoin) }},
	{"data centre cut off", 6 * time.Second, func(f *fleet) {
		each(f, func(i int) bool { return i%3 == 1 }, func(v *vm) { v.side, v.noStore = 2, true })
	}, func(f *fleet) { each(f, anyOf, rejoin) }},
	{"all daemons killed", 2 * time.Second, func(f *fleet) { each(f, anyOf, kill) }, (*fleet).restart},
	{"daemons added and removed", 5 * time.Second, func(f *fleet) {
		for range 1 + f.members/4 {
			v := &vm{}
			f.start(v)
			f.vms = append(f.vms, v)
		}
		f.members = len(f.vms)
		f.announce()
	}, func(f *fleet) {
		n := f.members - f.members/3
		each(f, func(i int) bool { return i >= n }, kill)
		f.members = n
		f.announce()
	}},
	{"lease holder of an older build", 4 * time.Second, func(f *fleet) { each(f, f.isHolder, func(v *vm) { v.oldBuild = true }) }, func(f *fleet) {
		// A daemon that is replaced releases its lease.
		f.renewedAt = f.now.Add(-leaseTerm)
		each(f, func(i int) bool { return f.vms[i].oldBuild }, f.start)
	}},
	{"limit lowered and raised", 18 * time.Second, func(f *fleet) { f.setLimit(quota.Limit{PerSecond: f.limit.PerSecond / 3, Burst: f.limit.Burst / 3}) }, func(f *fleet) {
		f.setLimit(quota.Limit{PerSecond: f.limit.PerSecond * 5, Burst: f.limit.Burst * 5})
	}},
}

// play runs a fleet with failures. surge multiplies the demand around the failures.
func play(name string, n int, list ...failure) *fleet {
	source := random.Seeded(1, fmt.Sprint(name, n))
	tokens := 100 + source.IntN(1400)
	calls := math.Exp(source.Float64() * 6)
	rate := 1.8 * calls * float64(tokens)
	f := newFleet(source, n, quota.Limit{PerSecond: rate, Burst: rate * []float64{0, 0.3, 1, 3}[source.IntN(4)]})
	surge, surgeTime := 3+4*source.Float64(), time.Duration(5+source.IntN(7))*time.Second
	surgeAt := failAt + time.Duration(source.IntN(10)-5)*time.Second
	constant := source.IntN(2) == 0
	f.hot = []float64{0, 0, 0.5}[source.IntN(3)]
	for at := time.Duration(0); at < runTime; at += tick {
		for i, x := range list {
			begin := failAt + time.Duration(i)*1500*time.Millisecond
			switch at {
			case begin:
				x.begin(f)
			case begin + x.after:
				x.end(f)
			}
		}
		demand := calls
		if constant || at >= surgeAt && at < surgeAt+surgeTime {
			demand *= surge
		}
		f.step(demand, tokens)
	}
	return f
}

// TestQuotaHoldsOverAllDaemons guards against windows in which daemons together use more than the quota, for example
// because a part of it is used twice, and against quotas that admit much less than they should over all
// organisations. A fixed seed makes the organisation, its surge and the daemons' timing.
func TestQuotaHoldsOverAllDaemons(t *testing.T) {
	for _, n := range []int{1, 6, 76, 361} {
		for i, x := range append([]failure{{name: "no failure", begin: func(*fleet) {}, end: func(*fleet) {}}}, failures...) {
			owed, admitted := 0.0, 0.0
			for seed := range seeds {
				name := fmt.Sprintf("%s, %d daemons, seed %d", x.name, n, seed)
				f := play(name, n, x)
				f.requireRule(t, name)
				owed, admitted = owed+f.owed/f.limit.PerSecond, admitted+f.admitted/f.limit.PerSecond
			}
			least := 0.85
			if i == 0 {
				least = 0.95
			}
			require.GreaterOrEqual(t, admitted, least*owed, "%s, %d daemons", x.name, n)
		}
		for i, x := range failures {
			for _, y := range failures[i+1:] {
				name := fmt.Sprintf("%s, %s, %d daemons", x.name, y.name, n)
				play(name, n, x, y).requireRule(t, name)
			}
		}
	}
}
