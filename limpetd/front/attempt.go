package front

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/conns"
	"github.com/limpetlb/limpetlb/limpetd/layout"
	"github.com/limpetlb/limpetlb/limpetd/sched"
)

const (
	// maxIdleUnsafe is how long a connection may have been idle to carry a call
	// that can't be repeated: a server that closes it meanwhile loses the call.
	maxIdleUnsafe = time.Second
	// maxIdle is the same for calls that can.
	maxIdle = 10 * time.Second
	// maxWhole bounds an answer that is read whole before it is passed on.
	maxWhole = 4 << 20
	// awaitStep is the time between looks at whether a server has gone silent.
	awaitStep = 250 * time.Millisecond
	// silenceProbe is the silence of a server after which it is looked whether it
	// still accepts connections, and silenceMove that after which a call moves to
	// another server though it does. Callers give a stream up after two seconds.
	silenceProbe = 700 * time.Millisecond
	silenceMove  = 1600 * time.Millisecond
	// leastLeft is the time that a call must have left to be sent.
	leastLeft = 5 * time.Millisecond
)

// errSilent means that a server sent nothing for too long.
var errSilent = errors.New("the backend server is silent")

func hash(s string) uint64 { return xxhash.Sum64String(s) }

// answer is one that was read whole.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// send is one sending of a call to a server.
type send struct {
	call    *call
	server  *layout.Server
	conn    *conns.Conn
	started bool
	// at is when the call was sent, pending how many calls then waited there.
	at      time.Time
	pending int
	// alone tells that the engine read no other prompt, by what was reserved.
	alone bool
	// heard is when the last events came.
	heard time.Time
}

// attempt sends the call to the chosen server. It returns true if the call is to be
// sent again.
func (c *call) attempt(ctx context.Context, choice sched.Choice) bool {
	f := c.front
	c.outcome.sends++
	c.outcome.server, c.outcome.load, c.outcome.age = choice.Server.ID, choice.Load, choice.Age
	c.need.Tried = append(c.need.Tried, choice.Server.ID)
	s := &send{call: c, server: choice.Server, at: time.Now(), pending: choice.Pending, alone: choice.Alone}
	idle := maxIdle
	if !c.need.Route.Repeatable() {
		idle = maxIdleUnsafe
	}
	conn, err := f.deps.Pool.Take(ctx, s.target(), idle)
	if err != nil {
		result := sched.Unreached
		if errors.Is(err, conns.ErrTooMany) {
			result = sched.Refused
		}
		if ctx.Err() != nil {
			result = sched.Left
		}
		s.end(result)
		return c.again(ctx, code.BackendFailed, "connect: "+err.Error())
	}
	s.conn = conn
	c.reached++
	stop := conn.Bind(ctx)
	more := s.exchange(ctx)
	if !stop() {
		conn.Close()
	}
	return more
}

// end notes the result of the send in the book.
func (s *send) end(r sched.Result) {
	f := s.call.front
	f.mu.Lock()
	now := time.Now()
	f.book.Ended(s.server.ID, &s.call.need, r, s.started, now)
	f.dispatch(now)
	f.mu.Unlock()
}

// start notes that the answer of the server began.
func (s *send) start(r Reply) {
	f, now := s.call.front, time.Now()
	f.mu.Lock()
	if !s.started {
		f.book.Started(s.server.ID, &s.call.need, s.pending, s.at, now)
	}
	if r.Load != nil {
		f.book.Told(s.server.ID, *r.Load, now)
	}
	first := !s.started
	s.started = true
	f.dispatch(now)
	f.mu.Unlock()
	if first && s.alone {
		n := &s.call.need
		f.deps.Reserver.Sampled(sched.Sample{Service: n.Service, Model: n.Model, Tokens: n.PromptTokens, Took: now.Sub(s.at)})
	}
}

// exchange writes the call and passes the answer on.
func (s *send) exchange(ctx context.Context) bool {
	c := s.call
	r := s.request()
	if err := s.conn.Write(r); err != nil {
		s.conn.Close()
		s.end(sched.Unreached)
		return c.again(ctx, code.BackendFailed, "write: "+err.Error())
	}
	c.runs++
	if err := s.await(ctx); err != nil {
		s.conn.Close()
		return s.broken(ctx, err)
	}
	a, err := s.conn.Head(r)
	if err != nil {
		s.conn.Close()
		return s.broken(ctx, err)
	}
	// Each path below has read the body to its end or closed the connection.
	defer func() { _ = a.Body.Close() }()
	reply := c.front.deps.Dialect.Reply(a.StatusCode, a.Header)
	switch {
	case reply.Elsewhere, reply.NotRun:
		return s.rejected(ctx, a, reply)
	case !reply.Stamped:
		s.conn.Close()
		return s.broken(ctx, errors.New("answer "+a.Status+" bears no stamp of the server"))
	case c.need.Route.Kind == layout.Stream && a.StatusCode == http.StatusOK:
		return s.stream(ctx, a, reply)
	}
	return s.whole(ctx, a, reply)
}

