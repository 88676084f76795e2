// Package order carries placement out: it writes the intents into the ledger,
// sends the orders to the engines, and settles what became of them.
//
// A Duty runs on every daemon. The one that holds the lease of the data centre
// plans (package place), charges (package ledger), and only then sends. All
// daemons restore what is charged on an engine that came back empty, from the
// ledger rows they read last, as far as the rows allow them to send. So an
// engine heals while the table is away.
//
// What a row charges is what gets sent: there is no other list of orders. A
// daemon that takes the lease over finishes what the rows say, with the same
// order ids, which an engine carries out once.
//
// # Usage
//
//	d := order.New(ctx, order.Config{VM: "vm-1", Instance: id, ...}, order.Deps{...})
//	...
//	err := d.Leave(ctx)
//	err = d.Wait()
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

// DocumentProvider returns the document in force; false while there is none.
type DocumentProvider interface {
	Document() (*envdoc.Document, bool)
}

// VMProvider returns the VM list. A VM that is missing for GoneAfter counts as
// gone, so a VM that the platform lists must not be left out.
type VMProvider interface {
	VMs() []store.VM
}

// GoneProvider tells whether reads of the VM list have lacked a VM for a time.
// False may mean that it is not known.
type GoneProvider interface {
	Gone(vm string, lifetime time.Duration) bool
}

// ReportProvider returns the last report of an engine and when it came.
type ReportProvider interface {
	Report(vm string) (r engine.Report, received time.Time, ok bool)
}

// DemandProvider returns the demand of this data centre, summed over daemons.
type DemandProvider interface {
	Demand() []member.ModelDemand
}

// RemotesProvider tells what other data centres hold, with the time of each
// answer, sorted by name; the time is zero for one that is not known. Those that
// tell their reports here are left out.
type RemotesProvider interface {
	Remotes() []place.Remote
}

// SentState is what a daemon answers about orders it was allowed to send.
type SentState string

// The answers. SentNever means that nothing sent is unanswered and nothing will
// be sent; SentPending means that the question has to be asked again.
const (
	SentNever   SentState = "never"
	SentPending SentState = "pending"
)

// SentAnswer is a daemon's answer about a grant.
type SentAnswer struct {
	// Instance is the process that answers.
	Instance string    `json:"instance"`
	State    SentState `json:"state"`
}

// SentProvider asks a daemon, by its VM id, whether anything it sent under a
// grant can still reach an engine. A daemon that answers SentNever sends nothing
// under the grant from then on.
type SentProvider interface {
	Sent(ctx context.Context, daemon string, grant string) (SentAnswer, error)
}

// Deps are what the duty uses.
type Deps struct {
	Table     store.Table
	Orderer   engine.Orderer
	Documents DocumentProvider
	VMs       VMProvider
	// Gone confirms that a VM is gone before anything is released for it; nil
	// leaves it to VMs.
	Gone    GoneProvider
	Reports ReportProvider
	// Remotes may be nil.
	Remotes RemotesProvider
	Demand  DemandProvider
	Sent    SentProvider
	Log     *zap.Logger
	Events  *event.Line
	Scope   tally.Scope
}

// Config describes the daemon and its data centre.
type Config struct {
	VM          string
	Instance    string
	DataCentre  string
	Environment string
	// LeaseTerm is how long the lease lasts without renewal; 0 means
	// DefaultLeaseTerm.
	LeaseTerm time.Duration
	// PlanPeriod is the time between plans; 0 means DefaultPlanPeriod.
	PlanPeriod time.Duration
}

// Defaults and limits of the duty.
const (
	DefaultLeaseTerm  = 8 * time.Second
	DefaultPlanPeriod = time.Second
	// ConnectionLifetime is how long an order without an answer may still
	// arrive at an engine.
	ConnectionLifetime = 30 * time.Second
	// GoneAfter is how long a VM is missing from the VM list before it
	// counts as gone.
	GoneAfter = 30 * time.Second
	// OrderTimeout bounds the wait for the answer to an order.
	OrderTimeout = 60 * time.Second
	// ReportLag is how late a report may come.
	ReportLag = 5 * time.Second
	// ReportLifetime is how old the last report of a usable engine may be.
	ReportLifetime = 15 * time.Second
	// RemoteLifetime is how long it counts what another data centre told.
	RemoteLifetime = 30 * time.Second
	// CopyPeriod is how often a daemon without the lease reads the ledger.
	CopyPeriod = 30 * time.Second
	// startGrace is how long a daemon that starts waits for engines that have
	// not reported before it plans without them.
	startGrace = 5 * time.Second
	// commitWindow is the least time between two steps; what arises in it is
	// written in one transaction.
	commitWindow = 25 * time.Millisecond
)

// Option changes a Duty.
type Option func(*Duty)

// WithConnectionLifetime replaces ConnectionLifetime.
func WithConnectionLifetime(d time.Duration) Option {
	return func(o *Duty) { o.connectionLifetime = d }
}

// WithOrderTimeout replaces OrderTimeout.
func WithOrderTimeout(d time.Duration) Option {
	return func(o *Duty) { o.orderTimeout = d }
}

