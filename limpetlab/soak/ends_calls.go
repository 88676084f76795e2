package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/conns"
	"github.com/limpetlb/limpetlb/platform/stand"
)

// The early responses of servers to long uploads. They are a part of the path of a call, as is the framing of a stream.
const (
	earlyLength   = "early-length"
	earlyTooLarge = "early-413"
	earlyClose    = "early-close"
	// earlyBroken is a part of a response without a length, after which the connection is reset.
	earlyBroken = "early-broken"
)

var earlyKinds = []string{earlyLength, earlyTooLarge, earlyClose, earlyBroken, earlyBroken, earlyBroken}

// maxResetDelay is the longest time between a part of a response and the reset.
const maxResetDelay = 40

// caller is a kind of caller.
type caller struct {
	name     string
	exchange func(*http.Request) (*http.Response, error)
	// kept is whether the caller of HTTP/1.0 asks for a connection that is kept.
	kept bool
}

// newCallers returns the kinds of callers.
func newCallers() []caller {
	kept := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 20, DisableCompression: true}}
	closed := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	return []caller{
		{name: "HTTP/1.1, kept", exchange: kept.Do}, {name: "HTTP/1.1, closed", exchange: closed.Do},
		{name: "HTTP/1.0, closed", exchange: stand.ExchangeHTTP10}, {name: "HTTP/1.0, kept", exchange: stand.ExchangeHTTP10, kept: true},
	}
}

// endsCall is a call of RunEnds.
type endsCall struct {
	id, kind, path, early string
	// model is empty for plain calls.
	model  string
	size   int
	caller caller
	daemon int

	// last is when the last bytes of the response arrived.
	begin, last, end time.Time
	// whole is whether the response is whole. fault describes a response that its caller took for complete although it
	// is not.
	whole bool
	fault string
}

// newEndsCall returns a call that random determines: most are streams, some plain calls, some long uploads.
func newEndsCall(id string, random *rand.Rand, callers []caller, daemons int) *endsCall {
	c := &endsCall{id: id, size: 100, caller: callers[random.IntN(len(callers))], daemon: random.IntN(daemons)}
	route := []string{stand.EngineRoute, finalRoute, stand.SafeRoute, stand.UnsafeRoute}[random.IntN(4)]
	if n := random.IntN(10); n < 6 {
		route = []string{stand.EngineRoute, finalRoute}[random.IntN(2)]
		framing := []conns.Framing{conns.Length, conns.Chunked, conns.UntilClose}[random.IntN(3)]
		c.kind, c.path = fmt.Sprintf("stream %s %s", route, framing), route+string(framing)+"/"+id
	} else if n < 8 {
		route = []string{stand.SafeRoute, stand.UnsafeRoute}[random.IntN(2)]
		framing := []conns.Framing{conns.Length, conns.UntilClose}[random.IntN(2)]
		c.kind, c.path = fmt.Sprintf("call %s %s", route, framing), route+string(framing)+"/"+id
	} else {
		c.early, c.size = earlyKinds[random.IntN(len(earlyKinds))], 1<<20+random.IntN(2<<20)
		c.kind = fmt.Sprintf("upload %s %s", route, c.early)
		c.path = fmt.Sprintf("%s%s/%d", route, c.early, random.IntN(maxResetDelay+1))
	}
	if route == stand.EngineRoute || route == finalRoute {
		c.model = stand.Model(random.IntN(models))
	}
	return c
}

// servingEngines returns the servers in the order of their link processes.
func (r *endsRun) servingEngines() []*stand.Engine {
	return slices.Concat(r.platform.Engines, r.platform.PlainServers)
}

