package engine_test

import (
	"errors"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/broken"
	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/engine"
)

// TestBrokenFramesAreNotComplete breaks off a stream of frames at each byte. Only a stream whose
// last frame has arrived is complete.
func TestBrokenFramesAreNotComplete(t *testing.T) {
	const (
		first = `{"attempt":"a","offset":0,"text":"x","tokens":1}` + "\n"
		whole = first + `{"attempt":"a","offset":1,"done":true,"reason":"stop"}` + "\n"
	)
	var sent []int
	for n := range len(whole) + 1 {
		sent = append(sent, n)
	}
	for _, b := range broken.Responses(whole, sent...) {
		if b.Ending == broken.Silent {
			continue // Package relay limits the time between frames.
		}
		t.Run(b.String(), func(t *testing.T) {
			t.Parallel()
			n, err := readFrames(t, b)
			if b.Sent >= len(whole)-1 {
				require.True(t, errors.Is(err, io.EOF), "%v", err)
				return
			}
			require.Equal(t, code.BackendLost, code.Of(err), "%v", err)
			require.Equal(t, strings.Count(whole[:b.Sent]+"\n", "}\n"), n, "complete frames are returned")
		})
	}
}

// readFrames reads the frames of a response. It returns their number and the error that ended
// them.
func readFrames(t *testing.T, b broken.Response) (int, error) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { require.NoError(t, l.Close()) }()
	s := broken.Server{Requests: &atomic.Int64{}, Response: b}
	go s.Serve(l)
	c := engine.NewClient()
	defer c.Close()
	frames, err := c.Generate(t.Context(), l.Addr().String(), engine.Request{Attempt: "a"})
	require.NoError(t, err)
	defer func() { _ = frames.Close() }()
	for n := 0; ; n++ {
		f, err := frames.Next()
		if err != nil {
			return n, err
		}
		require.Equal(t, n, f.Offset)
	}
}

// TestPartOfReportIsAnError breaks off a report at each byte.
func TestPartOfReportIsAnError(t *testing.T) {
	const report = `{"vm":"e","models":[{"model":"m"}]}`
	var sent []int
	for n := range len(report) + 1 {
		sent = append(sent, n)
	}
	for _, b := range broken.Responses(report, sent...) {
		if b.Ending == broken.Silent {
			continue // The callers limit the time.
		}
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		require.NoError(t, err)
		s := broken.Server{Requests: &atomic.Int64{}, Response: b}
		go s.Serve(l)
		c := engine.NewClient()
		_, err = c.Report(t.Context(), l.Addr().String())
		require.Equal(t, b.LooksComplete(false) && b.Sent == len(report), err == nil, "%s: %v", b, err)
		c.Close()
		require.NoError(t, l.Close())
	}
}
