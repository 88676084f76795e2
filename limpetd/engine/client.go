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
	"github.com/limpetlb/limpetlb/limpetd/conns"
	"github.com/limpetlb/limpetlb/limpetd/socket"
)

// Limits of the client.
const (
	idleConnsPerEngine = 64
	idleTimeout        = 90 * time.Second
	dialTimeout        = time.Second
	readBufferBytes    = 8 << 10
	// maxResponseBytes is the maximum size of a JSON response after decompression.
	maxResponseBytes = 4 << 20
	// maxFrameBytes is the maximum size of a frame, maxHeadBytes that of the head of a response.
	maxFrameBytes = 1 << 20
	maxHeadBytes  = 64 << 10
	// maxErrorBytes is the maximum number of bytes that are read of the body of an
	// error response, or of the rest of a body that is closed.
	maxErrorBytes = 4 << 10
)

// gzipEncoding is the content encoding that the client accepts for JSON responses.
const gzipEncoding = "gzip"

// Option configures a Client.
type Option func(*Client)

// WithTLS makes the client connect to the engines over HTTPS.
func WithTLS(c *tls.Config) Option {
	return func(cl *Client) {
		cl.transport.TLSClientConfig = c
		cl.scheme = "https://"
	}
}

// Client sends requests to model engines over HTTP. It is safe for concurrent use and
// never repeats a POST.
type Client struct {
	scheme    string
	transport *http.Transport
}

var (
	_ OrderSender = (*Client)(nil)
	_ Generator   = (*Client)(nil)
	_ Reporter    = (*Client)(nil)
)

// NewClient returns a client of model engines.
func NewClient(opts ...Option) *Client {
	dialer := socket.NewDialer(net.Dialer{Timeout: dialTimeout})
	c := &Client{
		scheme: "http://",
		transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: idleConnsPerEngine,
			IdleConnTimeout:     idleTimeout,
			ReadBufferSize:      readBufferBytes,
			DisableCompression:  true,

			MaxResponseHeaderBytes: maxHeadBytes,
		},
	}
	for _, o := range opts {
		o(c)
	}
	return c
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.transport.CloseIdleConnections()
}

// Order implements OrderSender.
func (c *Client) Order(ctx context.Context, address string, o Order) (OrderResult, error) {
	var answer OrderResult
	response, connected, err := c.send(ctx, http.MethodPost, address, "/v1/orders", o)
	if err != nil {
		if connected {
			return answer, code.Errorf(code.OrderUnknown, "order %s: %w", o.ID, err)
		}
		return answer, code.Errorf(code.BackendFailed, "order %s: %w", o.ID, err)
	}
	defer closeBody(response)
	if response.StatusCode != http.StatusOK {
		return answer, code.Errorf(code.OrderUnknown, "order %s: %s", o.ID, errorText(response))
	}
	if err := decodeJSON(response, &answer); err != nil {
		return answer, code.Errorf(code.OrderUnknown, "order %s: %w", o.ID, err)
	}
	if answer.ID != o.ID {
		return answer, code.Errorf(code.OrderUnknown, "order %s: the response is for order %s", o.ID, answer.ID)
	}
	return answer, nil
}

// Generate implements Generator.
func (c *Client) Generate(ctx context.Context, address string, r Request) (Frames, error) {
	return c.openStream(ctx, http.MethodPost, address, "/v1/generate", r)
}

// Resume implements Generator.
func (c *Client) Resume(ctx context.Context, address, attempt string, offset int) (Frames, error) {
	path := "/v1/generate/" + url.PathEscape(attempt) + "?offset=" + strconv.Itoa(offset)
	return c.openStream(ctx, http.MethodGet, address, path, nil)
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
	err := c.getJSON(ctx, address, "/v1/report", &r)
	return r, err
}

// CacheEvents implements Reporter.
func (c *Client) CacheEvents(ctx context.Context, address string, after int64) ([]CacheEvent, error) {
	var events []CacheEvent
	err := c.getJSON(ctx, address, "/v1/cache?after="+strconv.FormatInt(after, 10), &events)
	return events, err
}

// openStream sends a request whose response is a stream of frames.
func (c *Client) openStream(ctx context.Context, method, address, path string, message any) (Frames, error) {
	ctx, cancel := context.WithCancel(ctx)
	response, connected, err := c.send(ctx, method, address, path, message)
	if err != nil {
		cancel()
		return nil, sendError(connected, err)
	}
	if response.StatusCode != http.StatusOK {
		defer cancel()
		defer closeBody(response)
		return nil, statusError(response)
	}
	body := &frameBytes{source: response.Body}
	return &frameReader{response: response, body: body, decoder: json.NewDecoder(body), cancel: cancel}, nil
}

