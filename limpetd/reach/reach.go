// Package reach finds engines in data centres that do not tell their load
// reports here.
//
// In a large environment daemons tell load reports within their data centre
// only. When the engines of the own data centre leave no room for a slot in
// time, Reach asks one live daemon of each other data centre which engines hold
// it. The answers go into the view of the engines. Questions go on while the
// slot is wanted. A data centre has one question in flight, for up to 16 slots.
//
// # Usage
//
//	r := reach.New(ctx, reach.Deps{Peers: members, Questions: peers, Answers: watch, Engines: watch})
//	r.Seek([]envdoc.Slot{{Model: "m", Version: "1"}})
//	waits := r.Sought()
//	err := r.Wait()
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

// FarProvider gives the daemons that tell no load reports here.
type FarProvider interface {
	Far() []member.Peer
}

// QuestionProvider asks the daemon at an address for engines that hold slots.
type QuestionProvider interface {
	Holders(ctx context.Context, address string, slots []envdoc.Slot) ([]engine.Report, error)
}

// AnswerReceiver takes the reports of an answer.
type AnswerReceiver interface {
	ReceiveFar(reports []engine.Report)
}

// EngineProvider gives reports of engines of the own data centre that hold slots.
type EngineProvider interface {
	Holders(slots []envdoc.Slot) []engine.Report
}

// Deps are what a Reach needs. Log and Scope may be nil.
type Deps struct {
	Peers     FarProvider
	Questions QuestionProvider
	Answers   AnswerReceiver
	Engines   EngineProvider
	// Documents, Placing, Placed and Resident are for the questions which
	// models are held elsewhere; all or none are nil.
	Documents DocumentProvider
	Placing   PlacingProvider
	Placed    PlacedProvider
	Resident  ResidentProvider
	Log       *zap.Logger
	Scope     tally.Scope
}

// Option changes a Reach.
type Option func(*Reach)

// WithRandom sets the random source, for tests.
func WithRandom(r *rand.Rand) Option {
	return func(a *Reach) { a.random = r }
}

const (
	// askTimeout bounds a question.
	askTimeout = time.Second
	// askPeriod is the time between two looks at what is due.
	askPeriod = 100 * time.Millisecond
	// lookPeriod is the time between two looks whether there is anybody to ask.
	lookPeriod = 100 * time.Millisecond
	// linkTime is how long the same daemon of a data centre is asked, since a
	// new connection costs more than many questions.
	linkTime = 15 * time.Minute
	// bytesPerSecond bounds the questions asked, with their answers, and as
	// much those answered; the burst is for slots that are wanted first.
	bytesPerSecond = 700
	burstBytes     = 64 << 10
	// A question with its answer takes questionBytes on the wire, and slotBytes
	// for each slot and reportBytes for each report; a new connection linkBytes.
	questionBytes = 300
	slotBytes     = 60
	reportBytes   = 160
	linkBytes     = 6 << 10
)

// Reach asks other data centres. It is safe for concurrent use.
type Reach struct {
	deps    Deps
	random  *rand.Rand
	tomb    *tomb.Tomb
	asks    *rate.Limiter
	answers *rate.Limiter
	// wake tells that slots are wanted; one token is enough, further ones are
	// dropped.
	wake chan struct{}

	mu   sync.Mutex
	book *book
	// looked is when it was looked for daemons to ask, any whether there were.
	looked time.Time
	any    bool
	// links are the daemons asked, by data centre.
	links map[string]link
	// placed are the last answers which models data centres hold.
	placed map[string]place.Remote
}

// link is the daemon of a data centre that is asked until a time.
type link struct {
	vm    string
	until time.Time
	// used tells that the daemon has answered.
	used bool
}

// New starts asking until ctx ends.
func New(ctx context.Context, d Deps, opts ...Option) *Reach {
	r := &Reach{
		deps:    d,
		random:  rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		asks:    rate.NewLimiter(bytesPerSecond, burstBytes),
		answers: rate.NewLimiter(bytesPerSecond, burstBytes),
		links:   make(map[string]link),
		placed:  make(map[string]place.Remote),
		wake:    make(chan struct{}, 1),
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
	r.book = newBook(r.random)
	r.tomb, ctx = tomb.WithContext(ctx)
	r.tomb.Go(func() error { return r.run(ctx) })
	if r.deps.Documents != nil {
		r.tomb.Go(func() error { return r.runPlaced(ctx) })
	}
	return r
}

// Wait returns when all asking has ended.
func (r *Reach) Wait() error {
	if err := r.tomb.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// Seek asks for engines that hold slots, if other data centres tell no reports
// here. It does not wait.
func (r *Reach) Seek(slots []envdoc.Slot) {
	if !r.note(time.Now(), slots) {
		return
	}
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// note remembers slots, and tells whether there is anybody to ask.
func (r *Reach) note(now time.Time, slots []envdoc.Slot) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.looked) >= lookPeriod {
		r.looked, r.any = now, len(r.deps.Peers.Far()) > 0
	}
	if r.any && !r.book.want(now, slots) {
		r.deps.Scope.Counter("reach_dropped").Inc(1)
	}
	return r.any
}

// Sought returns the slots for which an answer is awaited. The map is the
// caller's.
func (r *Reach) Sought() map[envdoc.Slot]bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.book.sought(time.Now())
}

