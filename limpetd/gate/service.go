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

// servicesPath is the path prefix of plain services.
const servicesPath = "/services/"

// strippedHeaders are not forwarded: headers that belong to one connection, the
// caller's key, and headers that only the daemon sets.
var strippedHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
	"Authorization", "Content-Length", "Host",
	headerRequestID, headerCode, headerRun, headerPriority,
}

// proxyService forwards a call to a plain service.
func (g *Gate) proxyService(x *exchange) error {
	service, err := x.catalog.Service(x.caller, pat.Param(x.request, "name"))
	if err != nil {
		return err
	}
	u := x.request.URL
	if u.RawPath != "" {
		return code.Errorf(code.UnknownPath, "the path contains an encoded slash")
	}
	path := strings.TrimPrefix(u.Path, servicesPath+service.Name)
	declared, err := relay.MatchPath(service, x.request.Method, path)
	if err != nil {
		return err
	}
	key := x.request.Header.Get(headerKey)
	if key == "" && declared.KeyRequired {
		return code.Errorf(code.KeyRequired, "%s %s requires the header %s", declared.Method, declared.Path, headerKey)
	}
	body, err := x.readBody(g.config.MaxBodyBytes, 1)
	if err != nil {
		return err
	}
	g.deps.Events.Add(event.Event{Kind: event.RequestArrived, Request: x.id, Text: service.Name})
	call := relay.ServiceCall{
		Admission:  admit.ServiceRequest{ID: x.id, Caller: x.caller.Name, Pool: service.Pool},
		Method:     x.request.Method,
		Path:       path,
		Query:      u.RawQuery,
		Header:     x.backendHeader(),
		Body:       body,
		Repeatable: declared.Repeatable,
	}
	if key == "" || declared.Repeatable {
		return g.forwardUnclaimed(x, call)
	}
	return g.forwardClaimed(x, call, service, key)
}

// backendHeader returns the headers to send to the backend server, including the
// request ID.
func (x *exchange) backendHeader() http.Header {
	h := forwardedHeader(x.request.Header)
	h.Set(headerRequestID, x.id)
	return h
}

// forwardedHeader returns a copy of h without strippedHeaders and without the
// headers that the Connection header names.
func forwardedHeader(h http.Header) http.Header {
	forwarded := h.Clone()
	for _, field := range h["Connection"] {
		for name := range strings.SplitSeq(field, ",") {
			forwarded.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range strippedHeaders {
		forwarded.Del(name)
	}
	return forwarded
}

// forwardUnclaimed forwards a call that needs no claim on an idempotency key.
func (g *Gate) forwardUnclaimed(x *exchange, call relay.ServiceCall) error {
	response, err := g.deps.Relay.Forward(x.request.Context(), call)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	return x.writeBackendResponse(response.Status, response.Header, response.Body)
}

// forwardClaimed forwards a call under a claim on its idempotency key. The call
// continues after the caller has disconnected, so that a repeat of the call finds
// its outcome.
func (g *Gate) forwardClaimed(x *exchange, call relay.ServiceCall, service *envdoc.Service, key string) error {
	ctx := context.WithoutCancel(x.request.Context())
	claimed, err := g.deps.Claims.Claim(ctx, claim.Call{
		Caller:  x.caller.Name,
		Key:     key,
		Digest:  claim.Digest(call.Method, service.Name+call.Path, call.Query, call.Body),
		Request: x.id,
	})
	if err != nil {
		return err
	}
	if outcome := claimed.Stored; outcome != nil {
		return x.writeBackendResponse(outcome.Status, outcome.Header, bytes.NewReader(outcome.Body))
	}
	response, err := g.deps.Relay.Forward(ctx, call)
	if err != nil {
		if code.RunOf(err) == code.RunNo {
			claimed.Hold.NotRun(ctx)
		} else {
			claimed.Hold.Unknown(ctx)
		}
		return err
	}
	defer func() { _ = response.Body.Close() }()
	return g.closeClaimAndRespond(ctx, x, response, claimed.Hold)
}

// closeClaimAndRespond closes the claim with the response of the backend server
// before it writes the response to the caller.
func (g *Gate) closeClaimAndRespond(ctx context.Context, x *exchange, response *relay.ServiceAnswer, hold *claim.Hold) error {
	if relay.RunFromResponse(response.Status, response.Header) == code.RunNo {
		hold.NotRun(ctx)
		return x.writeBackendResponse(response.Status, response.Header, response.Body)
	}
	limit := g.deps.Claims.MaxOutcomeBytes()
	body, err := io.ReadAll(io.LimitReader(response.Body, int64(limit)+1))
	if err != nil {
		hold.Close(ctx, claim.Outcome{Status: response.Status, TooLong: true})
		return code.WithRun(code.Errorf(code.BackendLost, "the response of backend server %s is incomplete: %w", response.VM, err), code.RunYes)
	}
	header := responseHeader(response.Header)
	hold.Close(ctx, claim.Outcome{Status: response.Status, Header: header, Body: body})
	return x.writeBackendResponse(response.Status, response.Header, io.MultiReader(bytes.NewReader(body), response.Body))
}

// responseHeader returns the headers of a backend server's response that are
// forwarded to the caller.
func responseHeader(h http.Header) http.Header {
	forwarded := forwardedHeader(h)
	forwarded.Del("Date")
	return forwarded
}

// writeBackendResponse writes a backend server's response to the caller.
func (x *exchange) writeBackendResponse(status int, h http.Header, body io.Reader) error {
	header := x.writer.Header()
	for name, values := range responseHeader(h) {
		header[name] = values
	}
	length := h.Get("Content-Length")
	if length != "" {
		header.Set("Content-Length", length)
	}
	x.setResult(code.OK, relay.RunFromResponse(status, h))
	x.headerWritten = true
	x.proxied = true
	if length == "" {
		x.beginUnframed()
	}
	x.extendWriteDeadline()
	x.writer.WriteHeader(status)
	return x.copyBody(body, length == "")
}

// copyBufferBytes is the size of the parts in which a response body is copied.
const copyBufferBytes = 32 << 10

// copyBody copies a response body to the caller in parts, each with its own write
// deadline. If streamed is true, each part is flushed.
func (x *exchange) copyBody(body io.Reader, streamed bool) error {
	buffer := make([]byte, copyBufferBytes)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			x.extendWriteDeadline()
			if _, err := x.writer.Write(buffer[:n]); err != nil {
				return classifyWriteError(err)
			}
			if streamed {
				_ = x.controller.Flush()
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return code.WithRun(code.Errorf(code.BackendLost, "the response is incomplete: %w", err), code.RunYes)
		}
	}
}
