// Package reach finds engines in data centres whose load reports this daemon does not
// receive.
//
// In a large environment, daemons send load reports only within their data centre.
// When the engines of this data centre cannot serve a slot in time, a Finder asks one
// live daemon of each other data centre which engines hold the slot, and adds the
// answers to this daemon's view of the engines. It repeats the queries while the slot
// is requested. A data centre has at most one query in flight, for up to 16 slots.
//
// # Usage
//
//	f := reach.New(ctx, reach.Deps{Peers: members, Holders: peers, Answers: watch, Engines: watch})
//	f.RequestEngines([]envdoc.Slot{{Model: "m", Version: "1"}})
//	pending := f.PendingSlots()
//	err := f.Wait()
package reach

import (
	"context"
	"errors"
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"golang.org/x/time/rate"
	"gopkg.in/tomb.v2"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/engine"
	"github.com/limpetlb/limpetlb/limpetd/envdoc"
	"github.com/limpetlb/limpetlb/limpetd/member"
	"github.com/limpetlb/limpetlb/limpetd/place"
)

// FarProvider returns the daemons that send no load reports here.
type FarProvider interface {
	FarPeers() []member.Peer
}

// HoldersClient queries the daemon at an address for engines that hold slots.
type HoldersClient interface {
	QueryHolders(ctx context.Context, address string, slots []envdoc.Slot) ([]engine.Report, error)
}

// AnswerReceiver receives the reports of engines that a daemon of another data centre
// returned.
type AnswerReceiver interface {
	ReceiveRemoteReports(reports []engine.Report)
}

// EngineProvider returns the reports of the engines of this data centre that hold
// slots.
type EngineProvider interface {
	SlotHolders(slots []envdoc.Slot) []engine.Report
}

// Deps are the dependencies of a Finder. Log and Scope may be nil.
type Deps struct {
	Peers   FarProvider
	Holders HoldersClient
	Answers AnswerReceiver
	Engines EngineProvider
	// Documents, Placing, Placed and Resident are used to query which models other
	// data centres hold. Set all or none.
	Documents DocumentProvider
	Placing   PlacementStatus
	Placed    PlacedClient
	Resident  ResidentProvider
	Log       *zap.Logger
	Scope     tally.Scope
}

// Option configures a Finder.
type Option func(*Finder)

// WithRandom sets the random source, for tests.
func WithRandom(r *rand.Rand) Option {
	return func(a *Finder) { a.random = r }
}

const (
	// queryTimeout limits the time of a query.
	queryTimeout = time.Second
	// queryPeriod is the minimum time between two checks for due queries.
	queryPeriod = 100 * time.Millisecond
	// farCheckPeriod is the minimum time between two checks for far daemons.
	farCheckPeriod = 100 * time.Millisecond
	// targetTime is how long the same daemon of a data centre is queried, since a
	// new connection costs more than many queries.
	targetTime = 15 * time.Minute
	// bytesPerSecond limits the traffic of the queries sent with their answers, and
	// separately that of the queries answered. The burst covers the first queries
	// for newly requested slots.
	bytesPerSecond = 700
	burstBytes     = 64 << 10
	// A query with its answer takes queryBytes on the wire, plus slotBytes for each
	// slot and reportBytes for each report. A new connection takes connectionBytes.
	queryBytes      = 300
	slotBytes       = 60
	reportBytes     = 160
	connectionBytes = 6 << 10
)

// Finder queries other data centres. It is safe for concurrent use.
type Finder struct {
	deps   Deps
	random *rand.Rand
	tomb   *tomb.Tomb
	// queryBudget limits the bytes of the queries sent, answerBudget those of the
	// queries answered.
	queryBudget  *rate.Limiter
	answerBudget *rate.Limiter
	// wake signals that slots are requested. One pending signal is enough; further
	// ones are dropped.
	wake chan struct{}

	// mu guards the fields below, and random after New.
	mu      sync.Mutex
	planner *queryPlanner
	// farCheckedAt is when far daemons were last checked for, and hasFar whether
	// there were any.
	farCheckedAt time.Time
	hasFar       bool
	// targets are the daemons to query, by data centre.
	targets map[string]target
	// lastPlaced are the latest answers with the models held, by data centre.
	lastPlaced map[string]place.Remote
}

// target is the daemon of a data centre that receives the queries until a given time.
type target struct {
	vm    string
	until time.Time
	// connected is whether the daemon has answered.
	connected bool
}

// New starts a Finder that runs until ctx ends.
func New(ctx context.Context, d Deps, opts ...Option) *Finder {
	r := &Finder{
		deps:         d,
		random:       rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		queryBudget:  rate.NewLimiter(bytesPerSecond, burstBytes),
		answerBudget: rate.NewLimiter(bytesPerSecond, burstBytes),
		targets:      make(map[string]target),
		lastPlaced:   make(map[string]place.Remote),
		wake:         make(chan struct{}, 1),
	}
	for _, o := range opts {
		o(r)
	}
	if r.deps.Log == nil {
		r.deps.Log = zap.NewNop()
	}
	if r.deps.Scope == nil {
		r.deps.Scope = tally.NoopScope
	}
	r.planner = newQueryPlanner(r.random)
	r.tomb, ctx = tomb.WithContext(ctx)
	r.tomb.Go(func() error { return r.runQueries(ctx) })
	if r.deps.Documents != nil {
		r.tomb.Go(func() error { return r.runPlacedQueries(ctx) })
	}
	return r
}

