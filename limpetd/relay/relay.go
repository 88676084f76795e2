// Package relay dispatches calls to backend servers and relays the answers to the
// callers.
//
// The answer to a generation is a sequence of frames, each with the id of its
// attempt and its offset in tokens. Frames of another attempt and frames that
// arrive late or twice are dropped and counted. A broken stream is resumed on the
// same engine, or continued on another engine with the same version from the tokens
// already received. If neither is possible, the caller gets an error, never a
// truncated answer that looks complete.
//
// A call to a plain service is sent to a backend server only once, unless no byte of
// the call can have arrived or its path is declared repeatable.
//
// # Usage
//
//	r := relay.New(relay.Deps{Generator: engines, Admitter: queue})
//	err := r.Answer(ctx, call, sink)
//	code.Of(err), code.RunOf(err) // how the call ended, and whether it ran
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

// Limits of an answer.
const (
	// DefaultMaxPendingBytes is the default maximum number of bytes of text buffered
	// for a slow caller.
	DefaultMaxPendingBytes = 64 << 10
	// DefaultServiceTimeout is the default timeout of one attempt of a call to a plain
	// service.
	DefaultServiceTimeout = 30 * time.Second
	// cancelTimeout is the timeout of the request that cancels an attempt.
	cancelTimeout = 2 * time.Second
)

// Admitter admits calls and chooses their backend servers.
type Admitter interface {
	Admit(ctx context.Context, r admit.Request) (admit.Ticket, error)
	AdmitService(ctx context.Context, r admit.ServiceRequest) (admit.Ticket, error)
}

// Call describes one generation.
type Call struct {
	// Admission is the request to the Admitter; its ID is the request id.
	Admission   admit.Request
	Prompt      string
	MaxTokens   int
	Temperature float64
	Seed        int64
}

// Chunk is a part of the text of an answer. The chunks of an answer arrive in order
// and without gaps.
type Chunk struct {
	Text   string
	Tokens int
	// Done marks the last chunk of a complete answer; Reason is then "stop" or
	// "length".
	Done   bool
	Reason string
}

// Sink receives the chunks of an answer. Send may block; if Send returns an error,
// the answer ends.
type Sink interface {
	Send(p Chunk) error
}

// Deps holds the dependencies of a Relay. Log, Events and Scope may be nil.
type Deps struct {
	Generator engine.Generator
	Admitter  Admitter
	Log       *zap.Logger
	Events    *event.Timeline
	Scope     tally.Scope
}

// Option configures a Relay.
type Option func(*Relay)

// WithMaxPendingBytes sets the maximum number of bytes of text buffered for a slow
// caller.
func WithMaxPendingBytes(n int) Option {
	return func(r *Relay) { r.maxPendingBytes = n }
}

// WithServiceTimeout sets the timeout of one attempt of a call to a plain service.
func WithServiceTimeout(d time.Duration) Option {
	return func(r *Relay) { r.serviceTimeout = d }
}

// WithDial sets the function that opens connections to plain services. A *net.TCPConn that it returns may not be used
// otherwise.
func WithDial(dial DialFunc) Option {
	return func(r *Relay) { r.services = newServiceClient(dial) }
}

// Relay dispatches calls and relays their answers. It is safe for concurrent use.
type Relay struct {
	deps            Deps
	maxPendingBytes int
	serviceTimeout  time.Duration
	counts          counts
	services        *serviceClient
}

// New returns a Relay with the given dependencies.
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
		deps:            d,
		maxPendingBytes: DefaultMaxPendingBytes,
		serviceTimeout:  DefaultServiceTimeout,
		counts:          newCounts(d.Scope),
		services:        newServiceClient(dialTCP),
	}
	for _, o := range opts {
		o(r)
	}
	return r
}

// counts holds the counters of a Relay. framesCrossed counts frames of other attempts
// and framesDoubled duplicate frames.
type counts struct {
	framesCrossed     tally.Counter
	framesDoubled     tally.Counter
	frameGaps         tally.Counter
	streamsStalled    tally.Counter
	streamsResumed    tally.Counter
	streamsContinued  tally.Counter
	streamsBroken     tally.Counter
	attemptsCancelled tally.Counter
	// answersCrossed counts answers of plain services with the id of another
	// request.
	answersCrossed tally.Counter
}

func newCounts(s tally.Scope) counts {
	s = s.SubScope("relay")
	return counts{
		framesCrossed:     s.Counter("frames_crossed"),
		framesDoubled:     s.Counter("frames_doubled"),
		frameGaps:         s.Counter("frame_gaps"),
		streamsStalled:    s.Counter("streams_stalled"),
		streamsResumed:    s.Counter("streams_resumed"),
		streamsContinued:  s.Counter("streams_continued"),
		streamsBroken:     s.Counter("streams_broken"),
		answersCrossed:    s.Counter("answers_crossed"),
		attemptsCancelled: s.Counter("attempts_cancelled"),
	}
}

// Answer dispatches c and sends its answer to s. The answer is complete if and only
// if the error is nil; s has then received a chunk with Done. The code of an error is
// one of the Admitter's, StreamBroken, AnswerCut, EngineError, BackendFailed,
// CallerGone or the code of the error of s. The error states whether the call ran.
func (r *Relay) Answer(ctx context.Context, c Call, s Sink) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	out := newOutputBuffer(r.maxPendingBytes)
	done := make(chan struct{})
	go func() {
		defer close(done)
		out.finish(r.generate(ctx, c, out))
	}()
	err := out.sendTo(s)
	cancel()
	<-done
	return err
}
