// Package caller is a client of the callers' interface that judges what it got:
// a whole answer, an explicit code, or neither.
//
// # Usage
//
//	c := caller.New()
//	a := c.Generate(ctx, address, caller.Generation{Model: "m1", Prompt: "..."})
//	switch {
//	case a.Whole:        // a.Text is the whole answer
//	case a.Code != 0:    // refused or failed, and a.Run says whether it ran
//	default:             // lost: a.Err says how the connection broke
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

// Generation asks for an answer.
type Generation struct {
	// Key is the caller's key.
	Key       string
	Model     string
	Prompt    string
	Chat      bool
	Stream    bool
	MaxTokens int
	Priority  string
}

// Call is a call to a plain service.
type Call struct {
	Key    string
	Method string
	// Path begins with the service's name.
	Path string
	// Once is the idempotency key; empty for none.
	Once string
	Body string
}

// Answer is what became of a request.
type Answer struct {
	// Whole tells that the answer is complete by its own statement.
	Whole bool
	Text  string
	// Body is the answer of a plain service.
	Body []byte
	// Code is the explicit code of a request without a whole answer; 0 for
	// none. Run is what the daemon said of it.
	Code code.Code
	Run  code.Run
	// Backend tells that a backend server itself answered with an error.
	Backend bool
	// RetryAfter is when to come back, 0 when it was not said.
	RetryAfter time.Duration
	RequestID  string
	FirstToken time.Duration
	Total      time.Duration
	// Err is how the connection broke.
	Err error
}

// Lost tells that there is neither a whole answer nor an explicit code.
func (a Answer) Lost() bool {
	return !a.Whole && a.Code == 0 && !a.Backend
}

// Option changes a Client.
type Option func(*Client)

// WithTransport sets how requests reach the daemons.
func WithTransport(t http.RoundTripper) Option {
	return func(c *Client) { c.transport = t }
}

// Client is a caller.
type Client struct {
	transport http.RoundTripper
}

// New returns a caller.
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

// Close frees the idle connections.
func (c *Client) Close() {
	if t, ok := c.transport.(*http.Transport); ok {
		t.CloseIdleConnections()
	}
}

// completionBody is a completion request.
type completionBody struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	Stream    bool   `json:"stream,omitempty"`
	MaxTokens int    `json:"max_tokens"`
	Priority  string `json:"limpet_priority,omitempty"`
}

// chatBody is a chat completion request.
type chatBody struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	Stream    bool          `json:"stream,omitempty"`
	MaxTokens int           `json:"max_tokens"`
	Priority  string        `json:"limpet_priority,omitempty"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// body returns path and body of the request.
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

// EnginePrompt returns the prompt that an engine gets for g.
func (g Generation) EnginePrompt() string {
	if g.Chat {
		return "user: " + g.Prompt + "\nassistant:"
	}
	return g.Prompt
}

// Generate asks the daemon at address for an answer.
func (c *Client) Generate(ctx context.Context, address string, g Generation) Answer {
	path, body, err := g.body()
	if err != nil {
		return Answer{Err: err}
	}
	start := time.Now()
	response, err := c.post(ctx, "http://"+address+path, g.Key, body)
	if err != nil {
		return Answer{Err: err, Total: time.Since(start)}
	}
	defer func() { _ = response.Body.Close() }()
	a := Answer{RequestID: response.Header.Get("Limpet-Request-Id")}
	switch {
	case response.StatusCode != http.StatusOK:
		a.refused(response)
	case g.Stream:
		a.stream(response, start)
	default:
		a.whole(response)
	}
	a.Total = time.Since(start)
	if a.FirstToken == 0 {
		a.FirstToken = a.Total
	}
	return a
}

// post sends a JSON body.
func (c *Client) post(ctx context.Context, url, key string, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.Set("Content-Type", "application/json")
	return c.transport.RoundTrip(request)
}

// Call calls a plain service through the daemon at address.
func (c *Client) Call(ctx context.Context, address string, q Call) Answer {
	start := time.Now()
	url := "http://" + address + "/services/" + q.Path
	request, err := http.NewRequestWithContext(ctx, q.Method, url, bytes.NewReader([]byte(q.Body)))
	if err != nil {
		return Answer{Err: err}
	}
	// The transport sends a body that it cannot rewind only once.
	request.GetBody = nil
	request.Header.Set("Authorization", "Bearer "+q.Key)
	request.Header.Set("Content-Type", "application/json")
	if q.Once != "" {
		request.Header.Set("Idempotency-Key", q.Once)
	}
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		return Answer{Err: err, Total: time.Since(start)}
	}
	defer func() { _ = response.Body.Close() }()
	a := Answer{RequestID: response.Header.Get("Limpet-Request-Id")}
	if response.StatusCode != http.StatusOK {
		a.refused(response)
		a.Total = time.Since(start)
		return a
	}
	a.Body, a.Err = io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	a.Whole = a.Err == nil
	a.Total = time.Since(start)
	return a
}

// errorBody is the body of an error.
type errorBody struct {
	Error struct {
		Message string   `json:"message"`
		Code    int      `json:"code"`
		Run     code.Run `json:"run"`
	} `json:"error"`
}

// refused reads an explicit error.
func (a *Answer) refused(response *http.Response) {
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		a.RetryAfter = time.Duration(seconds * float64(time.Second))
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		a.Err = err
		return
	}
	if response.Header.Get("Limpet-Code") == "0" {
		a.Backend = true
		a.Run = code.Run(response.Header.Get("Limpet-Run"))
		return
	}
	var e errorBody
	if err := json.Unmarshal(body, &e); err != nil {
		a.Err = err
		return
	}
	a.Code, a.Run = code.Code(e.Error.Code), e.Error.Run
}
