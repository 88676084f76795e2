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
	// budgetRefreshPeriod is how often the budget rows of the data centres are read.
	budgetRefreshPeriod = 5 * time.Second
	// loanTerm is how long a loan lasts.
	loanTerm = 30 * time.Second
	// loanMargin is the part at the end of a loan that the borrower leaves unused, so
	// that the clocks of both data centres may differ by as much.
	loanMargin = 5 * time.Second
	// borrowThreshold is the number of waiting loads above which a data centre asks for
	// a loan.
	borrowThreshold = 2
)

// Limits are the loads that a data centre may start within the budgets.
type Limits struct {
	// PerSecond is the rate of model loads, and AtOnce the number of concurrent ones.
	PerSecond float64
	AtOnce    int
	// Adapters is the number of concurrent adapter loads.
	Adapters int
}

// BudgetRow is the budget row of a data centre: its waiting loads and the loans that it
// grants.
type BudgetRow struct {
	Level      int    `msgpack:"level"`
	DataCentre string `msgpack:"data_centre"`
	// Waiting is the number of model loads that wait for the budget.
	Waiting int `msgpack:"waiting"`
	// At is when the row was written, in milliseconds since 1970. The request for a
	// loan expires after loanTerm.
	At    int64  `msgpack:"at"`
	Loans []Loan `msgpack:"loans,omitempty"`
}

// Loan is a part of the lender's share that another data centre may use until the loan
// expires.
type Loan struct {
	Borrower string `msgpack:"to"`
	Limits   Limits `msgpack:"limits"`
	Until    int64  `msgpack:"until"`
}

// budgetKey returns the table key of a data centre's budget row.
func budgetKey(environment, dataCentre string) string {
	return environment + "/budget/" + dataCentre
}

// fixedShare returns a data centre's share of the budgets without loans. A remainder
// goes to the first data centres by name.
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

// evenPart returns the size of the i-th of n nearly equal parts of a total.
func evenPart(total, i, n int) int {
	p := total / n
	if i < total%n {
		p++
	}
	return p
}

// effectiveLimits returns the limits of a data centre at a time: its share, minus the
// loans it grants, plus the loans it receives.
func effectiveLimits(share Limits, rows []BudgetRow, dataCentre string, now time.Time) Limits {
	for _, r := range rows {
		for _, l := range r.Loans {
			until := time.UnixMilli(l.Until)
			switch {
			case r.DataCentre == dataCentre && now.Before(until):
				share = share.addScaled(l.Limits, -1)
			case l.Borrower == dataCentre && now.Before(until.Add(-loanMargin)):
				share = share.addScaled(l.Limits, 1)
			}
		}
	}
	return share
}

// addScaled returns the sum of l and factor times other.
func (l Limits) addScaled(other Limits, factor int) Limits {
	return Limits{
		PerSecond: l.PerSecond + float64(factor)*other.PerSecond,
		AtOnce:    l.AtOnce + factor*other.AtOnce,
		Adapters:  l.Adapters + factor*other.Adapters,
	}
}

