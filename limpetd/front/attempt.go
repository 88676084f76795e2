package front

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/conns"
	"github.com/limpetlb/limpetlb/limpetd/layout"
	"github.com/limpetlb/limpetlb/limpetd/sched"
	"github.com/limpetlb/limpetlb/limpetd/wire"
)

const (
	// maxIdleUnsafe is the longest idle time of a connection that may carry a call that
	// can't be retried. A call is lost if the server closes the idle connection just when
	// the call is written.
	maxIdleUnsafe = time.Second
	// maxIdle is the same limit for calls that can be retried.
	maxIdle = 10 * time.Second
	// maxBuffered is the largest body of a response that is buffered before it is
	// forwarded, maxBufferedTotal the largest size of all bodies that are buffered at a time.
	maxBuffered      = 4 << 20
	maxBufferedTotal = 12 << 20
	// maxFailedTotal is the largest size of all bodies that are buffered, up to which failures are kept during
	// further attempts.
	maxFailedTotal = maxBufferedTotal / 2
	// writeTimeout is how long a caller may take to accept a part of a buffered response.
	writeTimeout = 15 * time.Second
	// maxRejection is the largest body of a response that reports that the call was not run.
	maxRejection = 64 << 10
	// minTimeLeft is the least time before its deadline at which a call is sent.
	minTimeLeft = 5 * time.Millisecond
)

func hash(s string) uint64 { return xxhash.Sum64String(s) }

// attempt is one sending of a call to a backend server.
type attempt struct {
	call   *call
	server *layout.Server
	conn   *conns.Conn
	// started is whether the first event or the response has arrived.
	started bool
	// continues is whether the caller has events of an earlier attempt.
	continues bool
	// sentAt is when the call was sent. pending counts the calls that waited at the server
	// for a first event then, this one included.
	sentAt  time.Time
	pending int
	// alone is whether, according to the reservations, the engine read no other prompt.
	alone bool
	// isError is whether the response shows an error or a rejection.
	isError bool
	// lastEventAt is when the last events arrived.
	lastEventAt time.Time
	// begunAt is when the head of the response arrived, lastBytesAt when bytes last did. They
	// are guarded by the mu of the Front.
	begunAt, lastBytesAt time.Time
	// retry is whether the retry budget has allowed the attempt, unwritten whether nothing was written to the connection.
	retry, unwritten bool
	// pathLost is whether the attempt ended because the path to the server is lost.
	pathLost bool
	// cleared is whether the answer was recorded as evidence for the parts of the prompt.
	cleared bool
}

// sendTo sends the call to the chosen server and forwards the response. It returns true if
// the call is to be sent again.
func (c *call) sendTo(ctx context.Context, choice sched.Choice) bool {
	f := c.front
	c.outcome.attempts++
	c.outcome.received = received{}
	c.outcome.server, c.outcome.load, c.outcome.loadAge = choice.Server.ID, choice.Load, choice.Age
	c.schedCall.Tried = append(c.schedCall.Tried, choice.Server.ID)
	a := &attempt{call: c, server: choice.Server, continues: c.responseBegun, sentAt: time.Now(), pending: choice.Pending, alone: choice.Exclusive}
	idle := maxIdle
	if !c.schedCall.Route.Repeatable() {
		idle = maxIdleUnsafe
	}
	conn, err := f.deps.Pool.Get(ctx, connTarget(a.server), idle)
	if err != nil {
		result := sched.Unreachable
		if errors.Is(err, conns.ErrTooManyConns) {
			result = sched.Refused
		}
		if ctx.Err() != nil {
			result = sched.Cancelled
		}
		if result == sched.Unreachable {
			f.connects.record(a.server, err, time.Now())
		}
		a.finish(result)
		return c.retryOrEnd(ctx, code.BackendFailed, "connect: "+err.Error())
	}
	f.connects.record(a.server, nil, time.Now())
	if !c.keepKey() {
		// The key was withdrawn after the server was assigned.
		conn.Close()
		a.finish(sched.Cancelled)
		c.endWithoutKey()
		return false
	}
	a.conn = conn
	c.outcome.via, c.outcome.tunnel = conn.Tunnel()
	a.retry = c.retryTaken
	c.recordSend()
	unbind := conn.Bind(ctx)
	retry := a.exchange(ctx)
	c.outcome.received.recordErrors(conn)
	if !unbind() {
		conn.Close()
	}
	return retry
}

// finish records the result of the attempt and assigns the freed capacity to waiters.
func (a *attempt) finish(r sched.Result) {
	f := a.call.front
	f.mu.Lock()
	now := time.Now()
	f.balancer.RecordResult(a.server.ID, &a.call.schedCall, r, a.started, now)
	a.recordDelivery(r, now)
	if r == sched.Answered {
		a.recordAnswer(true, now)
	}
	f.ends.endTrial(a.call)
	a.recordAbandoned(r)
	f.ends.remove(a, r, now)
	f.dispatch(now)
	f.mu.Unlock()
}

