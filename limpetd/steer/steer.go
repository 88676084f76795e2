// Package steer places models and adapters on engines while demand changes within
// seconds.
//
// One daemon of the deployment, the lease holder, plans the placement with package stock
// and sends load and unload orders to engines. Each order carries the state number of the
// engine that it was planned for and the fencing token of the lease, so engines reject
// orders that arrive late or come from an earlier lease holder.
//
// Every other daemon keeps a link to the lease holder. Over the link, it reports the demand
// of its callers and its load on servers, and receives the adapters that engines hold, the
// models that are about to be unloaded, the load of all daemons, and the changes of the
// store's tables. Both ways, the link carries what a daemon has learned about servers: that
// they are leaving, which limits of requests they name, and which calls ran on engines that
// ended. An adapter that calls wait for is announced to their daemons immediately. A daemon
// that loses its link reads the lease, and takes it after it has expired.
//
// Daemons also request reservations of engine time from the lease holder, so that the
// prompts of all daemons reach an engine one at a time. A daemon that receives no answer
// chooses an engine by itself.
//
// # Usage
//
//	s := steer.New(ctx, steer.Config{Self: member}, steer.Deps{...})
//	s.SetServers(config, servers)
//	s.RecordCall("service", "model", "adapter", 120)
//	s.RequestLoad("service", "model", "adapter")
//	err := s.Leave(ctx)
package steer

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/limpetlb/limpetlb/limpetd/crash"
	"github.com/limpetlb/limpetlb/limpetd/layout"
	"github.com/limpetlb/limpetlb/limpetd/lease"
	"github.com/limpetlb/limpetlb/limpetd/mirror"
	"github.com/limpetlb/limpetlb/limpetd/origin"
	"github.com/limpetlb/limpetlb/limpetd/sched"
)

// Config holds the settings of a Controller.
type Config struct {
	// Self is this daemon.
	Self Member
	// FirstOrderDelay is how long a new lease holder waits before its first order; zero where
	// engines check fencing tokens.
	FirstOrderDelay time.Duration
}

// Member describes a daemon of the deployment.
type Member struct {
	VM string `msgpack:"vm"`
	// Instance identifies one start of the daemon.
	Instance string `msgpack:"instance"`
	// Address is where other daemons open links to the daemon.
	Address string `msgpack:"address"`
	// TunnelAddress is where other daemons request tunnels; empty if the daemon grants none.
	TunnelAddress string `msgpack:"tunnel_address,omitempty"`
	// Power is the capacity of the VM in cores, reduced if its network link is slow.
	Power float64 `msgpack:"power"`
	// Proves is whether the daemon proves that it is a member when it opens a link.
	Proves bool `msgpack:"proves,omitempty"`
}

// EngineReport is the state of an engine as it reports it, some hundred milliseconds old.
type EngineReport struct {
	// StartedAt is when the engine started, in milliseconds since 1970.
	StartedAt int64
	// AcceptedOrders is the number of orders that the engine has accepted.
	AcceptedOrders int64
	// Busy indicates whether the engine is carrying out an order.
	Busy bool
	// Models are the models that the engine holds, by name.
	Models map[string]layout.HeldModel
	// AdaptersInTransit is the number of adapters in transit to the engine.
	AdaptersInTransit int
	// InMemory and OnDisk are the models with a copy of their weights in the memory and
	// on the disk of the engine's VM.
	InMemory []string
	OnDisk   []string
}

// Order is a command to an engine to load or unload a model or adapter.
type Order struct {
	Unload bool
	// Adapter is empty for an order about a model.
	Model, Adapter string
	// ExpectedOrders is the number of accepted orders that the engine must have, or else it
	// rejects the order.
	ExpectedOrders int64
	// LeaseHolder is the VM of the lease holder, Fence the fencing token of its lease.
	LeaseHolder string
	Fence       int64
	// Allowed is checked right before the order is written: the lease may have been lost since
	// the order was made.
	Allowed func() bool
}

