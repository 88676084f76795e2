package front

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/abort"
	"github.com/limpetlb/limpetlb/limpetd/budget"
	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/guard"
	"github.com/limpetlb/limpetlb/limpetd/layout"
	"github.com/limpetlb/limpetlb/limpetd/sched"
)

const (
	// defaultDeadline is the deadline of a call that states none.
	defaultDeadline = 30 * time.Second
	// noConfigRetryAfter is the Retry-After of a daemon without a configuration. It is
	// shorter than the time in which a new daemon usually receives its configuration.
	noConfigRetryAfter = 300 * time.Millisecond
	// minRetryAfter is the Retry-After of a leaving daemon, and of other refusals that
	// give no reason for a longer wait. It is short because a new connection reaches
	// another daemon.
	minRetryAfter = 20 * time.Millisecond
	// memoryRetryAfter is the Retry-After while bodies take the memory of the daemon. Slow ones are dropped after
	// one second.
	memoryRetryAfter = time.Second
	// maxAttempts limits the attempts of a call, including those that servers rejected
	// without running the call. Route.Attempts limits only the servers that may have run
	// the call.
	maxAttempts = 4
)

// call is the state of a caller's request from its arrival to the end of the response.
type call struct {
	front   *Front
	writer  http.ResponseWriter
	request *http.Request
	// key is the hash of the caller's key, hasKey whether the call needed one.
	key    layout.KeyHash
	hasKey bool
	// info holds the values from the headers, schedCall those that the choice of a server
	// depends on.
	info      CallHeaders
	schedCall sched.Call
	body      []byte
	// bodyRead is whether the body was read to its end.
	bodyRead bool
	// parts are the request and the parts of its prompt, by which a call that ends servers is known.
	parts []uint64
	// runs counts the servers that may have run the call. connected counts the attempts
	// that obtained a connection: only an attempt after one of these counts as a retry.
	runs, connected int
	// delivery records the sends for the retry budget. retryTaken is whether the budget has allowed the next send.
	// alternative is the server to which the call is sent after its present one; nil if none is assigned.
	delivery    *sched.Delivery
	retryTaken  bool
	alternative *sched.Choice
	// charge is what was charged to the quota of the organisation for the next send.
	charge charge
	// underEnd is whether a server has ended under the call, for which the call may be the cause.
	underEnd bool
	// waited is whether the call has waited for a server.
	waited bool
	// responseBegun is whether the head of the response was written. lastEvent is the id
	// of the last event that the caller received.
	responseBegun bool
	lastEvent     string
	// unnumbered is whether the caller received an event without an id. A server that
	// continued after lastEvent would send this event again.
	unnumbered bool
	// firstAt and lastAt are when the first and the last part of the response were
	// written. maxPause is the longest time between two parts.
	firstAt, lastAt time.Time
	maxPause        time.Duration
	// failedResponse is a failure that a server answered. It is forwarded if no later
	// attempt succeeds, and freed when the call ends.
	failedResponse *bufferedResponse
	// outcome is what the log line of the call reports.
	outcome outcome
}

// mayRepeat reports whether the call may be sent again after a server may have run it.
func (c *call) mayRepeat() bool { return c.schedCall.Route.Repeatable() && !c.unnumbered }

// outcome describes how a call ended, for its log line.
type outcome struct {
	result code.Code
	// status is the HTTP status of the response, or statusAborted.
	status int
	server string
	reason string
	// load is the load of the server at the last choice, loadAge the age of the counts
	// that load is based on (negative if there are none).
	load     float64
	loadAge  time.Duration
	attempts int
	// waited is the time from the arrival of the call to the last choice of a server.
	waited time.Duration
	// asks counts the requests for a reservation that the Reserver answered. granted is
	// whether the Reserver chose the last server.
	asks    int
	granted bool
	// via is the daemon through which the last attempt was sent, and tunnel the id of the tunnel; empty
	// for a direct connection.
	via, tunnel string
	// received is what the last attempt received.
	received received
}

// ServeHTTP implements http.Handler.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.inFlight.Add(1)
	defer f.inFlight.Add(-1)
	defer abort.End(r)
	f.deps.Guard.BeginCall()
	defer f.deps.Guard.EndCall(r)
	f.metrics.calls.Inc(1)
	c := &call{front: f, writer: w, request: r}
	c.schedCall.Arrived = time.Now()
	defer func() {
		f.deps.Guard.Release(budget.Waiting, int64(cap(c.body)))
		c.failedResponse.free()
	}()
	// The body may arrive much later than the head.
	if !c.refuseLeaving() && c.prepare() && !c.refuseLeaving() {
		c.serve()
	}
	c.recordOutcome()
	if c.outcome.status == statusAborted {
		abort.Response(r)
	}
}

