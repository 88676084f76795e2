package sched

import (
	"slices"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/layout"
)

const (
	// lateArrival is the longest time from the answer of a server to a call until the server has read what was sent to
	// it before.
	lateArrival = 2 * time.Second
	// maxUnreadAge is how long calls count that a server may still read. A server that has said nothing for longer is
	// taken for one that has ended.
	maxUnreadAge = 5 * time.Minute
)

// Delivery records the sends of a call for the retry budget of its service. A send is unread until the server shows that
// it has read it, or never will. Closing its connection does not take it back: a server whose process is stopped reads
// it when the process goes on.
type Delivery struct {
	service string
	// retries is the number of sends after the first one, unread the number of sends that are unread.
	retries, unread int
	// pending is the number of retries that may not have arrived yet. It is the smaller of the two numbers, since the
	// first arrival of a call is none.
	pending int
	// left holds the unread sends whose attempts have ended, until the call is retried.
	left []unreadSend
}

// NewDelivery returns the Delivery of a call for a service.
func NewDelivery(service string) *Delivery { return &Delivery{service: service} }

// unreadSend is a send whose attempt has ended and that its server may still read.
type unreadSend struct {
	delivery *Delivery
	server   *layout.Server
	// via is the VM of the daemon through which the call was sent; empty if it was sent directly.
	via    string
	leftAt time.Time
	// ended is whether the server has ended, so that it reads nothing more.
	ended bool
}

// RecordFirstSend records that a call is sent for the first time.
func (b *Balancer) RecordFirstSend(d *Delivery) { d.unread++ }

// TakeRetry reports whether a call may be sent once more. If so, the retry counts from now on. The caller must
// pass the end of this send to one of RecordRead, RecordUnread and RecordUnsent.
func (b *Balancer) TakeRetry(d *Delivery, now time.Time) bool {
	g := b.budget(d.service, now)
	if !b.CanRetry(d.service, now) {
		g.denied++
		return false
	}
	g.allowed++
	d.retries++
	d.unread++
	b.updatePending(d, now)
	for _, u := range d.left {
		b.unread[u.server.ID] = append(b.unread[u.server.ID], u)
	}
	d.left = nil
	return true
}

// RecordRead records that a server has read a send.
func (b *Balancer) RecordRead(d *Delivery, now time.Time) {
	d.unread--
	b.updatePending(d, now)
}

// RecordUnsent records that nothing of a send was written. retried is whether TakeRetry has allowed it, which is undone.
func (b *Balancer) RecordUnsent(d *Delivery, retried bool, now time.Time) {
	d.unread--
	if !retried {
		return
	}
	d.retries--
	if pending := min(d.retries, d.unread); pending < d.pending {
		b.budget(d.service, now).pending -= d.pending - pending
		d.pending = pending
	}
}

// RecordUnread records that an attempt has ended although its server has not answered, so that the server may still read
// the call.
func (b *Balancer) RecordUnread(d *Delivery, s *layout.Server, via string, now time.Time) {
	u := unreadSend{delivery: d, server: s, via: via, leftAt: now}
	if d.retries == 0 {
		d.left = append(d.left, u)
		return
	}
	b.unread[s.ID] = append(b.unread[s.ID], u)
}

// RecordSpoken records that a server has answered a request that was sent at a time, directly or through the daemon of a
// VM. It has then read what was left there before that time, or will soon.
func (b *Balancer) RecordSpoken(id, via string, sentAt, now time.Time) {
	b.settleUnread(id, now.Add(lateArrival), func(u unreadSend) bool {
		return u.leftAt.Before(sentAt) && (u.via == "" || u.via == via)
	})
}

// markEnded marks the unread sends of servers that have started again, or whose address another server has.
func (b *Balancer) markEnded() {
	if len(b.unread) == 0 {
		return
	}
	byAddress := make(map[string]*layout.Server, len(b.servers))
	for _, s := range b.servers {
		byAddress[s.entry.Address] = s.entry
	}
	for _, list := range b.unread {
		for i, u := range list {
			if s := byAddress[u.server.Address]; s != nil && !s.SameStart(u.server) {
				list[i].ended = true
			}
		}
	}
}

// settleEnded settles the unread sends of servers that have ended or have been silent for maxUnreadAge.
func (b *Balancer) settleEnded(now time.Time) {
	for id := range b.unread {
		b.settleUnread(id, now, func(u unreadSend) bool { return u.ended || now.Sub(u.leftAt) > maxUnreadAge })
	}
}

// settleUnread counts unread sends to a server as read at a time.
func (b *Balancer) settleUnread(id string, at time.Time, settled func(unreadSend) bool) {
	list := b.unread[id]
	if len(list) == 0 {
		return
	}
	list = slices.DeleteFunc(list, func(u unreadSend) bool {
		if !settled(u) {
			return false
		}
		u.delivery.unread--
		b.updatePending(u.delivery, at)
		return true
	})
	if len(list) == 0 {
		delete(b.unread, id)
		return
	}
	b.unread[id] = list
}

// updatePending updates the number of pending retries of a call. Those that are no longer pending count until a window
// after the given time.
func (b *Balancer) updatePending(d *Delivery, at time.Time) {
	pending := min(d.retries, d.unread)
	if pending == d.pending {
		return
	}
	g := b.budget(d.service, at)
	for range d.pending - pending {
		g.retries.add(b.slot(at))
	}
	g.pending += pending - d.pending
	d.pending = pending
}
