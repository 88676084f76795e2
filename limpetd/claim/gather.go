package claim

import (
	"context"
	"strings"
	"time"

	"golang.org/x/time/rate"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/store"
)

// Limits of gathering.
const (
	// commitsPerSecond is what the claims of all data centres may use of the
	// table, in transactions a second.
	commitsPerSecond = 280
	// commitBurst is the number of transactions that may follow at once.
	commitBurst = 8
	// forwardTime bounds a forwarded write.
	forwardTime = 700 * time.Millisecond
	// aloneFor is how long a daemon commits its writes itself after a
	// forwarded one failed.
	aloneFor = 5 * time.Second
)

// Result is how a write of a claim's row ended.
type Result int32

// The results. Their numbers are part of the messages between daemons.
const (
	// NotWritten: the write has not taken effect and never will.
	NotWritten Result = iota
	// Uncertain: the write may have taken effect, or may do so later.
	Uncertain
	// Conflict: the row had another version, which is told.
	Conflict
	// Written: the write has taken effect.
	Written
	// Crowded: the group held another write of the row, which had no effect;
	// try again.
	Crowded
)

// Write is a conditional write of the row of a claim.
type Write struct {
	Key string
	// Version is the one that the row must have; 0 for no row.
	Version int64
	Value   []byte
}

// Answer is how a Write ended.
type Answer struct {
	Result Result
	// Version and Value are those of the row that was met in a conflict;
	// Version is 0 for no row.
	Version int64
	Value   []byte
	// Code is that of the table's error; OK for none.
	Code code.Code
}

// Gatherer commits writes for other daemons, many in a transaction. An error
// with code PeerDown means that the write may take effect, any other that it
// does not.
type Gatherer interface {
	Gather(ctx context.Context, w Write) (Answer, error)
}

// GathererProvider chooses who commits.
type GathererProvider interface {
	// Gatherer returns the daemon that commits the writes of this data centre;
	// nil for this daemon.
	Gatherer() Gatherer
	// DataCentres returns the number of data centres that share the table.
	DataCentres() int
}

var _ Gatherer = (*Claims)(nil)

// Gather commits a write for another daemon. The error has code BadParameter for
// a row that is no claim's.
func (s *Claims) Gather(ctx context.Context, w Write) (Answer, error) {
	if !strings.HasPrefix(w.Key, prefix(s.config.Environment)) {
		return Answer{}, code.Errorf(code.BadParameter, "row %q is not a claim's", w.Key)
	}
	s.gathered.Inc(1)
	done := s.submit(ctx, &write{key: w.Key, version: w.Version, value: w.Value, done: make(chan struct{})})
	return Answer{Result: done.result, Version: done.found.Version, Value: done.found.Value, Code: code.Of(done.err)}, nil
}

// forward has another daemon commit a write. It is false when this daemon has to.
func (s *Claims) forward(ctx context.Context, w *write) bool {
	if s.deps.Gatherers == nil || s.now().UnixNano() < s.aloneUntil.Load() {
		return false
	}
	g := s.deps.Gatherers.Gatherer()
	if g == nil {
		return false
	}
	s.forwarded.Inc(1)
	ctx, cancel := context.WithTimeout(ctx, forwardTime)
	defer cancel()
	a, err := g.Gather(ctx, Write{Key: w.key, Version: w.version, Value: w.value})
	if err != nil || a.Code == code.StoreDown {
		s.forwardFailed.Inc(1)
		s.aloneUntil.Store(s.now().Add(aloneFor).UnixNano())
	}
	switch {
	case code.Of(err) == code.PeerDown:
		w.end(Uncertain, store.Row{}, err)
	case err != nil, a.Code == code.StoreDown && a.Result == NotWritten:
		return false
	default:
		w.answered(a)
	}
	return true
}

// answered completes the write by the answer of another daemon.
func (w *write) answered(a Answer) {
	var err error
	if a.Code != code.OK {
		err = code.Errorf(a.Code, "the daemon that commits claims was refused by the table")
	}
	w.end(a.Result, store.Row{Key: w.key, Version: a.Version, Value: a.Value}, err)
}

// pace bounds the transactions of a daemon.
type pace struct {
	gatherers GathererProvider
	limiter   *rate.Limiter
}

// newPace returns the pace of a daemon; gatherers may be nil.
func newPace(gatherers GathererProvider) *pace {
	return &pace{gatherers: gatherers, limiter: rate.NewLimiter(commitsPerSecond, commitBurst)}
}

// wait waits until a transaction may begin. The error is that of ctx.
func (p *pace) wait(ctx context.Context) error {
	if p.gatherers != nil {
		share := rate.Limit(commitsPerSecond) / rate.Limit(max(1, p.gatherers.DataCentres()))
		if p.limiter.Limit() != share {
			p.limiter.SetLimit(share)
		}
	}
	return p.limiter.Wait(ctx)
}
