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
	budgetPeriod = 5 * time.Second
	// loanTerm is how long a share is lent.
	loanTerm = 30 * time.Second
	// loanMargin is the part at the end of a loan that the borrower leaves
	// unused, so that clocks may differ by as much.
	loanMargin = 5 * time.Second
	// wantAfter is how many loads wait before a data centre asks for more.
	wantAfter = 2
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
func fixedShare(b envdoc.Budgets, centres []string, dataCentre string) Limits {
	i, n := slices.Index(centres, dataCentre), len(centres)
	if i < 0 {
		return Limits{}
	}
	return Limits{
		PerSecond: b.LoadsPerSecond / float64(n),
		AtOnce:    part(b.LoadsAtOnce, i, n),
		Adapters:  part(b.AdaptersInTransit, i, n),
	}
}

// part returns the i-th of n nearly equal parts.
func part(whole, i, n int) int {
	p := whole / n
	if i < whole%n {
		p++
	}
	return p
}

// effective returns what a data centre may take at now: its share, less what it
// lends, plus what others lend it.
func effective(share Limits, rows []Budget, dataCentre string, now time.Time) Limits {
	for _, r := range rows {
		for _, l := range r.Loans {
			until := time.UnixMilli(l.Until)
			switch {
			case r.DataCentre == dataCentre && now.Before(until):
				share = share.add(l.Limits, -1)
			case l.To == dataCentre && now.Before(until.Add(-loanMargin)):
				share = share.add(l.Limits, 1)
			}
		}
	}
	return share
}

// add returns the limits with others added n times.
func (l Limits) add(o Limits, n int) Limits {
	return Limits{
		PerSecond: l.PerSecond + float64(n)*o.PerSecond,
		AtOnce:    l.AtOnce + n*o.AtOnce,
		Adapters:  l.Adapters + n*o.Adapters,
	}
}

// lend returns the loans of a data centre that uses nothing of its share: all
// but one load at once, split between those that ask.
func lend(share Limits, rows []Budget, dataCentre string, now time.Time) []Loan {
	var asking []string
	for _, r := range rows {
		recent := now.Sub(time.UnixMilli(r.At)) < loanTerm
		if r.DataCentre != dataCentre && r.Waiting > wantAfter && recent {
			asking = append(asking, r.DataCentre)
		}
	}
	slices.Sort(asking)
	spare := share.AtOnce - 1
	if len(asking) == 0 || spare <= 0 {
		return nil
	}
	ratio := float64(spare) / float64(share.AtOnce)
	var loans []Loan
	for i, to := range asking {
		loans = append(loans, Loan{To: to, Until: now.Add(loanTerm).UnixMilli(), Limits: Limits{
			PerSecond: ratio * share.PerSecond / float64(len(asking)),
			AtOnce:    part(spare, i, len(asking)),
			Adapters:  part(int(ratio*float64(share.Adapters)), i, len(asking)),
		}})
	}
	return loans
}

// shares keeps the data centre's part of the budgets.
type shares struct {
	table       store.Table
	environment string
	dataCentre  string
	rows        []Budget
	version     int64
	own         Budget
	next        time.Time
	limits      Limits
}

// newShares returns the shares before the first read.
func newShares(table store.Table, environment, dataCentre string) *shares {
	return &shares{table: table, environment: environment, dataCentre: dataCentre}
}

// limits renews what the data centre may take, and lends what it doesn't use.
func (l *loop) limits(ctx context.Context, hold lease.Hold, mine bool, now time.Time) {
	if l.document == nil {
		return
	}
	s := l.shares
	share := fixedShare(l.document.Budgets, l.centres(), s.dataCentre)
	if mine && now.After(s.next) {
		s.next = now.Add(budgetPeriod)
		if err := s.exchange(ctx, hold, share, l.waiting(now), now); err != nil {
			l.duty.deps.Log.Debug("budget_unread", zap.Error(err))
		}
	}
	s.limits = effective(share, s.rows, s.dataCentre, now)
	perSecond := rate.Limit(max(0, s.limits.PerSecond))
	if math.Abs(float64(l.limiter.Limit()-perSecond)) > 1e-9 {
		l.limiter.SetLimitAt(now, perSecond)
	}
	if burst := max(1, s.limits.AtOnce); l.limiter.Burst() != burst {
		l.limiter.SetBurstAt(now, burst)
	}
}

// centres returns the data centres that have engines, sorted.
func (l *loop) centres() []string {
	var centres []string
	for _, v := range l.vms {
		if v.Kind == store.KindEngine && !slices.Contains(centres, v.DataCentre) {
			centres = append(centres, v.DataCentre)
		}
	}
	slices.Sort(centres)
	return centres
}

// waiting counts the model loads that wait for the budget.
func (l *loop) waiting(now time.Time) int {
	n := 0
	for _, p := range l.pending(now) {
		if p.charge.Slot.Adapter == "" && p.charge.Phase == "charged" {
			n++
		}
	}
	return max(0, n-l.models)
}

// exchange reads the rows of all data centres and writes the own one when it
// changed: at most once a budget period.
func (s *shares) exchange(ctx context.Context, hold lease.Hold, share Limits, waiting int, now time.Time) error {
	rows, err := s.table.Scan(ctx, budgetKey(s.environment, ""), "", scanLimit)
	if err != nil {
		return err
	}
	s.rows, s.version, s.own = nil, 0, Budget{DataCentre: s.dataCentre}
	for _, r := range rows {
		var b Budget
		if err := msgpack.Unmarshal(r.Value, &b); err != nil || b.Level > budgetLevel {
			continue
		}
		s.rows = append(s.rows, b)
		if b.DataCentre == s.dataCentre {
			s.version, s.own = r.Version, b
		}
	}
	next := budgetRow(s.own, share, s.rows, waiting, now)
	asks := waiting > wantAfter
	asked := s.own.Waiting > wantAfter
	if asks == asked && !asks && len(next.Loans) == len(s.own.Loans) {
		return nil
	}
	return s.put(ctx, hold, next)
}

// budgetRow returns a data centre's next row: what it asks for, the loans that
// still run, and new ones once it uses nothing itself.
func budgetRow(own Budget, share Limits, rows []Budget, waiting int, now time.Time) Budget {
	next := Budget{Level: budgetLevel, DataCentre: own.DataCentre, Waiting: waiting, At: now.UnixMilli()}
	next.Loans = slices.DeleteFunc(slices.Clone(own.Loans), func(l Loan) bool { return now.UnixMilli() >= l.Until })
	if waiting == 0 && len(next.Loans) == 0 {
		next.Loans = lend(share, rows, own.DataCentre, now)
	}
	return next
}

// put writes the own row.
func (s *shares) put(ctx context.Context, hold lease.Hold, b Budget) error {
	value, err := msgpack.Marshal(b)
	if err != nil {
		return code.Errorf(code.Internal, "encode budget: %w", err)
	}
	key := budgetKey(s.environment, s.dataCentre)
	tx := store.Tx{ID: store.NewID()}
	tx.Require(hold.Key, hold.Version)
	tx.Require(key, s.version)
	tx.Put(key, value)
	if err := store.Commit(ctx, s.table, tx); err != nil {
		return err
	}
	s.rows = slices.DeleteFunc(s.rows, func(r Budget) bool { return r.DataCentre == s.dataCentre })
	s.rows = append(s.rows, b)
	return nil
}
