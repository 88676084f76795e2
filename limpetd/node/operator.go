package node

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/admin"
	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/docs"
	"github.com/limpetlb/limpetlb/limpetd/envdoc"
	"github.com/limpetlb/limpetlb/limpetd/event"
	"github.com/limpetlb/limpetlb/limpetd/member"
	"github.com/limpetlb/limpetlb/limpetd/order"
	"github.com/limpetlb/limpetlb/limpetd/place"
	"github.com/limpetlb/limpetlb/limpetd/store"
)

// peerTimeout bounds a question to one peer.
const peerTimeout = 2 * time.Second

// operate answers the operators' calls of a node.
type operate struct {
	*Node
}

var (
	_ admin.Applier        = operate{}
	_ admin.StatusProvider = operate{}
	_ admin.PlanProvider   = operate{}
	_ admin.EventsProvider = operate{}
	_ admin.Drainer        = operate{}
)

// fits refuses a document that the listed engines cannot hold. It passes while
// no VM list is known, since the document may then still fit.
func (n *Node) fits(doc *envdoc.Document) error {
	if !n.members.Listed() {
		return nil
	}
	var engines []store.VM
	for _, v := range n.members.VMs() {
		if v.Kind == store.KindEngine && v.State == store.StateLive {
			engines = append(engines, v)
		}
	}
	return place.Fit(doc, engines)
}

// Apply hands a document in.
func (o operate) Apply(ctx context.Context, operator string, s admin.Submission) (admin.Accepted, error) {
	a, err := o.docs.Apply(ctx, docs.Submission{
		ID: s.ID, File: s.File, Body: []byte(s.Body), Operator: operator, Untried: s.Untried,
	})
	return accepted(s.ID, a), err
}

// Promote puts the document of the trial stage into this one.
func (o operate) Promote(ctx context.Context, operator string, p admin.Promotion) (admin.Accepted, error) {
	a, err := o.docs.Promote(ctx, docs.Promotion{ID: p.ID, Digest: p.Digest, Operator: operator})
	return accepted(p.ID, a), err
}

func accepted(id string, a docs.Accepted) admin.Accepted {
	return admin.Accepted{ID: id, Revision: a.Revision, Digest: a.Digest, Repeated: a.Repeated}
}

// Status tells the state of the environment as this daemon knows it.
func (o operate) Status(context.Context) (admin.Status, error) {
	revision, digest, _ := o.docs.InForce()
	placing := o.orders.Status()
	s := admin.Status{
		Environment: o.config.Environment, Stage: o.config.Stage, Daemon: o.config.VM,
		DataCentre: o.config.DataCentre, Revision: revision, Digest: digest,
		LeaseHolder: placing.Holder, Fence: placing.Fence, Inflight: o.gate.Inflight(),
		Daemons: []admin.Daemon{o.self(revision)},
	}
	for _, p := range o.members.Peers() {
		s.Daemons = append(s.Daemons, peerState(p))
	}
	slices.SortFunc(s.Daemons, func(a, b admin.Daemon) int { return strings.Compare(a.VM, b.VM) })
	s.Engines = o.engineStates(placing)
	return s, nil
}

// self is the state of this daemon.
func (o operate) self(revision int64) admin.Daemon {
	d := admin.Daemon{
		VM: o.config.VM, DataCentre: o.config.DataCentre, Region: o.config.Region,
		Revision: revision, Level: envdoc.Level, Leaving: o.leaving(),
	}
	for _, c := range o.Ready() {
		d.Reasons = append(d.Reasons, c.Info().Name)
	}
	d.Ready = len(d.Reasons) == 0 && !d.Leaving
	return d
}

