package node

import (
	"context"

	"github.com/limpetlb/limpetlb/limpetd/admit"
	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/event"
	"github.com/limpetlb/limpetlb/limpetd/member"
	"github.com/limpetlb/limpetlb/limpetd/order"
	"github.com/limpetlb/limpetlb/limpetd/peer"
)

// peerAddress returns the address at which the live daemon on a VM accepts the calls
// of peers. The error has code BadParameter if the VM runs no live daemon.
func (n *Node) peerAddress(vm string) (string, error) {
	for _, p := range n.members.Peers() {
		if p.VM == vm {
			return p.Address, nil
		}
	}
	return "", code.Errorf(code.BadParameter, "VM %q runs no live daemon and is not a listed backend server", vm)
}

// sentClient asks peers whether orders that they sent may still reach an engine.
type sentClient struct {
	*Node
}

var _ order.GrantQuerier = sentClient{}

// QueryGrant asks a daemon whether an order that it sent under a grant may still arrive
// at an engine.
func (s sentClient) QueryGrant(ctx context.Context, daemon, grant string) (order.GrantAnswer, error) {
	address, err := s.peerAddress(daemon)
	if err != nil {
		return order.GrantAnswer{}, err
	}
	a, err := s.peers.QueryGrant(ctx, address, grant)
	return order.GrantAnswer{Instance: a.Instance, State: order.GrantState(a.State)}, err
}

// limitOwnerProvider provides access to the daemons that manage the limits of callers.
type limitOwnerProvider struct {
	*Node
}

var _ admit.LimitOwnerProvider = limitOwnerProvider{}

// LimitOwners returns the VMs of the daemons that manage the limits of callers, and
// whether this daemon and its peers that are not suspect are a majority of all
// daemons. Only a majority leaves suspect peers out, since a minority cannot rule
// out that they still lend.
func (l limitOwnerProvider) LimitOwners() (vms []string, majority bool) {
	reachable, all := []string{l.config.VM}, []string{l.config.VM}
	for _, p := range l.members.Peers() {
		if p.Instance == "" || p.Leaving {
			continue
		}
		all = append(all, p.VM)
		if !p.Suspect {
			reachable = append(reachable, p.VM)
		}
	}
	if 2*len(reachable) > len(all) {
		return reachable, true
	}
	return all, false
}

// RequestLoan asks a daemon for up to want requests from the limit of a caller.
func (l limitOwnerProvider) RequestLoan(ctx context.Context, vm, caller string, want int) (member.Loan, error) {
	address, err := l.peerAddress(vm)
	if err != nil {
		return member.Loan{}, err
	}
	return l.peers.RequestLoan(ctx, address, caller, want)
}

// peerHandler handles the calls of peers.
type peerHandler struct {
	*Node
}

var (
	_ peer.GrantQueryHandler = peerHandler{}
	_ peer.DrainHandler      = peerHandler{}
)

// AnswerGrantQuery returns whether orders under a grant can still be sent or are unanswered.
func (a peerHandler) AnswerGrantQuery(grant string) peer.GrantAnswer {
	s := a.orders.AnswerGrantQuery(grant)
	return peer.GrantAnswer{Instance: s.Instance, State: string(s.State)}
}

// Drain makes this daemon leave. It rejects leaving = false, since a daemon cannot
// revoke its leaving.
func (a peerHandler) Drain(_ context.Context, operator string, leaving bool) error {
	if !leaving {
		return code.Errorf(code.BadParameter, "a leaving daemon cannot be made to stay; start a new daemon")
	}
	a.events.Add(event.Event{Kind: event.OperatorCall, VM: a.config.VM, Text: "drain by " + operator})
	a.requestLeave()
	return nil
}
