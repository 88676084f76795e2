package life

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestParentEndsMeanwhile ends the parent while the tomb is made; the race
// detector checks it.
func TestParentEndsMeanwhile(t *testing.T) {
	const times = 2000
	for range times {
		parent, cancel := context.WithCancel(t.Context())
		go cancel()
		b, ctx := WithContext(parent)
		b.Go(func() error {
			<-ctx.Done()
			return ctx.Err()
		})
		require.ErrorIs(t, b.Wait(), context.Canceled)
	}
}

// TestErrorEndsTheOthers lets one goroutine fail.
func TestErrorEndsTheOthers(t *testing.T) {
	failure := errors.New("failure")
	b, ctx := WithContext(t.Context())
	b.Go(func() error {
		<-ctx.Done()
		return ctx.Err()
	})
	b.Go(func() error { return failure })
	require.ErrorIs(t, b.Wait(), failure)
}

// TestTombDiesWithParent has a goroutine that waits for the tomb only.
func TestTombDiesWithParent(t *testing.T) {
	parent, cancel := context.WithCancel(t.Context())
	b, _ := WithContext(parent)
	b.Go(func() error {
		<-b.Dying()
		return nil
	})
	cancel()
	require.ErrorIs(t, b.Wait(), context.Canceled)
}

func TestSleepEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		require.True(t, Sleep(t.Context(), time.Hour))
		require.Equal(t, time.Hour, time.Since(began))
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		require.False(t, Sleep(ctx, time.Hour))
		require.Equal(t, time.Hour+time.Minute, time.Since(began))
	})
}
