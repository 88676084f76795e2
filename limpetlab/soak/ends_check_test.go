package soak

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/platform/stand"
)

// TestIncompleteResponsesAreDetected guards against checks that take a part of a response for the whole.
func TestIncompleteResponsesAreDetected(t *testing.T) {
	var events strings.Builder
	for i := range endsEvents {
		fmt.Fprintf(&events, "id: %d\ndata: x\n\n", i)
	}
	stream, early, earlyStream := &endsCall{id: "a", model: "m"}, &endsCall{id: "a", early: earlyClose}, &endsCall{id: "a", model: "m", early: earlyClose}
	for _, c := range []struct {
		call  *endsCall
		whole string
	}{{stream, events.String()}, {&endsCall{id: "a", size: 7}, "a:7"}, {early, stand.EarlyBody("a")}, {earlyStream, stand.EarlyEvents("a")}} {
		require.Empty(t, c.call.check(c.whole))
		for n := range len(c.whole) {
			require.NotEmpty(t, c.call.check(c.whole[:n]), "%d of %d bytes", n, len(c.whole))
		}
	}
	require.NotEmpty(t, stream.check(strings.Replace(events.String(), "id: 4\n", "id: 5\n", 1)))
}

// TestCauseIsTheFaultAfterTheLastBytes has two faults of each call's server.
func TestCauseIsTheFaultAfterTheLastBytes(t *testing.T) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	r := &endsRun{marks: []mark{
		{kind: stoppedDaemon, target: 1, at: at(90), to: at(150)}, {kind: resetServer, target: 0, at: at(100)},
		{kind: stoppedDaemon, target: 2, at: at(250), to: at(420)}, {kind: stoppedDaemon, target: 2, at: at(430), to: at(650)},
		{kind: killedServer, target: 0, at: at(300), to: at(600)}, {kind: resetServer, target: 0, at: at(400)},
		{kind: stoppedServer, target: 0, at: at(700), to: at(780)}, {kind: resetServer, target: 0, at: at(710)},
		{kind: stoppedServer, target: 0, at: at(800), to: at(890)}, {kind: resetServer, target: 0, at: at(810)}, {kind: killedServer, target: 0, at: at(850), to: at(899)},
	}}
	r.delayResets()
	for _, c := range []struct {
		last, daemon int
		early, cause string
	}{
		{50, 0, "", resetServer}, {50, 1, "", resetServer + atStoppedDaemon}, {290, 0, "", killedServer}, {660, 2, "", killedServer + atStoppedDaemon}, {690, 0, "", resetServer}, {790, 0, "", resetServer}, {805, 0, "", killedServer},
		{50, 0, earlyBroken, besideUpload}, {290, 0, earlyBroken, killedServer},
	} {
		call := &endsCall{daemon: c.daemon, early: c.early, begin: start, last: at(c.last), end: at(900)}
		require.Equal(t, c.cause, r.causeOf(call, map[int]bool{0: true}), "%+v", c)
		require.Equal(t, map[string]string{"": noFault, earlyBroken: besideUpload}[c.early], r.causeOf(call, map[int]bool{1: true}), "%+v", c)
	}
}
