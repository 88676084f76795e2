// Package order carries out the placement of models on engines: it writes the intended
// loads and unloads to the ledger, sends the orders to the engines, and records the
// results.
//
// A Controller runs on every daemon. The lease holder of the data centre plans (package
// place), writes charges to the ledger (package ledger), and only then sends orders.
// When an engine restarts without its slots, the lease holder loads them again. While
// the table is unavailable, a daemon without the lease does so if the current grant of
// the engine's ledger row, as the daemon read it last, names the daemon. Engines are
// therefore restored even without the table.
//
// The charges of the ledger rows are the only list of orders. A daemon that takes over
// the lease completes the orders of the rows under the same order ids; an engine
// carries out each id once.
//
// A grant is void once no order that was sent under the grant can still reach the
// engine and no daemon will send another one. An unload is sent only after the older
// grants of the row are void (see package ledger).
//
// # Usage
//
//	c := order.New(ctx, order.Config{VM: "vm-1", Instance: id, ...}, order.Deps{...})
//	...
//	err := c.Leave(ctx)
//	err = c.Wait()
package order

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"gopkg.in/tomb.v2"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/engine"
	"github.com/limpetlb/limpetlb/limpetd/envdoc"
	"github.com/limpetlb/limpetlb/limpetd/event"
	"github.com/limpetlb/limpetlb/limpetd/lease"
	"github.com/limpetlb/limpetlb/limpetd/ledger"
	"github.com/limpetlb/limpetlb/limpetd/life"
	"github.com/limpetlb/limpetlb/limpetd/member"
	"github.com/limpetlb/limpetlb/limpetd/place"
	"github.com/limpetlb/limpetlb/limpetd/random"
	"github.com/limpetlb/limpetlb/limpetd/store"
)

// DocumentProvider returns the environment document in force, or false while there is
// none.
type DocumentProvider interface {
	Document() (*envdoc.Document, bool)
}

// VMProvider returns the VM list. A VM that is missing from the list for VMGoneTimeout
// counts as gone, so the list must contain every VM that the platform lists.
type VMProvider interface {
	VMs() []store.VM
}

// VMAbsenceProvider reports whether reads of the VM list have lacked a VM for a lifetime.
// False may also mean that this is not known.
type VMAbsenceProvider interface {
	IsGone(vm string, lifetime time.Duration) bool
}

// ReportProvider returns the last report of an engine and the time of its measurement in
// this daemon's clock.
type ReportProvider interface {
	Report(vm string) (r engine.Report, measured time.Time, ok bool)
}

// DemandProvider returns the demand of this data centre, summed over its daemons.
type DemandProvider interface {
	Demand() []member.ModelDemand
}

// RemotesProvider returns what other data centres hold, with the time of each answer,
// sorted by name. The time is zero for a data centre that has not answered. Data
// centres whose engine reports reach this daemon are left out.
type RemotesProvider interface {
	Remotes() []place.Remote
}

// GrantState is a daemon's answer to the question whether orders that it sent under a
// grant may still reach an engine.
type GrantState string

// The possible answers. GrantVoid means that no order sent under the grant can still
// reach an engine and that none will be sent; GrantPending means that the daemon has to
// be asked again.
const (
	GrantVoid    GrantState = "never"
	GrantPending GrantState = "pending"
)

// GrantAnswer is a daemon's answer to a query about a grant.
type GrantAnswer struct {
	// Instance is the process that answers.
	Instance string     `json:"instance"`
	State    GrantState `json:"state"`
}

// GrantQuerier asks a daemon, by its VM id, whether an order that it sent under a grant
// can still reach an engine. After a daemon has answered GrantVoid, it sends no orders
// under the grant.
type GrantQuerier interface {
	QueryGrant(ctx context.Context, daemon string, grant string) (GrantAnswer, error)
}

// Deps holds the dependencies of a Controller.
type Deps struct {
	Table       store.Table
	OrderSender engine.OrderSender
	Documents   DocumentProvider
	VMs         VMProvider
	// VMAbsence confirms that a VM is gone before anything is released because of its
	// absence. If VMAbsence is nil, VMs alone decides.
	VMAbsence VMAbsenceProvider
	Reports   ReportProvider
	// Remotes may be nil.
	Remotes RemotesProvider
	Demand  DemandProvider
	Grants  GrantQuerier
	Log     *zap.Logger
	Events  *event.Timeline
	Scope   tally.Scope
}

