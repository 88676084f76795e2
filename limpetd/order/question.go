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
	questionPause = 500 * time.Millisecond
	// silentTime is how long a daemon may leave questions without an answer
	// before new grants leave it out.
	silentTime = 10 * time.Second
)

// question asks whether what a daemon sent under a grant is settled.
type question struct {
	grant string
	vm    string
}

// inquiry is the state of a question.
type inquiry struct {
	running bool
	settled bool
	next    time.Time
}

// void tells whether nothing sent under a grant can reach an engine any more. It
// asks the senders of whom this is not known.
func (l *loop) void(ctx context.Context, g ledger.Grant, now time.Time) bool {
	settled := true
	for _, vm := range g.Senders {
		if !l.settled(ctx, question{g.ID, vm}, now) {
			settled = false
		}
	}
	return settled
}

// settled tells whether one sender is done with a grant: it says so, or its VM
// has been gone long enough.
func (l *loop) settled(ctx context.Context, q question, now time.Time) bool {
	if q.vm == l.duty.config.VM {
		return l.duty.AnswerSent(q.grant).State == SentNever
	}
	if l.gone(q.vm, now) {
		return true
	}
	i := l.inquiries[q]
	if i == nil {
		i = &inquiry{}
		l.inquiries[q] = i
	}
	if !i.settled && !i.running && !now.Before(i.next) && l.running < maxRunning {
		l.ask(ctx, q, i)
	}
	return i.settled
}

// ask sends a question in a goroutine of its own.
func (l *loop) ask(ctx context.Context, q question, i *inquiry) {
	d := l.duty
	i.running = true
	l.running++
	d.tomb.Go(func() error {
		call, cancel := context.WithTimeout(ctx, store.CallTimeout)
		defer cancel()
		answer, err := d.deps.Sent.Sent(call, q.vm, q.grant)
		d.results <- result{question: &q, settled: err == nil && answer.State == SentNever, err: err}
		d.wake()
		return nil
	})
}

// answered takes the answer to a question.
func (l *loop) answered(r result, now time.Time) {
	i := l.inquiries[*r.question]
	i.running = false
	i.settled = r.settled
	i.next = now.Add(questionPause)
	if r.err == nil {
		delete(l.silent, r.question.vm)
		return
	}
	if _, noted := l.silent[r.question.vm]; !noted {
		l.silent[r.question.vm] = now
	}
}

// answers tells whether a daemon has not left questions without an answer for
// long.
func (l *loop) answers(vm string, now time.Time) bool {
	since, silent := l.silent[vm]
	return !silent || now.Sub(since) < silentTime
}

// asks tells whether a daemon is still asked about a grant.
func (l *loop) asks(vm string) bool {
	for q, i := range l.inquiries {
		if q.vm == vm && !i.settled {
			return true
		}
	}
	return false
}

// awaited lists the silent daemons for which the unload of a slot waits.
func (l *loop) awaited(row ledger.Row, c ledger.Charge) []string {
	var vms []string
	for _, g := range row.Older(c.Slot) {
		for _, vm := range g.Senders {
			i := l.inquiries[question{g.ID, vm}]
			if _, silent := l.silent[vm]; silent && i != nil && !i.settled && !slices.Contains(vms, vm) {
				vms = append(vms, vm)
			}
		}
	}
	return vms
}

// gone tells whether a VM has been gone long enough that nothing of it can arrive
// any more: it is missing from the VM list, and the reads of the list confirm it.
func (l *loop) gone(vm string, now time.Time) bool {
	since, missing := l.missing[vm]
	if !missing || now.Sub(since) < GoneAfter+l.duty.lifetime {
		return false
	}
	return l.duty.deps.Gone == nil || l.duty.deps.Gone.Gone(vm, l.duty.lifetime)
}

// watchSenders notes since when VMs are missing from the VM list. A list that
// lacks this daemon tells nothing.
func (l *loop) watchSenders(vms []store.VM, now time.Time) {
	listed := map[string]bool{}
	for _, v := range vms {
		listed[v.ID] = true
	}
	if !listed[l.duty.config.VM] {
		clear(l.missing)
		return
	}
	named := map[string]bool{}
	for _, b := range l.books.copies {
		for _, g := range b.row.Grants {
			for _, vm := range g.Senders {
				named[vm] = true
			}
		}
	}
	for vm := range l.known {
		named[vm] = true
	}
	for vm := range l.missing {
		if listed[vm] || !named[vm] {
			delete(l.missing, vm)
		}
	}
	for vm := range named {
		if _, ok := l.missing[vm]; !ok && !listed[vm] {
			l.missing[vm] = now
		}
	}
}