// refuseLeaving refuses the call, and returns true, if the daemon is leaving and could not finish the call.
func (c *call) refuseLeaving() bool {
	at := c.front.refuseAfter.Load()
	if at == nil || !time.Now().After(*at) {
		return false
	}
	c.refuse(code.Stopping, minRetryAfter, "leaving")
	return true
}

// statusAborted is recorded instead of an HTTP status for a response that was aborted.
const statusAborted = -1

// prepare reads the call and matches it to a route. It returns false if it ended the call.
func (c *call) prepare() bool {
	f, r := c.front, c.request
	s := f.activeConfig.Load()
	if s == nil {
		c.refuse(code.NoDocument, noConfigRetryAfter, "no configuration yet")
		return false
	}
	limit := s.config.Limits.MaxHeaderBytes
	n, err := f.deps.Guard.Header(c.writer, r, limit)
	switch {
	case code.Of(err) == code.HeaderTooLarge:
		c.fail(code.HeaderTooLarge, http.StatusRequestHeaderFieldsTooLarge, fmt.Sprintf("the header has %d bytes, max_header_bytes is %d", n, limit))
		return false
	case err != nil:
		c.refuseBody(err)
		return false
	}
	route, ok := s.routeIndex.Match(r.Host, r.URL.Path)
	if !ok {
		c.fail(code.UnknownPath, http.StatusNotFound, "no route matches")
		return false
	}
	c.info = f.deps.Dialect.DecodeCall(r.Header)
	if !c.authenticate(s.config, route) {
		return false
	}
	body, err := f.deps.Guard.ReadBody(c.writer, r, maxBody(s.config))
	if err != nil {
		c.refuseBody(err)
		return false
	}
	c.body, c.bodyRead = body, true
	c.parts = c.suspectedParts()
	removeHopHeaders(r.Header)
	if s.config.Keys != nil {
		f.deps.Dialect.SetOrganisation(r.Header, c.organisation())
	}
	c.fillSchedCall(s.config, route)
	return true
}

// HeaderTooLarge returns the response to a call whose header exceeds a limit so far that it was not parsed.
func HeaderTooLarge(limit int64) guard.Refusal {
	return refusal(code.HeaderTooLarge, fmt.Sprintf("the header exceeds max_header_bytes, which is %d", limit))
}

// HeaderNotHeld returns the response to a call for whose header there is no memory.
func HeaderNotHeld(err error) guard.Refusal {
	r := refusal(code.MemoryShort, err.Error())
	r.Header.Set("Retry-After", formatSeconds(memoryRetryAfter))
	return r
}

// refusal returns a response that is written before the call is parsed.
func refusal(result code.Code, reason string) guard.Refusal {
	return guard.Refusal{
		Status: result.Info().Status,
		Header: http.Header{"Limpet-Code": {strconv.Itoa(int(result))}, "Content-Type": {"text/plain; charset=utf-8"}},
		Body:   []byte(reason + "\n"),
	}
}

// refuseBody ends a call whose header or body is not held.
func (c *call) refuseBody(err error) {
	switch result := code.Of(err); result {
	case code.CallerGone:
		c.abort(result, err.Error())
	case code.MemoryShort:
		c.refuse(result, memoryRetryAfter, err.Error())
	default:
		c.fail(result, result.Info().Status, err.Error())
	}
}

// defaultMaxBody is the size limit of request bodies, in bytes, if the configuration has none.
const defaultMaxBody = 8 << 20

// maxBody returns the size limit of request bodies.
func maxBody(c *layout.Config) int64 {
	if c.Limits.MaxBodyBytes > 0 {
		return c.Limits.MaxBodyBytes
	}
	return defaultMaxBody
}

// fillSchedCall sets the values that the choice of a server depends on.
func (c *call) fillSchedCall(config *layout.Config, route *layout.Route) {
	deadline := c.info.Deadline
	if deadline <= 0 {
		deadline = defaultDeadline
	}
	if route.Timeout > 0 {
		deadline = min(deadline, route.Timeout)
	}
	c.schedCall.Route = route
	c.schedCall.Deadline = c.schedCall.Arrived.Add(deadline)
	c.lastEvent = c.info.LastEvent
	c.schedCall.TakesUp = c.takesUp()
	c.setService(config, pickService(route, c.info.ID))
}

