package order

import (
	"context"
	"math"
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/envdoc"
	"github.com/limpetlb/limpetlb/limpetd/lease"
	"github.com/limpetlb/limpetlb/limpetd/store"
)

const (
	// budgetLevel is the feature level of budget rows.
	budgetLevel = 1
	// budgetPeriod is how often the rows of the data centres are read.
	budgetRefreshPeriod = 5 * time.Second
	// loanTerm is how long a share is lent.
	loanTerm = 30 * time.Second
	// loanMargin is the part at the end of a loan that the borrower leaves
	// unused, so that clocks may differ by as much.
	loanMargin = 5 * time.Second
	// wantAfter is how many loads wait before a data centre asks for more.
	borrowThreshold = 2
)

// Limits are what a data centre may take of the budgets.
type Limits struct {
	// PerSecond is the rate of model loads, AtOnce the number that run.
	PerSecond float64
	AtOnce    int
	// Adapters is the number of adapter loads in transit.
	Adapters int
}

// Budget is the row of a data centre: what it asks for and what it lends.
type Budget struct {
	Level      int    `msgpack:"level"`
	DataCentre string `msgpack:"data_centre"`
	// Waiting is the number of model loads that wait for the budget.
	Waiting int `msgpack:"waiting"`
	// At is when the row was written, in milliseconds since 1970. A request
	// lapses after a loan's term.
	At    int64  `msgpack:"at"`
	Loans []Loan `msgpack:"loans,omitempty"`
}

// Loan is a part of the lender's share that another data centre uses until it
// expires.
type Loan struct {
	To     string `msgpack:"to"`
	Limits Limits `msgpack:"limits"`
	Until  int64  `msgpack:"until"`
}

// budgetKey returns the key of a data centre's budget row.
func budgetKey(environment, dataCentre string) string {
	return environment + "/budget/" + dataCentre
}

// fixedShare returns a data centre's share of the budgets when nothing is lent.
// What does not divide goes to the first ones by name.
func fixedShare(b envdoc.Budgets, dataCentres []string, dataCentre string) Limits {
	i, n := slices.Index(dataCentres, dataCentre), len(dataCentres)
	if i < 0 {
		return Limits{}
	}
	return Limits{
		PerSecond: b.LoadsPerSecond / float64(n),
		AtOnce:    evenPart(b.LoadsAtOnce, i, n),
		Adapters:  evenPart(b.AdaptersInTransit, i, n),
	}
}

// part returns the i-th of n nearly equal parts.
func evenPart(total, i, n int) int {
	p := total / n
	if i < total%n {
		p++
	}
	return p
}

// effective returns what a data centre may take at now: its share, less what it
// lends, plus what others lend it.
func effectiveLimits(share Limits, rows []Budget, dataCentre string, now time.Time) Limits {
	for _, r := range rows {
		for _, l := range r.Loans {
			until := time.UnixMilli(l.Until)
			switch {
			case r.DataCentre == dataCentre && now.Before(until):
				share = share.addScaled(l.Limits, -1)
			case l.To == dataCentre && now.Before(until.Add(-loanMargin)):
				share = share.addScaled(l.Limits, 1)
			}
		}
	}
	return share
}

// add returns the limits with others added n times.
func (l Limits) addScaled(other Limits, factor int) Limits {
	return Limits{
		PerSecond: l.PerSecond + float64(factor)*other.PerSecond,
		AtOnce:    l.AtOnce + factor*other.AtOnce,
		Adapters:  l.Adapters + factor*other.Adapters,
	}
}

// lend returns the loans of a data centre that uses nothing of its share: all
// but one load at once, split between those that ask.
func newLoans(share Limits, rows []Budget, dataCentre string, now time.Time) []Loan {
	var borrowers []string
	for _, r := range rows {
		current := now.Sub(time.UnixMilli(r.At)) < loanTerm
		if r.DataCentre != dataCentre && r.Waiting > borrowThreshold && current {
			borrowers = append(borrowers, r.DataCentre)
		}
	}
	slices.Sort(borrowers)
	spare := share.AtOnce - 1
	if len(borrowers) == 0 || spare <= 0 {
		return nil
	}
	spareRatio := float64(spare) / float64(share.AtOnce)
	var loans []Loan
	for i, to := range borrowers {
		loans = append(loans, Loan{To: to, Until: now.Add(loanTerm).UnixMilli(), Limits: Limits{
			PerSecond: spareRatio * share.PerSecond / float64(len(borrowers)),
			AtOnce:    evenPart(spare, i, len(borrowers)),
			Adapters:  evenPart(int(spareRatio*float64(share.Adapters)), i, len(borrowers)),
		}})
	}
	return loans
}

// shares keeps the data centre's part of the budgets.
type loadBudget struct {
	table        store.Table
	environment  string
	dataCentre   string
	rows         []Budget
	ownVersion   int64
	ownRow       Budget
	nextExchange time.Time
	limits       Limits
}

