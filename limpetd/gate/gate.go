// Package gate implements the HTTP interface for callers.
//
// The interface accepts chat and completion requests, batches, and calls to
// plain services. It checks the caller's key against the environment document
// in force. Responses carry the headers limpet-request-id, limpet-code and
// limpet-run. A stream carries the last two as trailers, and an error as its
// last event.
//
// # Usage
//
//	g := gate.New(gate.Config{}, gate.Deps{...})
//	server := g.Server()
//	go server.Serve(g.Listener(listener))
//	g.Leave()              // reject new requests
//	for g.InFlight() > 0 { ... }
package gate

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"goji.io"
	"goji.io/pat"

	"github.com/limpetlb/limpetlb/limpetd/abort"
	"github.com/limpetlb/limpetlb/limpetd/batch"
	"github.com/limpetlb/limpetlb/limpetd/budget"
	"github.com/limpetlb/limpetlb/limpetd/claim"
	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/envdoc"
	"github.com/limpetlb/limpetlb/limpetd/event"
	"github.com/limpetlb/limpetlb/limpetd/guard"
	"github.com/limpetlb/limpetlb/limpetd/relay"
	"github.com/limpetlb/limpetlb/limpetd/wire"
)

// Default values of the limits in Config. Sizes are in bytes.
const (
	DefaultMaxHeaderBytes    = 32 << 10
	DefaultMaxBodyBytes      = 1 << 20
	DefaultMaxBatchBytes     = 8 << 20
	DefaultMaxConnections    = 10000
	DefaultHeaderTimeout     = 5 * time.Second
	DefaultBodyTimeout       = 10 * time.Second
	DefaultWriteTimeout      = 15 * time.Second
	DefaultIdleTimeout       = 60 * time.Second
	DefaultGenerationTimeout = 15 * time.Minute
)

// headerLimitFactor times MaxHeaderBytes is the largest header that the server
// reads, so that the rejection of a header between the two limits carries a
// result code. A longer header is rejected by net/http itself, with a plain
// status 431.
const headerLimitFactor = 2

// Config holds the limits of the interface for callers. A zero value selects
// the default.
type Config struct {
	// MaxHeaderBytes is the size limit of a request header.
	MaxHeaderBytes int
	// MaxBodyBytes is the size limit of a request body, MaxBatchBytes that of
	// the body of a batch submission.
	MaxBodyBytes  int64
	MaxBatchBytes int64
	// MaxConnections is the limit of open connections from callers.
	MaxConnections int
	// HeaderTimeout and BodyTimeout are the time limits for receiving the header and
	// the body of a request.
	HeaderTimeout time.Duration
	BodyTimeout   time.Duration
	// WriteTimeout is the time limit for a caller to accept one part of a
	// response.
	WriteTimeout time.Duration
	// IdleTimeout is how long a connection without a request is kept open.
	IdleTimeout time.Duration
	// GenerationTimeout is the time limit for the whole response to one chat or
	// completion request.
	GenerationTimeout time.Duration
}

// closeIdle is the age from which an idle connection is closed for a new one, if there are too many.
// Callers that use connections again seldom pause for so long.
const closeIdle = 10 * time.Second

// withDefaults returns c with defaults in place of zero values.
func (c Config) withDefaults() Config {
	if c.MaxHeaderBytes == 0 {
		c.MaxHeaderBytes = DefaultMaxHeaderBytes
	}
	if c.MaxBodyBytes == 0 {
		c.MaxBodyBytes = DefaultMaxBodyBytes
	}
	if c.MaxBatchBytes == 0 {
		c.MaxBatchBytes = DefaultMaxBatchBytes
	}
	if c.MaxConnections == 0 {
		c.MaxConnections = DefaultMaxConnections
	}
	if c.HeaderTimeout == 0 {
		c.HeaderTimeout = DefaultHeaderTimeout
	}
	if c.BodyTimeout == 0 {
		c.BodyTimeout = DefaultBodyTimeout
	}
	if c.WriteTimeout == 0 {
		c.WriteTimeout = DefaultWriteTimeout
	}
	if c.IdleTimeout == 0 {
		c.IdleTimeout = DefaultIdleTimeout
	}
	if c.GenerationTimeout == 0 {
		c.GenerationTimeout = DefaultGenerationTimeout
	}
	return c
}

// DocumentProvider returns the environment document in force, or false before
// the first document.
type DocumentProvider interface {
	Document() (*envdoc.Document, bool)
}

// ReadyProvider returns the codes of the reasons why the daemon is not ready,
// or none if the daemon is ready.
type ReadyProvider interface {
	NotReadyReasons() []code.Code
}

// Deps are the dependencies of a Gate. Ready, Log, Events and Scope may be nil.
type Deps struct {
	Documents DocumentProvider
	Relay     *relay.Relay
	Claims    *claim.Claims
	Batches   *batch.Manager
	Ready     ReadyProvider
	// Guard bounds the memory and connections of callers; nil if there is no limit.
	Guard  *guard.Guard
	Log    *zap.Logger
	Events *event.Timeline
	Scope  tally.Scope
}

// Option configures a Gate.
type Option func(*Gate)

// WithClock sets the function that returns the current time.
func WithClock(now func() time.Time) Option {
	return func(g *Gate) { g.now = now }
}

