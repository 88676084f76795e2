package peer

import (
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/member"
)

// TestSentMessagesAreNotRetained sends large messages that compress well over one stream.
// In the retry buffer of the stream, the messages would take ten times the bound.
func TestSentMessagesAreNotRetained(t *testing.T) {
	const (
		messages  = 200
		daemons   = 200
		maxGrowth = 1 << 20
	)
	h := newFakeHandlers()
	address := startServer(t, "e/trial", nil, h, nil)
	c := newTestClient(t, ClientDeps{})
	m := member.Message{}
	for range daemons {
		m.Daemons = append(m.Daemons, fullMessage().Daemons[0])
	}
	send := func() {
		require.NoError(t, c.Send(address, m))
		<-h.from
		<-h.received
	}
	send()
	before := liveBytes()
	for range messages {
		send()
	}
	require.Less(t, int64(liveBytes())-int64(before), int64(maxGrowth))
}

// liveBytes returns the size of the live heap objects.
func liveBytes() uint64 {
	var s runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&s)
	return s.HeapAlloc
}
