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
	"time"

	"go.uber.org/zap"

	"github.com/limpetlb/limpetlb/limpetd/admit"
	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/event"
)

// RunHeader is the header in which answers state whether a call ran. A backend
// server that refuses a call states "no" in it.
const RunHeader = "Limpet-Run"

// RequestIDHeader is the header with the request id, in calls and in answers.
const RequestIDHeader = "Limpet-Request-Id"

// Bounds of the connections to plain services.
const (
	// serviceIdle is how long an unused connection is kept. It is shorter
	// than what servers commonly allow, so that few calls meet a connection
	// that the server is just closing.
	serviceIdle = 2 * time.Second
	// serviceIdlePerHost is the number of unused connections to a backend.
	serviceIdlePerHost = 64
	// serviceDial bounds the making of a connection.
	serviceDial = 2 * time.Second
	// maxServiceHeader is the largest header of an answer in bytes.
	maxServiceHeader = 64 << 10
	// maxServiceAttempts is the number of backend servers tried for a call.
	maxServiceAttempts = 3
)

// ServiceCall is a call to a plain service.
type ServiceCall struct {
	Admission admit.ServiceRequest
	Method    string
	// Path is the declared path on the backend server; Query is raw.
	Path   string
	Query  string
	Header http.Header
	// Body is the whole body; the caller's is read once.
	Body []byte
	// Repeatable allows the call to be sent again.
	Repeatable bool
}

// ServiceAnswer is the answer of a backend server. Body must be closed; the
// room at the backend server is held until then.
type ServiceAnswer struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	VM     string
}

// serviceClient sends a request once.
type serviceClient struct {
	transport *http.Transport
}

// DialFunc makes a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// dialTCP is the DialFunc unless WithDial sets another.
var dialTCP = (&net.Dialer{Timeout: serviceDial}).DialContext

func newServiceClient(dial DialFunc) *serviceClient {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	return &serviceClient{transport: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countedConn{Conn: c}, nil
		},
		DisableCompression:     true,
		IdleConnTimeout:        serviceIdle,
		MaxIdleConnsPerHost:    serviceIdlePerHost,
		MaxResponseHeaderBytes: maxServiceHeader,
		Protocols:              protocols,
	}}
}

// countedConn counts the writes that were begun on a connection.
type countedConn struct {
	net.Conn
	writes atomic.Int64
}

// Write counts before it writes: what was begun may have arrived.
func (c *countedConn) Write(b []byte) (int, error) {
	c.writes.Add(1)
	return c.Conn.Write(b)
}

// onceBody is a body that cannot be rewound and is never nil, not even when it
// is empty. For such a request the transport sends nothing again, whatever its
// method and headers are.
type onceBody struct {
	io.Reader
}

// Close does nothing; the bytes belong to the call.
func (onceBody) Close() error { return nil }

// send writes the call to address once. sent tells whether a byte of it may
// have arrived.
func (s *serviceClient) send(ctx context.Context, address string, c ServiceCall) (a *http.Response, sent bool, err error) {
	var conn *countedConn
	var before int64
	trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		conn, _ = i.Conn.(*countedConn)
		if conn != nil {
			before = conn.writes.Load()
		}
	}}
	q := &http.Request{
		Method:        c.Method,
		URL:           &url.URL{Scheme: "http", Host: address, Path: c.Path, RawQuery: c.Query},
		Host:          address,
		Header:        c.Header.Clone(),
		Body:          onceBody{bytes.NewReader(c.Body)},
		ContentLength: int64(len(c.Body)),
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
	}
	a, err = s.transport.RoundTrip(q.WithContext(httptrace.WithClientTrace(ctx, trace)))
	// A cancelled transport may still be about to write.
	sent = conn != nil && (conn.writes.Load() > before || ctx.Err() != nil)
	return a, sent, err
}

// Forward sends a call to a plain service. An error has a code of admission,
// BackendFailed, BackendLost or CallerGone and states whether the call ran.
// Only a repeatable call is sent to a second backend server after a byte of it
// may have arrived at the first.
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
		again := !sent || c.Repeatable
		if ctx.Err() != nil || !again || c.Admission.Attempt >= maxServiceAttempts {
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

// forwardOnce sends the call to the backend server of the ticket.
func (r *Relay) forwardOnce(ctx context.Context, c ServiceCall, t admit.Ticket) (*ServiceAnswer, bool, error) {
	choice := t.Choice()
	r.deps.Events.Add(event.Event{Kind: event.RequestSent, Request: c.Admission.ID, VM: choice.VM})
	attempt, cancel := context.WithTimeout(ctx, r.serviceTime)
	response, sent, err := r.services.send(attempt, choice.Address, c)
	if err != nil {
		cancel()
		t.Release(serviceOutcome(ctx))
		return nil, sent, r.serviceError(ctx, c, choice.VM, sent, err)
	}
	if crossed(response, c.Admission.ID) {
		r.counts.answersCrossed.Inc(1)
		_ = response.Body.Close()
		r.services.transport.CloseIdleConnections()
		cancel()
		t.Release(admit.OutcomeFailed)
		return nil, true, r.serviceError(ctx, c, choice.VM, true, errCrossed)
	}
	t.FirstToken()
	body := &heldBody{ReadCloser: response.Body, cancel: cancel, ticket: t, caller: ctx}
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

// errCrossed ends a call that got the answer to another one.
var errCrossed = errors.New("the answer names another request")

// crossed tells whether an answer belongs to another request. A backend server
// that repeats the request id in its answers is protected against that.
func crossed(a *http.Response, request string) bool {
	named := a.Header.Get(RequestIDHeader)
	return named != "" && named != request
}

// RunOfAnswer states whether the call ran that a backend server answered. A
// refusal counts as not run only where the server says so itself; after another
// fault of the server it is not known.
func RunOfAnswer(status int, h http.Header) code.Run {
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

func serviceOutcome(ctx context.Context) admit.Outcome {
	if ctx.Err() != nil {
		return admit.OutcomeGone
	}
	return admit.OutcomeFailed
}

// serviceError describes a call without an answer.
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
		return code.Errorf(code.BackendLost, "backend server %s gave no answer", vm)
	}
	return code.Errorf(code.BackendFailed, "backend server %s could not be reached", vm)
}

// heldBody gives the room at the backend server back when it is closed.
type heldBody struct {
	io.ReadCloser
	cancel  context.CancelFunc
	ticket  admit.Ticket
	caller  context.Context
	outcome admit.Outcome
	closed  bool
}

// Read notes whether the answer broke.
func (b *heldBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		b.outcome = serviceOutcome(b.caller)
	}
	return n, err
}

// Close ends the call.
func (b *heldBody) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	err := b.ReadCloser.Close()
	b.cancel()
	b.ticket.Release(b.outcome)
	return err
}
