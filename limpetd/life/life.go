// Package life binds goroutines and sleeps to the lifetime of a context.
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

// WithContext returns a tomb that is killed when parent ends, and a context that ends when
// parent ends or the tomb is killed. Unlike tomb.WithContext, it is safe if parent ends
// during the call: tomb.WithContext still writes to the tomb without holding the tomb's lock
// after it has started the goroutine that kills the tomb.
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

// Sleep waits for d or until ctx ends, and reports whether it waited for all of d.
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
