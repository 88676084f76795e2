package life

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestParentEndsDuringWithContext ends the parent while WithContext creates the tomb. The
// race detector checks that the tomb is not changed concurrently.
func TestParentEndsDuringWithContext(t *testing.T) {
	const rounds = 2000
	for range rounds {
		parent, cancel := context.WithCancel(t.Context())
		go cancel()
		tomb, ctx := WithContext(parent)
		tomb.Go(func() error {
			<-ctx.Done()
			return ctx.Err()
		})
		require.ErrorIs(t, tomb.Wait(), context.Canceled)
	}
}

// TestErrorEndsOtherGoroutines checks that the context ends when a goroutine of the tomb
// returns an error.
func TestErrorEndsOtherGoroutines(t *testing.T) {
	failure := errors.New("failure")
	tomb, ctx := WithContext(t.Context())
	tomb.Go(func() error {
		<-ctx.Done()
		return ctx.Err()
	})
	tomb.Go(func() error { return failure })
	require.ErrorIs(t, tomb.Wait(), failure)
}

// TestParentEndsTomb checks that the tomb is killed when the parent ends, with a goroutine
// that waits only for the tomb.
func TestParentEndsTomb(t *testing.T) {
	parent, cancel := context.WithCancel(t.Context())
	tomb, _ := WithContext(parent)
	tomb.Go(func() error {
		<-tomb.Dying()
		return nil
	})
	cancel()
	require.ErrorIs(t, tomb.Wait(), context.Canceled)
}

func TestSleepEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		started := time.Now()
		require.True(t, Sleep(t.Context(), time.Hour))
		require.Equal(t, time.Hour, time.Since(started))
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		require.False(t, Sleep(ctx, time.Hour))
		require.Equal(t, time.Hour+time.Minute, time.Since(started))
	})
}
