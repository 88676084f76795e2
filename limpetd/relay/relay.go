// Package relay carries answers from backend servers to callers.
//
// A generation is a sequence of frames, each with the id of its attempt and its
// offset in tokens. Late, crossed and doubled frames are dropped and counted. A
// broken stream is resumed on its engine, or continued on another engine with
// the same version from the tokens that were taken already. Where neither can
// be, the caller gets an error and never a cut answer that looks whole.
//
// A call to a plain service is written to a backend server once, unless no byte
// of it can have arrived or its path is declared repeatable.
//
// # Usage
//
//	r := relay.New(relay.Deps{Generator: engines, Admitter: queue})
//	err := r.Answer(ctx, call, sink)
//	code.Of(err), code.RunOf(err) // how it ended, and whether it ran
package relay

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/limpetlb/limpetlb/limpetd/admit"
	"github.com/limpetlb/limpetlb/limpetd/engine"
	"github.com/limpetlb/limpetlb/limpetd/event"
)

// Bounds of an answer.
const (
	// DefaultPendingBytes is the text that waits for a slow caller at most.
	DefaultPendingBytes = 64 << 10
	// DefaultServiceTime bounds one attempt of a call to a plain service.
	DefaultServiceTime = 30 * time.Second
	// cancelTimeout bounds the cancelling of an attempt.
	cancelTimeout = 2 * time.Second
)

// Admitter gives leave to dispatch.
type Admitter interface {
	Admit(ctx context.Context, r admit.Request) (admit.Ticket, error)
	AdmitService(ctx context.Context, r admit.ServiceRequest) (admit.Ticket, error)
}

// Call asks for one generation.
type Call struct {
	// Admission describes the call to the admission; its ID is the request id.
	Admission   admit.Request
	Prompt      string
	MaxTokens   int
	Temperature float64
	Seed        int64
}

// Piece is a part of an answer, in order and without gaps.
type Piece struct {
	Text   string
	Tokens int
	// Done marks the last piece of a whole answer; Reason is then "stop" or
	// "length".
	Done   bool
	Reason string
}

// Sink takes an answer. Send may block; its error ends the answer.
type Sink interface {
	Send(p Piece) error
}

// Deps are what a Relay depends on.
type Deps struct {
	Generator engine.Generator
	Admitter  Admitter
	Log       *zap.Logger
	Events    *event.Line
	Scope     tally.Scope
}

// Option changes a Relay.
type Option func(*Relay)

// WithPendingBytes sets the text that waits for a slow caller at most.
func WithPendingBytes(n int) Option {
	return func(r *Relay) { r.pendingBytes = n }
}

// WithServiceTime bounds one attempt of a call to a plain service.
func WithServiceTime(d time.Duration) Option {
	return func(r *Relay) { r.serviceTime = d }
}

// WithDial sets how connections to plain services are made.
func WithDial(dial DialFunc) Option {
	return func(r *Relay) { r.services = newServiceClient(dial) }
}

// Relay carries answers. It is safe for concurrent use.
type Relay struct {
	deps         Deps
	pendingBytes int
	serviceTime  time.Duration
	counts       counts
	services     *serviceClient
}

// New returns a relay.
func New(d Deps, opts ...Option) *Relay {
	if d.Log == nil {
		d.Log = zap.NewNop()
	}
	if d.Scope == nil {
		d.Scope = tally.NoopScope
	}
	if d.Events == nil {
		d.Events = event.New("", event.WithCapacity(1))
	}
	r := &Relay{
		deps:         d,
		pendingBytes: DefaultPendingBytes,
		serviceTime:  DefaultServiceTime,
		counts:       newCounts(d.Scope),
		services:     newServiceClient(dialTCP),
	}
	for _, o := range opts {
		o(r)
	}
	return r
}

// counts are the counters of a Relay.
type counts struct {
	crossed   tally.Counter
	doubled   tally.Counter
	gaps      tally.Counter
	stalled   tally.Counter
	resumed   tally.Counter
	continued tally.Counter
	broken    tally.Counter
	cancelled tally.Counter
	// answersCrossed counts answers of plain services to other requests.
	answersCrossed tally.Counter
}

func newCounts(s tally.Scope) counts {
	s = s.SubScope("relay")
	return counts{
		crossed:        s.Counter("frames_crossed"),
		doubled:        s.Counter("frames_doubled"),
		gaps:           s.Counter("frame_gaps"),
		stalled:        s.Counter("streams_stalled"),
		resumed:        s.Counter("streams_resumed"),
		continued:      s.Counter("streams_continued"),
		broken:         s.Counter("streams_broken"),
		answersCrossed: s.Counter("answers_crossed"),
		cancelled:      s.Counter("attempts_cancelled"),
	}
}

// Answer carries the answer of c to s. The answer is whole when the error is
// nil and only then; s has received a piece with Done. An error has a code of
// admission, StreamBroken, AnswerCut, EngineError, BackendFailed, CallerGone or
// the code of the error of s, and states whether the call ran.
func (r *Relay) Answer(ctx context.Context, c Call, s Sink) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	p := newPending(r.pendingBytes)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		p.finish(r.generate(ctx, c, p))
	}()
	err := p.drain(s)
	cancel()
	<-ended
	return err
}