// Config describes the daemon and its data centre.
type Config struct {
	VM          string
	Instance    string
	DataCentre  string
	Environment string
	// LeaseTerm is how long the lease lasts without renewal; 0 means DefaultLeaseTerm.
	LeaseTerm time.Duration
	// PlanPeriod is the time between plans; 0 means DefaultPlanPeriod.
	PlanPeriod time.Duration
}

// Defaults and limits of a Controller.
const (
	DefaultLeaseTerm  = 8 * time.Second
	DefaultPlanPeriod = time.Second
	// ConnectionLifetime is how long after a send without an answer the order may still
	// arrive at the engine.
	ConnectionLifetime = 30 * time.Second
	// VMGoneTimeout is how long a VM is missing from the VM list before it counts as gone.
	VMGoneTimeout = 30 * time.Second
	// OrderTimeout bounds the wait for the answer to an order.
	OrderTimeout = 60 * time.Second
	// MaxReportDelay is the longest delay with which a report of an engine may arrive.
	MaxReportDelay = 5 * time.Second
	// MaxReportAge is the maximum age of the last report of a usable engine.
	MaxReportAge = 15 * time.Second
	// MaxRemoteAnswerAge is how long the answer of another data centre is used.
	MaxRemoteAnswerAge = 30 * time.Second
	// LedgerRefreshPeriod is how often a daemon without the lease reads the ledger.
	LedgerRefreshPeriod = 30 * time.Second
	// startGrace is how long a starting daemon waits for engines that have not reported
	// before it plans without them.
	startGrace = 5 * time.Second
	// commitWindow is the delay between a wake-up and the next step, so that changes
	// that arise close together are written in one transaction.
	commitWindow = 25 * time.Millisecond
)

// Option changes a Controller.
type Option func(*Controller)

// WithConnectionLifetime replaces ConnectionLifetime.
func WithConnectionLifetime(d time.Duration) Option {
	return func(o *Controller) { o.connectionLifetime = d }
}

// WithOrderTimeout replaces OrderTimeout.
func WithOrderTimeout(d time.Duration) Option {
	return func(o *Controller) { o.orderTimeout = d }
}

// WithRandom sets the source of random pauses and choices. The source must be safe for
// concurrent use, like those of package random.
func WithRandom(r *rand.Rand) Option {
	return func(o *Controller) { o.random = r }
}

// Controller keeps the engines of a data centre in line with the placement plan. One Controller
// runs on each daemon.
type Controller struct {
	config             Config
	deps               Deps
	tomb               *tomb.Tomb
	keeper             *lease.Keeper
	connectionLifetime time.Duration
	orderTimeout       time.Duration
	random             *rand.Rand

	// results receives the results of orders and sender queries. Its capacity is the
	// maximum number of them in flight, so that a sending goroutine never blocks.
	results chan result
	// wakeups makes the loop run its next step early. When the channel is full, a step
	// is due anyway.
	wakeups chan struct{}

	// loop is used only by the loop goroutine, except for the state of its planner,
	// which plannerMu guards.
	loop      *loop
	plannerMu sync.Mutex

	// mu guards the fields below.
	mu          sync.Mutex
	sendTracker *ledger.SendTracker
	leaving     bool
	// withdrawn is whether a leaving daemon has removed itself from the grants of the
	// ledger rows.
	withdrawn bool
	status    Status
	lastPlan  place.Plan
	lastInput *place.Input
}

// New starts a Controller.
func New(ctx context.Context, c Config, d Deps, opts ...Option) *Controller {
	if c.LeaseTerm == 0 {
		c.LeaseTerm = DefaultLeaseTerm
	}
	if c.PlanPeriod == 0 {
		c.PlanPeriod = DefaultPlanPeriod
	}
	t, ctx := life.WithContext(ctx)
	o := &Controller{
		config:             c,
		deps:               d,
		tomb:               t,
		connectionLifetime: ConnectionLifetime,
		orderTimeout:       OrderTimeout,
		random:             random.New(),
		results:            make(chan result, maxInFlight),
		wakeups:            make(chan struct{}, 1),
	}
	for _, opt := range opts {
		opt(o)
	}
	o.sendTracker = ledger.NewSendTracker(o.connectionLifetime, time.Now())
	o.loop = newLoop(o)
	o.keeper = lease.New(ctx, c.Environment, c.DataCentre,
		lease.Config{VM: c.VM, Instance: c.Instance, Term: c.LeaseTerm},
		lease.Deps{Table: d.Table, Log: d.Log, Events: d.Events, Scope: d.Scope},
		lease.WithEligible(o.eligible), lease.WithOnChange(o.wake), lease.WithRandom(o.random))
	t.Go(func() error {
		o.loop.run(ctx)
		return o.keeper.Wait()
	})
	return o
}

