package crowd_test

import (
	"bytes"
	"context"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/limpetlb/limpetlb/limpetlab/crowd"
	"github.com/limpetlb/limpetlb/platform/stand"
)

const (
	// waitingCrowd callers hold more than the limit of memory with whole bodies of the size limit, and smallCrowd with whole
	// bodies of smallBody.
	waitingCrowd = 60
	smallCrowd   = 1500
	smallBody    = 60 << 10
	// silence is how long the servers of the crowd's calls say nothing.
	silence = time.Minute
)

// wholePattern returns the pattern of callers that send whole requests with a body of n bytes again and again.
func wholePattern(name string, n int) crowd.Pattern {
	return crowd.Pattern{Name: name, Reads: true, Send: func(_ context.Context, c *crowd.Client) {
		head := strings.ReplaceAll(c.Entry.Head, "{id}", name)
		_, _ = c.Conn.Write(append([]byte(head+"Content-Length: "+strconv.Itoa(n)+"\r\n\r\n"), bytes.Repeat([]byte("x"), n)...))
	}}
}

// TestWaitingCallsLeaveRoomForOthers guards against one caller whose calls wait for silent servers, and take the memory
// that calls of others to other servers need.
func TestWaitingCallsLeaveRoomForOthers(t *testing.T) {
	for n, clients := range map[int]crowd.Pattern{
		waitingCrowd: wholePattern("large bodies", crowd.BodyLimit),
		smallCrowd:   wholePattern("small bodies", smallBody),
	} {
		t.Run(clients.Name, func(t *testing.T) {
			p, e, w := startLimpetp(t, headerLimits, stand.SafeRoute, "")
			w.Plain.Silence(silence)
			ordinary := e
			ordinary.Head = strings.Replace(e.Head, stand.SafeRoute, stand.EngineRoute, 1) + "Model: " + stand.Model(0) + "\r\n"
			runCrowd(t, p, e, ordinary, clients, n)
		})
	}
}