// newLoans returns the loans of a data centre that has no waiting loads. It lends all
// of its concurrent loads but one, with the same proportion of the other limits, in
// equal parts to the data centres that ask.
func newLoans(share Limits, rows []BudgetRow, dataCentre string, now time.Time) []Loan {
	var borrowers []string
	for _, r := range rows {
		recent := now.Sub(time.UnixMilli(r.At)) < loanTerm
		if r.DataCentre != dataCentre && r.Waiting > borrowThreshold && recent {
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
		loans = append(loans, Loan{Borrower: to, Until: now.Add(loanTerm).UnixMilli(), Limits: Limits{
			PerSecond: spareRatio * share.PerSecond / float64(len(borrowers)),
			AtOnce:    evenPart(spare, i, len(borrowers)),
			Adapters:  evenPart(int(spareRatio*float64(share.Adapters)), i, len(borrowers)),
		}})
	}
	return loans
}

// loadBudget tracks a data centre's part of the budgets.
type loadBudget struct {
	table       store.Table
	environment string
	dataCentre  string
	// rows are the budget rows of all data centres. ownRow is the row of this data
	// centre, with the version ownVersion in the table.
	rows         []BudgetRow
	ownVersion   int64
	ownRow       BudgetRow
	nextExchange time.Time
	// limits are the current limits of this data centre.
	limits Limits
}

// newLoadBudget returns the state before the first read.
func newLoadBudget(table store.Table, environment, dataCentre string) *loadBudget {
	return &loadBudget{table: table, environment: environment, dataCentre: dataCentre}
}

// updateLimits recomputes the limits of the data centre. Once per budgetRefreshPeriod
// the lease holder also exchanges the budget rows, which lends what the data centre
// doesn't use.
func (l *loop) updateLimits(ctx context.Context, hold lease.Hold, holdsLease bool, now time.Time) {
	if l.document == nil {
		return
	}
	lb := l.budget
	share := fixedShare(l.document.Budgets, l.dataCentres(), lb.dataCentre)
	if holdsLease && now.After(lb.nextExchange) {
		lb.nextExchange = now.Add(budgetRefreshPeriod)
		if err := lb.exchangeRows(ctx, hold, share, l.waitingLoads(now), now); err != nil {
			l.controller.deps.Log.Debug("budget_unread", zap.Error(err))
		}
	}
	lb.limits = effectiveLimits(share, lb.rows, lb.dataCentre, now)
	perSecond := rate.Limit(max(0, lb.limits.PerSecond))
	if math.Abs(float64(l.limiter.Limit()-perSecond)) > 1e-9 {
		l.limiter.SetLimitAt(now, perSecond)
	}
	if burst := max(1, lb.limits.AtOnce); l.limiter.Burst() != burst {
		l.limiter.SetBurstAt(now, burst)
	}
}

// dataCentres returns the names of the data centres that have engines, sorted.
func (l *loop) dataCentres() []string {
	var dataCentres []string
	for _, v := range l.vms {
		if v.Kind == store.KindEngine && !slices.Contains(dataCentres, v.DataCentre) {
			dataCentres = append(dataCentres, v.DataCentre)
		}
	}
	slices.Sort(dataCentres)
	return dataCentres
}

// waitingLoads counts the model loads that wait for the budget.
func (l *loop) waitingLoads(now time.Time) int {
	count := 0
	for _, p := range l.pendingOrders(now) {
		if p.charge.Slot.Adapter == "" && p.charge.Phase == "charged" {
			count++
		}
	}
	return max(0, count-l.modelLoads)
}

// exchangeRows reads the budget rows of all data centres. It writes the row of this data
// centre if the data centre asks for a loan or asked for one before, or if the number of
// its loans changed.
func (lb *loadBudget) exchangeRows(ctx context.Context, hold lease.Hold, share Limits, waiting int, now time.Time) error {
	rows, err := lb.table.Scan(ctx, budgetKey(lb.environment, ""), "", scanLimit)
	if err != nil {
		return err
	}
	lb.rows, lb.ownVersion, lb.ownRow = nil, 0, BudgetRow{DataCentre: lb.dataCentre}
	for _, r := range rows {
		var b BudgetRow
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

// nextBudgetRow returns a data centre's next row: its waiting loads, its unexpired
// loans, and new loans if it has neither waiting loads nor loans.
func nextBudgetRow(previous BudgetRow, share Limits, rows []BudgetRow, waiting int, now time.Time) BudgetRow {
	next := BudgetRow{Level: budgetLevel, DataCentre: previous.DataCentre, Waiting: waiting, At: now.UnixMilli()}
	next.Loans = slices.DeleteFunc(slices.Clone(previous.Loans), func(l Loan) bool { return now.UnixMilli() >= l.Until })
	if waiting == 0 && len(next.Loans) == 0 {
		next.Loans = newLoans(share, rows, previous.DataCentre, now)
	}
	return next
}

// writeOwnRow writes the row of this data centre.
func (lb *loadBudget) writeOwnRow(ctx context.Context, hold lease.Hold, b BudgetRow) error {
	value, err := msgpack.Marshal(b)
	if err != nil {
		return code.Errorf(code.Internal, "encode budget row: %w", err)
	}
	key := budgetKey(lb.environment, lb.dataCentre)
	tx := store.Tx{ID: store.NewID()}
	tx.Require(hold.Key, hold.Version)
	tx.Require(key, lb.ownVersion)
	tx.Put(key, value)
	if err := store.Commit(ctx, lb.table, tx); err != nil {
		return err
	}
	lb.rows = slices.DeleteFunc(lb.rows, func(r BudgetRow) bool { return r.DataCentre == lb.dataCentre })
	lb.rows = append(lb.rows, b)
	return nil
}