// recordStart records that the response has begun, and the load that it reports.
func (a *attempt) recordStart(r ResponseHeaders) {
	f, now := a.call.front, time.Now()
	f.mu.Lock()
	if !a.started {
		f.balancer.RecordFirstEvent(a.server.ID, &a.call.schedCall, a.pending, a.sentAt, now)
	}
	if r.Load != nil {
		f.balancer.RecordLoad(a.server.ID, *r.Load, now)
	}
	first := !a.started
	a.started = true
	f.dispatch(now)
	f.mu.Unlock()
	if first && a.alone && a.call.schedCall.Model != "" {
		a.reportFirstEvent(r, now)
	}
}

// exchange writes the call and forwards the response. It returns true if the call is to be
// sent again.
func (a *attempt) exchange(ctx context.Context) bool {
	c := a.call
	r := a.request()
	if err := a.conn.Write(r); err != nil {
		a.conn.Close()
		a.unwritten = true
		a.finish(sched.Unreachable)
		return c.retryOrEnd(ctx, code.BackendFailed, "write: "+err.Error())
	}
	c.runs++
	c.useCharge()
	a.track()
	if err := a.awaitBytes(ctx); err != nil {
		a.conn.Close()
		return a.handleFailure(ctx, err)
	}
	resp, err := a.conn.ReadHead(r)
	if err != nil {
		a.conn.Close()
		return a.handleFailure(ctx, err)
	}
	c.outcome.received.framing = conns.FramingOf(resp)
	a.recordBytes()
	// Each path below reads the body to its end or closes the connection.
	defer func() { _ = resp.Body.Close() }()
	reply := c.front.deps.Dialect.DecodeResponse(resp.StatusCode, resp.Header)
	c.front.RecordResponse(a.server, reply, a.sentAt)
	switch {
	case reply.WrongServer, reply.NotRun:
		return a.handleRejection(ctx, resp, reply)
	case !reply.HasStamp:
		a.conn.Close()
		return a.handleFailure(ctx, errors.New("answer "+resp.Status+" bears no stamp of the server"))
	case c.schedCall.Route.Kind == layout.Stream && resp.StatusCode == http.StatusOK && mayHoldEvents(resp):
		return a.forwardStream(ctx, resp, reply)
	}
	return a.forwardBuffered(ctx, resp, reply)
}

// mayHoldEvents reports whether the body of a response may be a stream of events that can be told
// apart: its headers name no other media type, and it is not compressed.
func mayHoldEvents(r *http.Response) bool {
	contentType := r.Header.Get("Content-Type")
	return r.Header.Get("Content-Encoding") == "" && (contentType == "" || wire.IsEventStream(contentType))
}

// request returns the request that is written to the server.
func (a *attempt) request() conns.Request {
	c := a.call
	header := c.request.Header.Clone()
	c.front.deps.Dialect.SetHeaders(header, AttemptHeaders{
		Instance:  a.server.ID,
		TimeLeft:  time.Until(c.schedCall.Deadline),
		Priority:  c.schedCall.Priority(),
		ToEngine:  c.schedCall.Model != "",
		LastEvent: c.lastEvent,
	})
	return conns.Request{
		Method:  c.request.Method,
		Target:  c.request.RequestURI,
		Host:    c.request.Host,
		Header:  header,
		Body:    c.body,
		Matches: func(h http.Header, reused bool) bool { return c.front.deps.Dialect.Matches(h, c.info.ID, reused) },
	}
}

// connTarget identifies a server to the connection pool.
func connTarget(s *layout.Server) conns.Target {
	return conns.Target{Address: s.Address, Instance: s.ID}
}

// track records that the call was sent to a server.
func (a *attempt) track() {
	f := a.call.front
	f.mu.Lock()
	f.ends.add(a)
	f.mu.Unlock()
}

// recordBytes records that the head of the response arrived.
func (a *attempt) recordBytes() {
	f := a.call.front
	f.mu.Lock()
	a.begunAt = time.Now()
	vm, _ := a.conn.Tunnel()
	f.balancer.RecordRead(a.call.delivery, a.begunAt)
	f.balancer.RecordSpoken(a.server.ID, vm, a.sentAt, a.begunAt)
	f.ends.hear(a, a.begunAt)
	f.clearAbandoned(a.server, a.begunAt)
	a.recordAlive(a.begunAt)
	f.mu.Unlock()
}

// handleRejection handles a response that reports that the call was not run.
func (a *attempt) handleRejection(ctx context.Context, resp *http.Response, r ResponseHeaders) bool {
	c := a.call
	if n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxRejection)); err != nil || n == maxRejection {
		a.conn.Close()
	} else {
		a.conn.Release(resp)
	}
	c.runs--
	c.keepCharge()
	a.isError = true
	a.recordStart(r)
	if r.WrongServer {
		a.finish(sched.WrongServer)
		return c.retryOrEnd(ctx, code.NoEngine, "the server is another instance or lacks the model")
	}
	a.finish(sched.Refused)
	a.reportPlain(0, r)
	a.reportRejection()
	return c.retryOrEnd(ctx, code.QueueFull, "the server has no room")
}

