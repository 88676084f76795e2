package relay

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/limpetlb/limpetlb/limpetd/admit"
	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/conns"
	"github.com/limpetlb/limpetlb/limpetd/event"
	"github.com/limpetlb/limpetlb/limpetd/socket"
)

// RunHeader is the header of answers that states whether the call ran. A backend
// server sets it to "no" when it refuses a call without running the call.
const RunHeader = "Limpet-Run"

// RequestIDHeader is the header of calls and answers that holds the request id.
const RequestIDHeader = "Limpet-Request-Id"

// Limits of the connections to plain services.
const (
	// serviceIdleTimeout is how long an idle connection is kept. It is shorter than
	// the usual idle timeout of servers, so that few calls are sent on a connection
	// that the server is closing.
	serviceIdleTimeout = 2 * time.Second
	// maxIdlePerServer is the maximum number of idle connections to a backend
	// server.
	maxIdlePerServer = 64
	// serviceDialTimeout is the timeout of opening a connection.
	serviceDialTimeout = 2 * time.Second
	// maxServiceHeaderBytes is the maximum size of the header of an answer.
	maxServiceHeaderBytes = 64 << 10
	// maxServiceAttempts is the maximum number of backend servers tried for a call.
	maxServiceAttempts = 3
)

// ServiceCall is a call to a plain service.
type ServiceCall struct {
	Admission admit.ServiceRequest
	Method    string
	// Path is the path on the backend server, which matches a declared path. Query is
	// the raw query string.
	Path   string
	Query  string
	Header http.Header
	// Body is the complete body; the caller's body is read only once.
	Body []byte
	// Repeatable indicates whether the call may be sent again after a byte of it may
	// have arrived.
	Repeatable bool
}

// ServiceAnswer is the answer of a backend server. The call occupies its place on the
// backend server until Body is closed, so Body must be closed.
type ServiceAnswer struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	VM     string
}

// serviceClient sends requests to plain services and never repeats a request.
type serviceClient struct {
	transport *http.Transport
	dial      DialFunc
}

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// DialContext implements conns.Dialer.
func (f DialFunc) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	return f(ctx, network, address)
}

// serviceDialer opens connections to plain services.
var serviceDialer = socket.NewDialer(net.Dialer{Timeout: serviceDialTimeout})

// dialTCP is the default DialFunc.
var dialTCP = serviceDialer.DialContext

func newServiceClient(dial DialFunc) *serviceClient {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	return &serviceClient{dial: dial, transport: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			if c, err = socket.Wrap(c); err != nil {
				return nil, err
			}
			return &writeCountingConn{Conn: c}, nil
		},
		DisableCompression:     true,
		IdleConnTimeout:        serviceIdleTimeout,
		MaxIdleConnsPerHost:    maxIdlePerServer,
		MaxResponseHeaderBytes: maxServiceHeaderBytes,
		Protocols:              protocols,
	}}
}

// writeCountingConn counts the writes started on a connection. It reports no failure of a write that the next read
// reports as well: http.Transport would drop an answer that arrived before the server closed or reset the connection.
type writeCountingConn struct {
	net.Conn
	writes atomic.Int64
	// failed is whether a write has failed, ended whether it was one of an earlier call.
	failed atomic.Bool
	ended  atomic.Bool
}

// begin begins a call on the connection.
func (c *writeCountingConn) begin() { c.ended.Store(c.failed.Load()) }

// Write counts the write before it starts, since bytes of any started write may have
// arrived.
func (c *writeCountingConn) Write(b []byte) (int, error) {
	if c.ended.Load() {
		return 0, net.ErrClosed
	}
	c.writes.Add(1)
	if c.failed.Load() {
		return len(b), nil
	}
	n, err := c.Conn.Write(b)
	if err != nil && c.readFails(err) {
		c.failed.Store(true)
		return len(b), nil
	}
	return n, err
}

// readFails reports whether reads after the error of a write return an error without waiting, once all data is read.
func (c *writeCountingConn) readFails(err error) bool {
	s, ok := c.Conn.(*socket.Conn)
	if !ok {
		return false
	}
	_, first := s.FirstError()
	return first != nil || errors.Is(err, syscall.EPIPE)
}

// nonReplayableBody is a request body that cannot be rewound and is not nil even if
// empty. http.Transport never sends a request with such a body again, regardless of
// its method and headers.
type nonReplayableBody struct {
	io.Reader
}

// Close does nothing, since the call owns the bytes.
func (nonReplayableBody) Close() error { return nil }

// send sends the call to address once. sent reports whether a byte of the call may
// have arrived. Reads of the answer's body return io.EOF only if the answer is complete.
func (s *serviceClient) send(ctx context.Context, address string, c ServiceCall) (response *http.Response, sent bool, err error) {
	var conn *writeCountingConn
	var writesBefore int64
	trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		conn, _ = i.Conn.(*writeCountingConn)
		if conn != nil {
			conn.begin()
			writesBefore = conn.writes.Load()
		}
	}}
	q := &http.Request{
		Method:        c.Method,
		URL:           &url.URL{Scheme: "http", Host: address, Path: c.Path, RawQuery: c.Query},
		Host:          address,
		Header:        c.Header.Clone(),
		Body:          nonReplayableBody{bytes.NewReader(c.Body)},
		ContentLength: int64(len(c.Body)),
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
	}
	response, err = s.transport.RoundTrip(q.WithContext(httptrace.WithClientTrace(ctx, trace)))
	// The transport may still write after the context is cancelled.
	sent = conn != nil && (conn.writes.Load() > writesBefore || ctx.Err() != nil)
	if err == nil {
		conns.CheckEnd(ctx, response, func(ctx context.Context) conns.Reach { return conns.Probe(ctx, s.dial, "tcp", address) })
	}
	return response, sent, err
}