// newShares returns the shares before the first read.
func newLoadBudget(table store.Table, environment, dataCentre string) *loadBudget {
	return &loadBudget{table: table, environment: environment, dataCentre: dataCentre}
}

// limits renews what the data centre may take, and lends what it doesn't use.
func (l *loop) updateLimits(ctx context.Context, hold lease.Hold, holdsLease bool, now time.Time) {
	if l.document == nil {
		return
	}
	budget := l.budget
	share := fixedShare(l.document.Budgets, l.dataCentres(), budget.dataCentre)
	if holdsLease && now.After(budget.nextExchange) {
		budget.nextExchange = now.Add(budgetRefreshPeriod)
		if err := budget.exchangeRows(ctx, hold, share, l.waitingLoads(now), now); err != nil {
			l.duty.deps.Log.Debug("budget_unread", zap.Error(err))
		}
	}
	budget.limits = effectiveLimits(share, budget.rows, budget.dataCentre, now)
	perSecond := rate.Limit(max(0, budget.limits.PerSecond))
	if math.Abs(float64(l.limiter.Limit()-perSecond)) > 1e-9 {
		l.limiter.SetLimitAt(now, perSecond)
	}
	if burst := max(1, budget.limits.AtOnce); l.limiter.Burst() != burst {
		l.limiter.SetBurstAt(now, burst)
	}
}

// centres returns the data centres that have engines, sorted.
func (l *loop) dataCentres() []string {
	var names []string
	for _, v := range l.vms {
		if v.Kind == store.KindEngine && !slices.Contains(names, v.DataCentre) {
			names = append(names, v.DataCentre)
		}
	}
	slices.Sort(names)
	return names
}

// waiting counts the model loads that wait for the budget.
func (l *loop) waitingLoads(now time.Time) int {
	count := 0
	for _, p := range l.pendingOrders(now) {
		if p.charge.Slot.Adapter == "" && p.charge.Phase == "charged" {
			count++
		}
	}
	return max(0, count-l.modelLoads)
}

// exchange reads the rows of all data centres and writes the own one when it
// changed: at most once a budget period.
func (lb *loadBudget) exchangeRows(ctx context.Context, hold lease.Hold, share Limits, waiting int, now time.Time) error {
	rows, err := lb.table.Scan(ctx, budgetKey(lb.environment, ""), "", scanLimit)
	if err != nil {
		return err
	}
	lb.rows, lb.ownVersion, lb.ownRow = nil, 0, Budget{DataCentre: lb.dataCentre}
	for _, r := range rows {
		var b Budget
		if err := msgpack.Unmarshal(r.Value, &b); err != nil || b.Level > budgetLevel {
			continue
		}
		lb.rows = append(lb.rows, b)
		if b.DataCentre == lb.dataCentre {
			lb.ownVersion, lb.ownRow = r.Version, b
		}
	}
	next := nextBudgetRow(lb.ownRow, share, lb.rows, waiting, now)
	wantsMore := waiting > borrowThreshold
	wantedMore := lb.ownRow.Waiting > borrowThreshold
	if wantsMore == wantedMore && !wantsMore && len(next.Loans) == len(lb.ownRow.Loans) {
		return nil
	}
	return lb.writeOwnRow(ctx, hold, next)
}

// budgetRow returns a data centre's next row: what it asks for, the loans that
// still run, and new ones once it uses nothing itself.
func nextBudgetRow(previous Budget, share Limits, rows []Budget, waiting int, now time.Time) Budget {
	next := Budget{Level: budgetLevel, DataCentre: previous.DataCentre, Waiting: waiting, At: now.UnixMilli()}
	next.Loans = slices.DeleteFunc(slices.Clone(previous.Loans), func(l Loan) bool { return now.UnixMilli() >= l.Until })
	if waiting == 0 && len(next.Loans) == 0 {
		next.Loans = newLoans(share, rows, previous.DataCentre, now)
	}
	return next
}

// put writes the own row.
func (lb *loadBudget) writeOwnRow(ctx context.Context, hold lease.Hold, b Budget) error {
	value, err := msgpack.Marshal(b)
	if err != nil {
		return code.Errorf(code.Internal, "encode budget: %w", err)
	}
	key := budgetKey(lb.environment, lb.dataCentre)
	tx := store.Tx{ID: store.NewID()}
	tx.Require(hold.Key, hold.Version)
	tx.Require(key, lb.ownVersion)
	tx.Put(key, value)
	if err := store.Commit(ctx, lb.table, tx); err != nil {
		return err
	}
	lb.rows = slices.DeleteFunc(lb.rows, func(r Budget) bool { return r.DataCentre == lb.dataCentre })
	lb.rows = append(lb.rows, b)
	return nil
}
