package peer

import (
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/member"
)

// TestToldMessagesAreNotKept tells large messages that compress well over one
// stream. Kept for a replay, they would take ten times the bound.
func TestToldMessagesAreNotKept(t *testing.T) {
	const (
		messages  = 200
		daemons   = 200
		mostBytes = 1 << 20
	)
	h := newHandlers()
	address := serve(t, "e/trial", nil, h, nil)
	c := client(t, ClientDeps{})
	m := member.Message{}
	for range daemons {
		m.Daemons = append(m.Daemons, message().Daemons[0])
	}
	tell := func() {
		require.NoError(t, c.Tell(address, m))
		<-h.from
		<-h.received
	}
	tell()
	before := liveBytes()
	for range messages {
		tell()
	}
	require.Less(t, int64(liveBytes())-int64(before), int64(mostBytes))
}

// liveBytes returns the size of the live objects.
func liveBytes() uint64 {
	var s runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&s)
	return s.HeapAlloc
}
