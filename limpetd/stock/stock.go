// Package stock decides which models and adapters the engines of a service hold, for
// demand that changes within seconds.
//
// When demand moves to other models, these models get replicas on the engines with the
// least work, in place of idle replicas; engines with a local copy of the weights are
// preferred. A rarely used model or adapter that is requested is placed on one engine
// immediately.
//
// Plan is a pure function of its Input. Each order is safe on its own: it is sent with the
// number of the engine state that it was planned for, and the engine rejects it if its
// state has changed since. So an order never overcommits memory, however late it arrives.
//
// # Usage
//
//	for _, o := range stock.Plan(stock.Input{Now: now, Spec: spec, Engines: engines, Demand: demand, StoreLoads: 2}) {
//		... // send o to its engine with the number of the engine's state
//	}
package stock

import (
	"time"

	"github.com/limpetlb/limpetlb/limpetd/layout"
)

// Engine is the state of an engine as the planner sees it.
type Engine struct {
	ID         string
	DataCentre string
	// Pace is how long work takes on the engine: 1 as usual, 2 twice as long; 0 counts as 1.
	Pace float64
	// AcceptsOrders reports whether the engine can receive an order now: its state is
	// known, and it neither carries out an order nor is leaving.
	AcceptsOrders bool
	// Alive reports whether callers can use the models of the engine.
	Alive bool
	// Models are the models that the engine holds, with their adapters.
	Models map[string]map[string]bool
	// Unloading are the models with an order to unload; they use memory until they are
	// unloaded.
	Unloading map[string]bool
	// Loading is the model that the engine is loading; empty if none.
	Loading string
	// ReservedFor is the model that memory was freed for; empty if none.
	ReservedFor string
	// AdaptersInTransit is the number of adapters in transit, which use adapter slots too.
	AdaptersInTransit int
	// ModelsChangedAt is when an order last changed the engine's models.
	ModelsChangedAt time.Time
	// InMemory and OnDisk are the models whose weights have a copy in the engine's host
	// memory and on its disk.
	InMemory, OnDisk map[string]bool
}

// ModelDemand is the demand for a model.
type ModelDemand struct {
	// Work is the smoothed work per second, in seconds of an engine's time.
	Work float64
	// Waiting is the number of calls that wait for the model to be loaded.
	Waiting int
	// LastRequested is when the model was last requested.
	LastRequested time.Time
	// Adapters is the demand for the model's adapters.
	Adapters map[string]AdapterDemand
}

// speed returns the work that the engine does in a second, in seconds of an engine of the usual pace.
func (e *Engine) speed() float64 {
	if e.Pace <= 0 {
		return 1
	}
	return 1 / e.Pace
}

// AdapterDemand is the demand for an adapter.
type AdapterDemand struct {
	// Waiting is the number of calls that wait for the adapter to be loaded.
	Waiting int
	// LastRequested is when the adapter was last requested.
	LastRequested time.Time
}

// Input holds the inputs of a plan.
type Input struct {
	Now  time.Time
	Spec *layout.Engines
	// Engines are the engines of the service, sorted by ID.
	Engines []Engine
	// Demand is the demand by model.
	Demand map[string]*ModelDemand
	// Since is when the first demand was seen; zero if none was.
	Since time.Time
	// StoreLoads is the number of loads from the weight store that may begin now.
	StoreLoads int
}

// Order instructs an engine to load or unload a model or adapter.
type Order struct {
	Engine string
	Unload bool
	Model  string
	// Adapter is empty for an order about a model.
	Adapter string
	// For is the model that an unload frees memory for.
	For string
	// FromStore reports whether the weights are loaded from the weight store.
	FromStore bool
	Reason    Reason
}

// Reason is the reason for an order.
type Reason string

// The reasons.
const (
	// ReasonRequested means that calls request a model or adapter that no engine holds.
	ReasonRequested Reason = "asked"
	// ReasonMissing means that no engine holds a declared model, and no call requests it.
	ReasonMissing Reason = "reachable"
	// ReasonDemand means that the replicas of the model are busy, or that memory was freed
	// for the model by an earlier order.
	ReasonDemand Reason = "demand"
	// ReasonStandby means that the model has a single replica and there is free memory for a
	// standby replica.
	ReasonStandby Reason = "hedge"
	// ReasonEviction means that memory or an adapter slot is freed for another model or
	// adapter.
	ReasonEviction Reason = "room"
)

const (
	// replicaExponent is the exponent of the number of replicas in replicaScore. With 1 the
	// number of replicas would be proportional to work; larger exponents leave more replicas
	// to models with little work, whose demand may rise.
	replicaExponent = 1.4
	// busyWork is the work per replica above which a model may get another replica. Below
	// it, calls that happen to arrive at the same time wait only briefly.
	busyWork = 0.4
	// fullWork is the work per replica above which calls wait for a replica or are refused.
	fullWork = 0.6
	// requestedBenefit is the benefit of a replica of a requested model that no engine holds,
	// in addition to the model's work: a tenth of an engine's time.
	requestedBenefit = 0.1
	// observationTime is how long demand is observed before replicas move because of it: the
	// first calls are not representative.
	observationTime = 1500 * time.Millisecond
	// gainFactor is the factor by which the replicaScore of the model that gains a replica must
	// exceed that of the model that loses one, so that replicas don't move back and forth.
	gainFactor = 1.7
	// minDwell is how long an engine's models stay before they are replaced because of
	// demand. It is longer than a load from disk, so that a loaded model serves calls before
	// the next load.
	minDwell = 3 * time.Second
	// maxMoves limits the number of engines that load a model, as a share of all engines, but
	// to at least one. At the limit no more replicas are added because of demand, except of
	// requested models that no engine holds.
	maxMoves = 0.6
	// maxStandbyLoads is the same limit for adding standby replicas. It applies only while
	// there is demand.
	maxStandbyLoads = 0.2
	// recentUse is how long a model counts as in use after it was last requested.
	recentUse = 8 * time.Second
)
