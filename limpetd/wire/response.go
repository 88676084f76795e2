package wire

import (
	"encoding/json"
	"net/http"

	"github.com/limpetlb/limpetlb/limpetd/code"
)

// ResponseEncoder holds the fields that each part of an answer repeats, and renders the parts.
type ResponseEncoder struct {
	// ID is the request id.
	ID    string
	Model string
	// Created is the time of the request in seconds since 1970.
	Created int64
	// Chat selects the format of a chat completion instead of a completion.
	Chat bool
}

// Usage holds the numbers of tokens of a request and its answer.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// NewUsage returns the usage for the numbers of prompt and completion tokens.
func NewUsage(prompt, completion int) Usage {
	return Usage{PromptTokens: prompt, CompletionTokens: completion, TotalTokens: prompt + completion}
}

// responseBody is the JSON body of a response, or of one event of a streamed response.
type responseBody struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// choice is the answer in a response, or a part of it in an event. Message is set in a
// chat completion, Delta in a chunk of a chat completion, and Text in a completion.
type choice struct {
	Index        int          `json:"index"`
	Message      *chatMessage `json:"message,omitempty"`
	Delta        *delta       `json:"delta,omitempty"`
	Text         *string      `json:"text,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// Chunk is a part of a streamed answer.
type Chunk struct {
	// First indicates the first chunk, which contains the role in a chat completion.
	First bool
	Text  string
	// Finish is "stop" or "length" in the last chunk and empty in all others.
	Finish string
}

// AppendChunk appends c to b as a server-sent event and returns the extended slice.
func (h ResponseEncoder) AppendChunk(b []byte, c Chunk) []byte {
	part := choice{}
	if c.Finish != "" {
		part.FinishReason = &c.Finish
	}
	if h.Chat {
		part.Delta = &delta{Content: c.Text}
		if c.First {
			part.Delta.Role = "assistant"
		}
	} else {
		part.Text = &c.Text
	}
	return appendEvent(b, h.body(true, []choice{part}, nil))
}

// AppendUsage appends to b the server-sent event that contains the usage and no text.
func (h ResponseEncoder) AppendUsage(b []byte, u Usage) []byte {
	return appendEvent(b, h.body(true, []choice{}, &u))
}

// DoneEvent is the server-sent event that ends a complete answer.
const DoneEvent = "data: [DONE]\n\n"

// Response returns the body of a response that is not streamed. finish is the reason for
// the end of the answer, "stop" or "length".
func (h ResponseEncoder) Response(text, finish string, u Usage) ([]byte, error) {
	part := choice{FinishReason: &finish}
	if h.Chat {
		part.Message = &chatMessage{Role: "assistant", Content: text}
	} else {
		part.Text = &text
	}
	return json.Marshal(h.body(false, []choice{part}, &u))
}

// body returns the body of a response, or of an event if chunk is true.
func (h ResponseEncoder) body(chunk bool, choices []choice, u *Usage) responseBody {
	return responseBody{
		ID:      h.ID,
		Object:  h.objectType(chunk),
		Created: h.Created,
		Model:   h.Model,
		Choices: choices,
		Usage:   u,
	}
}

// objectType returns the value of the field "object" of a response or event.
func (h ResponseEncoder) objectType(chunk bool) string {
	switch {
	case !h.Chat:
		return "text_completion"
	case chunk:
		return "chat.completion.chunk"
	}
	return "chat.completion"
}

// ErrorBody is the JSON body of an error response.
type ErrorBody struct {
	Error Error `json:"error"`
}

// Error describes an error to a caller.
type Error struct {
	Message string `json:"message"`
	// Type is the class of the error as returned by errorType.
	Type string `json:"type"`
	// Code and Name identify the result code in package code.
	Code int    `json:"code"`
	Name string `json:"name"`
	// Run is whether the request was run.
	Run       code.RunState `json:"run"`
	RequestID string        `json:"request_id"`
}

// NewError returns the body that describes err. The text of an error without a code, or
// with code Internal, is not disclosed to the caller.
func NewError(err error, requestID string) ErrorBody {
	c := code.Of(err)
	info := c.Info()
	message := info.Meaning
	if c != code.Internal {
		message = err.Error()
	}
	return ErrorBody{Error: Error{
		Message:   message,
		Type:      errorType(info.Status),
		Code:      int(c),
		Name:      info.Name,
		Run:       code.RunOf(err),
		RequestID: requestID,
	}}
}

// errorType returns the class of an error with an HTTP status. The classes are those
// that are common among model servers.
func errorType(status int) string {
	switch {
	case status == http.StatusUnauthorized:
		return "authentication_error"
	case status == http.StatusForbidden:
		return "permission_error"
	case status == http.StatusNotFound:
		return "not_found_error"
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status < http.StatusInternalServerError:
		return "invalid_request_error"
	}
	return "server_error"
}

// AppendError appends to b the server-sent event that ends an incomplete answer.
func AppendError(b []byte, err error, requestID string) []byte {
	return appendEvent(b, NewError(err, requestID))
}

// appendEvent appends to b a server-sent event with the JSON encoding of v as its data.
func appendEvent(b []byte, v any) []byte {
	body, err := json.Marshal(v)
	if err != nil {
		// All values of the types of this package can be encoded as JSON.
		panic(err)
	}
	b = append(b, "data: "...)
	b = append(b, body...)
	return append(b, "\n\n"...)
}