// WithRandom sets the source of random pauses and choices. It must be safe for
// concurrent use, as those of package random are.
func WithRandom(r *rand.Rand) Option {
	return func(o *Duty) { o.random = r }
}

// Duty is the placement duty of a daemon.
type Duty struct {
	config             Config
	deps               Deps
	tomb               *tomb.Tomb
	keeper             *lease.Keeper
	connectionLifetime time.Duration
	orderTimeout       time.Duration
	random             *rand.Rand

	// results holds the ends of sends and questions; its size is that of all
	// that may run at once, so that a sender never waits.
	results chan result
	// kick wakes the loop; when it is full the loop is about to run anyway.
	wakeups chan struct{}

	// loop is owned by the loop goroutine, but for its planner's memory, which
	// planning guards.
	loop      *loop
	plannerMu sync.Mutex

	mu      sync.Mutex
	gate    *ledger.Gate
	leaving bool
	// withdrawn tells that no row names this daemon any more.
	withdrawn bool
	status    Status
	lastPlan  place.Plan
	lastFacts *place.Facts
}

// New starts the duty.
func New(ctx context.Context, c Config, d Deps, opts ...Option) *Duty {
	if c.LeaseTerm == 0 {
		c.LeaseTerm = DefaultLeaseTerm
	}
	if c.PlanPeriod == 0 {
		c.PlanPeriod = DefaultPlanPeriod
	}
	t, ctx := life.WithContext(ctx)
	o := &Duty{
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
	o.gate = ledger.NewGate(o.connectionLifetime, time.Now())
	o.loop = newLoop(o)
	o.keeper = lease.New(ctx, c.Environment, c.DataCentre,
		lease.Config{VM: c.VM, Instance: c.Instance, Term: c.LeaseTerm},
		lease.Deps{Table: d.Table, Log: d.Log, Events: d.Events, Scope: d.Scope},
		lease.WithEligible(o.eligible), lease.WithChanged(o.wake), lease.WithRandom(o.random))
	t.Go(func() error {
		o.loop.run(ctx)
		return o.keeper.Wait()
	})
	return o
}

// Wait returns when the duty has ended.
func (o *Duty) Wait() error { return o.tomb.Wait() }

// wake makes the loop run soon.
func (o *Duty) wake() {
	select {
	case o.wakeups <- struct{}{}:
	default:
	}
}

// eligible tells whether this daemon may take the lease: it is listed as live,
// so that others can tell when it is gone.
func (o *Duty) eligible() bool {
	for _, v := range o.deps.VMs.VMs() {
		if v.ID == o.config.VM {
			return v.State == store.StateLive
		}
	}
	return false
}

// AnswerSent answers a peer's question about a grant. Nothing more is sent under
// the grant.
func (o *Duty) AnswerSent(grant string) SentAnswer {
	o.mu.Lock()
	defer o.mu.Unlock()
	a := SentAnswer{Instance: o.config.Instance, State: SentPending}
	if o.gate.Void(grant, time.Now()) {
		a.State = SentNever
	}
	return a
}

// Leave stops planning and sending, waits for the answers to what was sent, and
// hands the lease over. An error of ctx means that answers are outstanding; the
// lease is handed over nevertheless, if the table allows it.
func (o *Duty) Leave(ctx context.Context) error {
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

// done tells whether a leaving daemon has nothing left to do.
func (o *Duty) leaveDone() bool {
	_, holdsLease := o.keeper.Hold()
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.withdrawn || (o.status.Running == 0 && !holdsLease)
}

// Status is the state of the duty.
type Status struct {
	// Holder is the VM that holds the lease, Mine whether it is this one.
	Holder string `json:"holder"`
	Mine   bool   `json:"mine"`
	Fence  int64  `json:"fence"`
	// Running counts orders that wait for an answer.
	Running int            `json:"running"`
	Engines []EngineStatus `json:"engines"`
	// Blocked are declared slots that find no room.
	Blocked []place.Blocked `json:"blocked,omitempty"`
}

// EngineStatus is the state of an engine in the ledger.
type EngineStatus struct {
	VM          string `json:"vm"`
	MemoryMB    int64  `json:"memory_mb"`
	CommittedMB int64  `json:"committed_mb"`
	// SetAside is the code for which the engine gets no orders; OK if it does.
	SetAside code.Code `json:"set_aside"`
	Reason   string    `json:"reason,omitempty"`
	// Unresolved are the charges that wait for an engine.
	Unresolved []string `json:"unresolved,omitempty"`
}

// Status returns the state as of the last step.
func (o *Duty) Status() Status {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.status
}

// Explain returns the moves that this daemon would make now, from the demand that
// it remembers. The error has code
// NoDocument while there is none.
func (o *Duty) Explain(_ context.Context) (place.Plan, error) {
	o.mu.Lock()
	facts, last := o.lastFacts, o.lastPlan
	o.mu.Unlock()
	if facts == nil {
		return place.Plan{}, code.Errorf(code.NoDocument, "no environment document is in force")
	}
	o.plannerMu.Lock()
	planner := o.loop.planner.Clone()
	o.plannerMu.Unlock()
	plan := planner.Plan(*facts)
	if len(plan.Moves) == 0 {
		return last, nil
	}
	return plan, nil
}
