package store

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/conns"
	"github.com/limpetlb/limpetlb/limpetd/socket"
)

// Limits of the client.
const (
	maxResponseBytes    = 64 << 20
	maxHeadBytes        = 64 << 10
	maxIdleConns        = 16
	idleConnTimeout     = 60 * time.Second
	tlsHandshakeTimeout = time.Second
)

// Option configures a Client.
type Option func(*Client)

// WithTLS sets the TLS configuration for an https base URL.
func WithTLS(c *tls.Config) Option {
	return func(cl *Client) {
		cl.transport.TLSClientConfig = c
		cl.transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := cl.dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return socket.UnderTLS(conn), nil
		}
	}
}

// WithTimeout sets the timeout of each call. The default is CallTimeout.
func WithTimeout(d time.Duration) Option {
	return func(c *Client) { c.timeout = d }
}

// Client calls the platform over HTTP. It is safe for concurrent use.
type Client struct {
	base      string
	timeout   time.Duration
	dialer    *socket.Dialer
	transport *http.Transport
	http      *http.Client
}

var (
	_ Table       = (*Client)(nil)
	_ ObjectStore = (*ObjectClient)(nil)
	_ VMLister    = (*Client)(nil)
)

// NewClient returns a client of the platform at baseURL.
func NewClient(baseURL string, opts ...Option) *Client {
	dialer := &socket.Dialer{}
	c := &Client{
		base:    baseURL,
		dialer:  dialer,
		timeout: CallTimeout,
		transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConns:        maxIdleConns,
			MaxIdleConnsPerHost: maxIdleConns,
			IdleConnTimeout:     idleConnTimeout,
			TLSHandshakeTimeout: tlsHandshakeTimeout,

			MaxResponseHeaderBytes: maxHeadBytes,
		},
	}
	c.http = &http.Client{Transport: c.transport}
	for _, o := range opts {
		o(c)
	}
	return c
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.transport.CloseIdleConnections()
}

// getRequest is the body of a request for rows by key.
type getRequest struct {
	Keys []string `json:"keys"`
}

// scanRequest is the body of a request for rows by key prefix.
type scanRequest struct {
	Prefix string `json:"prefix"`
	After  string `json:"after"`
	Limit  int    `json:"limit"`
}

// rowsResponse is the body of a response with rows. The values are encoded envelopes.
type rowsResponse struct {
	Rows []Row `json:"rows"`
}

// Get implements Table.
func (c *Client) Get(ctx context.Context, keys ...string) ([]Row, error) {
	return c.readRows(ctx, "/v1/table/get", getRequest{Keys: keys})
}

// Scan implements Table.
func (c *Client) Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	return c.readRows(ctx, "/v1/table/scan", scanRequest{Prefix: prefix, After: after, Limit: limit})
}

// readRows requests rows and decodes their envelopes.
func (c *Client) readRows(ctx context.Context, path string, message any) ([]Row, error) {
	var answer rowsResponse
	if err := c.post(ctx, path, message, &answer); err != nil {
		return nil, readError(err)
	}
	for i := range answer.Rows {
		r := &answer.Rows[i]
		writer, value, err := openEnvelope(r.Key, r.Value)
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
			value, err := sealEnvelope(tx.ID, w.Value)
			if err != nil {
				return code.Errorf(code.Internal, "row %s: %w", w.Key, err)
			}
			w.Value = value
		}
		sealed.Writes = append(sealed.Writes, w)
	}
	return c.post(ctx, "/v1/table/apply", sealed, nil)
}

// VMs implements VMLister.
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

// Objects returns a client of the platform's object store.
func (c *Client) Objects() *ObjectClient {
	return &ObjectClient{client: c}
}

// ObjectClient calls the platform's object store over HTTP.
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

// post sends message as JSON and decodes the response into answer, unless answer is nil.
func (c *Client) post(ctx context.Context, path string, message, answer any) error {
	body, err := json.Marshal(message)
	if err != nil {
		return code.Errorf(code.Internal, "encode request: %w", err)
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

// call makes one HTTP call. A call without a complete response fails with code StoreDown
// if no connection was obtained, and with StoreUnknown otherwise.
func (c *Client) call(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var connected atomic.Bool
	var address atomic.Value
	trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		connected.Store(true)
		address.Store(i.Conn.RemoteAddr().String())
	}}
	ctx = httptrace.WithClientTrace(ctx, trace)
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, code.Errorf(code.Internal, "%s %s: %w", method, path, err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, transportError(connected.Load(), err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.TLS == nil {
		conns.CheckEnd(ctx, response, func(ctx context.Context) conns.Reach {
			return conns.Probe(ctx, c.dialer, "tcp", address.Load().(string))
		})
	}
	reply, err := conns.ReadBody(response.Body, maxResponseBytes)
	if err != nil {
		return nil, transportError(true, err)
	}
	return reply, statusError(response.StatusCode, reply)
}

// transportError returns the error of a call without a complete response. connected is
// whether a connection was obtained, so that the platform may have executed the call.
func transportError(connected bool, err error) error {
	if connected {
		return code.Errorf(code.StoreUnknown, "no response from the platform: %w", err)
	}
	return code.Errorf(code.StoreDown, "cannot connect to the platform: %w", err)
}

// statusError returns the error for an HTTP status, nil for success.
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

// readError replaces StoreUnknown by StoreDown, since a read has no effect.
func readError(err error) error {
	if err != nil && code.Of(err) == code.StoreUnknown {
		return code.Errorf(code.StoreDown, "read: %s", err.Error())
	}
	return err
}
