// Package wire implements the JSON format of the API for callers. It decodes requests
// for chat completions and completions, and encodes responses, server-sent events and
// errors.
//
// # Usage
//
//	g, err := wire.DecodeChat(body) // codes MalformedBody, BadParameter
//	e := wire.ResponseEncoder{ID: id, Model: g.Model, Created: now, Chat: true}
//	event = e.AppendChunk(event[:0], wire.Chunk{Text: "text"})
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
	// DefaultMaxTokens is the maximum length of an answer in tokens if the request
	// sets none.
	DefaultMaxTokens = 256
	// MaxTokensLimit is the largest maximum length that a request can set, in tokens.
	MaxTokensLimit = 32768
	// MaxTemperature is the largest sampling temperature.
	MaxTemperature = 2.0
)

// Generation is a decoded request for one answer.
type Generation struct {
	// Chat is whether the request is for a chat completion; else it is for a
	// completion.
	Chat bool
	// Model is the name of a declared model or adapter.
	Model string
	// Prompt is the text that the engine continues.
	Prompt string
	// MaxTokens is the maximum length of the answer in tokens.
	MaxTokens   int
	Temperature float64
	Seed        int64
	// Stream requests the answer as server-sent events, IncludeUsage a last event
	// with the number of tokens.
	Stream       bool
	IncludeUsage bool
	// Priority is the name of the priority in the body; empty for none.
	Priority string
}

// common holds the fields that both kinds of request share. N, Stop and Tools are
// decoded only to reject requests that set them, because they change the answer and
// engines don't support them. The name of this type is part of the texts of errors about
// its fields, for example "common.model", since package json includes it.
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

// streamOptions holds the options of a streamed answer.
type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// chatRequest is the body of a request for a chat completion.
type chatRequest struct {
	common
	Messages []message `json:"messages"`
}

// message is one message of a chat. Content is a string or a list of content parts.
type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// contentPart is a part of the content of a message.
type contentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// completionRequest is the body of a request for a completion. Prompt is a string or a
// list of one string.
type completionRequest struct {
	common
	Prompt json.RawMessage `json:"prompt"`
}

// DecodeChat decodes the body of a request for a chat completion. An error has code
// MalformedBody or BadParameter.
func DecodeChat(body []byte) (Generation, error) {
	var q chatRequest
	if err := decode(body, &q); err != nil {
		return Generation{}, err
	}
	if len(q.Messages) == 0 {
		return Generation{}, code.Errorf(code.BadParameter, "messages: at least one message is required")
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

// DecodeCompletion decodes the body of a request for a completion. An error has code
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

// decode decodes a body into dst. The body must consist of exactly one JSON value.
func decode(body []byte, dst any) error {
	d := json.NewDecoder(bytes.NewReader(body))
	if err := d.Decode(dst); err != nil {
		return code.Errorf(code.MalformedBody, "body: %s", describeJSONError(err))
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return code.Errorf(code.MalformedBody, "body: unexpected data after the JSON value, near byte %d", d.InputOffset())
	}
	return nil
}

// describeJSONError returns the text of an error of package json without the Go type of
// the field.
func describeJSONError(err error) string {
	var typeError *json.UnmarshalTypeError
	if errors.As(err, &typeError) {
		return "field " + typeError.Field + ": a JSON " + typeError.Value + " is not accepted"
	}
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return "unexpected end of the JSON value"
	}
	return err.Error()
}

// generation returns the Generation for the shared fields, without Chat and Prompt. It
// returns an error if a field is invalid or not supported.
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
	return g, q.validate(g)
}

// validate returns an error if a field of g is out of range, or if q sets a field that
// engines don't support.
func (q *common) validate(g Generation) error {
	switch {
	case g.Model == "":
		return code.Errorf(code.BadParameter, "model: the name of a model is required")
	case g.MaxTokens < 1 || g.MaxTokens > MaxTokensLimit:
		return code.Errorf(code.BadParameter, "max_tokens: %d is not in the range 1 to %d", g.MaxTokens, MaxTokensLimit)
	case g.Temperature < 0 || g.Temperature > MaxTemperature:
		return code.Errorf(code.BadParameter, "temperature: %g is not in the range 0 to %g", g.Temperature, MaxTemperature)
	case q.N != nil && *q.N != 1:
		return code.Errorf(code.BadParameter, "n: only 1 is supported")
	case isSet(q.Stop):
		return code.Errorf(code.BadParameter, "stop: not supported")
	case isSet(q.Tools):
		return code.Errorf(code.BadParameter, "tools: not supported")
	}
	return nil
}

// isSet reports whether a field holds a value other than null, an empty list and an
// empty string.
func isSet(raw json.RawMessage) bool {
	switch string(raw) {
	case "", "null", "[]", `""`:
		return false
	}
	return true
}

// chatPrompt returns the text that the engine continues: one line "role: content" for
// each message, and "assistant:" at the end.
func chatPrompt(messages []message) (string, error) {
	var b strings.Builder
	for i, m := range messages {
		if m.Role == "" {
			return "", code.Errorf(code.BadParameter, "messages[%d].role: a role is required", i)
		}
		text, err := contentText(m.Content)
		if err != nil {
			return "", code.Errorf(code.BadParameter, "messages[%d].content: a string or a list of text parts is required", i)
		}
		b.WriteString(m.Role)
		b.WriteString(": ")
		b.WriteString(text)
		b.WriteByte('\n')
	}
	b.WriteString("assistant:")
	return b.String(), nil
}

// errContentNotText is returned for content that is neither a string nor a list of text
// parts.
var errContentNotText = errors.New("the content is not text")

// contentText returns the text of the content of a message, which is a string or a list
// of text parts.
func contentText(raw json.RawMessage) (string, error) {
	var text string
	if json.Unmarshal(raw, &text) == nil {
		return text, nil
	}
	var parts []contentPart
	if err := json.Unmarshal(raw, &parts); err != nil {
		return "", errContentNotText
	}
	for _, p := range parts {
		if p.Type != "text" {
			return "", errContentNotText
		}
		text += p.Text
	}
	return text, nil
}

// completionPrompt returns the prompt of a completion, which is a string or a list of
// exactly one string.
func completionPrompt(raw json.RawMessage) (string, error) {
	var text string
	if len(raw) > 0 && raw[0] == '"' && json.Unmarshal(raw, &text) == nil {
		return text, nil
	}
	var list []string
	if json.Unmarshal(raw, &list) == nil && len(list) == 1 {
		return list[0], nil
	}
	return "", code.Errorf(code.BadParameter, "prompt: a string or a list of one string is required")
}
