package fakes

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/admit"
	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/engine"
	"github.com/limpetlb/limpetlb/limpetd/envdoc"
	"github.com/limpetlb/limpetlb/limpetd/route"
)

// Admitter admits each request to the first backend server that is not excluded. A
// generation whose first token is already due is rejected.
type Admitter struct {
	// VMs holds the ids of the backend servers, which are also their addresses.
	// Versions holds the model version on each engine; the default is "1".
	VMs      []string
	Versions map[string]string

	mu       sync.Mutex
	open     int
	outcomes []admit.Outcome
}

// Admit admits a generation to the first engine with a suitable version.
func (a *Admitter) Admit(ctx context.Context, r admit.Request) (admit.Ticket, error) {
	if ctx.Err() != nil {
		return nil, code.Errorf(code.CallerGone, "gone")
	}
	if e := r.Route.ExpectedBy; !e.IsZero() && time.Now().After(e) {
		return nil, code.Errorf(code.ShedDeadline, "the first token is already due")
	}
	for _, vm := range a.VMs {
		version := a.Versions[vm]
		if version == "" {
			version = "1"
		}
		if slices.Contains(r.Route.Exclude, vm) || (r.Route.VersionPinned && r.Route.Version != version) {
			continue
		}
		slot := envdoc.Slot{Model: r.Route.Model, Adapter: r.Route.Adapter, Version: version}
		return a.ticket(route.Choice{VM: vm, Address: vm, Slot: slot}), nil
	}
	return nil, code.Errorf(code.NoEngine, "no engine")
}

// AdmitService admits a call to a plain service.
func (a *Admitter) AdmitService(_ context.Context, r admit.ServiceRequest) (admit.Ticket, error) {
	for _, vm := range a.VMs {
		if !slices.Contains(r.Exclude, vm) {
			return a.ticket(route.Choice{VM: vm, Address: vm}), nil
		}
	}
	return nil, code.Errorf(code.NoBackend, "no backend server")
}

// ticket returns a new ticket for c, which counts as open until it is released.
func (a *Admitter) ticket(c route.Choice) admit.Ticket {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.open++
	return &ticket{admitter: a, choice: c}
}

// Open returns the number of tickets that are not released yet.
func (a *Admitter) Open() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.open
}

// Outcomes returns the outcomes of the released tickets, in the order of release.
func (a *Admitter) Outcomes() []admit.Outcome {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.outcomes)
}

// ticket is an admit.Ticket that records its outcome in the admitter.
type ticket struct {
	admitter *Admitter
	choice   route.Choice
}

func (t *ticket) Choice() route.Choice { return t.choice }
func (t *ticket) FirstToken()          {}
func (t *ticket) Release(o admit.Outcome) {
	t.admitter.mu.Lock()
	defer t.admitter.mu.Unlock()
	t.admitter.open--
	t.admitter.outcomes = append(t.admitter.outcomes, o)
}

// Generator is an engine.Generator that generates the tokens "0 1 2 ...", one in each frame.
type Generator struct {
	// Tokens is the number of tokens of each answer.
	Tokens int
	// Script returns the frames to send in place of the frames of the n-th
	// stream, counted from 0. If Script returns nil, the stream is refused with
	// the error Refusal. A nil Script changes nothing.
	Script func(n int, address string, frames []engine.Frame) []engine.Frame
	// Refusal is the error of refused streams.
	Refusal error
	// Block makes Next block until ctx ends after the last frame, like an engine
	// that stalls.
	Block bool

	mu        sync.Mutex
	streams   int
	requests  []engine.Request
	cancelled []string
}

var _ engine.Generator = (*Generator)(nil)

// TokenText returns the text of the tokens with numbers in [from, to).
func TokenText(from, to int) string {
	var b strings.Builder
	for i := from; i < to; i++ {
		fmt.Fprintf(&b, "%d ", i)
	}
	return b.String()
}

// Generate implements engine.Generator. The answer starts at token
// r.GeneratedTokens.
func (e *Generator) Generate(ctx context.Context, address string, r engine.Request) (engine.Frames, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.requests = append(e.requests, r)
	return e.stream(ctx, address, r.Attempt, r.GeneratedTokens)
}

// Resume implements engine.Generator. The answer starts at token offset.
func (e *Generator) Resume(ctx context.Context, address, attempt string, offset int) (engine.Frames, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stream(ctx, address, attempt, offset)
}

// Cancel implements engine.Generator and records the attempt.
func (e *Generator) Cancel(_ context.Context, _, attempt string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancelled = append(e.cancelled, attempt)
	return nil
}

// Requests returns the requests of all calls of Generate.
func (e *Generator) Requests() []engine.Request {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.requests)
}

// Cancelled returns the attempts of all calls of Cancel.
func (e *Generator) Cancelled() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.cancelled)
}

// stream returns the frames of the tokens from number from on, as changed by Script. The
// caller must hold e.mu.
func (e *Generator) stream(ctx context.Context, address, attempt string, from int) (engine.Frames, error) {
	var list []engine.Frame
	for i := from; i < e.Tokens; i++ {
		list = append(list, engine.Frame{Attempt: attempt, Offset: i, Text: TokenText(i, i+1), Tokens: 1})
	}
	list = append(list, engine.Frame{Attempt: attempt, Offset: e.Tokens, Done: true, Reason: "stop"})
	n := e.streams
	e.streams++
	if e.Script != nil {
		list = e.Script(n, address, list)
		if list == nil {
			return nil, e.Refusal
		}
	}
	return &frames{ctx: ctx, list: list, block: e.Block}, nil
}

// frames is an engine.Frames that returns the frames of list in order.
type frames struct {
	ctx   context.Context
	list  []engine.Frame
	block bool
}

func (f *frames) Next() (engine.Frame, error) {
	if f.ctx.Err() != nil {
		return engine.Frame{}, f.ctx.Err()
	}
	if len(f.list) == 0 {
		if f.block {
			<-f.ctx.Done()
			return engine.Frame{}, f.ctx.Err()
		}
		return engine.Frame{}, io.EOF
	}
	next := f.list[0]
	f.list = f.list[1:]
	return next, nil
}

func (f *frames) Close() error { return nil }