// OrderResult is the response of an engine to an order.
type OrderResult int

// The answers.
const (
	// Accepted means that the engine carries the order out.
	Accepted OrderResult = iota
	// AlreadyDone means that the engine is already in the state that the order asks for.
	AlreadyDone
	// Conflict means that the engine is busy or that its state number has changed.
	Conflict
	// Fenced means that the engine has received an order of a later lease holder.
	Fenced
	// WrongEngine means that another engine has the address.
	WrongEngine
	// Rejected means that the engine can't carry the order out.
	Rejected
)

// Engines is the client of the engines.
type Engines interface {
	// Report requests the state of an engine.
	Report(ctx context.Context, s *layout.Server) (EngineReport, error)
	// Order sends an order. The engine may carry the order out even if Order returns
	// an error.
	Order(ctx context.Context, s *layout.Server, o Order) (OrderResult, error)
	// BackoffUntil returns until when an engine wants neither requests nor orders from this
	// daemon; the zero time if it has not asked for that.
	BackoffUntil(id string) time.Time
}

// LeaseStore stores the lease. Errors of Write have the codes StoreConflict, StoreUnknown
// (the write may have taken effect), StoreDown or StoreLimited.
type LeaseStore interface {
	// Era returns the latest era of the store that any of its answers has shown; 0 for a store
	// without eras. An answer is not returned after one of a later era.
	Era() int64
	// Read returns the lease and its version, which is 0 if there is no lease.
	Read(ctx context.Context) (lease.Row, int64, error)
	// Write replaces the given version of the lease and returns the new version. With
	// announce, the same transaction announces this daemon to all others as the lease
	// holder.
	Write(ctx context.Context, r lease.Row, version int64, announce bool) (int64, error)
}

// MemberStore stores the list of daemons.
type MemberStore interface {
	// Join adds daemons to the list, or replaces their entries, in one write.
	Join(ctx context.Context, all []Member) error
}

// Router is the router of calls in this daemon.
type Router interface {
	// OwnLoad returns the load that this daemon puts on servers, by server.
	OwnLoad() map[string]sched.ServerLoad
	// SetSharedLoad sets the load that all daemons together put on servers.
	SetSharedLoad(all map[string]sched.ServerLoad)
	// Reserve reserves time of an engine for a request of any daemon, and charges its Charge to a quota. It is only
	// called while this daemon is the lease holder.
	Reserve(a sched.ReservationRequest) sched.Reservation
	// RecordSamples records how fast engines read prompts.
	RecordSamples(list []sched.Sample)
	// PrefillTimePerToken returns the time that engines take to read a prompt token of a model.
	PrefillTimePerToken(service, model string) time.Duration
	// UsualPace returns how long work takes on an engine as a rule: 1 as estimated for its service, 2 twice as long.
	UsualPace(id string) float64
	// RecordStreams records how many streams of a service ended, and how many of them had
	// too long a pause.
	RecordStreams(service string, streams, paused int)
	// SetLeading sets whether this daemon is the lease holder. It is called with each update.
	SetLeading(leading bool)
	// Limits returns the limits of requests that servers have named, MergeLimits adds those that
	// another daemon knows.
	Limits() map[string]sched.Limit
	MergeLimits(all map[string]sched.Limit)
	// TakeToken reports whether an order or a report request may be sent to a server within its
	// limit. It is only called while this daemon is the lease holder.
	TakeToken(id string) bool
	// StartQuotas empties the buckets of all quotas. It is called before the first charge of a lease.
	StartQuotas()
	// SetConnected sets the fraction of the daemons that have reported lately. It is called with each update.
	SetConnected(fraction float64)
	// TakeQuotaUse returns what this daemon has used of quotas without an answer of the lease holder since the last
	// call, by organisation, and ChargeQuotas charges what a daemon has used.
	TakeQuotaUse() map[string]float64
	ChargeQuotas(use map[string]float64)
	// SetPlacement sets the adapters that engines hold and the models that are about to be
	// unloaded, both by engine.
	SetPlacement(adapters, unloading map[string]map[string]bool)
}

