package gate

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strings"

	"goji.io/pat"

	"github.com/limpetlb/limpetlb/limpetd/admit"
	"github.com/limpetlb/limpetlb/limpetd/claim"
	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/envdoc"
	"github.com/limpetlb/limpetlb/limpetd/event"
	"github.com/limpetlb/limpetlb/limpetd/relay"
)

// servicesPath begins the paths of plain services.
const servicesPath = "/services/"

// hopHeaders belong to one connection and are not passed on; nor are the
// caller's key and headers that only the daemon sets.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
	"Authorization", "Content-Length", "Host",
	headerRequestID, headerCode, headerRun, headerPriority,
}

// service passes a call to a plain service on.
func (g *Gate) service(x *exchange) error {
	service, err := x.catalog.Service(x.caller, pat.Param(x.request, "name"))
	if err != nil {
		return err
	}
	u := x.request.URL
	if u.RawPath != "" {
		return code.Errorf(code.UnknownPath, "the path holds an encoded slash")
	}
	path := strings.TrimPrefix(u.Path, servicesPath+service.Name)
	declared, err := relay.Path(service, x.request.Method, path)
	if err != nil {
		return err
	}
	key := x.request.Header.Get(headerKey)
	if key == "" && declared.KeyRequired {
		return code.Errorf(code.KeyRequired, "%s %s needs the header %s", declared.Method, declared.Path, headerKey)
	}
	body, err := x.body(g.config.MaxBodyBytes)
	if err != nil {
		return err
	}
	g.deps.Events.Add(event.Event{Kind: event.RequestArrived, Request: x.id, Text: service.Name})
	call := relay.ServiceCall{
		Admission:  admit.ServiceRequest{ID: x.id, Caller: x.caller.Name, Pool: service.Pool},
		Method:     x.request.Method,
		Path:       path,
		Query:      u.RawQuery,
		Header:     x.header(),
		Body:       body,
		Repeatable: declared.Repeatable,
	}
	if key == "" || declared.Repeatable {
		return g.forward(x, call)
	}
	return g.forwardKeyed(x, call, service, key)
}

// header returns the headers for the backend server, with the request id.
func (x *exchange) header() http.Header {
	h := passedHeader(x.request.Header)
	h.Set(headerRequestID, x.id)
	return h
}

// passedHeader returns the headers that are passed on.
func passedHeader(h http.Header) http.Header {
	passed := h.Clone()
	for _, field := range h["Connection"] {
		for name := range strings.SplitSeq(field, ",") {
			passed.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		passed.Del(name)
	}
	return passed
}

// forward passes a call on that needs no claim.
func (g *Gate) forward(x *exchange, c relay.ServiceCall) error {
	answer, err := g.deps.Relay.Forward(x.request.Context(), c)
	if err != nil {
		return err
	}
	defer func() { _ = answer.Body.Close() }()
	return x.pass(answer.Status, answer.Header, answer.Body)
}

// forwardKeyed passes a call on under a claim. It goes on when the caller has
// gone, so that a repeat finds the outcome.
func (g *Gate) forwardKeyed(x *exchange, c relay.ServiceCall, s *envdoc.Service, key string) error {
	ctx := context.WithoutCancel(x.request.Context())
	claimed, err := g.deps.Claims.Claim(ctx, claim.Call{
		Caller:  x.caller.Name,
		Key:     key,
		Digest:  claim.Digest(c.Method, s.Name+c.Path, c.Query, c.Body),
		Request: x.id,
	})
	if err != nil {
		return err
	}
	if o := claimed.Stored; o != nil {
		return x.pass(o.Status, o.Header, bytes.NewReader(o.Body))
	}
	answer, err := g.deps.Relay.Forward(ctx, c)
	if err != nil {
		if code.RunOf(err) == code.RunNo {
			claimed.Hold.NotRun(ctx)
		} else {
			claimed.Hold.Unknown(ctx)
		}
		return err
	}
	defer func() { _ = answer.Body.Close() }()
	return g.keepAndPass(ctx, x, answer, claimed.Hold)
}

// keepAndPass closes the claim with the answer before the caller gets it.
func (g *Gate) keepAndPass(ctx context.Context, x *exchange, a *relay.ServiceAnswer, h *claim.Hold) error {
	if relay.RunOfAnswer(a.Status, a.Header) == code.RunNo {
		h.NotRun(ctx)
		return x.pass(a.Status, a.Header, a.Body)
	}
	limit := g.deps.Claims.MaxOutcomeBytes()
	kept, err := io.ReadAll(io.LimitReader(a.Body, int64(limit)+1))
	if err != nil {
		h.Close(ctx, claim.Outcome{Status: a.Status, TooLong: true})
		return code.WithRun(code.Errorf(code.BackendLost, "the answer of backend server %s broke off", a.VM), code.RunYes)
	}
	header := answerHeader(a.Header)
	h.Close(ctx, claim.Outcome{Status: a.Status, Header: header, Body: kept})
	return x.pass(a.Status, a.Header, io.MultiReader(bytes.NewReader(kept), a.Body))
}

// answerHeader returns the headers of an answer that are passed on.
func answerHeader(h http.Header) http.Header {
	passed := passedHeader(h)
	passed.Del("Date")
	return passed
}

// pass writes the answer of a backend server.
func (x *exchange) pass(status int, h http.Header, body io.Reader) error {
	header := x.writer.Header()
	for name, values := range answerHeader(h) {
		header[name] = values
	}
	length := h.Get("Content-Length")
	if length != "" {
		header.Set("Content-Length", length)
	}
	x.state(code.OK, relay.RunOfAnswer(status, h))
	x.begun = true
	x.passed = true
	x.slow()
	x.writer.WriteHeader(status)
	return x.copyBody(body, length == "")
}

// passBytes is the size of the parts in which an answer is passed on.
const passBytes = 32 << 10

// copyBody passes a body on in parts, each with its own deadline. A body that
// is streamed is flushed part by part.
func (x *exchange) copyBody(body io.Reader, streamed bool) error {
	buffer := make([]byte, passBytes)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			x.slow()
			if _, err := x.writer.Write(buffer[:n]); err != nil {
				return writeError(err)
			}
			if streamed {
				_ = x.control.Flush()
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return code.WithRun(code.Errorf(code.BackendLost, "the answer broke off: %w", err), code.RunYes)
		}
	}
}
