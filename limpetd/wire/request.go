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

import "github.com/limpetlb/limpetlb/limpetd/code"

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

// common holds the fields that both kinds of request share. hasStop and hasTools reject requests that set them,
// because they change the answer and engines don't support them.
type common struct {
	model               string
	maxTokens           *int
	maxCompletionTokens *int
	temperature         *float64
	seed                int64
	stream              bool
	includeUsage        bool
	priority            string
	n                   *int
	hasStop, hasTools   bool
}

// read reads the value of a field, and reports whether it is one that both kinds of request share.
func (q *common) read(d *decoder, name string) (bool, error) {
	switch name {
	case "model":
		return true, d.scalar(name, &q.model)
	case "max_tokens":
		return true, d.scalar(name, &q.maxTokens)
	case "max_completion_tokens":
		return true, d.scalar(name, &q.maxCompletionTokens)
	case "temperature":
		return true, d.scalar(name, &q.temperature)
	case "seed":
		return true, d.scalar(name, &q.seed)
	case "stream":
		return true, d.scalar(name, &q.stream)
	case "stream_options":
		return true, d.object(name, func(option string) error {
			if option == "include_usage" {
				return d.scalar(name+"."+option, &q.includeUsage)
			}
			return d.SkipValue()
		})
	case "priority":
		return true, d.scalar(name, &q.priority)
	case "n":
		return true, d.scalar(name, &q.n)
	case "stop":
		return true, d.isSet(&q.hasStop)
	case "tools":
		return true, d.isSet(&q.hasTools)
	}
	return false, nil
}

// DecodeChat decodes the body of a request for a chat completion. An error has code
// MalformedBody or BadParameter.
func DecodeChat(body []byte) (Generation, error) {
	var q common
	// The text of messages is shorter than their JSON.
	p := prompt{text: make([]byte, 0, len(body)+len(chatEnd))}
	err := decode(body, func(d *decoder, name string) error {
		if known, err := q.read(d, name); known {
			return err
		}
		if name == "messages" {
			return p.readMessages(d)
		}
		return d.SkipValue()
	})
	if err == nil {
		err = p.err
	}
	if err == nil && p.messages == 0 {
		err = code.Errorf(code.BadParameter, "messages: at least one message is required")
	}
	if err != nil {
		return Generation{}, err
	}
	g, err := q.generation()
	g.Chat = true
	g.Prompt = string(append(p.text, chatEnd...))
	return g, err
}

// DecodeCompletion decodes the body of a request for a completion. An error has code
// MalformedBody or BadParameter.
func DecodeCompletion(body []byte) (Generation, error) {
	var q common
	p := prompt{text: make([]byte, 0, len(body)), err: errNoPrompt}
	err := decode(body, func(d *decoder, name string) error {
		if known, err := q.read(d, name); known {
			return err
		}
		if name == "prompt" {
			return p.readPrompt(d)
		}
		return d.SkipValue()
	})
	if err == nil {
		err = p.err
	}
	if err != nil {
		return Generation{}, err
	}
	g, err := q.generation()
	g.Prompt = string(p.text)
	return g, err
}

// generation returns the Generation for the shared fields, without Chat and Prompt. It
// returns an error if a field is invalid or not supported.
func (q *common) generation() (Generation, error) {
	g := Generation{
		Model:     q.model,
		MaxTokens: DefaultMaxTokens,
		Seed:      q.seed,
		Stream:    q.stream,
		Priority:  q.priority,

		IncludeUsage: q.includeUsage,
	}
	if q.maxTokens != nil {
		g.MaxTokens = *q.maxTokens
	}
	if q.maxCompletionTokens != nil {
		g.MaxTokens = *q.maxCompletionTokens
	}
	if q.temperature != nil {
		g.Temperature = *q.temperature
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
	case q.n != nil && *q.n != 1:
		return code.Errorf(code.BadParameter, "n: only 1 is supported")
	case q.hasStop:
		return code.Errorf(code.BadParameter, "stop: not supported")
	case q.hasTools:
		return code.Errorf(code.BadParameter, "tools: not supported")
	}
	return nil
}
