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

// hopHeaders are the hop-by-hop headers, which concern one connection only.
var hopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding", "Content-Length", "Te", "Trailer", "Upgrade", "Expect"}

// removeHopHeaders deletes the hop-by-hop headers.
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

// copyHeader copies the headers of a response, except the hop-by-hop headers.
func copyHeader(to, from http.Header) {
	removeHopHeaders(from)
	for name, values := range from {
		to[name] = slices.Clone(values)
	}
	if from.Get("Content-Type") == "" {
		// A nil entry keeps net/http from guessing a content type.
		to["Content-Type"] = nil
	}
}

// retryOrEnd reports whether the call may be sent again after a failed attempt. If not, it
// ends the call with result and reason.
func (c *call) retryOrEnd(ctx context.Context, result code.Code, reason string) bool {
	c.outcome.reason = reason
	switch {
	case c.request.Context().Err() != nil:
		c.abort(code.CallerGone, "the caller disconnected: "+reason)
	case c.front.stopCtx.Err() != nil:
		c.endStopped()
	case ctx.Err() != nil:
		c.expire(reason)
	case time.Until(c.schedCall.Deadline) < minTimeLeft:
		c.expire(reason)
	case c.runs > 0 && !c.mayRepeat():
		c.fail(result, http.StatusBadGateway, reason)
	case c.underEnd:
		c.giveUp(result, sched.Choice{RetryAfter: minRetryAfter}, "the server ended under the call: "+reason)
	case c.runs >= c.schedCall.Route.MaxAttempts, c.outcome.attempts >= maxAttempts:
		c.giveUp(result, sched.Choice{RetryAfter: minRetryAfter}, reason)
	default:
		return true
	}
	return false
}

// giveUp ends a call that is not sent to another server.
func (c *call) giveUp(result code.Code, choice sched.Choice, reason string) {
	switch {
	case c.failedResponse != nil:
		c.writeBuffered(c.failedResponse)
	case c.runs > 0:
		c.fail(result, http.StatusBadGateway, reason)
	default:
		c.refuse(result, choice.RetryAfter, reason)
	}
}

// endStopped ends a call because the daemon stops.
func (c *call) endStopped() {
	if c.runs > 0 {
		c.fail(code.BackendLost, http.StatusBadGateway, "the daemon stopped before the server answered")
		return
	}
	c.refuse(code.Stopping, minRetryAfter, "the daemon stops")
}

// expire ends a call whose deadline has passed or is too close for another attempt.
func (c *call) expire(reason string) {
	switch {
	case c.failedResponse != nil:
		c.writeBuffered(c.failedResponse)
	case c.runs > 0:
		c.fail(code.BackendLost, http.StatusGatewayTimeout, "no answer in time: "+reason)
	default:
		c.refuse(code.ShedDeadline, minRetryAfter, "not sent in time: "+reason)
	}
}
