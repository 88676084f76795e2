package front

import (
	"context"
	"errors"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/layout"
	"github.com/limpetlb/limpetlb/limpetd/sched"
)

const (
	// defaultDeadline is that of a call that states none.
	defaultDeadline = 30 * time.Second
	// noConfigReturn is when a caller of a daemon without configuration returns:
	// sooner than a new daemon usually has one.
	noConfigReturn = 300 * time.Millisecond
	// leavingReturn is when a caller of a leaving daemon returns; a new connection
	// reaches another daemon.
	leavingReturn = 20 * time.Millisecond
	// maxSends bounds the servers that a call is sent to while they say that they
	// did not run it.
	maxSends = 4
)

// call is a caller's request on its way.
type call struct {
	front   *Front
	writer  http.ResponseWriter
	request *http.Request
	asked   Call
	need    sched.Call
	body    []byte
	// runs counts the servers that may have run the call, reached the connections on which
	// it was sent: only those are repeats for a server.
	runs, reached int
	// waited tells that the call waited for a server.
	waited bool
	// begun tells that the head of the answer was written; event is the id of the
	// last event passed on.
	begun bool
	event string
	// firstAt and lastAt are when the first and the last part of the answer were passed
	// on, pause is the longest time between two parts.
	firstAt, lastAt time.Time
	pause           time.Duration
	// kept is a failure that a server answered, passed on if no other answer comes.
	kept *answer
	// outcome is for the log.
	outcome outcome
}

// outcome is how a call ended, for its log line.
type outcome struct {
	result code.Code
	status int
	server string
	reason string
	load   float64
	age    time.Duration
	sends  int
	waited time.Duration
	// asks counts the asks that the steerer answered; granted tells that the last server
	// was its choice.
	asks    int
	granted bool
}

// ServeHTTP implements http.Handler.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.inFlight.Add(1)
	defer f.inFlight.Add(-1)
	f.metrics.calls.Inc(1)
	c := &call{front: f, writer: w, request: r}
	c.need.Arrived = time.Now()
	if at := f.leaving.Load(); at != 0 && c.need.Arrived.UnixNano() > at {
		c.refuse(code.Stopping, leavingReturn, "leaving")
		c.note()
		return
	}
	if c.prepare() {
		c.serve()
	}
	c.note()
	if c.outcome.status == statusCut {
		// The connection must end so that the answer does not look complete.
		panic(http.ErrAbortHandler)
	}
}

// statusCut is noted for answers that were cut off.
const statusCut = -1

// prepare matches the call to a route and reads it; false if it was answered.
func (c *call) prepare() bool {
	f, r := c.front, c.request
	s := f.state.Load()
	if s == nil {
		c.refuse(code.NoDocument, noConfigReturn, "no configuration yet")
		return false
	}
	route, ok := s.paths.Match(r.Host, r.URL.Path)
	if !ok {
		c.fail(code.UnknownPath, http.StatusNotFound, "no route matches")
		return false
	}
	body, err := io.ReadAll(http.MaxBytesReader(c.writer, r.Body, maxBody(s.config)))
	if err != nil {
		var large *http.MaxBytesError
		if errors.As(err, &large) {
			c.fail(code.BodyTooLarge, http.StatusRequestEntityTooLarge, "body over the limit")
			return false
		}
		c.cut(code.CallerGone, "body not received: "+err.Error())
		return false
	}
	c.body = body
	c.asked = f.deps.Dialect.Read(r.Header)
	removeHopHeaders(r.Header)
	c.describe(s.config, route)
	return true
}

func maxBody(c *layout.Config) int64 {
	if c.Limits.MaxBodyBytes > 0 {
		return c.Limits.MaxBodyBytes
	}
	return math.MaxInt64
}

// describe fills in what the choice of a server depends on.
func (c *call) describe(config *layout.Config, route *layout.Route) {
	deadline := c.asked.Deadline
	if deadline <= 0 {
		deadline = defaultDeadline
	}
	if route.Timeout > 0 {
		deadline = min(deadline, route.Timeout)
	}
	c.need.Route = route
	c.need.Service = target(route, c.asked.ID)
	c.need.Until = c.need.Arrived.Add(deadline)
	c.event = c.asked.LastEvent
	if s := config.Services[c.need.Service]; s != nil && s.Engines != nil {
		c.need.Model, c.need.Adapter = c.asked.Model, c.asked.Adapter
		c.need.PromptTokens, c.need.OutputTokens = c.asked.PromptTokens, c.asked.OutputTokens
		c.need.Session = c.asked.Session
	}
}

