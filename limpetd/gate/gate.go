// Package gate is the callers' HTTP interface.
//
// It takes requests for chats and completions, batches and calls to plain
// services, checks the caller's key against the document in force and answers with the
// headers limpet-request-id, limpet-code and limpet-run. Streams carry the last
// two as trailers, and an error as the last event.
//
// # Usage
//
//	g := gate.New(gate.Config{}, gate.Deps{...})
//	server := g.Server()
//	go server.Serve(g.Listener(listener))
//	g.Leave()              // no new work
//	for g.Inflight() > 0 { ... }
package gate

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"goji.io"
	"goji.io/pat"
	"golang.org/x/net/netutil"

	"github.com/limpetlb/limpetlb/limpetd/batch"
	"github.com/limpetlb/limpetlb/limpetd/claim"
	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/envdoc"
	"github.com/limpetlb/limpetlb/limpetd/event"
	"github.com/limpetlb/limpetlb/limpetd/relay"
)

// Defaults of the limits.
const (
	DefaultMaxHeaderBytes = 32 << 10
	DefaultMaxBodyBytes   = 1 << 20
	DefaultMaxBatchBytes  = 8 << 20
	DefaultMaxConnections = 10000
	DefaultHeaderTime     = 5 * time.Second
	DefaultBodyTime       = 10 * time.Second
	DefaultSlowCaller     = 15 * time.Second
	DefaultIdleTime       = 60 * time.Second
	DefaultAnswerTime     = 15 * time.Minute
)

// headerMargin is how many times MaxHeaderBytes a header may have for its refusal
// to carry a code. The server answers longer ones itself, with a plain status 431.
const headerMargin = 2

// Config holds the limits of the callers' interface.
type Config struct {
	// MaxHeaderBytes bounds the header of a request.
	MaxHeaderBytes int
	// MaxBodyBytes bounds the body of a call, MaxBatchBytes that of a batch.
	MaxBodyBytes  int64
	MaxBatchBytes int64
	// MaxConnections bounds the connections of callers.
	MaxConnections int
	// HeaderTime and BodyTime bound the arrival of a header and of a body.
	HeaderTime time.Duration
	BodyTime   time.Duration
	// SlowCaller is how long a caller may take to accept a part of an answer.
	SlowCaller time.Duration
	// IdleTime is how long a connection may be without a request.
	IdleTime time.Duration
	// AnswerTime bounds one answer.
	AnswerTime time.Duration
}

// withDefaults fills in what is not set.
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
	if c.HeaderTime == 0 {
		c.HeaderTime = DefaultHeaderTime
	}
	if c.BodyTime == 0 {
		c.BodyTime = DefaultBodyTime
	}
	if c.SlowCaller == 0 {
		c.SlowCaller = DefaultSlowCaller
	}
	if c.IdleTime == 0 {
		c.IdleTime = DefaultIdleTime
	}
	if c.AnswerTime == 0 {
		c.AnswerTime = DefaultAnswerTime
	}
	return c
}

// DocumentProvider gives the document in force; false before the first one.
type DocumentProvider interface {
	Document() (*envdoc.Document, bool)
}

// ReadyProvider tells why the daemon is not ready; empty when it is.
type ReadyProvider interface {
	Ready() []code.Code
}

// Deps are what a Gate depends on.
type Deps struct {
	Documents DocumentProvider
	Relay     *relay.Relay
	Claims    *claim.Claims
	Batches   *batch.Duty
	Ready     ReadyProvider
	Log       *zap.Logger
	Events    *event.Line
	Scope     tally.Scope
}

// Option changes a Gate.
type Option func(*Gate)

// WithClock sets the clock.
func WithClock(now func() time.Time) Option {
	return func(g *Gate) { g.now = now }
}

// Gate is the callers' interface. It is safe for concurrent use.
type Gate struct {
	config   Config
	deps     Deps
	catalogs *relay.Catalogs
	now      func() time.Time
	mux      *goji.Mux
	inflight atomic.Int64
	leaving  atomic.Bool
	counts   *counts
}

// New returns the callers' interface.
func New(c Config, d Deps, opts ...Option) *Gate {
	if d.Log == nil {
		d.Log = zap.NewNop()
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
		catalogs: relay.NewCatalogs(d.Documents),
		now:      time.Now,
		counts:   newCounts(d.Scope),
	}
	for _, o := range opts {
		o(g)
	}
	g.mux = g.routes()
	return g
}

// routes names the paths of the interface. Anything else is unknown; no path
// leads to an interface of a backend server that the document does not declare.
func (g *Gate) routes() *goji.Mux {
	m := goji.NewMux()
	m.HandleFunc(pat.Get("/livez"), g.livez)
	m.HandleFunc(pat.Get("/readyz"), g.readyz)
	m.Handle(pat.Post(batch.PathChat), g.work(g.chat))
	m.Handle(pat.Post(batch.PathCompletion), g.work(g.completion))
	m.Handle(pat.Get("/v1/models"), g.work(g.models))
	m.Handle(pat.Post("/v1/batches"), g.work(g.submitBatch))
	m.Handle(pat.Get("/v1/batches"), g.work(g.listBatches))
	m.Handle(pat.Get("/v1/batches/:id"), g.work(g.getBatch))
	m.Handle(pat.Get("/v1/batches/:id/result"), g.work(g.batchResult))
	m.Handle(pat.Post("/v1/batches/:id/cancel"), g.work(g.cancelBatch))
	m.Handle(pat.New(servicesPath+":name/*"), g.work(g.service))
	m.Handle(pat.New("/*"), g.work(func(*exchange) error {
		return code.Errorf(code.UnknownPath, "no such path or method")
	}))
	return m
}

// Handler returns the handler of the interface.
func (g *Gate) Handler() http.Handler {
	return g.mux
}

// Server returns a server with the limits of the configuration.
func (g *Gate) Server() *http.Server {
	return &http.Server{
		Handler:           g.mux,
		MaxHeaderBytes:    headerMargin * g.config.MaxHeaderBytes,
		ReadHeaderTimeout: g.config.HeaderTime,
		IdleTimeout:       g.config.IdleTime,
		ErrorLog:          zap.NewStdLog(g.deps.Log),
	}
}

// Listener bounds the connections of l. Further ones wait to be accepted.
func (g *Gate) Listener(l net.Listener) net.Listener {
	return netutil.LimitListener(l, g.config.MaxConnections)
}

// Inflight returns the number of requests in progress.
func (g *Gate) Inflight() int {
	return int(g.inflight.Load())
}

// Leave turns readiness off and refuses new work; requests in progress go on.
func (g *Gate) Leave() {
	g.leaving.Store(true)
}
