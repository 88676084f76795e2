package gate

import (
	"context"
	"errors"
	"net/http"
	"os"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/event"
	"github.com/limpetlb/limpetlb/limpetd/relay"
	"github.com/limpetlb/limpetlb/limpetd/wire"
)

// chat handles a chat completion request.
func (g *Gate) chat(x *exchange) error {
	q, err := x.decodeBody(g.config.MaxBodyBytes, wire.DecodeChat)
	if err != nil {
		return err
	}
	return g.generate(x, q)
}

// completion handles a text completion request.
func (g *Gate) completion(x *exchange) error {
	q, err := x.decodeBody(g.config.MaxBodyBytes, wire.DecodeCompletion)
	if err != nil {
		return err
	}
	return g.generate(x, q)
}

// generate runs the generation q and writes the response, as a stream if q asks
// for one.
func (g *Gate) generate(x *exchange, q wire.Generation) error {
	if p := x.request.Header.Get(headerPriority); p != "" {
		q.Priority = p
	}
	call, err := x.catalog.Call(x.caller, q, x.id, x.start)
	if err != nil {
		return err
	}
	g.deps.Events.Add(event.Event{Kind: event.RequestArrived, Request: x.id, Model: q.Model})
	ctx, cancel := context.WithTimeout(x.request.Context(), g.config.GenerationTimeout)
	defer cancel()
	head := wire.ResponseEncoder{ID: x.id, Model: q.Model, Created: x.start.Unix(), Chat: q.Chat}
	promptTokens := call.Admission.Route.PromptTokens
	if q.Stream {
		s := &stream{exchange: x, head: head, includeUsage: q.IncludeUsage, promptTokens: promptTokens}
		return g.deps.Relay.Answer(ctx, call, s)
	}
	var whole relay.AnswerBuffer
	if err := g.deps.Relay.Answer(ctx, call, &whole); err != nil {
		return err
	}
	body, err := head.Response(whole.Text(), whole.Reason(), wire.NewUsage(promptTokens, whole.Tokens()))
	if err != nil {
		return code.Errorf(code.Internal, "encode response: %w", err)
	}
	x.writeBody(http.StatusOK, contentTypeJSON, body)
	return nil
}

// stream writes the response to a generation as server-sent events.
type stream struct {
	*exchange
	head             wire.ResponseEncoder
	includeUsage     bool
	promptTokens     int
	completionTokens int
	buffer           []byte
}

var _ relay.Sink = (*stream)(nil)

// Send writes p as events and flushes them. An error has code SlowCaller or
// CallerGone.
func (s *stream) Send(p relay.Chunk) error {
	s.buffer = s.buffer[:0]
	first := !s.headerWritten
	if first {
		s.writeHeader()
	}
	s.completionTokens += p.Tokens
	if p.Text != "" || first {
		s.buffer = s.head.AppendChunk(s.buffer, wire.Chunk{First: first, Text: p.Text})
	}
	if p.Done {
		s.buffer = s.head.AppendChunk(s.buffer, wire.Chunk{Finish: p.Reason})
		if s.includeUsage {
			s.buffer = s.head.AppendUsage(s.buffer, wire.NewUsage(s.promptTokens, s.completionTokens))
		}
		s.buffer = append(s.buffer, wire.DoneEvent...)
		s.setResult(code.OK, code.RunYes)
	}
	s.extendWriteDeadline()
	if _, err := s.writer.Write(s.buffer); err != nil {
		return classifyWriteError(err)
	}
	if err := s.controller.Flush(); err != nil {
		return classifyWriteError(err)
	}
	return nil
}

// writeHeader writes the response header of the stream.
func (s *stream) writeHeader() {
	h := s.writer.Header()
	h.Set("Content-Type", wire.EventStreamType)
	h.Set("Cache-Control", "no-cache")
	s.beginUnframed()
	s.headerWritten = true
	s.writer.WriteHeader(http.StatusOK)
}

// classifyWriteError returns the error for a failed write to the caller: code
// SlowCaller if the write deadline has passed, else CallerGone.
func classifyWriteError(err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return code.WithRun(code.Errorf(code.SlowCaller, "the caller did not accept the response in time"), code.RunYes)
	}
	return code.WithRun(code.Errorf(code.CallerGone, "the caller has disconnected"), code.RunYes)
}

// model is an entry of the model list.
type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// modelList is the JSON response to a request for the model list.
type modelList struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

// listModels returns the models and adapters that the caller is allowed to use.
func (g *Gate) listModels(x *exchange) error {
	list := modelList{Object: "list", Data: []model{}}
	for _, name := range x.catalog.AllowedModels(x.caller) {
		list.Data = append(list.Data, model{ID: name, Object: "model", OwnedBy: x.catalog.Document().Environment})
	}
	return x.writeJSON(http.StatusOK, list)
}
