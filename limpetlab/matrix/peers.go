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

// shareInterval is the time between two transmissions of a daemon's reports to
// its peers.
const shareInterval = 500 * time.Millisecond

// peers gives a daemon access to the other daemons.
type peers struct {
	d *daemon
	// announced holds the revision that a peer announced last. An announcement
	// replaces one that was not read yet.
	announced chan int64
}

var (
	_ docs.PeerProvider  = (*peers)(nil)
	_ order.SentProvider = (*peers)(nil)
)

// newPeers returns the peers of d.
func newPeers(d *daemon) *peers {
	return &peers{d: d, announced: make(chan int64, 1)}
}

// reachablePeers returns the running daemons that the daemon can reach: neither
// is paused, and no partition separates them.
func (p *peers) reachablePeers() []*daemon {
	var reachable []*daemon
	for _, o := range p.d.rig.runningDaemons() {
		if o == p.d || o.isPaused() || p.d.isPaused() {
			continue
		}
		if o.dataCentre != p.d.dataCentre && (o.isPartitioned() || p.d.isPartitioned()) {
			continue
		}
		reachable = append(reachable, o)
	}
	return reachable
}

// Peers implements docs.PeerProvider.
func (p *peers) Peers() []member.Peer {
	var list []member.Peer
	for _, o := range p.reachablePeers() {
		revision, digest, _ := o.docs.InForce()
		list = append(list, member.Peer{
			VM: o.vm, Instance: o.instance, DataCentre: o.dataCentre,
			Revision: revision, Digest: digest, Level: envdoc.Level, Ready: true,
		})
	}
	return list
}

// Daemons implements admit.PeerCounter.
func (p *peers) Daemons() int { return len(p.reachablePeers()) + 1 }

// Announce implements docs.PeerProvider.
func (p *peers) Announce(a member.Announcement) {
	for _, o := range p.reachablePeers() {
		select {
		case <-o.peers.announced:
		default:
		}
		select {
		case o.peers.announced <- a.Revision:
		default:
		}
	}
}

// Newer implements docs.PeerProvider.
func (p *peers) Newer() <-chan int64 { return p.announced }

// Document implements docs.PeerProvider.
func (p *peers) Document(_ context.Context, after int64) (member.Copy, error) {
	for _, o := range p.reachablePeers() {
		c, err := o.docs.Copy(docs.Scope(environment, docs.Production))
		if err == nil && c.Revision > after {
			return c, nil
		}
	}
	return member.Copy{}, code.Errorf(code.PeerDown, "no peer has a document newer than revision %d", after)
}

// Sent implements order.SentProvider.
func (p *peers) Sent(_ context.Context, vm, grant string) (order.SentAnswer, error) {
	if vm == p.d.vm {
		return p.d.order.AnswerSent(grant), nil
	}
	p.d.rig.delayMessage(p.d.vm, "sent", vm)
	for _, o := range p.reachablePeers() {
		if o.vm == vm {
			return o.order.AnswerSent(grant), nil
		}
	}
	return order.SentAnswer{}, code.Errorf(code.PeerDown, "%s does not answer", vm)
}

// shareReports sends the daemon's load reports and demand to its peers at
// regular intervals, until the daemon stops.
func (p *peers) shareReports() {
	for !p.d.isStopped() {
		for _, o := range p.reachablePeers() {
			o.watch.Receive(p.d.vm, p.d.watch.Loads())
			o.queue.Receive(p.d.vm, p.d.queue.Demand())
		}
		sleep(p.d.ctx, shareInterval)
	}
}