// getJSON sends a GET request and decodes the JSON response, which the engine may
// compress, into dst.
func (c *Client) getJSON(ctx context.Context, address, path string, dst any) error {
	response, connected, err := c.send(ctx, http.MethodGet, address, path, nil, gzipEncoding)
	if err != nil {
		return sendError(connected, err)
	}
	defer closeBody(response)
	if response.StatusCode != http.StatusOK {
		return statusError(response)
	}
	if err := decodeJSON(response, dst); err != nil {
		return code.Errorf(code.EngineError, "%s: %w", path, err)
	}
	return nil
}

// send sends one HTTP request whose response may have one of the content encodings. The
// second result is whether there was a connection, so that bytes may have reached the
// engine.
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

// sendError returns the error for a request that got no response. connected is the
// second result of send.
func sendError(connected bool, err error) error {
	if connected {
		return code.Errorf(code.BackendLost, "no response from the engine: %w", err)
	}
	return code.Errorf(code.BackendFailed, "no connection to the engine: %w", &unreachedError{err})
}

// statusError returns the error for a response whose status is not 200. The statuses
// 404, 409, 429 and 503 mean that the engine did not run the request.
func statusError(response *http.Response) error {
	text := errorText(response)
	switch response.StatusCode {
	case http.StatusNotFound, http.StatusConflict, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return code.WithRun(code.Errorf(code.BackendFailed, "the engine rejected the request: %s", text), code.RunNo)
	default:
		return code.WithRun(code.Errorf(code.EngineError, "the engine reported an error: %s", text), code.RunUnknown)
	}
}

// errorText returns the status and the body of an error response.
func errorText(response *http.Response) string {
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	return fmt.Sprintf("status %d: %s", response.StatusCode, bytes.TrimSpace(text))
}

// decodeJSON decodes a JSON response of at most maxResponseBytes into dst. The body is read to
// its end, so that the connection can be reused.
func decodeJSON(response *http.Response, dst any) error {
	reader, err := decompress(response)
	if err != nil {
		return err
	}
	body, err := conns.ReadBody(reader, maxResponseBytes)
	if err != nil {
		return err
	}
	return json.Unmarshal(body, dst)
}

// decompress returns a reader of the body of a response without its content encoding.
func decompress(response *http.Response) (io.Reader, error) {
	if response.Header.Get("Content-Encoding") != gzipEncoding {
		return response.Body, nil
	}
	return gzip.NewReader(response.Body)
}

// closeBody closes the body of a response after reading up to maxErrorBytes of the rest,
// so that the connection can be reused after a short body.
func closeBody(response *http.Response) {
	_, _ = io.CopyN(io.Discard, response.Body, maxErrorBytes)
	_ = response.Body.Close()
}

// errFrameTooLarge means that a frame is larger than maxFrameBytes.
var errFrameTooLarge = errors.New("a frame is over the limit")

// frameBytes reads the bytes of frames, of each at most maxFrameBytes beyond what was read ahead.
type frameBytes struct {
	source io.Reader
	left   int
}

// Read implements io.Reader.
func (f *frameBytes) Read(b []byte) (int, error) {
	if f.left <= 0 {
		return 0, errFrameTooLarge
	}
	n, err := f.source.Read(b[:min(len(b), f.left)])
	f.left -= n
	return n, err
}

// frameReader reads a stream of frames, each one line of JSON.
type frameReader struct {
	response *http.Response
	body     *frameBytes
	decoder  *json.Decoder
	cancel   context.CancelFunc
	ended    bool
}

// Next implements Frames. An error other than io.EOF has code BackendLost: the stream
// ended or failed before the last frame.
func (f *frameReader) Next() (Frame, error) {
	if f.ended {
		return Frame{}, io.EOF
	}
	var frame Frame
	f.body.left = maxFrameBytes
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
func (f *frameReader) Close() error {
	if f.ended {
		// Read the terminating chunk, so that the connection can be reused.
		_, _ = io.CopyN(io.Discard, f.decoder.Buffered(), readBufferBytes)
		_, _ = io.CopyN(io.Discard, f.response.Body, readBufferBytes)
	}
	f.cancel()
	return f.response.Body.Close()
}
