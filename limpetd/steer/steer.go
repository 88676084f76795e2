// Package steer carries the placement of models and adapters out while demand moves
// within seconds.
//
// One daemon of the deployment holds a lease and is the steerer. The others keep a link
// to it: they tell what callers ask for, and are told at once which adapters engines
// hold and which models are about to go, and what has changed in the store. A daemon whose link is lost reads the lease
// and takes it when it has lapsed. The steerer plans with package stock and sends
// orders; each names the state of the engine that it was planned on, and the fence of
// the lease, so an order that comes late or from an earlier steerer does no harm.
//
// Daemons also ask the steerer for time of engines, so that prompts of all of them reach
// an engine one by one. A daemon that gets no answer chooses by itself.
//
// # Usage
//
//	s := steer.New(ctx, steer.Config{Self: member}, steer.Deps{...})
//	s.Know(config, servers)
//	s.Used("service", "model", "adapter", 120)
//	s.Want("service", "model", "adapter")
//	err := s.Leave(ctx)
package steer

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/limpetlb/limpetlb/limpetd/layout"
	"github.com/limpetlb/limpetlb/limpetd/lease"
	"github.com/limpetlb/limpetlb/limpetd/mirror"
	"github.com/limpetlb/limpetlb/limpetd/sched"
)

// Config of a steerer.
type Config struct {
	Self Member
	// Quiet is how long a new steerer waits before its first order, where engines
	// don't check fences.
	Quiet time.Duration
}

// Member is a daemon.
type Member struct {
	VM string
	// Instance is that of one start of the daemon.
	Instance string
	// Address is that of its links, as other daemons reach it.
	Address string
	// Power is how much its VM can do, in cores; less if its network link is slow.
	Power float64
}

// Report is what an engine says of itself, some hundred milliseconds late.
type Report struct {
	Born int64
	// State is the number of orders that the engine accepted.
	State    int64
	Busy     bool
	Models   map[string]layout.Held
	Coming   int
	InMemory []string
	OnDisk   []string
}

// Order is an order as an engine gets it.
type Order struct {
	Unload         bool
	Model, Adapter string
	// State is the number that the engine's state must have.
	State  int64
	Holder string
	Fence  int64
}

// Answer is an engine's answer to an order.
type Answer int

// The answers.
const (
	// Accepted orders are carried out.
	Accepted Answer = iota
	// Already means that the engine is as the order wants it.
	Already
	// Conflict means that the engine is busy or its state has moved on.
	Conflict
	// Fenced means that another steerer has given orders since.
	Fenced
	// Elsewhere means that another engine has the address.
	Elsewhere
	// Rejected means that the engine can't carry the order out.
	Rejected
)

// Engines is the interface to engines.
type Engines interface {
	// Report asks an engine for its state.
	Report(ctx context.Context, s *layout.Server) (Report, error)
	// Order sends an order; after an error the engine may still carry it out.
	Order(ctx context.Context, s *layout.Server, o Order) (Answer, error)
}

// Leases stores the lease. Errors of Write carry the codes StoreConflict, StoreUnknown
// (it may have taken effect), StoreDown or StoreLimited.
type Leases interface {
	// Read returns the lease and its version; 0 if there is none.
	Read(ctx context.Context) (lease.Row, int64, error)
	// Write replaces the version of the lease that was read, and returns the new
	// one. It can announce this daemon to all others with it.
	Write(ctx context.Context, r lease.Row, version int64, announce bool) (int64, error)
}

// Listener is what routes calls at this daemon.
type Listener interface {
	// Own returns the load that this daemon puts on servers.
	Own() map[string]sched.Shared
	// Share sets the load that all daemons put on them.
	Share(all map[string]sched.Shared)
	// Reserve gives an ask of any daemon time of an engine, while this daemon steers.
	Reserve(a sched.Ask) sched.Grant
	// Learn notes how fast engines read prompts, PerToken tells the time for a token of
	// a model.
	Learn(list []sched.Sample)
	PerToken(service, model string) time.Duration
	// Streamed notes how many streams ended, and how many had too long a pause.
	Streamed(service string, streams, paused int)
	// Holdings sets the adapters of engines and the models that are about to go.
	Holdings(adapters, closing map[string]map[string]bool)
}