// Forward sends a call to a plain service. The code of an error is one of the
// Admitter's, BackendFailed, BackendLost or CallerGone. The error states whether the
// call ran. After a byte of the call may have arrived at a backend server, only a
// repeatable call is sent to another one.
func (r *Relay) Forward(ctx context.Context, c ServiceCall) (*ServiceAnswer, error) {
	run := code.RunNo
	for {
		ticket, err := r.deps.Admitter.AdmitService(ctx, c.Admission)
		if err != nil {
			return nil, code.WithRun(err, run)
		}
		answer, sent, err := r.forwardOnce(ctx, c, ticket)
		if err == nil {
			return answer, nil
		}
		if sent {
			run = code.RunUnknown
		}
		c.Admission.Attempt++
		retry := !sent || c.Repeatable
		if ctx.Err() != nil || !retry || c.Admission.Attempt >= maxServiceAttempts {
			return nil, code.WithRun(err, run)
		}
		vm := ticket.Choice().VM
		c.Admission.Exclude = append(slices.Clip(c.Admission.Exclude), vm)
		r.deps.Events.Add(event.Event{
			Kind:    event.RequestRetried,
			Request: c.Admission.ID,
			VM:      vm,
			Code:    int(code.Of(err)),
		})
	}
}

// forwardOnce sends the call to the backend server of the ticket. The second result
// reports whether a byte of the call may have arrived.
func (r *Relay) forwardOnce(ctx context.Context, c ServiceCall, t admit.Ticket) (*ServiceAnswer, bool, error) {
	choice := t.Choice()
	r.deps.Events.Add(event.Event{Kind: event.RequestSent, Request: c.Admission.ID, VM: choice.VM})
	attempt, cancel := context.WithTimeout(ctx, r.serviceTimeout)
	response, sent, err := r.services.send(attempt, choice.Address, c)
	if err != nil {
		cancel()
		t.Release(serviceOutcome(ctx))
		return nil, sent, r.serviceError(ctx, c, choice.VM, sent, err)
	}
	err = conns.CheckStatus(response)
	if err == nil && answersOtherRequest(response, c.Admission.ID) {
		r.counts.answersCrossed.Inc(1)
		err = errOtherRequest
	}
	if err != nil {
		_ = response.Body.Close()
		r.services.transport.CloseIdleConnections()
		cancel()
		t.Release(admit.OutcomeFailed)
		return nil, true, r.serviceError(ctx, c, choice.VM, true, err)
	}
	t.FirstToken()
	body := &ticketBody{ReadCloser: response.Body, reader: conns.BodyReader(response), cancel: cancel, ticket: t, caller: ctx}
	if response.StatusCode >= http.StatusBadGateway {
		body.outcome = admit.OutcomeFailed
	}
	return &ServiceAnswer{
		Status: response.StatusCode,
		Header: response.Header,
		Body:   body,
		VM:     choice.VM,
	}, true, nil
}

// errOtherRequest is the error of a call that received the answer to another request.
var errOtherRequest = errors.New("the answer has the id of another request")

// answersOtherRequest reports whether an answer belongs to another request. The
// check works only for backend servers that repeat the request id in their answers.
func answersOtherRequest(response *http.Response, requestID string) bool {
	id := response.Header.Get(RequestIDHeader)
	return id != "" && id != requestID
}

// RunFromResponse returns whether a call ran, given the status and header of its answer.
// A refused call counts as not run only if the server states so in RunHeader; after
// any other server error it is unknown whether the call ran.
func RunFromResponse(status int, h http.Header) code.RunState {
	switch {
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		if h.Get(RunHeader) == string(code.RunNo) {
			return code.RunNo
		}
		return code.RunUnknown
	case status >= http.StatusInternalServerError:
		return code.RunUnknown
	}
	return code.RunYes
}

// serviceOutcome returns the outcome of a failed call: OutcomeGone if the caller's
// context has ended, else OutcomeFailed.
func serviceOutcome(ctx context.Context) admit.Outcome {
	if ctx.Err() != nil {
		return admit.OutcomeCallerGone
	}
	return admit.OutcomeFailed
}

// serviceError logs the failure of a call and returns the error for the caller.
func (r *Relay) serviceError(ctx context.Context, c ServiceCall, vm string, sent bool, err error) error {
	r.deps.Log.Warn("service_failed",
		zap.String("request_id", c.Admission.ID),
		zap.String("vm", vm),
		zap.Bool("sent", sent),
		zap.Error(err))
	switch {
	case ctx.Err() != nil:
		return code.Errorf(code.CallerGone, "the caller has gone")
	case sent:
		return code.Errorf(code.BackendLost, "backend server %s did not answer", vm)
	}
	return code.Errorf(code.BackendFailed, "backend server %s could not be reached", vm)
}

// ticketBody is the body of an answer. Closing the body releases the ticket of the
// call.
type ticketBody struct {
	io.ReadCloser
	// reader reads the body, and checks the end of a stream of events.
	reader  io.Reader
	cancel  context.CancelFunc
	ticket  admit.Ticket
	caller  context.Context
	outcome admit.Outcome
	closed  bool
}

// Read records a failed outcome if reading the answer fails.
func (b *ticketBody) Read(p []byte) (int, error) {
	n, err := b.reader.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		b.outcome = serviceOutcome(b.caller)
	}
	return n, err
}

// Close closes the body, ends the call and releases its ticket.
func (b *ticketBody) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	err := b.ReadCloser.Close()
	b.cancel()
	b.ticket.Release(b.outcome)
	return err
}
