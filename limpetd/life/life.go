// Package life ties goroutines and pauses to a context.
//
// # Usage
//
//	t, ctx := life.WithContext(ctx)
//	t.Go(func() error { return d.loop(ctx) })
//	err := t.Wait()
package life

import (
	"context"
	"time"

	"gopkg.in/tomb.v2"
)

// WithContext returns a tomb that is killed when parent ends, and a context that
// ends with parent and with the tomb. Unlike tomb.WithContext it may be called
// while parent ends: that function goes on changing the tomb without its lock
// after it has started the goroutine that kills it.
func WithContext(parent context.Context) (*tomb.Tomb, context.Context) {
	t := &tomb.Tomb{}
	ctx := t.Context(parent)
	go func() {
		select {
		case <-t.Dying():
		case <-parent.Done():
			t.Kill(parent.Err())
		}
	}()
	return t, ctx
}

// Sleep waits for d; false when ctx ends first.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