// Wait blocks until all queries have ended.
func (r *Finder) Wait() error {
	if err := r.tomb.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// RequestEngines queries other data centres for engines that hold slots, if there are data
// centres that send no reports here. It does not wait for the answers.
func (r *Finder) RequestEngines(slots []envdoc.Slot) {
	if !r.addSlots(time.Now(), slots) {
		return
	}
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// addSlots adds the slots to the planner and reports whether there are far daemons
// to query.
func (r *Finder) addSlots(now time.Time, slots []envdoc.Slot) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.farCheckedAt) >= farCheckPeriod {
		r.farCheckedAt, r.hasFar = now, len(r.deps.Peers.FarPeers()) > 0
	}
	if r.hasFar && !r.planner.seek(now, slots) {
		r.deps.Scope.Counter("reach_dropped").Inc(1)
	}
	return r.hasFar
}

// PendingSlots returns the slots for which an answer is still expected. The caller owns
// the map.
func (r *Finder) PendingSlots() map[envdoc.Slot]bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.planner.awaited(time.Now())
}

// Holders answers a query from a daemon of another data centre: it returns the reports
// of the engines of this data centre that hold the slots, of which only the first
// maxQuerySlots count. The error has code QueueFull when the queries exceed the byte
// budget for answers.
func (r *Finder) Holders(slots []envdoc.Slot) ([]engine.Report, error) {
	slots = slots[:min(len(slots), maxQuerySlots)]
	now := time.Now()
	if !r.answerBudget.AllowN(now, queryBytes+slotBytes*len(slots)) {
		r.deps.Scope.Counter("reach_refused").Inc(1)
		return nil, code.Errorf(code.QueueFull, "too many queries for engines")
	}
	reports := r.deps.Engines.SlotHolders(slots)
	r.answerBudget.ReserveN(now, reportBytes*len(reports))
	return reports, nil
}

// runQueries sends due queries when slots are requested, at most once per queryPeriod.
func (r *Finder) runQueries(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-r.wake:
		}
		r.sendDue(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(queryPeriod):
		}
	}
}

// farDaemons returns the daemons that send no reports here, by data centre, and the
// sorted names of these data centres.
func (r *Finder) farDaemons() (daemons map[string][]member.Peer, centres []string) {
	daemons = make(map[string][]member.Peer)
	for _, p := range r.deps.Peers.FarPeers() {
		if len(daemons[p.DataCentre]) == 0 {
			centres = append(centres, p.DataCentre)
		}
		daemons[p.DataCentre] = append(daemons[p.DataCentre], p)
	}
	sort.Strings(centres)
	return daemons, centres
}

// sendDue sends the queries that are due, as far as the byte budget allows.
func (r *Finder) sendDue(ctx context.Context) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	slotBudget := int(r.queryBudget.TokensAt(now)-queryBytes) / slotBytes
	if slotBudget <= 0 {
		r.planner.removeExpired(now)
		return
	}
	daemons, centres := r.farDaemons()
	for _, q := range r.planner.nextQueries(now, centres, slotBudget) {
		r.queryBudget.ReserveN(now, queryBytes+slotBytes*len(q.slots))
		p := r.chooseTarget(now, daemons[q.dataCentre])
		r.tomb.Go(func() error {
			r.sendQuery(ctx, p, q)
			return nil
		})
	}
}

// chooseTarget returns the daemon of a data centre to query. It keeps the previous
// one for targetTime while it is present and answers.
func (r *Finder) chooseTarget(now time.Time, daemons []member.Peer) member.Peer {
	t := r.targets[daemons[0].DataCentre]
	if now.Before(t.until) {
		for _, p := range daemons {
			if p.VM == t.vm {
				return p
			}
		}
	}
	p := daemons[r.random.IntN(len(daemons))]
	r.targets[p.DataCentre] = target{vm: p.VM, until: now.Add(r.planner.jitter(targetTime))}
	return p
}

// sendQuery sends a query to a daemon and passes on the answer.
func (r *Finder) sendQuery(ctx context.Context, p member.Peer, q query) {
	callCtx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	r.deps.Scope.Counter("reach_asked").Inc(1)
	reports, err := r.deps.Holders.QueryHolders(callCtx, p.Address, q.slots)
	if err != nil {
		r.deps.Scope.Counter("reach_failed").Inc(1)
		r.deps.Log.Debug("reach_failed", zap.String("vm", p.VM), zap.String("data_centre", q.dataCentre), zap.Error(err))
	}
	if len(reports) > 0 {
		r.deps.Answers.ReceiveRemoteReports(reports)
	}
	now := time.Now()
	r.queryBudget.ReserveN(now, reportBytes*len(reports))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recordResult(now, q.dataCentre, err)
	r.planner.finish(now, q, foundSlots(q.slots, reports))
}

// recordResult records whether the target of a data centre answered a query. The
// first answer of a target charges connectionBytes to queryBudget, for the new
// connection. An error removes the target, so that another daemon can be chosen.
func (r *Finder) recordResult(now time.Time, centre string, err error) {
	if t := r.targets[centre]; err == nil && !t.connected {
		r.queryBudget.ReserveN(now, connectionBytes)
		t.connected = true
		r.targets[centre] = t
	}
	if err != nil {
		delete(r.targets, centre)
	}
}

// foundSlots returns for each slot whether any report holds it, in any version.
func foundSlots(slots []envdoc.Slot, reports []engine.Report) map[envdoc.Slot]bool {
	held := make(map[envdoc.Slot]bool)
	for i := range reports {
		for _, s := range reports[i].Slots {
			held[envdoc.Slot{Model: s.Model, Adapter: s.Adapter}] = true
		}
	}
	found := make(map[envdoc.Slot]bool)
	for _, s := range slots {
		found[s] = held[envdoc.Slot{Model: s.Model, Adapter: s.Adapter}]
	}
	return found
}
