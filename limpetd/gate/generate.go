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

// chat answers a chat completion.
func (g *Gate) chat(x *exchange) error {
	body, err := x.jsonBody(g.config.MaxBodyBytes)
	if err != nil {
		return err
	}
	q, err := wire.DecodeChat(body)
	if err != nil {
		return err
	}
	return g.generate(x, q)
}

// completion answers a completion.
func (g *Gate) completion(x *exchange) error {
	body, err := x.jsonBody(g.config.MaxBodyBytes)
	if err != nil {
		return err
	}
	q, err := wire.DecodeCompletion(body)
	if err != nil {
		return err
	}
	return g.generate(x, q)
}

// generate answers q, streamed or whole.
func (g *Gate) generate(x *exchange, q wire.Generation) error {
	if p := x.request.Header.Get(headerPriority); p != "" {
		q.Priority = p
	}
	call, err := x.catalog.Call(x.caller, q, x.id, x.start)
	if err != nil {
		return err
	}
	g.deps.Events.Add(event.Event{Kind: event.RequestArrived, Request: x.id, Model: q.Model})
	ctx, cancel := context.WithTimeout(x.request.Context(), g.config.AnswerTime)
	defer cancel()
	head := wire.Head{ID: x.id, Model: q.Model, Created: x.start.Unix(), Chat: q.Chat}
	prompt := call.Admission.Route.PromptTokens
	if q.Stream {
		s := &stream{exchange: x, head: head, usage: q.IncludeUsage, prompt: prompt}
		return g.deps.Relay.Answer(ctx, call, s)
	}
	var whole relay.Whole
	if err := g.deps.Relay.Answer(ctx, call, &whole); err != nil {
		return err
	}
	body, err := head.Whole(whole.Text(), whole.Reason(), wire.NewUsage(prompt, whole.Tokens()))
	if err != nil {
		return code.Errorf(code.Internal, "answer: %w", err)
	}
	x.raw(http.StatusOK, kindJSON, body)
	return nil
}

// stream writes an answer as server-sent events.
type stream struct {
	*exchange
	head   wire.Head
	usage  bool
	prompt int
	tokens int
	buffer []byte
}

var _ relay.Sink = (*stream)(nil)

// Send writes a piece and flushes it. An error has code SlowCaller or
// CallerGone.
func (s *stream) Send(p relay.Piece) error {
	s.buffer = s.buffer[:0]
	first := !s.begun
	if first {
		s.header()
	}
	s.tokens += p.Tokens
	if p.Text != "" || first {
		s.buffer = s.head.AppendChunk(s.buffer, wire.Chunk{First: first, Text: p.Text})
	}
	if p.Done {
		s.buffer = s.head.AppendChunk(s.buffer, wire.Chunk{Finish: p.Reason})
		if s.usage {
			s.buffer = s.head.AppendUsage(s.buffer, wire.NewUsage(s.prompt, s.tokens))
		}
		s.buffer = append(s.buffer, wire.Done...)
		s.state(code.OK, code.RunYes)
	}
	s.slow()
	if _, err := s.writer.Write(s.buffer); err != nil {
		return writeError(err)
	}
	if err := s.control.Flush(); err != nil {
		return writeError(err)
	}
	return nil
}

// header begins the stream.
func (s *stream) header() {
	h := s.writer.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	s.begun = true
	s.writer.WriteHeader(http.StatusOK)
}

// writeError tells a slow caller from one that has gone.
func writeError(err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return code.WithRun(code.Errorf(code.SlowCaller, "the caller did not take the answer in time"), code.RunYes)
	}
	return code.WithRun(code.Errorf(code.CallerGone, "the caller has gone"), code.RunYes)
}

// model is an entry of the list of models.
type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

type modelList struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

// models lists the models and adapters that the caller may use.
func (g *Gate) models(x *exchange) error {
	list := modelList{Object: "list", Data: []model{}}
	for _, name := range x.catalog.Names(x.caller) {
		list.Data = append(list.Data, model{ID: name, Object: "model", OwnedBy: x.catalog.Document().Environment})
	}
	return x.json(http.StatusOK, list)
}
