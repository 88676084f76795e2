package store

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/code"
)

// Limits of the client.
const (
	maxAnswerBytes = 64 << 20
	idleConns      = 16
	idleTimeout    = 60 * time.Second
	dialTimeout    = time.Second
)

// Option changes a Client.
type Option func(*Client)

// WithTLS sets the TLS configuration for an https base URL.
func WithTLS(c *tls.Config) Option {
	return func(cl *Client) { cl.transport.TLSClientConfig = c }
}

// WithTimeout bounds each call; CallTimeout by default.
func WithTimeout(d time.Duration) Option {
	return func(c *Client) { c.timeout = d }
}

// Client reaches the platform over HTTP. It is safe for concurrent use.
type Client struct {
	base      string
	timeout   time.Duration
	transport *http.Transport
	http      *http.Client
}

var (
	_ Table   = (*Client)(nil)
	_ Objects = (*ObjectClient)(nil)
	_ VMList  = (*Client)(nil)
)

// NewClient returns a client of the platform at baseURL.
func NewClient(baseURL string, opts ...Option) *Client {
	c := &Client{
		base:    baseURL,
		timeout: CallTimeout,
		transport: &http.Transport{
			MaxIdleConns:        idleConns,
			MaxIdleConnsPerHost: idleConns,
			IdleConnTimeout:     idleTimeout,
			TLSHandshakeTimeout: dialTimeout,
		},
	}
	c.http = &http.Client{Transport: c.transport}
	for _, o := range opts {
		o(c)
	}
	return c
}

// Close frees the idle connections.
func (c *Client) Close() {
	c.transport.CloseIdleConnections()
}

// keysMessage asks for rows by key.
type keysMessage struct {
	Keys []string `json:"keys"`
}

// scanMessage asks for rows by prefix.
type scanMessage struct {
	Prefix string `json:"prefix"`
	After  string `json:"after"`
	Limit  int    `json:"limit"`
}

// rowsMessage answers with rows. Their values are envelopes.
type rowsMessage struct {
	Rows []Row `json:"rows"`
}

// Get implements Table.
func (c *Client) Get(ctx context.Context, keys ...string) ([]Row, error) {
	return c.rows(ctx, "/v1/table/get", keysMessage{Keys: keys})
}

// Scan implements Table.
func (c *Client) Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	return c.rows(ctx, "/v1/table/scan", scanMessage{Prefix: prefix, After: after, Limit: limit})
}

// rows reads rows and opens their envelopes.
func (c *Client) rows(ctx context.Context, path string, message any) ([]Row, error) {
	var answer rowsMessage
	if err := c.post(ctx, path, message, &answer); err != nil {
		return nil, readError(err)
	}
	for i := range answer.Rows {
		r := &answer.Rows[i]
		writer, value, err := open(r.Key, r.Value)
		if err != nil {
			return nil, err
		}
		r.Writer, r.Value = writer, value
	}
	return answer.Rows, nil
}

// Apply implements Table.
func (c *Client) Apply(ctx context.Context, tx Tx) error {
	sealed := Tx{Conditions: tx.Conditions, Writes: make([]Write, 0, len(tx.Writes))}
	for _, w := range tx.Writes {
		if !w.Delete {
			value, err := seal(tx.ID, w.Value)
			if err != nil {
				return code.Errorf(code.Internal, "row %s: %w", w.Key, err)
			}
			w.Value = value
		}
		sealed.Writes = append(sealed.Writes, w)
	}
	return c.post(ctx, "/v1/table/apply", sealed, nil)
}

// VMs implements VMList.
func (c *Client) VMs(ctx context.Context) ([]VM, error) {
	var answer struct {
		VMs []VM `json:"vms"`
	}
	body, err := c.call(ctx, http.MethodGet, "/v1/vms", nil)
	if err != nil {
		return nil, readError(err)
	}
	if err := json.Unmarshal(body, &answer); err != nil {
		return nil, code.Errorf(code.StoreCorrupt, "VM list: %w", err)
	}
	return answer.VMs, nil
}

// Objects returns the object store of the platform.
func (c *Client) Objects() *ObjectClient {
	return &ObjectClient{client: c}
}

// ObjectClient reaches the platform's object store over HTTP.
type ObjectClient struct {
	client *Client
}

// Put implements Objects.
func (o *ObjectClient) Put(ctx context.Context, key string, body []byte) error {
	_, err := o.client.call(ctx, http.MethodPut, "/v1/objects/"+url.PathEscape(key), body)
	return err
}

// Get implements Objects.
func (o *ObjectClient) Get(ctx context.Context, key string) ([]byte, error) {
	body, err := o.client.call(ctx, http.MethodGet, "/v1/objects/"+url.PathEscape(key), nil)
	return body, readError(err)
}

// Delete implements Objects.
func (o *ObjectClient) Delete(ctx context.Context, key string) error {
	_, err := o.client.call(ctx, http.MethodDelete, "/v1/objects/"+url.PathEscape(key), nil)
	if code.Of(err) == code.StoreNotFound {
		return nil
	}
	return err
}

// post sends a message as JSON and decodes the answer into answer.
func (c *Client) post(ctx context.Context, path string, message, answer any) error {
	body, err := json.Marshal(message)
	if err != nil {
		return code.Errorf(code.Internal, "encode: %w", err)
	}
	reply, err := c.call(ctx, http.MethodPost, path, body)
	if err != nil || answer == nil {
		return err
	}
	if err := json.Unmarshal(reply, answer); err != nil {
		return code.Errorf(code.StoreCorrupt, "%s: %w", path, err)
	}
	return nil
}

// call makes one HTTP call. Its error has code StoreUnknown from the moment
// that a connection was there to write to.
func (c *Client) call(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, code.Errorf(code.Internal, "%s %s: %w", method, path, err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, lostError(connected.Load(), err)
	}
	defer func() { _ = response.Body.Close() }()
	reply, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return nil, lostError(true, err)
	}
	return reply, statusError(response.StatusCode, reply)
}

// lostError is the error of a call without an answer.
func lostError(connected bool, err error) error {
	if connected {
		return code.Errorf(code.StoreUnknown, "no answer: %w", err)
	}
	return code.Errorf(code.StoreDown, "not reached: %w", err)
}

// statusError is the error that a status states, nil for success.
func statusError(status int, reply []byte) error {
	switch status {
	case http.StatusOK, http.StatusCreated, http.StatusNoContent:
		return nil
	case http.StatusNotFound:
		return code.Errorf(code.StoreNotFound, "%s", reply)
	case http.StatusConflict:
		return code.Errorf(code.StoreConflict, "%s", reply)
	case http.StatusTooManyRequests:
		return code.Errorf(code.StoreLimited, "%s", reply)
	case http.StatusServiceUnavailable:
		return code.Errorf(code.StoreDown, "%s", reply)
	default:
		return code.Errorf(code.StoreUnknown, "status %d: %s", status, reply)
	}
}

// readError turns an unknown outcome into StoreDown: a read has no effect.
func readError(err error) error {
	if err != nil && code.Of(err) == code.StoreUnknown {
		return code.Errorf(code.StoreDown, "read: %s", err.Error())
	}
	return err
}
