package admin

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/event"
)

// maxResponseBytes is the largest response of a daemon.
const maxResponseBytes = 64 << 20

// DefaultTimeout is the default timeout of a call.
const DefaultTimeout = 15 * time.Second

// ClientOption configures a Client.
type ClientOption func(*Client)

// WithTLS sets the TLS configuration of the client.
func WithTLS(c *tls.Config) ClientOption {
	return func(k *Client) { k.http.Transport = &http.Transport{TLSClientConfig: c} }
}

// WithTimeout sets the timeout of each call.
func WithTimeout(d time.Duration) ClientOption {
	return func(k *Client) { k.http.Timeout = d }
}

// Client calls the operators' interface of a daemon. Errors have the code that the
// daemon returned, or PeerDown if the daemon did not answer or its response cannot
// be decoded.
type Client struct {
	// base is the URL of the daemon without a slash at the end.
	base  string
	token string
	http  *http.Client
}

// NewClient returns a client of the daemon at base, a URL such as
// "https://10.0.0.7:8082". The token authenticates the operator.
func NewClient(base, token string, opts ...ClientOption) *Client {
	k := &Client{
		base:  strings.TrimSuffix(base, "/"),
		token: token,
		http:  &http.Client{Timeout: DefaultTimeout},
	}
	for _, o := range opts {
		o(k)
	}
	return k
}

// Apply submits a document. Repeating a call with the same submission id has no
// further effect.
func (k *Client) Apply(ctx context.Context, s Submission) (Accepted, error) {
	var a Accepted
	err := k.post(ctx, "documents", s, &a)
	return a, err
}

// Promote puts a document that is in force in the trial stage into production.
func (k *Client) Promote(ctx context.Context, p Promotion) (Accepted, error) {
	var a Accepted
	err := k.post(ctx, "promotions", p, &a)
	return a, err
}

// Status returns the state of the environment as recorded by the daemon.
func (k *Client) Status(ctx context.Context) (Status, error) {
	var s Status
	err := k.get(ctx, "status", nil, &s)
	return s, err
}

// Plan returns the next planned moves of placement in the daemon's data centre.
func (k *Client) Plan(ctx context.Context) (Plan, error) {
	var p Plan
	err := k.get(ctx, "plan", nil, &p)
	return p, err
}

// Events returns the events that f selects, of all daemons, or only of the called
// daemon if local is set.
func (k *Client) Events(ctx context.Context, f event.Filter, local bool) (Events, error) {
	q := url.Values{}
	set := func(name, value string) {
		if value != "" {
			q.Set(name, value)
		}
	}
	set("request", f.Request)
	set("model", f.Model)
	set("vm", f.VM)
	if !f.Since.IsZero() {
		set("since", f.Since.Format(time.RFC3339Nano))
	}
	if !f.Until.IsZero() {
		set("until", f.Until.Format(time.RFC3339Nano))
	}
	if f.Limit > 0 {
		set("limit", strconv.Itoa(f.Limit))
	}
	if local {
		set("local", "true")
	}
	var e Events
	err := k.get(ctx, "events", q, &e)
	return e, err
}

// Drain makes a VM leave, or cancels the drain of a backend server.
func (k *Client) Drain(ctx context.Context, d DrainRequest) error {
	return k.post(ctx, "drain", d, &DrainRequest{})
}

// post sends in to an operator path as JSON and decodes the response into out.
func (k *Client) post(ctx context.Context, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return code.Errorf(code.Internal, "encode %s: %w", path, err)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, k.base+"/operator/v1/"+path, bytes.NewReader(body))
	if err != nil {
		return code.Errorf(code.BadParameter, "daemon address %q: %w", k.base, err)
	}
	r.Header.Set("Content-Type", "application/json")
	return k.do(r, out)
}

// get queries an operator path with the parameters q and decodes the response into
// out.
func (k *Client) get(ctx context.Context, path string, q url.Values, out any) error {
	address := k.base + "/operator/v1/" + path
	if len(q) > 0 {
		address += "?" + q.Encode()
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return code.Errorf(code.BadParameter, "daemon address %q: %w", k.base, err)
	}
	return k.do(r, out)
}

// do sends the request with the token and decodes the response into out, or into an
// error if the status is not 200.
func (k *Client) do(r *http.Request, out any) error {
	r.Header.Set("Authorization", "Bearer "+k.token)
	resp, err := k.http.Do(r)
	if err != nil {
		return code.Errorf(code.PeerDown, "daemon %s: %w", k.base, err)
	}
	defer func() { _ = resp.Body.Close() }()
	d := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes))
	if resp.StatusCode != http.StatusOK {
		var f ErrorBody
		if err := d.Decode(&f); err != nil {
			return code.Errorf(code.PeerDown, "daemon %s returned status %s", k.base, resp.Status)
		}
		return code.Errorf(code.Code(f.Code), "%s", f.Message)
	}
	if err := d.Decode(out); err != nil {
		return code.Errorf(code.PeerDown, "decode the response of daemon %s: %w", k.base, err)
	}
	return nil
}
