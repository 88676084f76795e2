// Package caller is a client of the callers' interface that classifies the outcome of
// each request: a complete answer, an explicit code, an error of the backend server, or
// none of these.
//
// # Usage
//
//	c := caller.New()
//	a := c.Generate(ctx, address, caller.Generation{Model: "m1", Prompt: "..."})
//	switch {
//	case a.Complete:     // a.Text is the complete answer
//	case a.Code != 0:    // rejected or failed; a.Run indicates whether it ran
//	case a.BackendError: // the backend server returned an error
//	default:             // lost: a.Err is the connection error
//	}
package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/code"
)

// Limits of the client.
const (
	idleConns      = 512
	maxAnswerBytes = 16 << 20
)

// Generation is a request for a completion or a chat completion.
type Generation struct {
	// Key is the caller's key.
	Key string
	// Model is the name of a model or adapter.
	Model  string
	Prompt string
	// Chat indicates a chat completion with Prompt as the only message.
	Chat bool
	// Stream requests a stream of server-sent events.
	Stream bool
	// MaxTokens limits the length of the answer.
	MaxTokens int
	// Priority is the name of the requested priority; empty for none.
	Priority string
}

// ServiceCall is a call to a plain service.
type ServiceCall struct {
	Key    string
	Method string
	// Path is the path below /services/; it begins with the name of the service.
	Path string
	// IdempotencyKey is the idempotency key; empty for none.
	IdempotencyKey string
	Body           string
}

// Outcome holds the answer to a request, or the reason why there is none.
type Outcome struct {
	// Complete reports whether the answer is complete: generated text ends with a finish
	// reason, and the body of a plain service was read to its end.
	Complete bool
	// Text is the generated text.
	Text string
	// Body is the body of the answer of a plain service.
	Body []byte
	// Code is the explicit code of a request without a complete answer; 0 for
	// none. Run is the daemon's statement whether the backend server may have run
	// the request.
	Code code.Code
	Run  code.RunState
	// BackendError reports whether the backend server itself answered with an error.
	BackendError bool
	// RetryAfter is the time of the Retry-After header; 0 without the header.
	RetryAfter time.Duration
	// RequestID is the value of the Limpet-Request-Id header.
	RequestID string
	// FirstToken is the time until the first text of a stream, or Total without one.
	FirstToken time.Duration
	// Total is the time until the end of the answer.
	Total time.Duration
	// Err is the error of the connection, or of reading the answer.
	Err error
}

// Lost reports whether there is neither a complete answer, nor an explicit code, nor an
// error of the backend server.
func (a Outcome) Lost() bool {
	return !a.Complete && a.Code == 0 && !a.BackendError
}

// Option changes a Client.
type Option func(*Client)

// WithTransport sets the transport of requests to the daemons.
func WithTransport(t http.RoundTripper) Option {
	return func(c *Client) { c.transport = t }
}

// Client sends requests to daemons as a caller.
type Client struct {
	transport http.RoundTripper
}

// New returns a client.
func New(opts ...Option) *Client {
	c := &Client{transport: &http.Transport{
		MaxIdleConnsPerHost: idleConns,
		DisableCompression:  true,
	}}
	for _, o := range opts {
		o(c)
	}
	return c
}

// Close closes the idle connections.
func (c *Client) Close() {
	if t, ok := c.transport.(*http.Transport); ok {
		t.CloseIdleConnections()
	}
}

// completionBody is the body of a completion request.
type completionBody struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	Stream    bool   `json:"stream,omitempty"`
	MaxTokens int    `json:"max_tokens"`
	Priority  string `json:"limpet_priority,omitempty"`
}

// chatBody is the body of a chat completion request.
type chatBody struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	Stream    bool          `json:"stream,omitempty"`
	MaxTokens int           `json:"max_tokens"`
	Priority  string        `json:"limpet_priority,omitempty"`
}

