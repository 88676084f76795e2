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

// errStopped is returned to a stopped daemon, whose messages are no longer
// sent.
var errStopped = code.Errorf(code.StoreDown, "the daemon has stopped")

// tableClient is a daemon's access to the platform's table, with injected
// faults.
type tableClient struct{ d *daemon }

var (
	_ store.Table   = tableClient{}
	_ store.Objects = objectClient{}
)

// startRead waits while the daemon is paused, records the steps of a read, and
// applies the injected fault. The returned context bounds the read; the error
// is not nil if the read fails.
func (c tableClient) startRead(ctx context.Context, key string, steps ...Step) (context.Context, context.CancelFunc, error) {
	c.d.rig.delayMessage(c.d.vm, "read", key)
	c.d.awaitResume()
	ctx, cancel := context.WithTimeout(ctx, store.CallTimeout)
	if c.d.isStopped() {
		return ctx, cancel, errStopped
	}
	a := c.d.inject(steps...)
	c.d.awaitResume()
	switch {
	case c.d.isPartitioned():
		return ctx, cancel, code.Errorf(code.StoreDown, "the data centre is partitioned")
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
func (c tableClient) Get(ctx context.Context, keys ...string) ([]store.Row, error) {
	var steps []Step
	if len(keys) > 0 && strings.HasPrefix(keys[0], "documents/") {
		steps = append(steps, TakeUp)
	}
	ctx, cancel, err := c.startRead(ctx, strings.Join(keys, " "), steps...)
	defer cancel()
	if err != nil {
		return nil, err
	}
	rows, err := c.d.rig.table.Get(ctx, keys...)
	c.d.awaitResume()
	return rows, err
}

// Scan implements store.Table.
func (c tableClient) Scan(ctx context.Context, prefix, after string, limit int) ([]store.Row, error) {
	ctx, cancel, err := c.startRead(ctx, prefix+after)
	defer cancel()
	if err != nil {
		return nil, err
	}
	rows, err := c.d.rig.table.Scan(ctx, prefix, after, limit)
	c.d.awaitResume()
	return rows, err
}

// Apply implements store.Table.
func (c tableClient) Apply(ctx context.Context, tx store.Tx) error {
	c.d.rig.delayMessage(c.d.vm, "apply", tx.Writes[0].Key)
	c.d.awaitResume()
	if c.d.isStopped() {
		return errStopped
	}
	a := c.d.inject(stepsOf(tx)...)
	c.d.awaitResume()
	if c.d.isPartitioned() {
		return code.Errorf(code.StoreDown, "the data centre is partitioned")
	}
	ctx, cancel := context.WithTimeout(ctx, store.CallTimeout)
	defer cancel()
	t := c.d.rig.table
	c.d.rig.trace.addf("%s applies %s", c.d.vm, tx.Writes[0].Key)
	err := c.deliver(ctx, a, func(ctx context.Context) error { return t.Apply(ctx, tx) })
	c.d.awaitResume()
	return err
}

// deliver sends a write with the injected fault. If no answer arrives in time,
// the outcome is unknown.
func (c tableClient) deliver(ctx context.Context, a fault.Action, send func(context.Context) error) error {
	errUnknown := code.Errorf(code.StoreUnknown, "no answer")
	switch a.Kind {
	case fault.Drop:
		return errUnknown
	case fault.Lost:
		_ = send(ctx)
		return errUnknown
	case fault.Duplicate:
		c.d.rig.after(a.Delay, func() { _ = send(context.Background()) })
	case fault.Delay:
		c.d.rig.after(a.Delay, func() { _ = send(context.Background()) })
		sleep(ctx, store.CallTimeout)
		return errUnknown
	}
	done := make(chan error, 1)
	c.d.rig.spawn(func() { done <- send(context.WithoutCancel(ctx)) })
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return errUnknown
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

// objectClient is a daemon's access to the platform's object store, with
// injected faults.
type objectClient struct{ tableClient }

// Put implements store.Objects.
func (c objectClient) Put(ctx context.Context, key string, body []byte) error {
	ctx, cancel, err := c.startRead(ctx, "put "+key)
	defer cancel()
	if err != nil {
		return err
	}
	return c.d.rig.objects.Put(ctx, key, body)
}

// Delete implements store.Objects.
func (c objectClient) Delete(ctx context.Context, key string) error {
	ctx, cancel, err := c.startRead(ctx, "delete "+key)
	defer cancel()
	if err != nil {
		return err
	}
	return c.d.rig.objects.Delete(ctx, key)
}

// Get implements store.Objects.
func (c objectClient) Get(ctx context.Context, key string) ([]byte, error) {
	var steps []Step
	if strings.HasPrefix(key, "documents/") {
		steps = append(steps, TakeUp)
	}
	ctx, cancel, err := c.startRead(ctx, key, steps...)
	defer cancel()
	if err != nil {
		return nil, err
	}
	return c.d.rig.objects.Get(ctx, key)
}

// engineClient is a daemon's access to the engines, with injected faults.
type engineClient struct{ d *daemon }

var (
	_ engine.Orderer   = engineClient{}
	_ engine.Generator = engineClient{}
	_ engine.Reporter  = engineClient{}
)

// checkReachable waits while the daemon is paused and returns an error if the
// daemon has stopped or a partition separates it from the engine.
func (c engineClient) checkReachable(address string) error {
	c.d.awaitResume()
	if c.d.isStopped() || c.d.isPartitionedFrom(address) {
		return code.Errorf(code.BackendFailed, "%s is not reachable", address)
	}
	return nil
}

// Order implements engine.Orderer.
func (c engineClient) Order(ctx context.Context, address string, o engine.Order) (engine.OrderAnswer, error) {
	c.d.rig.delayMessage(c.d.vm, "order", address, o.Kind, o.Slot)
	c.d.checkOrderAllowed()
	a := c.d.inject(Order)
	if err := c.checkReachable(address); err != nil {
		return engine.OrderAnswer{}, err
	}
	fleet := c.d.rig.fleet
	c.d.rig.trace.addf("%s orders %s %s %v", c.d.vm, address, o.Kind, o.Slot)
	errUnknown := code.Errorf(code.OrderUnknown, "no answer")
	deliverOrder := func() { _, _ = fleet.Order(context.Background(), address, o) }
	switch a.Kind {
	case fault.Drop:
		return engine.OrderAnswer{}, errUnknown
	case fault.Lost:
		c.d.rig.spawn(deliverOrder)
		return engine.OrderAnswer{}, errUnknown
	case fault.Duplicate:
		c.d.rig.after(a.Delay, deliverOrder)
	case fault.Delay:
		c.d.rig.after(a.Delay, deliverOrder)
		sleep(ctx, lateCallDelay)
		return engine.OrderAnswer{}, errUnknown
	}
	answer, err := fleet.Order(ctx, address, o)
	c.d.awaitResume()
	return answer, err
}

// Generate implements engine.Generator.
func (c engineClient) Generate(ctx context.Context, address string, r engine.Request) (engine.Frames, error) {
	c.d.rig.delayMessage(c.d.vm, "generate", address, r.Prompt)
	a := c.d.inject(Dispatch)
	if err := c.checkReachable(address); err != nil {
		return nil, err
	}
	errLost := code.Errorf(code.BackendLost, "no answer")
	c.d.rig.trace.addf("%s sends %s %q", c.d.vm, address, r.Prompt)
	if a.Kind == fault.Drop {
		return nil, errLost
	}
	if a.Kind == fault.Delay {
		sleep(ctx, a.Delay)
	}
	frames, err := c.d.rig.fleet.Generate(ctx, address, r)
	if err != nil {
		return nil, err
	}
	if a.Kind == fault.Lost {
		_ = frames.Close()
		return nil, errLost
	}
	return &faultyFrames{Frames: frames, d: c.d, address: address, prompt: r.Prompt}, nil
}

// Resume implements engine.Generator.
func (c engineClient) Resume(ctx context.Context, address, attempt string, offset int) (engine.Frames, error) {
	if err := c.checkReachable(address); err != nil {
		return nil, err
	}
	frames, err := c.d.rig.fleet.Resume(ctx, address, attempt, offset)
	if err != nil {
		return nil, err
	}
	return &faultyFrames{Frames: frames, d: c.d, address: address}, nil
}

// Cancel implements engine.Generator.
func (c engineClient) Cancel(ctx context.Context, address, attempt string) error {
	if err := c.checkReachable(address); err != nil {
		return err
	}
	return c.d.rig.fleet.Cancel(ctx, address, attempt)
}

// Report implements engine.Reporter.
func (c engineClient) Report(ctx context.Context, address string) (engine.Report, error) {
	c.d.rig.delayMessage(c.d.vm, "report", address)
	if err := c.checkReachable(address); err != nil {
		return engine.Report{}, err
	}
	return c.d.rig.fleet.Report(ctx, address)
}

// CacheEvents implements engine.Reporter.
func (c engineClient) CacheEvents(ctx context.Context, address string, after int64) ([]engine.CacheEvent, error) {
	c.d.rig.delayMessage(c.d.vm, "cache", address)
	if err := c.checkReachable(address); err != nil {
		return nil, err
	}
	return c.d.rig.fleet.CacheEvents(ctx, address, after)
}

// faultyFrames is a stream of frames with the injection point of the Relay
// step. A doubled frame is a frame of another attempt, followed by the frame
// itself.
type faultyFrames struct {
	engine.Frames
	d       *daemon
	address string
	prompt  string
	queued  []engine.Frame
}

// Next implements engine.Frames.
func (f *faultyFrames) Next() (engine.Frame, error) {
	if len(f.queued) > 0 {
		next := f.queued[0]
		f.queued = f.queued[1:]
		return next, nil
	}
	frame, err := f.Frames.Next()
	if err != nil {
		return frame, err
	}
	f.d.rig.delayMessage(f.address, f.prompt)
	a := f.d.inject(Relay)
	if f.d.isStopped() || f.d.isPartitionedFrom(f.address) {
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

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) { life.Sleep(ctx, d) }