// Wait blocks until the Controller has ended.
func (o *Controller) Wait() error { return o.tomb.Wait() }

// wake makes the loop run its next step soon.
func (o *Controller) wake() {
	select {
	case o.wakeups <- struct{}{}:
	default:
	}
}

// eligible reports whether this daemon may take the lease. The VM list must show the
// daemon as live, so that other daemons can notice when its VM is gone.
func (o *Controller) eligible() bool {
	for _, v := range o.deps.VMs.VMs() {
		if v.ID == o.config.VM {
			return v.State == store.StateLive
		}
	}
	return false
}

// AnswerGrantQuery answers a peer's query about a grant. From then on no orders are sent
// under the grant.
func (o *Controller) AnswerGrantQuery(grant string) GrantAnswer {
	o.mu.Lock()
	defer o.mu.Unlock()
	a := GrantAnswer{Instance: o.config.Instance, State: GrantPending}
	if o.sendTracker.CloseAndCheckVoid(grant, time.Now()) {
		a.State = GrantVoid
	}
	return a
}

// Leave stops planning and sending, waits for the answers to orders in flight, and
// hands the lease over. An error of ctx means that answers are outstanding; the lease
// is handed over nevertheless if the table allows it.
func (o *Controller) Leave(ctx context.Context) error {
	o.mu.Lock()
	o.leaving = true
	o.mu.Unlock()
	for !o.leaveDone() && ctx.Err() == nil {
		o.wake()
		select {
		case <-ctx.Done():
		case <-time.After(2 * commitWindow):
		}
	}
	handover, cancel := context.WithTimeout(context.WithoutCancel(ctx), store.CallTimeout)
	defer cancel()
	if err := o.keeper.Leave(handover); err != nil {
		return err
	}
	return ctx.Err()
}

// leaveDone reports whether a leaving daemon has finished its work.
func (o *Controller) leaveDone() bool {
	_, holdsLease := o.keeper.Hold()
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.withdrawn || (o.status.InFlight == 0 && !holdsLease)
}

// Status is the state of a Controller.
type Status struct {
	// LeaseHolder is the VM that holds the lease, and HoldsLease is whether that is this VM.
	LeaseHolder string `json:"holder"`
	HoldsLease  bool   `json:"mine"`
	Fence       int64  `json:"fence"`
	// InFlight counts the orders and sender queries in flight.
	InFlight int            `json:"running"`
	Engines  []EngineStatus `json:"engines"`
	// Blocked are the declared slots for which no engine has room.
	Blocked []place.BlockedSlot `json:"blocked,omitempty"`
}

// EngineStatus is the state of an engine in the ledger.
type EngineStatus struct {
	VM          string `json:"vm"`
	MemoryMB    int64  `json:"memory_mb"`
	CommittedMB int64  `json:"committed_mb"`
	// SetAside is the code of the reason why the engine gets no orders, or OK.
	SetAside code.Code `json:"set_aside"`
	Reason   string    `json:"reason,omitempty"`
	// Unconfirmed describes the charges whose load or unload the engine has not
	// confirmed.
	Unconfirmed []string `json:"unresolved,omitempty"`
}

// Status returns the state as of the last step.
func (o *Controller) Status() Status {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.status
}

// Explain returns the moves that this daemon would make now, given the demand that its
// planner remembers, or the last plan if there are no moves to make. The error has code
// NoDocument while no document is in force.
func (o *Controller) Explain(_ context.Context) (place.Plan, error) {
	o.mu.Lock()
	input, last := o.lastInput, o.lastPlan
	o.mu.Unlock()
	if input == nil {
		return place.Plan{}, code.Errorf(code.NoDocument, "no environment document is in force")
	}
	o.plannerMu.Lock()
	planner := o.loop.planner.Clone()
	o.plannerMu.Unlock()
	plan := planner.Plan(*input)
	if len(plan.Moves) == 0 {
		return last, nil
	}
	return plan, nil
}