// peerState is the state of another daemon.
func peerState(p member.Peer) admin.Daemon {
	d := admin.Daemon{
		VM: p.VM, DataCentre: p.DataCentre, Region: p.Region, Revision: p.Revision,
		Level: p.Level, Ready: p.Ready, Leaving: p.Leaving,
	}
	if p.Refused != code.OK {
		d.Reasons = append(d.Reasons, p.Refused.Info().Name)
	}
	if p.Suspect {
		d.Reasons = append(d.Reasons, code.PeerDown.Info().Name)
	}
	return d
}

// engineStates joins the VM list, the reports and the ledger.
func (o operate) engineStates(placing order.Status) []admin.Engine {
	var engines []admin.Engine
	for _, v := range o.members.VMs() {
		if v.Kind != store.KindEngine || v.DataCentre != o.config.DataCentre {
			continue
		}
		e := admin.Engine{VM: v.ID, State: string(v.State), MemoryMB: v.MemoryMB}
		if r, at, ok := o.watch.Report(v.ID); ok {
			e.Slots, e.ReportedAt = len(r.Slots), at
		}
		for _, l := range placing.Engines {
			if l.VM != v.ID {
				continue
			}
			e.MemoryMB, e.CommittedMB, e.Unresolved = l.MemoryMB, l.CommittedMB, len(l.Unresolved)
			if l.SetAside != code.OK {
				e.SetAside = l.Reason
			}
		}
		engines = append(engines, e)
	}
	return engines
}

// Plan explains the next moves of this data centre.
func (o operate) Plan(ctx context.Context) (admin.Plan, error) {
	p, err := o.orders.Explain(ctx)
	if err != nil {
		return admin.Plan{}, err
	}
	answer := admin.Plan{DataCentre: o.config.DataCentre, Moves: []admin.Move{}}
	for _, m := range p.Moves {
		answer.Moves = append(answer.Moves, admin.Move{
			Kind: string(m.Kind), Engine: m.Engine, Slot: m.Slot.String(), Rule: string(m.Rule), Gain: m.Gain, Cost: m.Cost,
		})
	}
	for _, b := range p.Blocked {
		answer.Notes = append(answer.Notes, fmt.Sprintf("blocked %s: %s, %s", b.Slot, b.Code, b.Reason))
	}
	return answer, nil
}

// Events returns the time line of this daemon, or of all daemons merged.
func (o operate) Events(ctx context.Context, f event.Filter, local bool) (admin.Events, error) {
	lines := [][]event.Event{o.line.Select(f)}
	if local {
		return admin.Events{Events: event.Merge(lines...)}, nil
	}
	var (
		mu      sync.Mutex
		wait    sync.WaitGroup
		missing []string
	)
	for _, p := range o.members.Peers() {
		wait.Go(func() {
			call, cancel := context.WithTimeout(ctx, peerTimeout)
			defer cancel()
			events, err := o.peers.Events(call, p.Address, f)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				missing = append(missing, p.VM)
				return
			}
			lines = append(lines, events)
		})
	}
	wait.Wait()
	slices.Sort(missing)
	merged := event.Merge(lines...)
	if f.Limit > 0 && len(merged) > f.Limit {
		merged = merged[len(merged)-f.Limit:]
	}
	return admin.Events{Events: merged, Missing: missing}, nil
}

// Drain makes this daemon, a peer or a backend server leave.
func (o operate) Drain(ctx context.Context, operator string, d admin.Drain) error {
	if d.VM == o.config.VM {
		return answerer(o).Drain(ctx, operator, !d.Stay)
	}
	if o.isBackendServer(d.VM) {
		o.members.Drain(d.VM, !d.Stay)
		return nil
	}
	address, err := o.peerAddress(d.VM)
	if err != nil {
		return err
	}
	return o.peers.Drain(ctx, address, operator, !d.Stay)
}

// isBackendServer tells whether a listed VM runs no daemon.
func (o operate) isBackendServer(vm string) bool {
	for _, v := range o.members.VMs() {
		if v.ID == vm {
			return v.Kind != store.KindEntry
		}
	}
	return false
}
