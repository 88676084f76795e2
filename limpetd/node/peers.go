package node

import (
	"context"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/event"
	"github.com/limpetlb/limpetlb/limpetd/member"
	"github.com/limpetlb/limpetlb/limpetd/order"
)

// peers reaches the other daemons. There is no transport yet: every call fails
// with code PeerDown, which the duties take as a peer that is cut off.
type peers struct{}

var _ member.Transport = peers{}

func (peers) err() error {
	return code.Errorf(code.PeerDown, "no transport between daemons")
}

// Tell implements member.Transport.
func (p peers) Tell(string, member.Message) error { return p.err() }

// Exchange implements member.Transport.
func (p peers) Exchange(context.Context, string, member.Message) (member.Message, error) {
	return member.Message{}, p.err()
}

// Document implements member.Transport.
func (p peers) Document(context.Context, string) (member.Copy, error) {
	return member.Copy{}, p.err()
}

// Events returns the time line of a peer.
func (p peers) Events(context.Context, string, event.Filter) ([]event.Event, error) {
	return nil, p.err()
}

// Sent asks a peer about a grant.
func (p peers) Sent(context.Context, string, string) (order.SentAnswer, error) {
	return order.SentAnswer{}, p.err()
}

// Drain makes a peer leave.
func (p peers) Drain(context.Context, string) error { return p.err() }
