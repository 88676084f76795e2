// Package fault injects faults into the stand-ins.
//
// A stand-in calls its hook, a Provider, before each step of its work. The hook
// returns an action, which the stand-in applies in the way in which it serves its
// callers: in process or over HTTP.
//
// # Usage
//
//	sw := fault.NewSwitch()
//	t := table.New(table.Config{}, table.WithFaults(sw))
//	sw.Set("table", fault.Action{Kind: fault.Down})
//	sw.Clear("table")
package fault

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Kind is the kind of a fault.
type Kind string

// The kinds of fault. None means that there is no fault.
const (
	None Kind = ""
	// Drop loses the call before it takes effect. The caller gets no answer.
	Drop Kind = "drop"
	// Delay delays the effect of the call by Action.Delay.
	Delay Kind = "delay"
	// Duplicate delivers the call twice.
	Duplicate Kind = "duplicate"
	// Lost loses the answer after the call took effect.
	Lost Kind = "lost_answer"
	// Down makes the server unreachable.
	Down Kind = "down"
	// Refuse makes the server reject the call without effect.
	Refuse Kind = "refuse"
	// Restart restarts the server before the call.
	Restart Kind = "restart"
	// Cross returns the answer of another call.
	Cross Kind = "cross"
)

// Call is a step that a stand-in is about to take, for example serving a call.
type Call struct {
	// Server is the name of the stand-in, for example "table" or a VM's id.
	Server string
	// Step is the name of the call, for example "apply", "order_load" or
	// "frame".
	Step string
	// Key identifies the row, order, attempt or call that the call is about.
	Key string
}

// Action is the fault that a stand-in applies to a call.
type Action struct {
	Kind  Kind
	Delay time.Duration
}

// Provider is a fault hook: it chooses the fault of each call.
type Provider interface {
	Fault(c Call) Action
}

// Func is a function that implements Provider.
type Func func(c Call) Action

// Fault implements Provider.
func (f Func) Fault(c Call) Action { return f(c) }

// Of returns p's action for a call, or no fault if p is nil.
func Of(p Provider, c Call) Action {
	if p == nil {
		return Action{}
	}
	return p.Fault(c)
}

// Switch is a Provider with one action for each server name. It is safe for
// concurrent use.
type Switch struct {
	mu      sync.Mutex
	actions map[string]Action
}

var _ Provider = (*Switch)(nil)

// NewSwitch returns a Switch without faults.
func NewSwitch() *Switch {
	return &Switch{actions: make(map[string]Action)}
}

// Set applies the action a to all further calls to a server.
func (s *Switch) Set(server string, a Action) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.actions[server] = a
}

// Clear removes the action of a server.
func (s *Switch) Clear(server string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.actions, server)
}

// Fault implements Provider.
func (s *Switch) Fault(c Call) Action {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.actions[c.Server]
}

// Rule applies an action to a random share of the calls that it selects.
type Rule struct {
	// Server and Step select the calls. An empty field selects all.
	Server string
	Step   string
	Action Action
	// Rate is the fraction of the selected calls that get the action.
	Rate float64
}

// Random is a Provider that applies rules at random, from a seed. It is safe
// for concurrent use.
type Random struct {
	mu    sync.Mutex
	rules []Rule
	rand  *rand.Rand
}

var _ Provider = (*Random)(nil)

// NewRandom returns a Random with a seed and rules.
func NewRandom(seed uint64, rules ...Rule) *Random {
	return &Random{rules: rules, rand: rand.New(rand.NewPCG(seed, seed))}
}

// Fault implements Provider. The rules are tried in order, and the first one
// that applies determines the action.
func (r *Random) Fault(c Call) Action {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, rule := range r.rules {
		if rule.Server != "" && rule.Server != c.Server {
			continue
		}
		if rule.Step != "" && rule.Step != c.Step {
			continue
		}
		if r.rand.Float64() < rule.Rate {
			return rule.Action
		}
	}
	return Action{}
}

// Chain is a list of providers. The first one that returns a fault determines
// the action.
type Chain []Provider

var _ Provider = (Chain)(nil)

// Fault implements Provider.
func (h Chain) Fault(c Call) Action {
	for _, p := range h {
		if a := p.Fault(c); a.Kind != None {
			return a
		}
	}
	return Action{}
}
