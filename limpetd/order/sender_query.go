package order

import (
	"context"
	"slices"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/ledger"
	"github.com/limpetlb/limpetlb/limpetd/store"
)

const (
	// questionPause is the time between questions to a daemon about a grant.
	senderQueryPause = 500 * time.Millisecond
	// silentTime is how long a daemon may leave questions without an answer
	// before new grants leave it out.
	silentTimeout = 10 * time.Second
)

// question asks whether what a daemon sent under a grant is settled.
type grantSender struct {
	grant string
	vm    string
}

// inquiry is the state of a question.
type senderQuery struct {
	inFlight bool
	void     bool
	nextAt   time.Time
}

// void tells whether nothing sent under a grant can reach an engine any more. It
// asks the senders of whom this is not known.
func (l *loop) confirmVoid(ctx context.Context, g ledger.Grant, now time.Time) bool {
	allVoid := true
	for _, vm := range g.Senders {
		if !l.confirmSenderVoid(ctx, grantSender{g.ID, vm}, now) {
			allVoid = false
		}
	}
	return allVoid
}

// settled tells whether one sender is done with a grant: it says so, or its VM
// has been gone long enough.
func (l *loop) confirmSenderVoid(ctx context.Context, s grantSender, now time.Time) bool {
	if s.vm == l.duty.config.VM {
		return l.duty.AnswerSent(s.grant).State == SentNever
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

// ask sends a question in a goroutine of its own.
func (l *loop) querySender(ctx context.Context, s grantSender, q *senderQuery) {
	d := l.duty
	q.inFlight = true
	l.inFlight++
	d.tomb.Go(func() error {
		callCtx, cancel := context.WithTimeout(ctx, store.CallTimeout)
		defer cancel()
		answer, err := d.deps.Sent.Sent(callCtx, s.vm, s.grant)
		d.results <- result{sender: &s, void: err == nil && answer.State == SentNever, err: err}
		d.wake()
		return nil
	})
}

// answered takes the answer to a question.
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

// answers tells whether a daemon has not left questions without an answer for
// long.
func (l *loop) responsive(vm string, now time.Time) bool {
	since, silent := l.silentSince[vm]
	return !silent || now.Sub(since) < silentTimeout
}

// asks tells whether a daemon is still asked about a grant.
func (l *loop) hasOpenQuery(vm string) bool {
	for s, q := range l.senderQueries {
		if s.vm == vm && !q.void {
			return true
		}
	}
	return false
}

// awaited lists the silent daemons for which the unload of a slot waits.
func (l *loop) silentSenders(row ledger.Row, c ledger.Charge) []string {
	var vms []string
	for _, g := range row.Older(c.Slot) {
		for _, vm := range g.Senders {
			q := l.senderQueries[grantSender{g.ID, vm}]
			if _, silent := l.silentSince[vm]; silent && q != nil && !q.void && !slices.Contains(vms, vm) {
				vms = append(vms, vm)
			}
		}
	}
	return vms
}

// gone tells whether a VM has been gone long enough that nothing of it can arrive
// any more: it is missing from the VM list, and the reads of the list confirm it.
func (l *loop) gone(vm string, now time.Time) bool {
	since, missing := l.missingSince[vm]
	if !missing || now.Sub(since) < GoneAfter+l.duty.connectionLifetime {
		return false
	}
	return l.duty.deps.Gone == nil || l.duty.deps.Gone.Gone(vm, l.duty.connectionLifetime)
}

// watchSenders notes since when VMs are missing from the VM list. A list that
// lacks this daemon tells nothing.
func (l *loop) updateMissing(vms []store.VM, now time.Time) {
	listed := map[string]bool{}
	for _, v := range vms {
		listed[v.ID] = true
	}
	if !listed[l.duty.config.VM] {
		clear(l.missingSince)
		return
	}
	named := map[string]bool{}
	for _, cached := range l.ledger.rows {
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
