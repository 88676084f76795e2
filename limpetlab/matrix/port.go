package matrix

import (
	"context"
	"strings"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/engine"
	"github.com/limpetlb/limpetlb/limpetd/life"
	"github.com/limpetlb/limpetlb/limpetd/store"
	"github.com/limpetlb/limpetlb/limpetlab/fault"
)

// errDead is what a daemon that has died is told: nothing leaves it any more.
var errDead = code.Errorf(code.StoreDown, "the daemon has died")

// platform is the platform as a daemon reaches it.
type platform struct{ d *daemon }

var (
	_ store.Table   = platform{}
	_ store.Objects = objects{}
)

// enter waits while the daemon is paused and returns the fault of a read.
func (p platform) enter(ctx context.Context, key string, steps ...Step) (context.Context, context.CancelFunc, error) {
	p.d.rig.lag(p.d.vm, "read", key)
	p.d.await()
	ctx, cancel := context.WithTimeout(ctx, store.CallTimeout)
	if p.d.dead() {
		return ctx, cancel, errDead
	}
	a := p.d.hit(steps...)
	p.d.await()
	switch {
	case p.d.cut():
		return ctx, cancel, code.Errorf(code.StoreDown, "cut off")
	case a.Kind == fault.Drop || a.Kind == fault.Lost:
		return ctx, cancel, code.Errorf(code.StoreDown, "no answer")
	case a.Kind == fault.Delay:
		sleep(ctx, a.Delay)
		if ctx.Err() != nil {
			return ctx, cancel, code.Errorf(code.StoreDown, "no answer")
		}
	}
	return ctx, cancel, nil
}

// Get implements store.Table.
func (p platform) Get(ctx context.Context, keys ...string) ([]store.Row, error) {
	var steps []Step
	if len(keys) > 0 && strings.HasPrefix(keys[0], "documents/") {
		steps = append(steps, TakeUp)
	}
	ctx, cancel, err := p.enter(ctx, strings.Join(keys, " "), steps...)
	defer cancel()
	if err != nil {
		return nil, err
	}
	rows, err := p.d.rig.table.Get(ctx, keys...)
	p.d.await()
	return rows, err
}

// Scan implements store.Table.
func (p platform) Scan(ctx context.Context, prefix, after string, limit int) ([]store.Row, error) {
	ctx, cancel, err := p.enter(ctx, prefix+after)
	defer cancel()
	if err != nil {
		return nil, err
	}
	rows, err := p.d.rig.table.Scan(ctx, prefix, after, limit)
	p.d.await()
	return rows, err
}

// Apply implements store.Table.
func (p platform) Apply(ctx context.Context, tx store.Tx) error {
	p.d.rig.lag(p.d.vm, "apply", tx.Writes[0].Key)
	p.d.await()
	if p.d.dead() {
		return errDead
	}
	a := p.d.hit(stepsOf(tx)...)
	p.d.await()
	if p.d.cut() {
		return code.Errorf(code.StoreDown, "cut off")
	}
	ctx, cancel := context.WithTimeout(ctx, store.CallTimeout)
	defer cancel()
	t := p.d.rig.table
	p.d.rig.trace.note("%s applies %s", p.d.vm, tx.Writes[0].Key)
	err := p.deliver(ctx, a, func(ctx context.Context) error { return t.Apply(ctx, tx) })
	p.d.await()
	return err
}

// deliver sends a write with what befalls it. Without an answer in time the
// outcome is not known.
func (p platform) deliver(ctx context.Context, a fault.Action, send func(context.Context) error) error {
	unknown := code.Errorf(code.StoreUnknown, "no answer")
	switch a.Kind {
	case fault.Drop:
		return unknown
	case fault.Lost:
		_ = send(ctx)
		return unknown
	case fault.Duplicate:
		p.d.rig.after(a.Delay, func() { _ = send(context.Background()) })
	case fault.Delay:
		p.d.rig.after(a.Delay, func() { _ = send(context.Background()) })
		sleep(ctx, store.CallTimeout)
		return unknown
	}
	done := make(chan error, 1)
	p.d.rig.spawn(func() { done <- send(context.WithoutCancel(ctx)) })
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return unknown
	}
}

// stepsOf returns the steps that a transaction belongs to.
func stepsOf(tx store.Tx) []Step {
	var steps []Step
	for _, w := range tx.Writes {
		switch {
		case strings.Contains(w.Key, "/ledger/"):
			steps = append(steps, Ledger)
		case strings.Contains(w.Key, "/lease/"):
			steps = append(steps, Lease)
		case strings.HasPrefix(w.Key, "claim/"):
			steps = append(steps, Claim)
		case strings.HasPrefix(w.Key, "batch/"):
			steps = append(steps, Batch)
		case strings.HasPrefix(w.Key, "documents/") && strings.Contains(w.Key, "trial/head"):
			steps = append(steps, Apply)
		case strings.HasPrefix(w.Key, "documents/") && strings.HasSuffix(w.Key, "/head"):
			steps = append(steps, Promote)
		}
	}
	return steps
}

// objects is the object store as a daemon reaches it.
type objects struct{ platform }

// Put implements store.Objects.
func (o objects) Put(ctx context.Context, key string, body []byte) error {
	ctx, cancel, err := o.enter(ctx, "put "+key)
	defer cancel()
	if err != nil {
		return err
	}
	return o.d.rig.objects.Put(ctx, key, body)
}

// Delete implements store.Objects.
func (o objects) Delete(ctx context.Context, key string) error {
	ctx, cancel, err := o.enter(ctx, "delete "+key)
	defer cancel()
	if err != nil {
		return err
	}
	return o.d.rig.objects.Delete(ctx, key)
}