// request returns the call as the server gets it.
func (s *send) request() conns.Request {
	c := s.call
	header := c.request.Header.Clone()
	c.front.deps.Dialect.Write(header, Send{
		Instance:  s.server.ID,
		Left:      time.Until(c.need.Until),
		Urgency:   c.need.Route.Priority,
		Engines:   c.need.Model != "",
		LastEvent: c.event,
	})
	return conns.Request{
		Method:  c.request.Method,
		Target:  c.request.RequestURI,
		Host:    c.request.Host,
		Header:  header,
		Body:    c.body,
		Belongs: func(h http.Header) bool { return c.front.deps.Dialect.Belongs(h, c.asked.ID) },
	}
}

// await waits for bytes from the server. A call that may be repeated is given up when
// the server is silent to all calls of this daemon and accepts no connection, or when it
// is silent for long and another server can go on. Silence alone is no reason: a busy
// engine pauses streams.
func (s *send) await(ctx context.Context) error {
	c := s.call
	since := time.Now()
	probed := false
	for {
		if s.conn.Await(time.Now().Add(awaitStep)) {
			return nil
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		now := time.Now()
		if !c.need.Route.Repeatable() || now.Sub(since) < silenceProbe || s.silent(now) < silenceProbe {
			continue
		}
		if !probed {
			probed = true
			if !c.front.deps.Pool.Reachable(ctx, s.target()) {
				return errSilent
			}
		}
		if s.silent(now) >= silenceMove && c.alternative(now) {
			return errSilent
		}
	}
}

// silent returns how long the server has sent nothing to any call.
func (s *send) silent(now time.Time) time.Duration {
	f := s.call.front
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.book.Silent(s.server.ID, now)
}

func (s *send) target() conns.Target {
	return conns.Target{Address: s.server.Address, Instance: s.server.ID}
}

// alternative tells whether another server could go on with the call.
func (c *call) alternative(now time.Time) bool {
	f := c.front
	f.mu.Lock()
	defer f.mu.Unlock()
	return c.runs < c.need.Route.Attempts && c.outcome.sends < maxSends &&
		f.book.Choose(&c.need, now).Verdict == sched.Chosen && f.book.CanRepeat(c.need.Service, now)
}

// rejected handles an answer that says that the call was not run.
func (s *send) rejected(ctx context.Context, a *http.Response, r Reply) bool {
	c := s.call
	if n, err := io.Copy(io.Discard, io.LimitReader(a.Body, maxWhole)); err != nil || n == maxWhole {
		s.conn.Close()
	} else {
		s.conn.Release(a)
	}
	c.runs--
	s.start(r)
	if r.Elsewhere {
		s.end(sched.Lacks)
		return c.again(ctx, code.NoEngine, "the server is another one or lacks the model")
	}
	s.end(sched.Refused)
	return c.again(ctx, code.QueueFull, "the server has no room")
}

// broken handles a server that was reached and did not answer properly.
func (s *send) broken(ctx context.Context, err error) bool {
	result := sched.Broken
	if ctx.Err() != nil {
		result = sched.Left
	}
	s.end(result)
	return s.call.again(ctx, code.BackendLost, err.Error())
}

// whole passes an answer on that is not a stream of events.
func (s *send) whole(ctx context.Context, a *http.Response, r Reply) bool {
	c := s.call
	body, err := io.ReadAll(io.LimitReader(a.Body, maxWhole+1))
	if err == nil && len(body) > maxWhole {
		err = errors.New("answer over the limit")
	}
	if err != nil {
		s.conn.Close()
		return s.broken(ctx, err)
	}
	s.start(r)
	s.conn.Release(a)
	got := &answer{status: a.StatusCode, header: a.Header, body: body}
	if a.StatusCode < http.StatusInternalServerError {
		s.end(sched.Answered)
		c.pass(got)
		return false
	}
	s.end(sched.Failed)
	if !c.need.Route.Repeatable() {
		c.pass(got)
		return false
	}
	c.kept = got
	return c.again(ctx, code.BackendFailed, "the server failed with "+a.Status)
}

// pass writes an answer that was read whole.
func (c *call) pass(a *answer) {
	if c.begun {
		c.cut(code.StreamBroken, "the engine that resumes the stream answered with a failure")
		return
	}
	copyHeader(c.writer.Header(), a.header)
	c.begun = true
	c.firstAt = time.Now()
	c.outcome.result, c.outcome.status = code.OK, a.status
	if a.status >= http.StatusInternalServerError {
		c.outcome.result = code.BackendFailed
	}
	c.writer.Header().Set("Content-Length", itoa(len(a.body)))
	c.writeHead(a.status)
	if _, err := c.writer.Write(a.body); err != nil {
		c.outcome.result, c.outcome.reason = code.CallerGone, err.Error()
	}
}