// frameResponses makes servers answer as the paths of calls say.
func (r *endsRun) frameResponses() {
	for _, e := range r.servingEngines() {
		e.SetFraming(func(q *http.Request) conns.Framing {
			parts := strings.Split(q.URL.Path, "/")
			return conns.Framing(parts[len(parts)-2])
		})
		e.SetEarly(func(q *http.Request) (stand.Early, bool) {
			parts := strings.Split(q.URL.Path, "/")
			// A path without a number has no delay.
			delay, _ := strconv.Atoi(parts[len(parts)-1])
			switch parts[len(parts)-2] {
			case earlyLength:
				return stand.Early{Status: http.StatusOK, Framing: conns.Length}, true
			case earlyTooLarge:
				return stand.Early{Status: http.StatusRequestEntityTooLarge, Framing: conns.Length}, true
			case earlyClose:
				return stand.Early{Status: http.StatusOK, Framing: conns.UntilClose}, true
			case earlyBroken:
				sent := len(stand.EarlyBody(q.Header.Get("Request-Id"))) / 2
				if q.Header.Get("Model") != "" {
					sent = len(stand.EarlyEvents(q.Header.Get("Request-Id"))) / 2
				}
				return stand.Early{Status: http.StatusOK, Framing: conns.UntilClose, Sent: sent, Reset: true, Delay: time.Duration(delay) * time.Millisecond}, true
			}
			return stand.Early{}, false
		})
	}
}

// endsRate is the number of calls per second, endsDeadline the deadline of a call.
const (
	endsRate     = 60
	endsDeadline = 12 * time.Second
)

// sendEndsCalls sends calls until ctx ends, and waits for their ends.
func (r *endsRun) sendEndsCalls(ctx, callCtx context.Context) {
	callers, addresses := newCallers(), r.callerAddresses()
	var sending sync.WaitGroup
	for i := 0; ctx.Err() == nil; i++ {
		random := rand.New(rand.NewPCG(r.config.Seed, 1<<32+uint64(i)))
		c := newEndsCall(fmt.Sprintf("e%x-%d", r.config.Seed, i), random, callers, len(addresses))
		r.calls = append(r.calls, c)
		sending.Go(func() { c.run(callCtx, addresses[c.daemon]) })
		sleep(ctx, time.Second/endsRate)
	}
	sending.Wait()
}

// run sends the call and checks the response.
func (c *endsCall) run(ctx context.Context, daemon string) {
	ctx, cancel := context.WithTimeout(ctx, endsDeadline)
	defer cancel()
	c.begin = time.Now()
	defer func() { c.end = time.Now() }()
	body := bytes.Repeat([]byte("x"), c.size)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+daemon+c.path, bytes.NewReader(body))
	if err != nil {
		c.fault = err.Error()
		return
	}
	r.Host = stand.Host
	headers := map[string]string{"Request-Id": c.id, "Deadline-Ms": "8000"}
	if c.model != "" {
		headers = stand.StreamHeaders(c.id, c.model, "", "")
	}
	for name, value := range headers {
		r.Header.Set(name, value)
	}
	if c.caller.kept {
		r.Header.Set("Connection", "keep-alive")
	}
	response, err := c.caller.exchange(r)
	if err != nil {
		return
	}
	received, err := io.ReadAll(&stampedReader{source: response.Body, at: &c.last})
	// The body is read, or has failed.
	_ = response.Body.Close()
	if err != nil || !stand.FromServer(response) {
		return
	}
	c.fault = c.check(string(received))
	c.whole = c.fault == ""
}

// stampedReader records when it last read bytes.
type stampedReader struct {
	source io.Reader
	at     *time.Time
}

// Read implements io.Reader.
func (s *stampedReader) Read(p []byte) (int, error) {
	n, err := s.source.Read(p)
	if n > 0 {
		*s.at = time.Now()
	}
	return n, err
}

// check describes what a response lacks; it returns an empty string if the response is whole.
func (c *endsCall) check(received string) string {
	want := fmt.Sprintf("%s:%d", c.id, c.size)
	switch {
	case c.early != "" && c.model != "":
		want = stand.EarlyEvents(c.id)
	case c.early != "":
		want = stand.EarlyBody(c.id)
	case c.model != "":
		return checkEvents(received)
	}
	if received != want {
		return fmt.Sprintf("%d of %d bytes", len(received), len(want))
	}
	return ""
}

// checkEvents checks the number, the order and the end of the events of a stream.
func checkEvents(received string) string {
	next := 0
	for line := range strings.Lines(received) {
		if value, ok := strings.CutPrefix(line, "id: "); ok {
			if strings.TrimSpace(value) != strconv.Itoa(next) {
				return fmt.Sprintf("event %s after %d", strings.TrimSpace(value), next-1)
			}
			next++
		}
	}
	if next != endsEvents || !strings.HasSuffix(received, "\n\n") {
		return fmt.Sprintf("%d of %d events", next, endsEvents)
	}
	return ""
}