// Deps are what a steerer uses.
type Deps struct {
	Engines  Engines
	Leases   Leases
	Listener Listener
	// Tables are followed by all daemons; the steerer passes their changes on.
	Tables []*mirror.Follower
	// Clock is a steady clock that also counts the time that the VM was suspended.
	Clock func() time.Time
	Log   *zap.Logger
	Scope tally.Scope
}

const (
	// leaseTerm is how long a lease lasts without renewal: a new steerer is there
	// before callers give up waiting for an adapter.
	leaseTerm = 2 * time.Second
	// awayTerm is how long a steerer goes on while the store is away: outages last some
	// ten seconds.
	awayTerm = 30 * time.Second
	// renewPeriod is the time between renewals, three in a term.
	renewPeriod = 600 * time.Millisecond
	// doubtPeriod is the time until the lease is read after a write without an answer.
	doubtPeriod = 50 * time.Millisecond
	// candidatePeriod is the time between looks at the lease without a link.
	candidatePeriod = 400 * time.Millisecond
	// weakDelay is how long a daemon on a VM that is weaker than another's leaves the
	// lease to that one, and strongerBy how much stronger that one must be.
	weakDelay  = 700 * time.Millisecond
	strongerBy = 1.3
	// planPeriod is the time between plans without a cause.
	planPeriod = 250 * time.Millisecond
	// wordPeriod is the time between words of the steerer to all daemons. Several
	// of them fit in the time after which a daemon follows the store itself.
	wordPeriod = 250 * time.Millisecond
	// tellPeriod is the time between reports of a daemon to the steerer.
	tellPeriod = 250 * time.Millisecond
	// urgentPeriod is the least time between reports when calls wait.
	urgentPeriod = 20 * time.Millisecond
	// openTimeout bounds the opening of a link, a few round trips.
	openTimeout = 500 * time.Millisecond
	// reserveTimeout bounds an ask for time of an engine: some round trips.
	reserveTimeout = 40 * time.Millisecond
	// reserveMisses is how many asks in a row go without an answer before none are sent
	// for reservePause.
	reserveMisses = 2
	reservePause  = 500 * time.Millisecond
	// maxSamples bounds the samples in a report.
	maxSamples = 16
	// linkTimeout is the silence after which a link counts as lost.
	linkTimeout = 1500 * time.Millisecond
	// orderTimeout bounds an order, reportTimeout a report: both are answered in
	// milliseconds.
	orderTimeout  = time.Second
	reportTimeout = 500 * time.Millisecond
	// reportRetry is the time between reports of an engine whose state is unknown.
	reportRetry = 400 * time.Millisecond
	// adapterDelay is the time between an accepted order for an adapter and its use.
	adapterDelay = 50 * time.Millisecond
	// closeDelay is the time between word that a model is about to go and the order.
	closeDelay = 60 * time.Millisecond
	// lateOrder is how long an order without an answer may still be carried out.
	lateOrder = 13 * time.Second
	// promiseFor is how long room that was made for a model is kept for it: an unload
	// waits for the calls that use the model.
	promiseFor = 8 * time.Second
	// demandWindow is the time constant of the average of demand: it follows a rise
	// within two seconds and has several calls of each busy model in it.
	demandWindow = 1500 * time.Millisecond
	// trendWindow is the time constant of the average from which the trend of demand
	// follows, trendAhead how far it is followed into the future, and trendMost how many
	// times its present demand a model is expected to have at most.
	trendWindow = 4 * time.Second
	trendAhead  = 2 * time.Second
	trendMost   = 3
	// storeBurst is how many loads from the weight store may begin at once; the
	// bound over a window leaves as much above the steady rate.
	storeBurst = 3
	// awayBurst is the same without the store.
	awayBurst = 1
)
