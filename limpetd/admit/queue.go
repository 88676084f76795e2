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

// DocumentProvider gives the environment document in force.
type DocumentProvider interface {
	Document() (*envdoc.Document, bool)
}

// ViewProvider gives the newest view of the engines.
type ViewProvider interface {
	View() *route.View
}

// PeerCounter counts the live daemons, this one included.
type PeerCounter interface {
	Daemons() int
}

// VMProvider gives the VMs that are known.
type VMProvider interface {
	VMs() []store.VM
}

// Seeker learns of engines in other data centres that do not tell their reports
// here.
type Seeker interface {
	// Seek asks for engines that hold slots. It does not wait.
	Seek(slots []envdoc.Slot)
	// Sought returns the slots for which an answer is awaited. The caller must
	// not change it.
	Sought() map[envdoc.Slot]bool
}

// Config says which daemon admits.
type Config struct {
	// VM and DataCentre are those of this daemon.
	VM         string
	DataCentre string
}

// Deps are what a Queue needs. Seeker, Lenders, Log, Events and Scope may be nil.
// Without Lenders this daemon is the only one.
type Deps struct {
	Documents DocumentProvider
	Views     ViewProvider
	Peers     PeerCounter
	VMs       VMProvider
	Seeker    Seeker
	Lenders   LenderProvider
	Log       *zap.Logger
	Events    *event.Line
	Scope     tally.Scope
}

// Option changes a Queue.
type Option func(*Queue)

// WithRandom sets the random source, for tests.
func WithRandom(r *rand.Rand) Option {
	return func(q *Queue) { q.random = r }
}

const (
	// stepPeriod is the time between two steps while calls wait.
	stepPeriod = 20 * time.Millisecond
	// idlePeriod is the same while none waits.
	idlePeriod = 250 * time.Millisecond
)

// Queue admits the calls of a daemon. It is safe for concurrent use.
type Queue struct {
	config Config
	deps   Deps
	random *rand.Rand
	tomb   *tomb.Tomb
	// wake tells the stepping goroutine that calls wait; one token is enough,
	// further ones are dropped.
	wake chan struct{}
	// asks limits the questions for loans.
	asks *rate.Limiter

	mu       sync.Mutex
	state    *State
	services *services
	limits   *limits
	// borrowings are the questions for loans in flight, by caller.
	borrowings map[string]*borrowing
	document   *envdoc.Document
	view       *route.View
	// ejected are the engines that were ejected at the last step.
	ejected []string
}