// Gate serves the HTTP interface for callers. It is safe for concurrent use.
type Gate struct {
	config   Config
	deps     Deps
	catalogs *relay.CatalogCache
	now      func() time.Time
	mux      *goji.Mux
	inflight atomic.Int64
	leaving  atomic.Bool
	metrics  *metrics
}

// New returns a Gate with the limits of c and the dependencies d.
func New(c Config, d Deps, opts ...Option) *Gate {
	if d.Log == nil {
		d.Log = zap.NewNop()
	}
	if d.Guard == nil {
		d.Guard = guard.Unlimited()
	}
	if d.Scope == nil {
		d.Scope = tally.NoopScope
	}
	if d.Events == nil {
		d.Events = event.New("", event.WithCapacity(1))
	}
	g := &Gate{
		config:   c.withDefaults(),
		deps:     d,
		catalogs: relay.NewCatalogCache(d.Documents),
		now:      time.Now,
		metrics:  newMetrics(d.Scope),
	}
	for _, o := range opts {
		o(g)
	}
	g.mux = g.routes()
	return g
}

// routes registers the paths of the interface. Any other path or method is
// rejected with code UnknownPath. A path of a backend server can be reached only
// if the environment document declares it.
func (g *Gate) routes() *goji.Mux {
	m := goji.NewMux()
	m.HandleFunc(pat.Get("/livez"), g.livez)
	m.HandleFunc(pat.Get("/readyz"), g.readyz)
	m.Handle(pat.Post(batch.PathChat), g.callerHandler(g.chat))
	m.Handle(pat.Post(batch.PathCompletion), g.callerHandler(g.completion))
	m.Handle(pat.Get("/v1/models"), g.callerHandler(g.listModels))
	m.Handle(pat.Post("/v1/batches"), g.callerHandler(g.submitBatch))
	m.Handle(pat.Get("/v1/batches"), g.callerHandler(g.listBatches))
	m.Handle(pat.Get("/v1/batches/:id"), g.callerHandler(g.getBatch))
	m.Handle(pat.Get("/v1/batches/:id/result"), g.callerHandler(g.getBatchResult))
	m.Handle(pat.Post("/v1/batches/:id/cancel"), g.callerHandler(g.cancelBatch))
	m.Handle(pat.New(servicesPath+":name/*"), g.callerHandler(g.proxyService))
	m.Handle(pat.New("/*"), g.callerHandler(func(*exchange) error {
		return code.Errorf(code.UnknownPath, "no such path or method")
	}))
	return m
}

// Handler returns the HTTP handler of the interface.
func (g *Gate) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		g.deps.Guard.BeginCall()
		defer g.deps.Guard.EndCall(r)
		g.mux.ServeHTTP(w, r)
	})
}

// Server returns an HTTP server with the limits of the configuration.
func (g *Gate) Server() *http.Server {
	return &http.Server{
		Handler:   g.Handler(),
		ConnState: guard.ConnState,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return abort.ConnContext(guard.ConnContext(ctx, c), c)
		},
		MaxHeaderBytes:    headerLimitFactor * g.config.MaxHeaderBytes,
		ReadHeaderTimeout: g.config.HeaderTimeout,
		IdleTimeout:       g.config.IdleTimeout,
		ErrorLog:          zap.NewStdLog(g.deps.Log),
	}
}

// Listener returns a listener that accepts at most MaxConnections connections
// of l at a time, and at most as many as the Guard allows. One whose header is slow, or that
// has been idle for long, is closed for a new one; other connections wait to be accepted.
func (g *Gate) Listener(l net.Listener) net.Listener {
	limit := g.config.MaxConnections
	if n := g.deps.Guard.ConnectionLimit(); n > 0 {
		limit = min(limit, n)
	}
	return g.deps.Guard.Door(l, guard.DoorConfig{
		Max: limit,
		Timeouts: func() budget.Timeouts {
			return budget.Timeouts{Header: g.config.HeaderTimeout, Idle: g.config.IdleTimeout, CloseIdle: closeIdle}
		},
		HeaderLimit: func() int64 { return int64(g.config.MaxHeaderBytes) },
		TooLarge:    headerTooLarge,
		NoMemory:    refusal,
	})
}

// headerTooLarge returns the response to a request whose header exceeds the limit so far that it was not parsed.
func headerTooLarge(limit int64) guard.Refusal {
	return refusal(code.Errorf(code.HeaderTooLarge, "the header exceeds the limit of %d bytes", limit))
}

// refusal returns a response that is written before the request is parsed.
func refusal(err error) guard.Refusal {
	id := newRequestID()
	// The type of an error is always encoded.
	body, _ := json.Marshal(wire.NewError(err, id))
	h := http.Header{}
	h.Set(headerRequestID, id)
	h.Set(headerCode, strconv.Itoa(int(code.Of(err))))
	h.Set(headerRun, string(code.RunOf(err)))
	h.Set("Content-Type", contentTypeJSON)
	if wait := retryAfter(err); wait > 0 {
		h.Set("Retry-After", strconv.Itoa(ceilSeconds(wait)))
	}
	return guard.Refusal{Status: code.Of(err).Info().Status, Header: h, Body: body}
}

// InFlight returns the number of requests in flight, without health checks.
func (g *Gate) InFlight() int {
	return int(g.inflight.Load())
}

// Leave makes the daemon not ready and rejects new requests with code Stopping.
// Requests in flight continue.
func (g *Gate) Leave() {
	g.leaving.Store(true)
}
