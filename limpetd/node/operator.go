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

// peerTimeout is the time limit for requesting the events of one peer.
const peerTimeout = 2 * time.Second

// operatorAPI handles the calls of operators to a node.
type operatorAPI struct {
	*Node
}

var (
	_ admin.DocumentManager = operatorAPI{}
	_ admin.StatusProvider  = operatorAPI{}
	_ admin.PlanProvider    = operatorAPI{}
	_ admin.EventsProvider  = operatorAPI{}
	_ admin.Drainer         = operatorAPI{}
)

// checkFit rejects a document whose models do not fit on the listed engines. While
// there is no VM list, checkFit accepts any document, since the document may still
// fit.
func (n *Node) checkFit(doc *envdoc.Document) error {
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

// Apply submits an environment document.
func (o operatorAPI) Apply(ctx context.Context, operator string, s admin.Submission) (admin.Accepted, error) {
	a, err := o.docs.Apply(ctx, docs.Submission{
		ID: s.ID, File: s.File, Body: []byte(s.Body), Operator: operator, AllowUntried: s.AllowUntried,
	})
	return newAccepted(s.ID, a), err
}

// Promote submits the document of the trial stage to this stage.
func (o operatorAPI) Promote(ctx context.Context, operator string, p admin.Promotion) (admin.Accepted, error) {
	a, err := o.docs.Promote(ctx, docs.Promotion{ID: p.ID, Digest: p.Digest, Operator: operator})
	return newAccepted(p.ID, a), err
}

// newAccepted returns the response to a submission with the given ID.
func newAccepted(id string, a docs.Accepted) admin.Accepted {
	return admin.Accepted{ID: id, Revision: a.Revision, Digest: a.Digest, Repeated: a.Repeated}
}

// Status returns the state of the environment as seen by this daemon.
func (o operatorAPI) Status(context.Context) (admin.Status, error) {
	revision, digest, _ := o.docs.InForce()
	orderStatus := o.orders.Status()
	s := admin.Status{
		Environment: o.config.Environment, Stage: o.config.Stage, Daemon: o.config.VM,
		DataCentre: o.config.DataCentre, Revision: revision, Digest: digest,
		LeaseHolder: orderStatus.LeaseHolder, Fence: orderStatus.Fence, InFlight: o.gate.InFlight(),
		Daemons: []admin.Daemon{o.ownState(revision)},
	}
	for _, p := range o.members.Peers() {
		s.Daemons = append(s.Daemons, peerState(p))
	}
	slices.SortFunc(s.Daemons, func(a, b admin.Daemon) int { return strings.Compare(a.VM, b.VM) })
	s.Engines = o.engineStates(orderStatus)
	return s, nil
}

// ownState returns the state of this daemon.
func (o operatorAPI) ownState(revision int64) admin.Daemon {
	d := admin.Daemon{
		VM: o.config.VM, DataCentre: o.config.DataCentre, Region: o.config.Region,
		Revision: revision, Level: envdoc.FeatureLevel, Leaving: o.leaving(),
	}
	for _, c := range o.NotReadyReasons() {
		d.Reasons = append(d.Reasons, c.Info().Name)
	}
	d.Ready = len(d.Reasons) == 0 && !d.Leaving
	return d
}

// peerState returns the state of another daemon.
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

// engineStates returns the states of the engines of this data centre, from the VM
// list, the reports and the ledger.
func (o operatorAPI) engineStates(orderStatus order.Status) []admin.Engine {
	var engines []admin.Engine
	for _, v := range o.members.VMs() {
		if v.Kind != store.KindEngine || v.DataCentre != o.config.DataCentre {
			continue
		}
		e := admin.Engine{VM: v.ID, State: string(v.State), MemoryMB: v.MemoryMB}
		if r, at, ok := o.watch.Report(v.ID); ok {
			e.Slots, e.ReportedAt = len(r.Slots), at
		}
		for _, status := range orderStatus.Engines {
			if status.VM != v.ID {
				continue
			}
			e.MemoryMB, e.CommittedMB, e.Unconfirmed = status.MemoryMB, status.CommittedMB, len(status.Unconfirmed)
			if status.SetAside != code.OK {
				e.SetAside = status.Reason
			}
		}
		engines = append(engines, e)
	}
	return engines
}

// Plan returns the next placement moves of this data centre, and why slots are
// blocked.
func (o operatorAPI) Plan(ctx context.Context) (admin.Plan, error) {
	p, err := o.orders.Explain(ctx)
	if err != nil {
		return admin.Plan{}, err
	}
	response := admin.Plan{DataCentre: o.config.DataCentre, Moves: []admin.Move{}}
	for _, m := range p.Moves {
		response.Moves = append(response.Moves, admin.Move{
			Kind: string(m.Kind), Engine: m.Engine, Slot: m.Slot.String(), Rule: string(m.Rule), Gain: m.Gain, Cost: m.Cost,
		})
	}
	for _, b := range p.Blocked {
		response.Notes = append(response.Notes, fmt.Sprintf("blocked %s: %s, %s", b.Slot, b.Code, b.Reason))
	}
	return response, nil
}

// Events returns the timeline of this daemon if local is true, else the merged
// timeline of all daemons and the VMs of the peers that did not return theirs.
func (o operatorAPI) Events(ctx context.Context, f event.Filter, local bool) (admin.Events, error) {
	lists := [][]event.Event{o.events.Select(f)}
	if local {
		return admin.Events{Events: event.Merge(lists...)}, nil
	}
	var (
		mu      sync.Mutex
		wg      sync.WaitGroup
		missing []string
	)
	for _, p := range o.members.Peers() {
		wg.Go(func() {
			callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
			defer cancel()
			events, err := o.peers.Events(callCtx, p.Address, f)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				missing = append(missing, p.VM)
				return
			}
			lists = append(lists, events)
		})
	}
	wg.Wait()
	slices.Sort(missing)
	merged := event.Merge(lists...)
	if f.Limit > 0 && len(merged) > f.Limit {
		merged = merged[len(merged)-f.Limit:]
	}
	return admin.Events{Events: merged, Missing: missing}, nil
}

// Drain makes this daemon, a peer or a backend server leave. With d.Stay it
// revokes the drain of a backend server; daemons reject d.Stay.
func (o operatorAPI) Drain(ctx context.Context, operator string, d admin.DrainRequest) error {
	if d.VM == o.config.VM {
		return peerHandler(o).Drain(ctx, operator, !d.Cancel)
	}
	if o.isBackendServer(d.VM) {
		o.members.AnnounceDrain(d.VM, !d.Cancel)
		return nil
	}
	address, err := o.peerAddress(d.VM)
	if err != nil {
		return err
	}
	return o.peers.Drain(ctx, address, operator, !d.Cancel)
}

// isBackendServer reports whether vm is listed and runs no daemon.
func (o operatorAPI) isBackendServer(vm string) bool {
	for _, v := range o.members.VMs() {
		if v.ID == vm {
			return v.Kind != store.KindEntry
		}
	}
	return false
}
