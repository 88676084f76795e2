// Package wire is the callers' JSON interface: it decodes chat-completions and
// completions requests and renders answers, server-sent events and errors.
//
// # Usage
//
//	g, err := wire.DecodeChat(body) // codes MalformedBody, BadParameter
//	h := wire.Head{ID: id, Model: g.Model, Created: now, Chat: true}
//	line = h.AppendChunk(line[:0], "text", "")
package wire

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"strings"

	"github.com/limpetlb/limpetlb/limpetd/code"
)

// Limits of a request.
const (
	// DefaultMaxTokens is the length of an answer when the caller names none.
	DefaultMaxTokens = 256
	// MaxMaxTokens is the largest length that a caller may ask for, in tokens.
	MaxMaxTokens = 32768
	// MaxTemperature is the largest sampling temperature.
	MaxTemperature = 2.0
)

// Generation is a decoded request for one answer.
type Generation struct {
	// Chat tells a chat completion from a completion.
	Chat bool
	// Model names a declared model or adapter.
	Model string
	// Prompt is the text that the engine continues.
	Prompt string
	// MaxTokens bounds the answer.
	MaxTokens   int
	Temperature float64
	Seed        int64
	// Stream asks for server-sent events; IncludeUsage for a last event with
	// the number of tokens.
	Stream       bool
	IncludeUsage bool
	// Priority is the priority that the body names; empty for none.
	Priority string
}

// common holds the fields that both kinds of request share. Fields that change
// the answer and that engines cannot honour are decoded to be refused.
type common struct {
	Model               string          `json:"model"`
	MaxTokens           *int            `json:"max_tokens"`
	MaxCompletionTokens *int            `json:"max_completion_tokens"`
	Temperature         *float64        `json:"temperature"`
	Seed                int64           `json:"seed"`
	Stream              bool            `json:"stream"`
	StreamOptions       *streamOptions  `json:"stream_options"`
	Priority            string          `json:"priority"`
	N                   *int            `json:"n"`
	Stop                json.RawMessage `json:"stop"`
	Tools               json.RawMessage `json:"tools"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

type chatRequest struct {
	common
	Messages []message `json:"messages"`
}

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

type contentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

type completionRequest struct {
	common
	Prompt json.RawMessage `json:"prompt"`
}

// DecodeChat decodes the body of a chat completion. An error has code
// MalformedBody or BadParameter.
func DecodeChat(body []byte) (Generation, error) {
	var q chatRequest
	if err := decode(body, &q); err != nil {
		return Generation{}, err
	}
	if len(q.Messages) == 0 {
		return Generation{}, code.Errorf(code.BadParameter, "messages: at least one is needed")
	}
	prompt, err := chatPrompt(q.Messages)
	if err != nil {
		return Generation{}, err
	}
	g, err := q.generation()
	g.Chat = true
	g.Prompt = prompt
	return g, err
}

// DecodeCompletion decodes the body of a completion. An error has code
// MalformedBody or BadParameter.
func DecodeCompletion(body []byte) (Generation, error) {
	var q completionRequest
	if err := decode(body, &q); err != nil {
		return Generation{}, err
	}
	prompt, err := completionPrompt(q.Prompt)
	if err != nil {
		return Generation{}, err
	}
	g, err := q.generation()
	g.Prompt = prompt
	return g, err
}

// decode reads exactly one JSON value.
func decode(body []byte, into any) error {
	d := json.NewDecoder(bytes.NewReader(body))
	if err := d.Decode(into); err != nil {
		return code.Errorf(code.MalformedBody, "body: %s", jsonFault(err))
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return code.Errorf(code.MalformedBody, "body: more than one JSON value, from byte %d", d.InputOffset())
	}
	return nil
}

// jsonFault describes err without the names of Go types.
func jsonFault(err error) string {
	var kind *json.UnmarshalTypeError
	if errors.As(err, &kind) {
		return "field " + kind.Field + " has a " + kind.Value + ", which is not accepted"
	}
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return "the JSON ends early"
	}
	return err.Error()
}

// generation checks the shared fields.
func (q *common) generation() (Generation, error) {
	g := Generation{
		Model:     q.Model,
		MaxTokens: DefaultMaxTokens,
		Seed:      q.Seed,
		Stream:    q.Stream,
		Priority:  q.Priority,
	}
	if q.MaxTokens != nil {
		g.MaxTokens = *q.MaxTokens
	}
	if q.MaxCompletionTokens != nil {
		g.MaxTokens = *q.MaxCompletionTokens
	}
	if q.Temperature != nil {
		g.Temperature = *q.Temperature
	}
	if q.StreamOptions != nil {
		g.IncludeUsage = q.StreamOptions.IncludeUsage
	}
	return g, q.check(g)
}

// check refuses what cannot be honoured.
func (q *common) check(g Generation) error {
	switch {
	case g.Model == "":
		return code.Errorf(code.BadParameter, "model: a name is needed")
	case g.MaxTokens < 1 || g.MaxTokens > MaxMaxTokens:
		return code.Errorf(code.BadParameter, "max_tokens: %d is not from 1 to %d", g.MaxTokens, MaxMaxTokens)
	case g.Temperature < 0 || g.Temperature > MaxTemperature:
		return code.Errorf(code.BadParameter, "temperature: %g is not from 0 to %g", g.Temperature, MaxTemperature)
	case q.N != nil && *q.N != 1:
		return code.Errorf(code.BadParameter, "n: only 1 is supported")
	case given(q.Stop):
		return code.Errorf(code.BadParameter, "stop: not supported")
	case given(q.Tools):
		return code.Errorf(code.BadParameter, "tools: not supported")
	}
	return nil
}

// given tells whether a field holds more than null or an empty list or string.
func given(raw json.RawMessage) bool {
	switch string(raw) {
	case "", "null", "[]", `""`:
		return false
	}
	return true
}

// chatPrompt joins the messages into the text that the engine continues.
func chatPrompt(messages []message) (string, error) {
	var b strings.Builder
	for i, m := range messages {
		if m.Role == "" {
			return "", code.Errorf(code.BadParameter, "messages[%d].role: a role is needed", i)
		}
		text, err := contentText(m.Content)
		if err != nil {
			return "", code.Errorf(code.BadParameter, "messages[%d].content: text or a list of text parts is needed", i)
		}
		b.WriteString(m.Role)
		b.WriteString(": ")
		b.WriteString(text)
		b.WriteByte('\n')
	}
	b.WriteString("assistant:")
	return b.String(), nil
}

var errContent = errors.New("content is not text")

// contentText reads a string or a list of text parts.
func contentText(raw json.RawMessage) (string, error) {
	var text string
	if json.Unmarshal(raw, &text) == nil {
		return text, nil
	}
	var parts []contentPart
	if err := json.Unmarshal(raw, &parts); err != nil {
		return "", errContent
	}
	for _, p := range parts {
		if p.Type != "text" {
			return "", errContent
		}
		text += p.Text
	}
	return text, nil
}

// completionPrompt reads a string or a list of exactly one string.
func completionPrompt(raw json.RawMessage) (string, error) {
	var text string
	if len(raw) > 0 && raw[0] == '"' && json.Unmarshal(raw, &text) == nil {
		return text, nil
	}
	var list []string
	if json.Unmarshal(raw, &list) == nil && len(list) == 1 {
		return list[0], nil
	}
	return "", code.Errorf(code.BadParameter, "prompt: one text is needed")
}