// reportRejection reports to the lease holder that a brittle server has rejected a call.
func (a *attempt) reportRejection() {
	f := a.call.front
	f.mu.Lock()
	brittle := f.balancer.HasBrittle(a.server.Service)
	f.mu.Unlock()
	if !brittle {
		return
	}
	f.metrics.rejections.Inc(1)
	f.deps.Log.Info("brittle_rejection", zap.String("server", a.server.ID), zap.String("request", a.call.info.ID))
	f.notifyLimits()
}

// handleFailure handles a server that was reached and did not answer properly.
func (a *attempt) handleFailure(ctx context.Context, err error) bool {
	result := sched.Broken
	switch {
	case ctx.Err() != nil:
		result = sched.Cancelled
	case errors.Is(err, errPathLost):
		// Nothing is known about the server.
		result, a.pathLost = sched.Cancelled, true
	case a.call.outcome.received.framing != "":
		a.recordBroken(err)
	}
	a.finish(result)
	if result == sched.Broken && !errors.Is(err, errSilent) && a.call.mayRepeat() {
		a.call.underEnd = a.mayEndServers(ctx)
	}
	return a.call.retryOrEnd(ctx, code.BackendLost, err.Error())
}

// recordBroken logs and counts a response that the server broke off.
func (a *attempt) recordBroken(err error) {
	f, got := a.call.front, &a.call.outcome.received
	got.recordErrors(a.conn)
	f.metrics.broken.Inc(1)
	if errors.Is(err, conns.ErrServerEnded) {
		f.metrics.endedWithServer.Inc(1)
	}
	f.deps.Log.Info("response_broken", append([]zap.Field{
		zap.String("request", a.call.info.ID), zap.String("server", a.server.ID), zap.String("reason", err.Error()),
	}, got.fields()...)...)
}

// forwardBuffered reads a response that is not an event stream to its end and forwards it,
// or keeps a failure for the case that no later attempt succeeds. It returns true if the call
// is to be sent again.
func (a *attempt) forwardBuffered(ctx context.Context, resp *http.Response, r ResponseHeaders) bool {
	c := a.call
	buffered := &bufferedResponse{front: c.front, status: resp.StatusCode, header: resp.Header}
	err := buffered.read(conns.BodyReader(resp), a.conn)
	c.outcome.received.bytes = int(buffered.size)
	if err != nil {
		buffered.free()
		a.conn.Close()
		return a.handleFailure(ctx, err)
	}
	a.isError = resp.StatusCode >= http.StatusBadRequest
	a.recordStart(r)
	a.conn.Release(resp)
	if resp.StatusCode < http.StatusInternalServerError {
		defer buffered.free()
		a.finish(sched.Answered)
		a.reportPlain(time.Since(a.sentAt), r)
		c.writeBuffered(buffered)
		return false
	}
	a.finish(sched.Failed)
	if !c.schedCall.Route.Repeatable() {
		defer buffered.free()
		c.writeBuffered(buffered)
		return false
	}
	c.failedResponse.free()
	c.failedResponse = buffered
	again := c.retryOrEnd(ctx, code.BackendFailed, "the server failed with "+resp.Status)
	if again && c.front.buffered.Load() > maxFailedTotal {
		c.failedResponse.free()
		c.failedResponse = nil
	}
	return again
}

// writeBuffered writes a buffered response to the caller.
func (c *call) writeBuffered(r *bufferedResponse) {
	if c.responseBegun {
		c.abort(code.StreamBroken, "the engine that was to resume the stream returned an error")
		return
	}
	copyHeader(c.writer.Header(), r.header)
	c.responseBegun = true
	c.firstAt = time.Now()
	c.outcome.result, c.outcome.status = code.OK, r.status
	if r.status >= http.StatusInternalServerError {
		c.outcome.result = code.BackendFailed
	}
	c.writer.Header().Set("Content-Length", itoa(int(r.size)))
	c.writeHead(r.status)
	if err := c.writeParts(r.parts); err != nil {
		c.outcome.result, c.outcome.reason = code.CallerGone, err.Error()
	}
}

// writeParts writes the body of a response. A caller that does not accept a part of it within writeTimeout would
// hold the buffer for as long as it likes.
func (c *call) writeParts(parts [][]byte) error {
	w, ok := c.writer.(interface{ SetWriteDeadline(t time.Time) error })
	for _, part := range parts {
		if ok {
			// An error means that the connection is closed, which the write reports.
			_ = w.SetWriteDeadline(time.Now().Add(writeTimeout))
		}
		if _, err := c.writer.Write(part); err != nil {
			return err
		}
	}
	return nil
}
