package telem_test

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/telem"
)

// blockedWriter is a writer that blocks until its channel is closed.
type blockedWriter struct{ unblock chan struct{} }

func (w blockedWriter) Write(b []byte) (int, error) {
	<-w.unblock
	return len(b), nil
}

func TestLineWriterNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		w := blockedWriter{unblock: make(chan struct{})}
		l := telem.NewLineWriter(ctx, w)
		for range 10_000 {
			n, err := l.Write([]byte("event=x\n"))
			require.NoError(t, err)
			require.Equal(t, 8, n)
		}
		close(w.unblock)
		cancel()
		require.NoError(t, l.Wait())
	})
}

func TestLineWriterCountsDroppedLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var out bytes.Buffer
		l := telem.NewLineWriter(ctx, &out)
		for range 700 {
			_, err := l.Write([]byte("event=x\n"))
			require.NoError(t, err)
		}
		time.Sleep(time.Second)
		cancel()
		require.NoError(t, l.Wait())
		require.Equal(t, 600, strings.Count(out.String(), "event=x"))
		require.Contains(t, out.String(), "event=lines_dropped count=100")
	})
}