// Departures receives the servers that announced to another daemon that they are leaving.
type Departures interface {
	// MarkLeaving may be called repeatedly for the same start of a server.
	MarkLeaving(id string, startedAt int64)
}

// Crashes is what a daemon knows about the ends of engines.
type Crashes interface {
	// CrashFacts returns what has become known after a version, and the current version.
	CrashFacts(version int64) (crash.Facts, int64)
	// MergeCrashFacts adds what another daemon knows.
	MergeCrashFacts(f crash.Facts)
}

// Origins is what a daemon knows about the software versions at which streams began.
type Origins interface {
	// OriginFacts returns the records after a version, without those of other daemons if own is
	// set, and the current version.
	OriginFacts(version int64, own bool) (origin.Facts, int64)
	// MergeOriginFacts adds what another daemon knows.
	MergeOriginFacts(f origin.Facts)
}

// Deps are the dependencies of a Controller.
type Deps struct {
	Engines Engines
	Leases  LeaseStore
	// Members is nil if daemons are added to the list of daemons in another way.
	Members MemberStore
	Router  Router
	// Departures is nil if servers announce their leaving in no other way than by their
	// entries.
	Departures Departures
	// Crashes is nil if the daemons don't tell each other about the ends of engines.
	Crashes Crashes
	// Origins is nil if the daemons don't tell each other where streams began.
	Origins Origins
	// Paths is nil if this daemon never loses its paths to servers.
	Paths PathProvider
	// Tables are the tables that all daemons follow. The lease holder forwards their
	// changes to the other daemons.
	Tables []*mirror.Follower
	// Clock is a monotonic clock that also counts the time that the VM was suspended.
	Clock func() time.Time
	Log   *zap.Logger
	Scope tally.Scope
}

