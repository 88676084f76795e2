package front

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/sched"
)

func itoa(n int) string { return strconv.Itoa(n) }

// hopHeaders concern one connection only.
var hopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding", "Content-Length", "Te", "Trailer", "Upgrade", "Expect"}

// removeHopHeaders takes off what concerns only the connection to the caller.
func removeHopHeaders(h http.Header) {
	for _, value := range h.Values("Connection") {
		for _, name := range strings.Split(value, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
}

// copyHeader copies the header of an answer, but for what concerns its connection.
func copyHeader(to, from http.Header) {
	removeHopHeaders(from)
	for name, values := range from {
		to[name] = slices.Clone(values)
	}
	if from.Get("Content-Type") == "" {
		// Keeps net/http from guessing one.
		to["Content-Type"] = nil
	}
}

// again tells whether the call may be sent once more after a send that failed; if
// not, it ends the call.
func (c *call) again(ctx context.Context, result code.Code, reason string) bool {
	c.outcome.reason = reason
	switch {
	case c.request.Context().Err() != nil:
		c.cut(code.CallerGone, "the caller left: "+reason)
	case c.front.stopped.Err() != nil:
		c.stop()
	case ctx.Err() != nil:
		c.expire(reason)
	case time.Until(c.need.Until) < leastLeft:
		c.expire(reason)
	case c.runs > 0 && !c.need.Route.Repeatable():
		c.fail(result, http.StatusBadGateway, reason)
	case c.runs >= c.need.Route.Attempts, c.outcome.sends >= maxSends:
		c.giveUp(result, sched.Choice{Return: leavingReturn}, reason)
	default:
		return true
	}
	return false
}

// giveUp ends a call that no further server gets.
func (c *call) giveUp(result code.Code, choice sched.Choice, reason string) {
	switch {
	case c.kept != nil:
		c.pass(c.kept)
	case c.runs > 0:
		c.fail(result, http.StatusBadGateway, reason)
	default:
		c.refuse(result, choice.Return, reason)
	}
}

// stop ends a call because the daemon stops.
func (c *call) stop() {
	if c.runs > 0 {
		c.fail(code.BackendLost, http.StatusBadGateway, "the daemon stops before the answer came")
		return
	}
	c.refuse(code.Stopping, leavingReturn, "the daemon stops")
}

// expire ends a call whose time is over.
func (c *call) expire(reason string) {
	switch {
	case c.kept != nil:
		c.pass(c.kept)
	case c.runs > 0:
		c.fail(code.BackendLost, http.StatusGatewayTimeout, "no answer in time: "+reason)
	default:
		c.refuse(code.ShedDeadline, leavingReturn, "not sent in time: "+reason)
	}
}
