package engine

import (
	"bytes"
	"compress/gzip"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/code"
)

// Limits of the client.
const (
	idleConnsPerEngine = 64
	idleTimeout        = 90 * time.Second
	dialTimeout        = time.Second
	readBufferBytes    = 8 << 10
	maxReplyBytes      = 4 << 20
	maxErrorBytes      = 4 << 10
)

// gzipEncoding is the encoding that the answers to reads may have.
const gzipEncoding = "gzip"

// Option changes a Client.
type Option func(*Client)

// WithTLS reaches the engines over https.
func WithTLS(c *tls.Config) Option {
	return func(cl *Client) {
		cl.transport.TLSClientConfig = c
		cl.scheme = "https://"
	}
}

// Client reaches model engines over HTTP. It is safe for concurrent use and
// never sends a POST again.
type Client struct {
	scheme    string
	transport *http.Transport
}

var (
	_ Orderer   = (*Client)(nil)
	_ Generator = (*Client)(nil)
	_ Reporter  = (*Client)(nil)
)

// NewClient returns a client of model engines.
func NewClient(opts ...Option) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	c := &Client{
		scheme: "http://",
		transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: idleConnsPerEngine,
			IdleConnTimeout:     idleTimeout,
			ReadBufferSize:      readBufferBytes,
			DisableCompression:  true,
		},
	}
	for _, o := range opts {
		o(c)
	}
	return c
}

// Close frees the idle connections.
func (c *Client) Close() {
	c.transport.CloseIdleConnections()
}

// Order implements Orderer.
func (c *Client) Order(ctx context.Context, address string, o Order) (OrderAnswer, error) {
	var answer OrderAnswer
	response, connected, err := c.send(ctx, http.MethodPost, address, "/v1/orders", o)
	if err != nil {
		if connected {
			return answer, code.Errorf(code.OrderUnknown, "order %s: %w", o.ID, err)
		}
		return answer, code.Errorf(code.BackendFailed, "order %s: %w", o.ID, err)
	}
	defer closeBody(response)
	if response.StatusCode != http.StatusOK {
		return answer, code.Errorf(code.OrderUnknown, "order %s: %s", o.ID, reason(response))
	}
	if err := decode(response, &answer); err != nil {
		return answer, code.Errorf(code.OrderUnknown, "order %s: %w", o.ID, err)
	}
	if answer.ID != o.ID {
		return answer, code.Errorf(code.OrderUnknown, "order %s: the answer is for order %s", o.ID, answer.ID)
	}
	return answer, nil
}

// Generate implements Generator.
func (c *Client) Generate(ctx context.Context, address string, r Request) (Frames, error) {
	return c.stream(ctx, http.MethodPost, address, "/v1/generate", r)
}

// Resume implements Generator.
func (c *Client) Resume(ctx context.Context, address, attempt string, offset int) (Frames, error) {
	path := "/v1/generate/" + url.PathEscape(attempt) + "?offset=" + strconv.Itoa(offset)
	return c.stream(ctx, http.MethodGet, address, path, nil)
}

// Cancel implements Generator.
func (c *Client) Cancel(ctx context.Context, address, attempt string) error {
	response, connected, err := c.send(ctx, http.MethodDelete, address, "/v1/generate/"+url.PathEscape(attempt), nil)
	if err != nil {
		return sendError(connected, err)
	}
	closeBody(response)
	return nil
}

// Report implements Reporter.
func (c *Client) Report(ctx context.Context, address string) (Report, error) {
	var r Report
	err := c.read(ctx, address, "/v1/report", &r)
	return r, err
}

// CacheEvents implements Reporter.
func (c *Client) CacheEvents(ctx context.Context, address string, after int64) ([]CacheEvent, error) {
	var events []CacheEvent
	err := c.read(ctx, address, "/v1/cache?after="+strconv.FormatInt(after, 10), &events)
	return events, err
}

// stream starts a stream of frames.
func (c *Client) stream(ctx context.Context, method, address, path string, message any) (Frames, error) {
	ctx, cancel := context.WithCancel(ctx)
	response, connected, err := c.send(ctx, method, address, path, message)
	if err != nil {
		cancel()
		return nil, sendError(connected, err)
	}
	if response.StatusCode != http.StatusOK {
		defer cancel()
		defer closeBody(response)
		return nil, refusal(response)
	}
	return &frames{response: response, decoder: json.NewDecoder(response.Body), cancel: cancel}, nil
}

