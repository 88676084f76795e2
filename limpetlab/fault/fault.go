// Package fault is the hook through which the stand-ins are made to fail.
//
// A stand-in asks its hook before each step. The hook answers with an action,
// which the stand-in carries out at its own level, in process or over HTTP.
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

// Kind is what goes wrong.
type Kind string

// The kinds of fault. None is the absence of one.
const (
	None Kind = ""
	// Drop loses the call before it takes effect; there is no answer.
	Drop Kind = "drop"
	// Delay lets the call take effect after Action.Delay.
	Delay Kind = "delay"
	// Duplicate lets the call arrive twice.
	Duplicate Kind = "duplicate"
	// Lost loses the answer after the call took effect.
	Lost Kind = "lost_answer"
	// Down makes the server unreachable.
	Down Kind = "down"
	// Refuse makes the server refuse without effect.
	Refuse Kind = "refuse"
	// Restart restarts the server before the call.
	Restart Kind = "restart"
	// Cross gives the answer of another call.
	Cross Kind = "cross"
)

// Call is the step that is about to happen.
type Call struct {
	// Server names the stand-in, for example "table" or a VM.
	Server string
	// Step names the call, for example "apply", "order_load" or "frame".
	Step string
	// Key is the row, order, attempt or call that it is about.
	Key string
}

// Action is what the stand-in does to a call.
type Action struct {
	Kind  Kind
	Delay time.Duration
}

// Provider decides on the fault of a call.
type Provider interface {
	Fault(c Call) Action
}

// Func is a function as a Provider.
type Func func(c Call) Action

// Fault implements Provider.
func (f Func) Fault(c Call) Action { return f(c) }

// Of asks p, which may be nil.
func Of(p Provider, c Call) Action {
	if p == nil {
		return Action{}
	}
	return p.Fault(c)
}

// Switch is a Provider that is set by server name. It is safe for concurrent
// use.
type Switch struct {
	mu      sync.Mutex
	actions map[string]Action
}

var _ Provider = (*Switch)(nil)

// NewSwitch returns a switch without faults.
func NewSwitch() *Switch {
	return &Switch{actions: make(map[string]Action)}
}

// Set makes each call to server meet a.
func (s *Switch) Set(server string, a Action) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.actions[server] = a
}

// Clear ends the fault of server.
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

// Rule is a kind of fault that befalls some calls.
type Rule struct {
	// Server and Step select the calls; empty selects all.
	Server string
	Step   string
	Action Action
	// Rate is the fraction of the calls that meet the fault.
	Rate float64
}

// Random is a Provider that lets rules befall calls at random, from a seed. It
// is safe for concurrent use.
type Random struct {
	mu    sync.Mutex
	rules []Rule
	rand  *rand.Rand
}

var _ Provider = (*Random)(nil)

// NewRandom returns a Random with rules.
func NewRandom(seed uint64, rules ...Rule) *Random {
	return &Random{rules: rules, rand: rand.New(rand.NewPCG(seed, seed))}
}

// Fault implements Provider. The first rule that applies wins.
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

// Chain asks several providers; the first action that is a fault counts.
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