// New starts admitting until ctx ends.
func New(ctx context.Context, c Config, d Deps, opts ...Option) *Queue {
	q := &Queue{
		config:     c,
		deps:       d,
		random:     rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		wake:       make(chan struct{}, 1),
		asks:       newAsks(),
		limits:     newLimits(c.VM),
		borrowings: make(map[string]*borrowing),
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
	q.services = newServices(c.DataCentre, q.random)
	q.tomb, ctx = life.WithContext(ctx)
	q.tomb.Go(func() error { return q.run(ctx) })
	return q
}

// Wait returns when the goroutines have ended.
func (q *Queue) Wait() error {
	err := q.tomb.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// run decides waiting calls as time passes.
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

// step decides waiting calls and returns the number of those left.
func (q *Queue) step() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	if q.deps.Seeker != nil {
		// This comes before the view is read, so that the view holds the answers
		// that are not awaited any more.
		q.state.SetSought(q.deps.Seeker.Sought())
	}
	q.refresh(now)
	q.setLenders(now)
	q.decide(now)
	q.tellEjected(q.state.Ejected(now))
	waiting := q.state.Waiting()
	q.deps.Scope.Gauge("admit_waiting").Update(float64(waiting))
	return waiting
}

// tellEjected tells which engines were ejected and which came back since the last
// step.
func (q *Queue) tellEjected(ejected []string) {
	for _, vm := range ejected {
		if !slices.Contains(q.ejected, vm) {
			q.tell(event.EngineEjected, vm)
		}
	}
	for _, vm := range q.ejected {
		if !slices.Contains(ejected, vm) {
			q.tell(event.EngineRestored, vm)
		}
	}
	q.ejected = ejected
	q.deps.Scope.Gauge("admit_ejected").Update(float64(len(ejected)))
}

// tell logs an event of an engine and adds it to the time line.
func (q *Queue) tell(kind event.Kind, vm string) {
	q.deps.Log.Warn(string(kind), zap.String("vm", vm))
	if q.deps.Events != nil {
		q.deps.Events.Add(event.Event{Kind: kind, VM: vm})
	}
}

// refresh takes the document, the number of daemons and the view.
func (q *Queue) refresh(now time.Time) {
	if doc, ok := q.deps.Documents.Document(); ok && doc != q.document {
		q.document = doc
		q.state.SetDocument(doc)
		q.limits.set(doc.Callers)
	}
	if v := q.deps.Views.View(); v != nil && v != q.view {
		q.view = v
		q.state.SetDaemons(q.deps.Peers.Daemons())
		q.state.SetView(now, v)
	}
}

// decide lets the state decide and tells the waiters.
func (q *Queue) decide(now time.Time) {
	for _, c := range q.state.Step(now) {
		if w, ok := c.Memo.(chan struct{}); ok {
			close(w)
		}
	}
	q.seek()
}

// seek asks other data centres for what the state wants.
func (q *Queue) seek() {
	wanted := q.state.Wanted()
	if q.deps.Seeker != nil && len(wanted) > 0 {
		q.deps.Seeker.Seek(wanted)
	}
}

// Admit blocks until an engine has room for the call. It returns an error with a
// code and a retry-after when the call is refused: CallerLimit, QueueFull,
// ShedDeadline, NoEngine, RetryBudget; Stopping when the daemon stops and
// CallerGone when ctx ends.
func (q *Queue) Admit(ctx context.Context, r Request) (Ticket, error) {
	if r.Attempt == 0 {
		if err := q.leave(ctx, r.Caller); err != nil {
			q.refused(r.ID, r.Route.Model, err)
			return nil, err
		}
	}
	c, wait := q.offer(r)
	if wait != nil {
		select {
		case <-wait:
		case <-ctx.Done():
			return q.giveUp(c, code.CallerGone)
		case <-q.tomb.Dying():
			return q.giveUp(c, code.Stopping)
		}
	}
	if c.Err != nil {
		q.refused(r.ID, r.Route.Model, c.Err)
		return nil, c.Err
	}
	return &ticket{queue: q, call: c}, nil
}

// offer offers a call and returns a channel to wait on, or nil when the call is
// decided.
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
	c.Memo = w
	select {
	case q.wake <- struct{}{}:
	default:
	}
	return c, w
}

// giveUp takes a call back; if it was decided meanwhile its room is given back.
func (q *Queue) giveUp(c *Call, k code.Code) (Ticket, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if c.status == statusGranted {
		now := time.Now()
		q.state.Release(now, c, OutcomeGone)
		q.decide(now)
	} else {
		q.state.Cancel(c)
	}
	return nil, code.Errorf(k, "the call was not sent")
}

// refused notes a refusal.
func (q *Queue) refused(id, model string, err error) {
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

// DataCentreDemand returns the demand at this daemon and at the peers of its data
// centre, as far as they told it lately.
func (q *Queue) DataCentreDemand() []member.ModelDemand {
	here := make(map[string]bool)
	for _, vm := range q.deps.VMs.VMs() {
		if vm.Kind == store.KindEntry && vm.DataCentre == q.config.DataCentre && vm.ID != q.config.VM {
			here[vm.ID] = true
		}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	own := q.state.Demand(now)
	return q.state.demand.sum(now, own, func(daemon string) bool { return here[daemon] })
}

// Receive takes the demand that a peer told.
func (q *Queue) Receive(daemon string, demand []member.ModelDemand) {
	if daemon == q.config.VM {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.state.Receive(time.Now(), daemon, demand)
}
