// Package stock decides which models and adapters the engines of a service hold while
// demand moves within seconds.
//
// It answers two loads. When demand moves to other models, those that rise get
// replicas on the engines with the least work, in place of replicas that fell idle;
// engines that have a copy of the weights at hand go first. When rare models and
// adapters are asked for, each gets a place on one engine at once.
//
// Plan is a pure function of its facts. An order is safe on its own: it is planned on
// a state of the engine that the engine is told by number and refuses if it has moved
// on, so that no order ever overcommits memory, however late it is carried out.
//
// # Usage
//
//	for _, o := range stock.Plan(stock.Facts{Now: now, Spec: spec, Engines: engines, Demand: demand, StoreLoads: 2}) {
//		... // send o to its engine with the number of its state
//	}
package stock

import (
	"time"

	"github.com/limpetlb/limpetlb/limpetd/layout"
)

// Engine is what is known of an engine.
type Engine struct {
	ID         string
	DataCentre string
	// Free tells that the engine can be sent an order now: its state is known, it
	// carries out none and is not leaving.
	Free bool
	// Alive tells that callers can use what the engine holds.
	Alive bool
	// Models are those that it holds, with their adapters.
	Models map[string]map[string]bool
	// Closing are the models that were ordered to go; they take memory until they have.
	Closing map[string]bool
	// Loading is the model that it loads; empty if none.
	Loading string
	// Promised is the model that room was made for here; empty if none.
	Promised string
	// Coming counts adapters in transit, which take places too.
	Coming int
	// Moved is when the engine's models were last changed by an order.
	Moved time.Time
	// InMemory and OnDisk are the models with a copy of their weights at hand.
	InMemory, OnDisk map[string]bool
}

// Need is the demand for a model.
type Need struct {
	// Work is the smoothed work a second, in seconds of an engine.
	Work float64
	// Waiting is the number of calls that wait for the model to be loaded.
	Waiting int
	// Used is when the model was asked for last.
	Used time.Time
	// Adapters is the demand for its adapters.
	Adapters map[string]AdapterNeed
}

// AdapterNeed is the demand for an adapter.
type AdapterNeed struct {
	Waiting int
	Used    time.Time
}

// Facts are all that a plan depends on.
type Facts struct {
	Now  time.Time
	Spec *layout.Engines
	// Engines are those of the service, in the order of their ids.
	Engines []Engine
	Demand  map[string]*Need
	// Since is when the first demand was seen; zero if none was.
	Since time.Time
	// StoreLoads is how many loads from the weight store may begin now.
	StoreLoads int
}

// Order is one for an engine.
type Order struct {
	Engine string
	Unload bool
	Model  string
	// Adapter is empty for an order about a model.
	Adapter string
	// For is the model that an unload makes room for.
	For string
	// FromStore tells that the weights come from the weight store.
	FromStore bool
	Reason    Reason
}

// Reason names why an order is given.
type Reason string

// The reasons.
const (
	// ReasonAsked means that calls wait for the model or adapter.
	ReasonAsked Reason = "asked"
	// ReasonReachable means that no engine holds a declared model.
	ReasonReachable Reason = "reachable"
	// ReasonDemand means that the replicas of the model have much work.
	ReasonDemand Reason = "demand"
	// ReasonHedge means that the model has one replica and there is free memory.
	ReasonHedge Reason = "hedge"
	// ReasonRoom means that memory is freed for another model.
	ReasonRoom Reason = "room"
)

const (
	// hedgePower is the power of score. With 1 replicas would follow work; the more above
	// it, the more are kept for models that may rise.
	hedgePower = 1.4
	// busyShare is the work of a replica above which its model may get another one:
	// calls that come by chance at the same time wait little below it.
	busyShare = 0.4
	// fullShare is the work of a replica beyond which calls wait for it or are refused.
	fullShare = 0.6
	// askedValue is the value of a replica of a model that no engine holds, beside its
	// work: that of a tenth of an engine's time.
	askedValue = 0.1
	// observe is how long demand is watched before replicas move for it: the first
	// calls say little.
	observe = 1500 * time.Millisecond
	// gainFactor is how much more a model must need a replica than the one that gives
	// it up, so that replicas don't move back and forth.
	gainFactor = 1.7
	// dwell is how long an engine's models stay before they change for demand. It
	// is longer than a load from disk, so that a load serves before the next.
	dwell = 3 * time.Second
	// maxMoves bounds the engines that change models for demand at the same time,
	// in parts of all engines.
	maxMoves = 0.6
	// hedgeMoves bounds the engines that load second replicas at the same time, in parts
	// of all engines.
	hedgeMoves = 0.2
	// recent is how long a model counts as in use after it was asked for.
	recent = 8 * time.Second
)
