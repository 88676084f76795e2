package admit

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"golang.org/x/time/rate"
	"gopkg.in/tomb.v2"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/envdoc"
	"github.com/limpetlb/limpetlb/limpetd/event"
	"github.com/limpetlb/limpetlb/limpetd/life"
	"github.com/limpetlb/limpetlb/limpetd/member"
	"github.com/limpetlb/limpetlb/limpetd/route"
	"github.com/limpetlb/limpetlb/limpetd/store"
)

// DocumentProvider returns the environment document in force.
type DocumentProvider interface {
	Document() (*envdoc.Document, bool)
}

// ViewProvider returns the newest view of the engines.
type ViewProvider interface {
	View() *route.View
}

// DaemonCounter counts the live daemons, including this one.
type DaemonCounter interface {
	LiveDaemons() int
}

// VMProvider returns the known VMs.
type VMProvider interface {
	VMs() []store.VM
}

// EngineSeeker looks for engines in other data centres whose reports this daemon does not
// receive.
type EngineSeeker interface {
	// RequestEngines asks for engines that hold the slots. It does not block.
	RequestEngines(slots []envdoc.Slot)
	// PendingSlots returns the slots for which an answer is pending. The caller must
	// not change the map.
	PendingSlots() map[envdoc.Slot]bool
}

// Config identifies the daemon of a Queue.
type Config struct {
	// VM and DataCentre are the VM and data centre of this daemon.
	VM         string
	DataCentre string
}

// Deps are the dependencies of a Queue. Seeker, LimitOwners, Log, Events and Scope may be
// nil. Without LimitOwners, this daemon owns the limits of all callers.
type Deps struct {
	Documents   DocumentProvider
	Views       ViewProvider
	Peers       DaemonCounter
	VMs         VMProvider
	Seeker      EngineSeeker
	LimitOwners LimitOwnerProvider
	Log         *zap.Logger
	Events      *event.Timeline
	Scope       tally.Scope
}

// Option configures a Queue.
type Option func(*Queue)

// WithRandom sets the random source, for tests.
func WithRandom(r *rand.Rand) Option {
	return func(q *Queue) { q.random = r }
}

const (
	// stepPeriod is the time between two steps while calls wait.
	stepPeriod = 20 * time.Millisecond
	// idlePeriod is the time between two steps while no calls wait.
	idlePeriod = 250 * time.Millisecond
)

// Queue admits the calls of a daemon. It is safe for concurrent use.
type Queue struct {
	config Config
	deps   Deps
	random *rand.Rand
	tomb   *tomb.Tomb
	// wake signals the stepping goroutine that calls wait. One pending signal is
	// enough, and further ones are dropped.
	wake chan struct{}
	// loanLimiter limits the rate of loan requests.
	loanLimiter *rate.Limiter

	mu              sync.Mutex
	state           *State
	serviceBalancer *serviceBalancer
	limits          *limits
	// loanRequests are the loan requests in flight, by caller.
	loanRequests map[string]*loanRequest
	document     *envdoc.Document
	view         *route.View
	// ejected are the VMs of the engines that were ejected at the last step.
	ejected []string
}

// New returns a Queue that admits calls until ctx ends.
func New(ctx context.Context, c Config, d Deps, opts ...Option) *Queue {
	q := &Queue{
		config:       c,
		deps:         d,
		random:       rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		wake:         make(chan struct{}, 1),
		loanLimiter:  newLoanLimiter(),
		limits:       newLimits(c.VM),
		loanRequests: make(map[string]*loanRequest),
	}
	for _, o := range opts {
		o(q)
	}
	if q.deps.Log == nil {
		q.deps.Log = zap.NewNop()
	}
	if q.deps.Scope == nil {
		q.deps.Scope = tally.NoopScope
	}
	q.state = NewState(c.VM, q.random)
	q.serviceBalancer = newServiceBalancer(c.DataCentre, q.random)
	q.tomb, ctx = life.WithContext(ctx)
	q.tomb.Go(func() error { return q.run(ctx) })
	return q
}

// Wait blocks until the goroutine of the Queue has ended.
func (q *Queue) Wait() error {
	err := q.tomb.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// run steps the state periodically, and as soon as calls start to wait.
func (q *Queue) run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-q.wake:
		case <-timer.C:
		}
		period := idlePeriod
		if q.step() > 0 {
			period = stepPeriod
		}
		timer.Reset(period)
	}
}

// step updates the inputs of the state, decides waiting calls and returns the number of
// calls that still wait.
func (q *Queue) step() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	if q.deps.Seeker != nil {
		// PendingSlots is read before the view, so that the view contains the answer for
		// each slot that is no longer pending.
		q.state.SetPendingSlots(q.deps.Seeker.PendingSlots())
	}
	q.refresh(now)
	q.setLimitOwners(now)
	q.decideWaiting(now)
	q.logEjections(q.state.Ejected(now))
	waiting := q.state.Waiting()
	q.deps.Scope.Gauge("admit_waiting").Update(float64(waiting))
	return waiting
}