// setService sets the service of the call, and the values that only calls to engines have.
func (c *call) setService(config *layout.Config, service string) {
	if service == c.schedCall.Service {
		return
	}
	c.schedCall.Service = service
	c.delivery = sched.NewDelivery(service)
	if s := config.Services[service]; s != nil && s.Engines != nil {
		c.schedCall.Model, c.schedCall.Adapter = c.info.Model, c.info.Adapter
		c.schedCall.PromptTokens, c.schedCall.OutputTokens = c.info.PromptTokens, c.info.OutputTokens
		c.schedCall.Session = c.info.Session
		return
	}
	c.schedCall.Model, c.schedCall.Adapter, c.schedCall.Session = "", "", 0
}

// serve attempts the call until it is answered or ended.
func (c *call) serve() {
	f := c.front
	ctx, cancel := context.WithDeadline(c.request.Context(), c.schedCall.Deadline)
	defer cancel()
	defer context.AfterFunc(f.stopCtx, cancel)()
	f.mu.Lock()
	f.balancer.RecordArrival(c.schedCall.Service, c.schedCall.Arrived)
	f.mu.Unlock()
	if c.schedCall.Model != "" {
		work := sched.Work(&c.schedCall, f.activeConfig.Load().requirements[c.schedCall.Service])
		f.deps.Loader.RecordCall(c.schedCall.Service, c.schedCall.Model, c.schedCall.Adapter, work)
	}
	if !c.pinOrigin(ctx) {
		return
	}
	defer c.releaseRetry()
	defer c.returnCharge()
	for {
		if c.responseBegun {
			c.schedCall.LastEventAt = c.lastAt
		}
		choice, ok := c.takeAlternative()
		if !ok {
			choice, ok = c.choose(ctx)
		}
		if !ok {
			return
		}
		retry := c.sendTo(ctx, choice)
		if !retry {
			return
		}
	}
}

// formatSeconds formats a duration as seconds for the Retry-After header.
func formatSeconds(d time.Duration) string {
	return strconv.FormatFloat(max(d, 0).Seconds(), 'f', 3, 64)
}

// refuse answers with 503 and the time after which the caller may retry. The call was not
// run and will not be.
func (c *call) refuse(result code.Code, retryAfter time.Duration, reason string) {
	if c.responseBegun {
		c.abort(result, reason)
		return
	}
	c.writer.Header().Set("Retry-After", formatSeconds(retryAfter))
	c.fail(result, http.StatusServiceUnavailable, reason)
}

// fail answers with a status that the daemon itself chose, not a backend server.
func (c *call) fail(result code.Code, status int, reason string) {
	if c.responseBegun {
		c.abort(result, reason)
		return
	}
	if !c.bodyRead && c.request.ContentLength != 0 {
		guard.EndBody(c.writer)
	}
	c.outcome.result, c.outcome.status, c.outcome.reason = result, status, reason
	h := c.writer.Header()
	h.Set("limpet-code", strconv.Itoa(int(result)))
	h.Set("Content-Type", "text/plain; charset=utf-8")
	c.writeHead(status)
	// The caller may have disconnected; the outcome is recorded either way.
	_, _ = io.WriteString(c.writer, reason+"\n")
}

// writeHead writes the head of the response. A leaving daemon closes the connection after
// the response.
func (c *call) writeHead(status int) {
	if c.front.refuseAfter.Load() != nil {
		c.writer.Header().Set("Connection", "close")
	}
	c.writer.WriteHeader(status)
}

// abort records that the response is to be truncated; ServeHTTP then closes the
// connection, so that the response does not look complete.
func (c *call) abort(result code.Code, reason string) {
	c.outcome.result, c.outcome.status, c.outcome.reason = result, statusAborted, reason
}

// pickService picks one of the route's services by their weights. A call id always maps
// to the same service.
func pickService(r *layout.Route, id string) string {
	if len(r.Targets) == 1 {
		return r.Targets[0].Service
	}
	total := 0.0
	for _, t := range r.Targets {
		total += t.Weight
	}
	at := float64(hash(id)>>11) / (1 << 53) * total
	for _, t := range r.Targets {
		if at -= t.Weight; at < 0 {
			return t.Service
		}
	}
	if len(r.Targets) == 0 {
		return ""
	}
	return r.Targets[len(r.Targets)-1].Service
}