// serve sends the call until it is answered.
func (c *call) serve() {
	f := c.front
	ctx, cancel := context.WithDeadline(c.request.Context(), c.need.Until)
	defer cancel()
	defer context.AfterFunc(f.stopped, cancel)()
	f.mu.Lock()
	f.book.Arrived(c.need.Service, c.need.Arrived)
	f.mu.Unlock()
	if c.need.Model != "" {
		work := sched.Work(&c.need, f.state.Load().demands[c.need.Service])
		f.deps.Loader.Used(c.need.Service, c.need.Model, c.need.Adapter, work)
	}
	for {
		if c.begun {
			c.need.Passed = c.lastAt
		}
		choice, ok := c.choose(ctx)
		if !ok {
			return
		}
		more := c.attempt(ctx, choice)
		if !more {
			return
		}
	}
}

// note writes the log line of an ended call and counts it.
func (c *call) note() {
	m := c.front.metrics
	now := time.Now()
	o := &c.outcome
	switch {
	case o.result == code.OK:
		m.served.Inc(1)
		m.first.RecordDuration(c.firstAt.Sub(c.need.Arrived))
		m.total.RecordDuration(now.Sub(c.need.Arrived))
		m.pause.RecordDuration(c.pause)
	case o.result == code.CallerGone:
		m.left.Inc(1)
	case o.status == http.StatusServiceUnavailable:
		m.refused.Inc(1)
	default:
		m.failed.Inc(1)
	}
	route := ""
	if c.need.Route != nil {
		route = c.need.Route.Name
	}
	fields := []zap.Field{
		zap.String("request", c.asked.ID), zap.String("route", route), zap.String("model", c.asked.Model), zap.String("adapter", c.asked.Adapter),
		zap.Int("code", int(o.result)), zap.Int("status", o.status), zap.String("server", o.server),
		zap.Int("sends", o.sends), zap.Float64("load", math.Round(o.load*100)/100), zap.Duration("load_age", o.age),
		zap.Int("asks", o.asks), zap.Bool("granted", o.granted), zap.Duration("waited", o.waited), zap.Duration("took", now.Sub(c.need.Arrived)),
	}
	if !c.firstAt.IsZero() {
		fields = append(fields, zap.Duration("first", c.firstAt.Sub(c.need.Arrived)), zap.Duration("pause", c.pause))
	}
	if o.reason != "" {
		fields = append(fields, zap.String("reason", o.reason))
	}
	c.front.deps.Log.Info("request_ended", fields...)
}

// retryAfter renders a pause in seconds.
func retryAfter(d time.Duration) string {
	return strconv.FormatFloat(max(d, 0).Seconds(), 'f', 3, 64)
}

// refuse answers that the call was not run and will not be, and when to return.
func (c *call) refuse(result code.Code, back time.Duration, reason string) {
	if c.begun {
		c.cut(result, reason)
		return
	}
	c.writer.Header().Set("Retry-After", retryAfter(back))
	c.fail(result, http.StatusServiceUnavailable, reason)
}

// fail answers with a status of the daemon's own.
func (c *call) fail(result code.Code, status int, reason string) {
	if c.begun {
		c.cut(result, reason)
		return
	}
	c.outcome.result, c.outcome.status, c.outcome.reason = result, status, reason
	h := c.writer.Header()
	h.Set("limpet-code", strconv.Itoa(int(result)))
	h.Set("Content-Type", "text/plain; charset=utf-8")
	c.writeHead(status)
	// The caller may be gone; the outcome is noted either way.
	_, _ = io.WriteString(c.writer, reason+"\n")
}

// writeHead writes the head of the answer; a daemon that leaves closes the connection
// after it.
func (c *call) writeHead(status int) {
	if c.front.leaving.Load() != 0 {
		c.writer.Header().Set("Connection", "close")
	}
	c.writer.WriteHeader(status)
}

// cut ends the answer so that it does not look complete.
func (c *call) cut(result code.Code, reason string) {
	c.outcome.result, c.outcome.status, c.outcome.reason = result, statusCut, reason
}

// target picks the service of a call by the weights of its route. The same call
// always goes to the same service.
func target(r *layout.Route, id string) string {
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