// Holders answers the question of a daemon. The error has code QueueFull when
// more is asked than this daemon answers.
func (r *Reach) Holders(slots []envdoc.Slot) ([]engine.Report, error) {
	slots = slots[:min(len(slots), maxSlots)]
	now := time.Now()
	if !r.answers.AllowN(now, questionBytes+slotBytes*len(slots)) {
		r.deps.Scope.Counter("reach_refused").Inc(1)
		return nil, code.Errorf(code.QueueFull, "too many questions for engines")
	}
	reports := r.deps.Engines.Holders(slots)
	r.answers.ReserveN(now, reportBytes*len(reports))
	return reports, nil
}

// run asks what is due when slots are wanted, and at most each askPeriod.
func (r *Reach) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-r.wake:
		}
		r.askDue(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(askPeriod):
		}
	}
}

// far returns the daemons that tell no reports here by data centre, and the data
// centres, sorted.
func (r *Reach) far() (daemons map[string][]member.Peer, centres []string) {
	daemons = make(map[string][]member.Peer)
	for _, p := range r.deps.Peers.Far() {
		if len(daemons[p.DataCentre]) == 0 {
			centres = append(centres, p.DataCentre)
		}
		daemons[p.DataCentre] = append(daemons[p.DataCentre], p)
	}
	sort.Strings(centres)
	return daemons, centres
}

// askDue asks each data centre what it is to be asked.
func (r *Reach) askDue(ctx context.Context) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	allowed := int(r.asks.TokensAt(now)-questionBytes) / slotBytes
	if allowed <= 0 {
		r.book.forget(now)
		return
	}
	daemons, centres := r.far()
	for _, q := range r.book.next(now, centres, allowed) {
		r.asks.ReserveN(now, questionBytes+slotBytes*len(q.slots))
		p := r.choose(now, daemons[q.centre])
		r.tomb.Go(func() error {
			r.ask(ctx, p, q)
			return nil
		})
	}
}

// choose returns the daemon of a data centre that is asked: the same as before
// while it is there and answers.
func (r *Reach) choose(now time.Time, daemons []member.Peer) member.Peer {
	l := r.links[daemons[0].DataCentre]
	if now.Before(l.until) {
		for _, p := range daemons {
			if p.VM == l.vm {
				return p
			}
		}
	}
	p := daemons[r.random.IntN(len(daemons))]
	r.links[p.DataCentre] = link{vm: p.VM, until: now.Add(r.book.jitter(linkTime))}
	return p
}

// ask asks a daemon and hands its answer on.
func (r *Reach) ask(ctx context.Context, p member.Peer, q question) {
	call, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	r.deps.Scope.Counter("reach_asked").Inc(1)
	reports, err := r.deps.Questions.Holders(call, p.Address, q.slots)
	if err != nil {
		r.deps.Scope.Counter("reach_failed").Inc(1)
		r.deps.Log.Debug("reach_failed", zap.String("vm", p.VM), zap.String("data_centre", q.centre), zap.Error(err))
	}
	if len(reports) > 0 {
		r.deps.Answers.ReceiveFar(reports)
	}
	now := time.Now()
	r.asks.ReserveN(now, reportBytes*len(reports))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.noteLink(now, q.centre, err)
	r.book.done(now, q, found(q.slots, reports))
}

// noteLink charges a connection that was used first, and leaves a daemon that
// did not answer.
func (r *Reach) noteLink(now time.Time, centre string, err error) {
	if l := r.links[centre]; err == nil && !l.used {
		r.asks.ReserveN(now, linkBytes)
		l.used = true
		r.links[centre] = l
	}
	if err != nil {
		delete(r.links, centre)
	}
}

// found returns the slots that reports hold in any version.
func found(slots []envdoc.Slot, reports []engine.Report) map[envdoc.Slot]bool {
	held := make(map[envdoc.Slot]bool)
	for i := range reports {
		for _, s := range reports[i].Slots {
			held[envdoc.Slot{Model: s.Model, Adapter: s.Adapter}] = true
		}
	}
	got := make(map[envdoc.Slot]bool)
	for _, s := range slots {
		got[s] = held[envdoc.Slot{Model: s.Model, Adapter: s.Adapter}]
	}
	return got
}