// read gets a JSON answer, which the engine may compress.
func (c *Client) read(ctx context.Context, address, path string, answer any) error {
	response, connected, err := c.send(ctx, http.MethodGet, address, path, nil, gzipEncoding)
	if err != nil {
		return sendError(connected, err)
	}
	defer closeBody(response)
	if response.StatusCode != http.StatusOK {
		return refusal(response)
	}
	if err := decode(response, answer); err != nil {
		return code.Errorf(code.EngineError, "%s: %w", path, err)
	}
	return nil
}

// send makes one HTTP call, whose answer may have the encodings. The second
// result tells whether a connection was there, so that bytes can have reached
// the engine.
func (c *Client) send(ctx context.Context, method, address, path string, message any, encodings ...string) (*http.Response, bool, error) {
	var body io.Reader
	if message != nil {
		encoded, err := json.Marshal(message)
		if err != nil {
			return nil, false, err
		}
		body = bytes.NewReader(encoded)
	}
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, c.scheme+address+path, body)
	if err != nil {
		return nil, false, err
	}
	for _, e := range encodings {
		request.Header.Add("Accept-Encoding", e)
	}
	response, err := c.transport.RoundTrip(request)
	return response, connected.Load(), err
}

// sendError is the error of a call without an answer.
func sendError(connected bool, err error) error {
	if connected {
		return code.Errorf(code.BackendLost, "no answer: %w", err)
	}
	return code.Errorf(code.BackendFailed, "not reached: %w", &unreached{err})
}

// refusal is the error of an answer that refuses. An engine that refuses with
// 404, 409, 429 or 503 states that it did not run the request.
func refusal(response *http.Response) error {
	text := reason(response)
	switch response.StatusCode {
	case http.StatusNotFound, http.StatusConflict, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return code.WithRun(code.Errorf(code.BackendFailed, "the engine refused: %s", text), code.RunNo)
	default:
		return code.WithRun(code.Errorf(code.EngineError, "the engine failed: %s", text), code.RunUnknown)
	}
}

// reason returns the text of a refusing answer.
func reason(response *http.Response) string {
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	return fmt.Sprintf("status %d: %s", response.StatusCode, bytes.TrimSpace(text))
}

// decode reads a JSON answer to its end, so that the connection is used again.
func decode(response *http.Response, answer any) error {
	reader, err := unpacked(response)
	if err != nil {
		return err
	}
	body, err := io.ReadAll(io.LimitReader(reader, maxReplyBytes))
	if err != nil {
		return err
	}
	return json.Unmarshal(body, answer)
}

// unpacked returns the body of an answer without its encoding.
func unpacked(response *http.Response) (io.Reader, error) {
	if response.Header.Get("Content-Encoding") != gzipEncoding {
		return response.Body, nil
	}
	return gzip.NewReader(response.Body)
}

// closeBody reads the rest of a short answer and closes it.
func closeBody(response *http.Response) {
	_, _ = io.CopyN(io.Discard, response.Body, maxErrorBytes)
	_ = response.Body.Close()
}

// frames reads frames as lines of JSON.
type frames struct {
	response *http.Response
	decoder  *json.Decoder
	cancel   context.CancelFunc
	ended    bool
}

// Next implements Frames. A stream that ends without a last frame gives an
// error with code BackendLost.
func (f *frames) Next() (Frame, error) {
	if f.ended {
		return Frame{}, io.EOF
	}
	var frame Frame
	err := f.decoder.Decode(&frame)
	switch {
	case err == nil:
		f.ended = frame.Done || frame.Error != ""
		return frame, nil
	case errors.Is(err, io.EOF):
		return Frame{}, code.Errorf(code.BackendLost, "the stream ended before its last frame")
	default:
		return Frame{}, code.Errorf(code.BackendLost, "the stream broke: %w", err)
	}
}

// Close implements Frames.
func (f *frames) Close() error {
	if f.ended {
		// The terminating chunk is read so that the connection is used again.
		_, _ = io.CopyN(io.Discard, f.decoder.Buffered(), readBufferBytes)
		_, _ = io.CopyN(io.Discard, f.response.Body, readBufferBytes)
	}
	f.cancel()
	return f.response.Body.Close()
}
