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

// peerAddress returns the peer address of a live daemon.
func (n *Node) peerAddress(vm string) (string, error) {
	for _, p := range n.members.Peers() {
		if p.VM == vm {
			return p.Address, nil
		}
	}
	return "", code.Errorf(code.BadParameter, "VM %q runs no live daemon and is no listed backend server", vm)
}

// sender asks peers about the orders that they sent.
type sender struct {
	*Node
}

var _ order.SentProvider = sender{}

// Sent asks a daemon whether anything it sent under a grant may still arrive.
func (s sender) Sent(ctx context.Context, daemon, grant string) (order.SentAnswer, error) {
	address, err := s.peerAddress(daemon)
	if err != nil {
		return order.SentAnswer{}, err
	}
	a, err := s.peers.Sent(ctx, address, grant)
	return order.SentAnswer{Instance: a.Instance, State: order.SentState(a.State)}, err
}

// lenders reaches the daemons that keep the limits of callers.
type lenders struct {
	*Node
}

var _ admit.LenderProvider = lenders{}

// Lenders returns the VMs of the daemons that keep limits. Those that are not
// heard are left out by more than half of the daemons only, since the others
// cannot know that they do not lend.
func (l lenders) Lenders() (vms []string, most bool) {
	heard, all := []string{l.config.VM}, []string{l.config.VM}
	for _, p := range l.members.Peers() {
		if p.Instance == "" || p.Leaving {
			continue
		}
		all = append(all, p.VM)
		if !p.Suspect {
			heard = append(heard, p.VM)
		}
	}
	if 2*len(heard) > len(all) {
		return heard, true
	}
	return all, false
}

// Borrow asks a daemon for requests of a caller.
func (l lenders) Borrow(ctx context.Context, vm, caller string, want int) (member.Loan, error) {
	address, err := l.peerAddress(vm)
	if err != nil {
		return member.Loan{}, err
	}
	return l.peers.Borrow(ctx, address, caller, want)
}

// answerer answers the questions of peers.
type answerer struct {
	*Node
}

var (
	_ peer.SentProvider = answerer{}
	_ peer.DrainHandler = answerer{}
)

// Sent answers whether orders under a grant can still be sent.
func (a answerer) Sent(grant string) peer.SentAnswer {
	s := a.orders.AnswerSent(grant)
	return peer.SentAnswer{Instance: s.Instance, State: string(s.State)}
}

// Drain makes this daemon leave. A daemon that leaves cannot be asked to stay.
func (a answerer) Drain(_ context.Context, operator string, leaving bool) error {
	if !leaving {
		return code.Errorf(code.BadParameter, "a daemon that leaves cannot stay; start a new one")
	}
	a.line.Add(event.Event{Kind: event.OperatorCall, VM: a.config.VM, Text: "drain by " + operator})
	a.askToLeave()
	return nil
}
