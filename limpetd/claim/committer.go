package claim

import (
	"context"
	"strings"
	"time"

	"golang.org/x/time/rate"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/store"
)

// Limits on commits and on forwarding writes to another daemon.
const (
	// commitsPerSecond is the maximum rate of the transactions that write the claims
	// of all data centres together. It is their share of the table's capacity.
	commitsPerSecond = 280
	// commitBurst is the burst size of a daemon's commit rate limit, in transactions.
	commitBurst = 8
	// forwardTimeout limits the time of a forwarded write.
	forwardTimeout = 700 * time.Millisecond
	// forwardBackoff is how long a daemon commits its writes itself after a
	// forwarded write failed.
	forwardBackoff = 5 * time.Second
)

// Result is the result of a write to a claim's row.
type Result int32

// The results. Their numbers are part of the protocol between daemons.
const (
	// NotWritten means that the write has not taken effect and never will.
	NotWritten Result = iota
	// Uncertain means that the write may have taken effect, or may do so later.
	Uncertain
	// Conflict means that the row had another version, which is returned with the
	// result.
	Conflict
	// Written means that the write has taken effect.
	Written
	// NotTried means that the write was not tried, since its group held another write
	// to the same row, and that the other write had no effect. The caller should try
	// again.
	NotTried
)

// Write is a conditional write to the row of a claim.
type Write struct {
	// Key is the table key of the row.
	Key string
	// Version is the version that the row must have; 0 if the row must not exist.
	Version int64
	Value   []byte
}

// WriteResult is the answer to a Write.
type WriteResult struct {
	Result Result
	// Version and Value are the version and value of the row that caused a
	// conflict. Version is 0 if the row does not exist.
	Version int64
	Value   []byte
	// Code is the code of the table's error; OK if there was none.
	Code code.Code
}

// Committer commits the writes of several daemons, many writes in one transaction.
// An error with code PeerDown means that the write may have taken effect or may do
// so later; any other error means that the write has no effect.
type Committer interface {
	CommitFor(ctx context.Context, w Write) (WriteResult, error)
}

// CommitterProvider chooses the daemon that commits the writes of a data centre.
type CommitterProvider interface {
	// Committer returns the daemon that commits the writes of this data centre, or
	// nil if that is this daemon.
	Committer() Committer
	// DataCentres returns the number of data centres that share the table.
	DataCentres() int
}

var _ Committer = (*Claims)(nil)

// CommitFor commits a write for another daemon. The error has code BadParameter if
// the key is not the table key of a claim.
func (s *Claims) CommitFor(ctx context.Context, w Write) (WriteResult, error) {
	if !strings.HasPrefix(w.Key, keyPrefix(s.config.Environment)) {
		return WriteResult{}, code.Errorf(code.BadParameter, "row %q is not the row of a claim", w.Key)
	}
	s.writesForPeers.Inc(1)
	done := s.submit(ctx, &rowWrite{key: w.Key, version: w.Version, value: w.Value, done: make(chan struct{})})
	return WriteResult{Result: done.result, Version: done.found.Version, Value: done.found.Value, Code: code.Of(done.err)}, nil
}

// forward has another daemon commit a write. It returns false if this daemon has to
// commit the write itself.
func (s *Claims) forward(ctx context.Context, w *rowWrite) bool {
	if s.deps.Committers == nil || s.now().UnixNano() < s.forwardAfter.Load() {
		return false
	}
	g := s.deps.Committers.Committer()
	if g == nil {
		return false
	}
	s.writesForwarded.Inc(1)
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	a, err := g.CommitFor(ctx, Write{Key: w.key, Version: w.version, Value: w.value})
	if err != nil || a.Code == code.StoreDown {
		s.forwardsFailed.Inc(1)
		s.forwardAfter.Store(s.now().Add(forwardBackoff).UnixNano())
	}
	switch {
	case code.Of(err) == code.PeerDown:
		w.complete(Uncertain, store.Row{}, err)
	case err != nil, a.Code == code.StoreDown && a.Result == NotWritten:
		return false
	default:
		w.completeWith(a)
	}
	return true
}

// completeWith completes the write with the answer of the daemon that the write was
// forwarded to.
func (w *rowWrite) completeWith(a WriteResult) {
	var err error
	if a.Code != code.OK {
		err = code.Errorf(a.Code, "the daemon that commits claims got an error from the table")
	}
	w.complete(a.Result, store.Row{Key: w.key, Version: a.Version, Value: a.Value}, err)
}

// commitPacer limits the rate of a daemon's transactions.
type commitPacer struct {
	committers CommitterProvider
	limiter    *rate.Limiter
}

// newCommitPacer returns the pacer of a daemon. committers may be nil; the daemon
// then uses the whole of commitsPerSecond.
func newCommitPacer(committers CommitterProvider) *commitPacer {
	return &commitPacer{committers: committers, limiter: rate.NewLimiter(commitsPerSecond, commitBurst)}
}

// wait waits until a transaction may begin. It divides commitsPerSecond equally
// among the data centres, of which each has one daemon that commits. The error is
// non-nil if ctx ends first.
func (p *commitPacer) wait(ctx context.Context) error {
	if p.committers != nil {
		share := rate.Limit(commitsPerSecond) / rate.Limit(max(1, p.committers.DataCentres()))
		if p.limiter.Limit() != share {
			p.limiter.SetLimit(share)
		}
	}
	return p.limiter.Wait(ctx)
}
