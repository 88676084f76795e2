package order

import (
	"context"
	"slices"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/ledger"
	"github.com/limpetlb/limpetlb/limpetd/store"
)

const (
	// senderQueryPause is the minimum time between queries to a daemon about a grant.
	senderQueryPause = 500 * time.Millisecond
	// silentTimeout is how long a daemon may leave queries without an answer before new
	// grants leave it out.
	silentTimeout = 10 * time.Second
)

// grantSender identifies a daemon that a grant names as a sender.
type grantSender struct {
	grant string
	vm    string
}

// senderQuery is the state of the query whether a grant is void for a sender.
type senderQuery struct {
	inFlight bool
	// void is whether the sender has answered that the grant is void.
	void   bool
	nextAt time.Time
}

// confirmVoid reports whether a grant is void. It queries the senders that have not
// confirmed this yet.
func (l *loop) confirmVoid(ctx context.Context, g ledger.Grant, now time.Time) bool {
	allVoid := true
	for _, vm := range g.Senders {
		if !l.confirmSenderVoid(ctx, grantSender{g.ID, vm}, now) {
			allVoid = false
		}
	}
	return allVoid
}

// confirmSenderVoid reports whether a grant is void for one sender: the sender has
// answered so, or its VM has been gone for long enough.
func (l *loop) confirmSenderVoid(ctx context.Context, s grantSender, now time.Time) bool {
	if s.vm == l.controller.config.VM {
		return l.controller.AnswerGrantQuery(s.grant).State == GrantVoid
	}
	if l.gone(s.vm, now) {
		return true
	}
	q := l.senderQueries[s]
	if q == nil {
		q = &senderQuery{}
		l.senderQueries[s] = q
	}
	if !q.void && !q.inFlight && !now.Before(q.nextAt) && l.inFlight < maxInFlight {
		l.querySender(ctx, s, q)
	}
	return q.void
}

// querySender sends a query to a daemon in a new goroutine.
func (l *loop) querySender(ctx context.Context, s grantSender, q *senderQuery) {
	d := l.controller
	q.inFlight = true
	l.inFlight++
	d.tomb.Go(func() error {
		callCtx, cancel := context.WithTimeout(ctx, store.CallTimeout)
		defer cancel()
		answer, err := d.deps.Grants.QueryGrant(callCtx, s.vm, s.grant)
		d.results <- result{sender: &s, void: err == nil && answer.State == GrantVoid, err: err}
		d.wake()
		return nil
	})
}

// handleQueryResult processes the answer to a sender query.
func (l *loop) handleQueryResult(r result, now time.Time) {
	q := l.senderQueries[*r.sender]
	q.inFlight = false
	q.void = r.void
	q.nextAt = now.Add(senderQueryPause)
	if r.err == nil {
		delete(l.silentSince, r.sender.vm)
		return
	}
	if _, recorded := l.silentSince[r.sender.vm]; !recorded {
		l.silentSince[r.sender.vm] = now
	}
}

// responsive reports whether a daemon answers queries, or has left them without an
// answer only for a short time.
func (l *loop) responsive(vm string, now time.Time) bool {
	since, silent := l.silentSince[vm]
	return !silent || now.Sub(since) < silentTimeout
}

// hasOpenQuery reports whether a daemon was queried about a grant and has not confirmed
// that the grant is void.
func (l *loop) hasOpenQuery(vm string) bool {
	for s, q := range l.senderQueries {
		if s.vm == vm && !q.void {
			return true
		}
	}
	return false
}

// silentSenders lists the silent daemons for which the unload of a slot waits.
func (l *loop) silentSenders(row ledger.Row, c ledger.Charge) []string {
	var vms []string
	for _, g := range row.GrantsToVoid(c.Slot) {
		for _, vm := range g.Senders {
			q := l.senderQueries[grantSender{g.ID, vm}]
			if _, silent := l.silentSince[vm]; silent && q != nil && !q.void && !slices.Contains(vms, vm) {
				vms = append(vms, vm)
			}
		}
	}
	return vms
}

// gone reports whether a VM has been gone for so long that no order from it can arrive
// any more: it is missing from the VM list, and the reads of the list confirm this.
func (l *loop) gone(vm string, now time.Time) bool {
	since, missing := l.missingSince[vm]
	if !missing || now.Sub(since) < VMGoneTimeout+l.controller.connectionLifetime {
		return false
	}
	return l.controller.deps.VMAbsence == nil || l.controller.deps.VMAbsence.IsGone(vm, l.controller.connectionLifetime)
}

// updateMissing records when VMs were first missing from the VM list. A list without
// this daemon's own VM is unreliable and clears the records.
func (l *loop) updateMissing(vms []store.VM, now time.Time) {
	listed := map[string]bool{}
	for _, v := range vms {
		listed[v.ID] = true
	}
	if !listed[l.controller.config.VM] {
		clear(l.missingSince)
		return
	}
	named := map[string]bool{}
	for _, cached := range l.cache.entries {
		for _, g := range cached.row.Grants {
			for _, vm := range g.Senders {
				named[vm] = true
			}
		}
	}
	for vm := range l.engines {
		named[vm] = true
	}
	for vm := range l.missingSince {
		if listed[vm] || !named[vm] {
			delete(l.missingSince, vm)
		}
	}
	for vm := range named {
		if _, ok := l.missingSince[vm]; !ok && !listed[vm] {
			l.missingSince[vm] = now
		}
	}
}