// Get implements store.Objects.
func (o objects) Get(ctx context.Context, key string) ([]byte, error) {
	var steps []Step
	if strings.HasPrefix(key, "documents/") {
		steps = append(steps, TakeUp)
	}
	ctx, cancel, err := o.enter(ctx, key, steps...)
	defer cancel()
	if err != nil {
		return nil, err
	}
	return o.d.rig.objects.Get(ctx, key)
}

// engines is the engines as a daemon reaches them.
type engines struct{ d *daemon }

var (
	_ engine.Orderer   = engines{}
	_ engine.Generator = engines{}
	_ engine.Reporter  = engines{}
)

// reach returns an error when the way to an engine is cut.
func (e engines) reach(address string) error {
	e.d.await()
	if e.d.dead() || e.d.cutFrom(address) {
		return code.Errorf(code.BackendFailed, "%s is not reached", address)
	}
	return nil
}

// Order implements engine.Orderer.
func (e engines) Order(ctx context.Context, address string, o engine.Order) (engine.OrderAnswer, error) {
	e.d.rig.lag(e.d.vm, "order", address, o.Kind, o.Slot)
	e.d.ordered()
	a := e.d.hit(Order)
	if err := e.reach(address); err != nil {
		return engine.OrderAnswer{}, err
	}
	fleet := e.d.rig.fleet
	e.d.rig.trace.note("%s orders %s %s %v", e.d.vm, address, o.Kind, o.Slot)
	unknown := code.Errorf(code.OrderUnknown, "no answer")
	again := func() { _, _ = fleet.Order(context.Background(), address, o) }
	switch a.Kind {
	case fault.Drop:
		return engine.OrderAnswer{}, unknown
	case fault.Lost:
		e.d.rig.spawn(again)
		return engine.OrderAnswer{}, unknown
	case fault.Duplicate:
		e.d.rig.after(a.Delay, again)
	case fault.Delay:
		e.d.rig.after(a.Delay, again)
		sleep(ctx, lateCall)
		return engine.OrderAnswer{}, unknown
	}
	answer, err := fleet.Order(ctx, address, o)
	e.d.await()
	return answer, err
}

// Generate implements engine.Generator.
func (e engines) Generate(ctx context.Context, address string, r engine.Request) (engine.Frames, error) {
	e.d.rig.lag(e.d.vm, "generate", address, r.Prompt)
	a := e.d.hit(Dispatch)
	if err := e.reach(address); err != nil {
		return nil, err
	}
	lost := code.Errorf(code.BackendLost, "no answer")
	e.d.rig.trace.note("%s sends %s %q", e.d.vm, address, r.Prompt)
	if a.Kind == fault.Drop {
		return nil, lost
	}
	if a.Kind == fault.Delay {
		sleep(ctx, a.Delay)
	}
	frames, err := e.d.rig.fleet.Generate(ctx, address, r)
	if err != nil {
		return nil, err
	}
	if a.Kind == fault.Lost {
		_ = frames.Close()
		return nil, lost
	}
	return &trapFrames{Frames: frames, d: e.d, address: address, prompt: r.Prompt}, nil
}

// Resume implements engine.Generator.
func (e engines) Resume(ctx context.Context, address, attempt string, offset int) (engine.Frames, error) {
	if err := e.reach(address); err != nil {
		return nil, err
	}
	frames, err := e.d.rig.fleet.Resume(ctx, address, attempt, offset)
	if err != nil {
		return nil, err
	}
	return &trapFrames{Frames: frames, d: e.d, address: address}, nil
}

// Cancel implements engine.Generator.
func (e engines) Cancel(ctx context.Context, address, attempt string) error {
	if err := e.reach(address); err != nil {
		return err
	}
	return e.d.rig.fleet.Cancel(ctx, address, attempt)
}

// Report implements engine.Reporter.
func (e engines) Report(ctx context.Context, address string) (engine.Report, error) {
	e.d.rig.lag(e.d.vm, "report", address)
	if err := e.reach(address); err != nil {
		return engine.Report{}, err
	}
	return e.d.rig.fleet.Report(ctx, address)
}

// CacheEvents implements engine.Reporter.
func (e engines) CacheEvents(ctx context.Context, address string, after int64) ([]engine.CacheEvent, error) {
	e.d.rig.lag(e.d.vm, "cache", address)
	if err := e.reach(address); err != nil {
		return nil, err
	}
	return e.d.rig.fleet.CacheEvents(ctx, address, after)
}

// trapFrames is a stream with the injection point of the relay.
type trapFrames struct {
	engine.Frames
	d       *daemon
	address string
	prompt  string
	queued  []engine.Frame
}

// Next implements engine.Frames.
func (f *trapFrames) Next() (engine.Frame, error) {
	if len(f.queued) > 0 {
		next := f.queued[0]
		f.queued = f.queued[1:]
		return next, nil
	}
	frame, err := f.Frames.Next()
	if err != nil {
		return frame, err
	}
	f.d.rig.lag(f.address, f.prompt)
	a := f.d.hit(Relay)
	if f.d.dead() || f.d.cutFrom(f.address) {
		return engine.Frame{}, code.Errorf(code.BackendLost, "the stream broke")
	}
	switch a.Kind {
	case fault.Drop, fault.Lost:
		return engine.Frame{}, code.Errorf(code.BackendLost, "the stream broke")
	case fault.Duplicate:
		f.queued = append(f.queued, frame)
		return engine.Frame{Attempt: "other", Offset: frame.Offset, Text: "crossed ", Tokens: 1}, nil
	case fault.Delay:
		time.Sleep(a.Delay)
	}
	return frame, nil
}

// sleep waits for d, less when ctx ends.
func sleep(ctx context.Context, d time.Duration) { life.Sleep(ctx, d) }