const (
	// leaseTerm is how long a lease lasts without renewal. It is short enough that a
	// new lease holder is in place before callers give up waiting for an adapter.
	leaseTerm = 2 * time.Second
	// storeOutageTerm is how long a lease holder continues while the store is
	// unreachable: outages last some ten seconds.
	storeOutageTerm = 30 * time.Second
	// renewPeriod is the time between renewals of the lease, three in a term.
	renewPeriod = 600 * time.Millisecond
	// confirmDelay is the time from a lease write with unknown outcome until the lease
	// is read.
	confirmDelay = 50 * time.Millisecond
	// leasePollPeriod is the mean time between reads of the lease by a daemon without
	// a link.
	leasePollPeriod = 400 * time.Millisecond
	// weakVMDelay is how long a daemon leaves a free lease to daemons on stronger VMs.
	// It exceeds two pauses between reads of the lease, since a stronger VM may be one
	// read behind in its view of the last renewal, and may find the lease free one read
	// later. A VM counts as stronger if its power is more than strongerFactor times as
	// high. weakPower is the power, in cores, up to which a VM waits as long if it does not know
	// the others.
	weakVMDelay    = 1300 * time.Millisecond
	strongerFactor = 1.3
	weakPower      = 0.2
	// joinPeriod is the time in which the lease holder collects daemons that open links, to add
	// them to the list of daemons together, and maxJoins the number that it adds at once.
	joinPeriod = 200 * time.Millisecond
	maxJoins   = 50
	// storePollAge is the age of the last answer of the store up to which a daemon that polls it by
	// itself reaches the store: a poll waits for a change for over a second.
	storePollAge = 2 * time.Second
	// planPeriod is the time between plans that no event triggers.
	planPeriod = 250 * time.Millisecond
	// planShare is the part of the time that plans may take while events trigger one after the other, maxPlanPause the
	// longest pause between two of them.
	planShare    = 0.2
	maxPlanPause = 50 * time.Millisecond
	// updatePeriod is the time between state updates from the lease holder to all
	// daemons. Several of them fit in the time after which a daemon follows the store
	// itself.
	updatePeriod = 250 * time.Millisecond
	// urgentUpdateDelay is the time in which the reports of several daemons on the end of a server
	// are collected for one update, and urgentUpdatePerLink the same for each link if that is
	// longer: reports on many servers that end together must not fill the queues of the links.
	urgentUpdateDelay   = 20 * time.Millisecond
	urgentUpdatePerLink = time.Millisecond
	// maxUpdateAge is the age of the last update up to which the lease holder counts as reachable.
	maxUpdateAge = 3 * updatePeriod
	// reportPeriod is the time between reports of a daemon to the lease holder.
	reportPeriod = 250 * time.Millisecond
	// minReportPeriod is the least time between reports while calls wait.
	minReportPeriod = 20 * time.Millisecond
	// minStreamReportDelay is the least time between the start of a stream, at a service with several software versions,
	// and its report; streamReportDelayPerDaemon the same for each daemon if that is longer: the lease holder must not
	// get too many reports. If all daemons end, the streams that were not reported and saved can't go on.
	minStreamReportDelay       = 50 * time.Millisecond
	streamReportDelayPerDaemon = 2 * time.Millisecond
	// linkOpenTimeout bounds the opening of a link, a few round trips.
	linkOpenTimeout = 500 * time.Millisecond
	// silentHolder is how long after its last update a lease holder counts as one that does not answer charges of quotas.
	// Calls would otherwise wait for chargeTimeout each until the link is lost.
	silentHolder = 3 * updatePeriod
	// reserveTimeout bounds a reservation request, some round trips.
	reserveTimeout = 40 * time.Millisecond
	// chargeTimeout bounds a request that charges a quota. It covers moments in which the lease holder plans or reads a
	// configuration, and leaves half of the shortest usual expectation.
	chargeTimeout = 200 * time.Millisecond
	// maxReserveFailures is the number of consecutive unanswered reservation requests
	// after which none are sent for reservePause.
	maxReserveFailures = 2
	reservePause       = 500 * time.Millisecond
	// maxSamples bounds the samples in a report.
	maxSamples = 16
	// linkTimeout is the silence after which a link counts as lost.
	linkTimeout = 1500 * time.Millisecond
	// orderTimeout bounds an order, engineReportTimeout a request for an engine's
	// report. Engines answer both in milliseconds.
	orderTimeout        = time.Second
	engineReportTimeout = 500 * time.Millisecond
	// retryDelay is the time between report requests to an engine whose state is
	// unknown, and between attempts to open a link.
	retryDelay = 400 * time.Millisecond
	// adapterDelay is the time from an accepted load order for an adapter until calls
	// may use the adapter.
	adapterDelay = 50 * time.Millisecond
	// unloadDelay is the time from marking a model as unloading until the unload order.
	unloadDelay = 60 * time.Millisecond
	// lateOrderTerm is how long an engine may still carry out an order that it did not
	// answer.
	lateOrderTerm = 13 * time.Second
	// freedMemoryTerm is how long memory that was freed for a model is kept for the
	// model: an unload waits for the calls that use the unloaded model.
	freedMemoryTerm = 8 * time.Second
	// demandWindow is the time constant of the moving average of demand: the average
	// follows a rise within two seconds, and covers several calls of each busy model.
	demandWindow = 1500 * time.Millisecond
	// trendWindow is the time constant of the slower average, from which the trend of
	// demand is computed. The trend is extrapolated by demandWindow, by which the average
	// lags, plus forecastAhead, to at most maxForecastGrowth times the present demand.
	trendWindow       = 4 * time.Second
	forecastAhead     = 2 * time.Second
	maxForecastGrowth = 3
	// storeBurst is how many loads from the weight store may begin at once. The weight
	// store's limit over a window allows as many above the steady rate.
	storeBurst = 3
	// outageBurst replaces storeBurst while the store is unreachable.
	outageBurst = 1
)
