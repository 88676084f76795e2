package wire

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
)

func TestEventScannerFindsEnds(t *testing.T) {
	for _, c := range []struct {
		stream string
		// end is the length up to the last end of an event or comment.
		end, events          int
		complete, untilClose bool
	}{
		{"", 0, 0, true, false},
		{"\n\n", 0, 0, true, false},
		{"data: a\n\n", 9, 1, true, true},
		{"data: a\r\n\r\n", 11, 1, true, true},
		{"data: a\r\r", 9, 1, true, true},
		{"data: a\r\r\n", 10, 1, true, true},
		{"data: a\n\n\n", 9, 1, true, true},
		{"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", 30, 2, true, true},
		{"data: a", 0, 0, false, false},
		{"data: a\n", 0, 0, false, false},
		{"data: a\n\nd", 9, 1, false, false},
		{"data: a\r\n", 0, 0, false, false},
		{": a\n\n", 5, 0, true, false},
		{": a\n", 0, 0, true, false},
		{"data: a\n\n: b", 9, 1, true, true},
		{": a\ndata: b\n", 0, 0, false, false},
		{"data: b\n: a\n", 0, 0, false, false},
	} {
		var s EventScanner
		require.Equal(t, c.end, s.Scan([]byte(c.stream)), "%q", c.stream)
		require.Equal(t, c.events, s.Events(), "%q", c.stream)
		require.Equal(t, c.complete, s.Complete(false), "%q", c.stream)
		require.Equal(t, c.untilClose, s.Complete(true), "%q", c.stream)
		var bytewise EventScanner
		for i := range c.stream {
			bytewise.Scan([]byte(c.stream[i : i+1]))
		}
		require.Equal(t, s, bytewise, "%q", c.stream)
	}
}

func TestEventReaderReportsBrokenStream(t *testing.T) {
	const stream = "data: a\n\ndata: b\n\n"
	for n := range len(stream) + 1 {
		for _, source := range []io.Reader{strings.NewReader(stream[:n]), iotest.DataErrReader(strings.NewReader(stream[:n]))} {
			got, err := io.ReadAll(NewEventReader(source))
			require.Equal(t, stream[:n], string(got))
			if n == 9 || n == len(stream) {
				require.NoError(t, err, n)
			} else {
				require.ErrorIs(t, err, io.ErrUnexpectedEOF, n)
			}
		}
	}
}

func TestIsEventStream(t *testing.T) {
	require.True(t, IsEventStream("text/event-stream"))
	require.True(t, IsEventStream("Text/Event-Stream; charset=utf-8"))
	require.True(t, IsEventStream("text/event-stream; charset"), "an invalid parameter")
	require.False(t, IsEventStream("text/plain"))
	require.False(t, IsEventStream(""))
}
