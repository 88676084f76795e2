package engine_test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/broken"
	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/conns"
	"github.com/limpetlb/limpetlb/limpetd/engine"
)

// TestBrokenFramesAreNotComplete breaks off a stream of frames at each byte. Only a stream whose
// last frame has arrived is complete.
func TestBrokenFramesAreNotComplete(t *testing.T) {
	const (
		first = `{"attempt":"a","offset":0,"text":"x","tokens":1}` + "\n"
		whole = first + `{"attempt":"a","offset":1,"done":true,"reason":"stop"}` + "\n"
	)
	for _, framing := range []conns.Framing{conns.Length, conns.Chunked, conns.UntilClose} {
		for _, end := range []broken.Ending{broken.Closed, broken.Reset} {
			for sent := range len(whole) + 1 {
				t.Run(fmt.Sprintf("%s/%s/%d", framing, end, sent), func(t *testing.T) {
					t.Parallel()
					s := broken.Server{Requests: &atomic.Int64{}, Response: broken.Response{Framing: framing, Body: whole, Sent: sent, Ending: end}}
					l, err := net.Listen("tcp4", "127.0.0.1:0")
					require.NoError(t, err)
					defer func() { require.NoError(t, l.Close()) }()
					go s.Serve(l)
					c := engine.NewClient()
					defer c.Close()
					frames, err := c.Generate(t.Context(), l.Addr().String(), engine.Request{Attempt: "a"})
					require.NoError(t, err)
					defer func() { _ = frames.Close() }()
					n := 0
					for {
						var f engine.Frame
						if f, err = frames.Next(); err != nil {
							break
						}
						require.Equal(t, n, f.Offset)
						n++
					}
					if complete := sent >= len(whole)-1; complete {
						require.True(t, errors.Is(err, io.EOF), "%v", err)
					} else {
						require.Equal(t, code.BackendLost, code.Of(err), "%v", err)
						require.Equal(t, strings.Count(whole[:sent]+"\n", "}\n"), n, "complete frames are returned")
					}
				})
			}
		}
	}
}
