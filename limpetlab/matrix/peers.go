package matrix

import (
	"context"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/docs"
	"github.com/limpetlb/limpetlb/limpetd/envdoc"
	"github.com/limpetlb/limpetlb/limpetd/member"
	"github.com/limpetlb/limpetlb/limpetd/order"
)

// sharePeriod is the time between two tellings to all peers.
const sharePeriod = 500 * time.Millisecond

// peers are the other daemons as one reaches them.
type peers struct {
	d *daemon
	// newer holds the highest revision told; a full channel is emptied first.
	newer chan int64
}

var (
	_ docs.PeerProvider  = (*peers)(nil)
	_ order.SentProvider = (*peers)(nil)
)

// newPeers returns the peers of d.
func newPeers(d *daemon) *peers {
	return &peers{d: d, newer: make(chan int64, 1)}
}

// reachable returns the daemons that d reaches.
func (p *peers) reachable() []*daemon {
	var found []*daemon
	for _, o := range p.d.rig.live() {
		if o == p.d || o.isPaused() || p.d.isPaused() {
			continue
		}
		if o.dataCentre != p.d.dataCentre && (o.cut() || p.d.cut()) {
			continue
		}
		found = append(found, o)
	}
	return found
}

// Peers implements docs.PeerProvider.
func (p *peers) Peers() []member.Peer {
	var list []member.Peer
	for _, o := range p.reachable() {
		revision, digest, _ := o.docs.InForce()
		list = append(list, member.Peer{
			VM: o.vm, Instance: o.instance, DataCentre: o.dataCentre,
			Revision: revision, Digest: digest, Level: envdoc.Level, Ready: true,
		})
	}
	return list
}

// Daemons implements admit.PeerCounter.
func (p *peers) Daemons() int { return len(p.reachable()) + 1 }

// Announce implements docs.PeerProvider.
func (p *peers) Announce(a member.Announcement) {
	for _, o := range p.reachable() {
		select {
		case <-o.peers.newer:
		default:
		}
		select {
		case o.peers.newer <- a.Revision:
		default:
		}
	}
}

// Newer implements docs.PeerProvider.
func (p *peers) Newer() <-chan int64 { return p.newer }

// Document implements docs.PeerProvider.
func (p *peers) Document(_ context.Context, after int64) (member.Copy, error) {
	for _, o := range p.reachable() {
		c, err := o.docs.Copy(docs.Scope(environment, docs.Production))
		if err == nil && c.Revision > after {
			return c, nil
		}
	}
	return member.Copy{}, code.Errorf(code.PeerDown, "no peer has more than revision %d", after)
}

// Sent implements order.SentProvider.
func (p *peers) Sent(_ context.Context, vm, grant string) (order.SentAnswer, error) {
	if vm == p.d.vm {
		return p.d.order.AnswerSent(grant), nil
	}
	p.d.rig.lag(p.d.vm, "sent", vm)
	for _, o := range p.reachable() {
		if o.vm == vm {
			return o.order.AnswerSent(grant), nil
		}
	}
	return order.SentAnswer{}, code.Errorf(code.PeerDown, "%s does not answer", vm)
}

// share tells the peers what the daemon knows until it ends.
func (p *peers) share() {
	for !p.d.dead() {
		for _, o := range p.reachable() {
			o.watch.Receive(p.d.vm, p.d.watch.Loads())
			o.queue.Receive(p.d.vm, p.d.queue.Demand())
		}
		sleep(p.d.ctx, sharePeriod)
	}
}