// chatMessage is a message of a chat.
type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// body returns the path and the body of the HTTP request.
func (g Generation) body() (string, []byte, error) {
	if g.Chat {
		b, err := json.Marshal(chatBody{
			Model:    g.Model,
			Messages: []chatMessage{{Role: "user", Content: g.Prompt}},
			Stream:   g.Stream, MaxTokens: g.MaxTokens, Priority: g.Priority,
		})
		return "/v1/chat/completions", b, err
	}
	b, err := json.Marshal(completionBody{
		Model: g.Model, Prompt: g.Prompt,
		Stream: g.Stream, MaxTokens: g.MaxTokens, Priority: g.Priority,
	})
	return "/v1/completions", b, err
}

// EnginePrompt returns the prompt that an engine receives for g.
func (g Generation) EnginePrompt() string {
	if g.Chat {
		return "user: " + g.Prompt + "\nassistant:"
	}
	return g.Prompt
}

// Generate sends g to the daemon at address and returns the outcome.
func (c *Client) Generate(ctx context.Context, address string, g Generation) Outcome {
	path, body, err := g.body()
	if err != nil {
		return Outcome{Err: err}
	}
	start := time.Now()
	response, err := c.post(ctx, "http://"+address+path, g.Key, body)
	if err != nil {
		return Outcome{Err: err, Total: time.Since(start)}
	}
	defer func() { _ = response.Body.Close() }()
	a := Outcome{RequestID: response.Header.Get("Limpet-Request-Id")}
	switch {
	case response.StatusCode != http.StatusOK:
		a.readError(response)
	case g.Stream:
		a.readStream(response, start)
	default:
		a.readBody(response)
	}
	a.Total = time.Since(start)
	if a.FirstToken == 0 {
		a.FirstToken = a.Total
	}
	return a
}

// post sends a JSON body with the key of a caller.
func (c *Client) post(ctx context.Context, url, key string, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.Set("Content-Type", "application/json")
	return c.transport.RoundTrip(request)
}

// Call sends q to a plain service through the daemon at address and returns the outcome.
func (c *Client) Call(ctx context.Context, address string, q ServiceCall) Outcome {
	start := time.Now()
	url := "http://" + address + "/services/" + q.Path
	request, err := http.NewRequestWithContext(ctx, q.Method, url, bytes.NewReader([]byte(q.Body)))
	if err != nil {
		return Outcome{Err: err}
	}
	// Without GetBody, the transport can't rewind the body and sends it only once.
	request.GetBody = nil
	request.Header.Set("Authorization", "Bearer "+q.Key)
	request.Header.Set("Content-Type", "application/json")
	if q.IdempotencyKey != "" {
		request.Header.Set("Idempotency-Key", q.IdempotencyKey)
	}
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		return Outcome{Err: err, Total: time.Since(start)}
	}
	defer func() { _ = response.Body.Close() }()
	a := Outcome{RequestID: response.Header.Get("Limpet-Request-Id")}
	if response.StatusCode != http.StatusOK {
		a.readError(response)
		a.Total = time.Since(start)
		return a
	}
	a.Body, a.Err = io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	a.Complete = a.Err == nil
	a.Total = time.Since(start)
	return a
}

// errorBody is the body of a response with an error.
type errorBody struct {
	Error struct {
		Message string        `json:"message"`
		Code    int           `json:"code"`
		Run     code.RunState `json:"run"`
	} `json:"error"`
}

// readError reads the response of a failed request: an error of the backend server if
// Limpet-Code is 0, otherwise an explicit code of the daemon.
func (a *Outcome) readError(response *http.Response) {
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		a.RetryAfter = time.Duration(seconds * float64(time.Second))
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		a.Err = err
		return
	}
	if response.Header.Get("Limpet-Code") == "0" {
		a.BackendError = true
		a.Run = code.RunState(response.Header.Get("Limpet-Run"))
		return
	}
	var e errorBody
	if err := json.Unmarshal(body, &e); err != nil {
		a.Err = err
		return
	}
	a.Code, a.Run = code.Code(e.Error.Code), e.Error.Run
}
