package wire

import (
	"encoding/json"
	"net/http"

	"github.com/limpetlb/limpetlb/limpetd/code"
)

// Head is what all parts of an answer repeat.
type Head struct {
	// ID is the request id.
	ID    string
	Model string
	// Created is the time of the request in seconds since 1970.
	Created int64
	Chat    bool
}

// Usage counts the tokens of a request.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// NewUsage returns the usage of a request.
func NewUsage(prompt, completion int) Usage {
	return Usage{PromptTokens: prompt, CompletionTokens: completion, TotalTokens: prompt + completion}
}

type answer struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

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
	// First marks the first chunk, which names the role.
	First bool
	Text  string
	// Finish is "stop" or "length" in the last chunk.
	Finish string
}

// AppendChunk appends c as a server-sent event.
func (h Head) AppendChunk(b []byte, c Chunk) []byte {
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
	return appendEvent(b, h.answer(true, []choice{part}, nil))
}

// AppendUsage appends the event that holds only the usage.
func (h Head) AppendUsage(b []byte, u Usage) []byte {
	return appendEvent(b, h.answer(true, []choice{}, &u))
}

// Done is the event that ends a whole answer.
const Done = "data: [DONE]\n\n"

// Whole renders an answer that is not streamed.
func (h Head) Whole(text, finish string, u Usage) ([]byte, error) {
	part := choice{FinishReason: &finish}
	if h.Chat {
		part.Message = &chatMessage{Role: "assistant", Content: text}
	} else {
		part.Text = &text
	}
	return json.Marshal(h.answer(false, []choice{part}, &u))
}

func (h Head) answer(chunk bool, choices []choice, u *Usage) answer {
	return answer{
		ID:      h.ID,
		Object:  h.object(chunk),
		Created: h.Created,
		Model:   h.Model,
		Choices: choices,
		Usage:   u,
	}
}

func (h Head) object(chunk bool) string {
	switch {
	case !h.Chat:
		return "text_completion"
	case chunk:
		return "chat.completion.chunk"
	}
	return "chat.completion"
}

// ErrorBody is the JSON body of an error.
type ErrorBody struct {
	Error Error `json:"error"`
}

// Error describes an error to a caller.
type Error struct {
	Message   string   `json:"message"`
	Type      string   `json:"type"`
	Code      int      `json:"code"`
	Name      string   `json:"name"`
	Run       code.Run `json:"run"`
	RequestID string   `json:"request_id"`
}

// NewError describes err. The text of an error without a code stays inside.
func NewError(err error, request string) ErrorBody {
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
		RequestID: request,
	}}
}

// errorType is the class of error that users of model servers know.
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

// AppendError appends the event that ends an answer which is not whole.
func AppendError(b []byte, err error, request string) []byte {
	return appendEvent(b, NewError(err, request))
}

// appendEvent appends v as the data of a server-sent event.
func appendEvent(b []byte, v any) []byte {
	body, err := json.Marshal(v)
	if err != nil {
		// The types of this package hold nothing that JSON refuses.
		panic(err)
	}
	b = append(b, "data: "...)
	b = append(b, body...)
	return append(b, "\n\n"...)
}