// logEjections logs the engines that were ejected and those whose ejection ended since
// the last step.
func (q *Queue) logEjections(ejected []string) {
	for _, vm := range ejected {
		if !slices.Contains(q.ejected, vm) {
			q.logEngineEvent(event.EngineEjected, vm)
		}
	}
	for _, vm := range q.ejected {
		if !slices.Contains(ejected, vm) {
			q.logEngineEvent(event.EngineRestored, vm)
		}
	}
	q.ejected = ejected
	q.deps.Scope.Gauge("admit_ejected").Update(float64(len(ejected)))
}

// logEngineEvent logs an event of an engine and adds it to the daemon's events.
func (q *Queue) logEngineEvent(kind event.Kind, vm string) {
	q.deps.Log.Warn(string(kind), zap.String("vm", vm))
	if q.deps.Events != nil {
		q.deps.Events.Add(event.Event{Kind: kind, VM: vm})
	}
}

// refresh passes a new document to the state and the limits, and a new view with the
// number of daemons to the state.
func (q *Queue) refresh(now time.Time) {
	if doc, ok := q.deps.Documents.Document(); ok && doc != q.document {
		q.document = doc
		q.state.SetDocument(doc)
		q.limits.setCallers(doc.Callers)
	}
	if v := q.deps.Views.View(); v != nil && v != q.view {
		q.view = v
		q.state.SetDaemons(q.deps.Peers.LiveDaemons())
		q.state.SetView(now, v)
	}
}

// decideWaiting steps the state and wakes the callers whose calls were decided.
func (q *Queue) decideWaiting(now time.Time) {
	for _, c := range q.state.Step(now) {
		if w, ok := c.UserData.(chan struct{}); ok {
			close(w)
		}
	}
	q.seek()
}

// seek asks other data centres for engines that hold the slots wanted by the state.
func (q *Queue) seek() {
	wanted := q.state.WantedSlots()
	if q.deps.Seeker != nil && len(wanted) > 0 {
		q.deps.Seeker.RequestEngines(wanted)
	}
}

// Admit blocks until an engine has room for the call. When the call is refused, the
// error has a retry-after and the code CallerLimit, QueueFull, ShedDeadline, NoEngine or
// RetryBudget. Other errors have the code Stopping when the daemon stops, and CallerGone
// when ctx ends.
func (q *Queue) Admit(ctx context.Context, r Request) (Ticket, error) {
	if r.Attempt == 0 {
		if err := q.applyCallerLimit(ctx, r.Caller); err != nil {
			q.recordRefusal(r.ID, r.Route.Model, err)
			return nil, err
		}
	}
	c, wait := q.offer(r)
	if wait != nil {
		select {
		case <-wait:
		case <-ctx.Done():
			return q.abandon(c, code.CallerGone)
		case <-q.tomb.Dying():
			return q.abandon(c, code.Stopping)
		}
	}
	if c.Err != nil {
		q.recordRefusal(r.ID, r.Route.Model, c.Err)
		return nil, c.Err
	}
	return &ticket{queue: q, call: c}, nil
}

// offer offers a call to the state. It returns a channel that is closed when the call is
// decided, or nil if the call is decided already.
func (q *Queue) offer(r Request) (*Call, chan struct{}) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	q.refresh(now)
	c := q.state.Offer(now, r)
	q.seek()
	if c.status != statusWaiting {
		return c, nil
	}
	w := make(chan struct{})
	c.UserData = w
	select {
	case q.wake <- struct{}{}:
	default:
	}
	return c, w
}

// abandon cancels a waiting call. If the call was granted in the meantime, its room is
// freed.
func (q *Queue) abandon(c *Call, k code.Code) (Ticket, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if c.status == statusGranted {
		now := time.Now()
		q.state.Release(now, c, OutcomeCallerGone)
		q.decideWaiting(now)
	} else {
		q.state.Cancel(c)
	}
	return nil, code.Errorf(k, "the call was not sent")
}

// recordRefusal counts a refusal and adds it to the daemon's events.
func (q *Queue) recordRefusal(id, model string, err error) {
	k := code.Of(err)
	q.deps.Scope.Tagged(map[string]string{"code": k.Info().Name}).Counter("admit_refused").Inc(1)
	if q.deps.Events != nil {
		q.deps.Events.Add(event.Event{Kind: event.RequestShed, Request: id, Model: model, Code: int(k)})
	}
}

// Demand returns the demand at this daemon.
func (q *Queue) Demand() []member.ModelDemand {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.state.Demand(time.Now())
}

// DataCentreDemand returns the sum of the demand at this daemon and the demand that the
// other daemons of its data centre reported recently.
func (q *Queue) DataCentreDemand() []member.ModelDemand {
	local := make(map[string]bool)
	for _, vm := range q.deps.VMs.VMs() {
		if vm.Kind == store.KindEntry && vm.DataCentre == q.config.DataCentre && vm.ID != q.config.VM {
			local[vm.ID] = true
		}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	own := q.state.Demand(now)
	return q.state.demand.sum(now, own, func(daemon string) bool { return local[daemon] })
}

// ReceivePeerDemand stores the demand reported by a peer.
func (q *Queue) ReceivePeerDemand(daemon string, demand []member.ModelDemand) {
	if daemon == q.config.VM {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.state.ReceivePeerDemand(time.Now(), daemon, demand)
}
