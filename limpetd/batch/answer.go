package batch

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/relay"
	"github.com/limpetlb/limpetlb/limpetd/wire"
)

// Bounds of one item.
const (
	// maxItemTries bounds the tries of an item whose generation fails.
	maxItemTries = 5
	// itemBackoff is the first wait after a failed try; it doubles.
	itemBackoff = time.Second
	// maxItemBackoff is the longest wait.
	maxItemBackoff = 30 * time.Second
)

// answerAll answers the items that have no line yet, several at once.
func (d *Duty) answerAll(ctx context.Context, h *hold) {
	open := h.open()
	// next gives the items to the workers; each waits for the next one.
	next := make(chan int)
	var workers sync.WaitGroup
	for range min(d.config.RequestsAtOnce, len(open)) {
		workers.Go(func() {
			for i := range next {
				d.answerItem(ctx, h, i)
			}
		})
	}
	for _, i := range open {
		select {
		case next <- i:
		case <-ctx.Done():
		}
	}
	close(next)
	workers.Wait()
}

// answerItem answers one item and keeps its line, unless ctx ends before.
func (d *Duty) answerItem(ctx context.Context, h *hold, i int) {
	for try := 1; ctx.Err() == nil; try++ {
		line, err := d.try(ctx, h, i, try)
		if ctx.Err() != nil {
			return
		}
		if err == nil || !again(err, try, d.now(), h.task.Deadline) {
			if err != nil {
				e := wire.NewError(err, requestID(h.task, i)).Error
				line.Error = &e
			}
			h.keep(line)
			return
		}
		select {
		case <-time.After(d.backoff(try)):
		case <-ctx.Done():
		}
	}
}

// again tells whether an item is tried again: while it was refused as not run
// until the deadline, and a few times where its generation failed.
func again(err error, try int, now, deadline time.Time) bool {
	switch code.Of(err) {
	case code.CallerLimit, code.QueueFull, code.ShedDeadline, code.NoEngine,
		code.RetryBudget, code.BackendFailed, code.NoDocument, code.Stopping:
		return now.Before(deadline) || try < maxItemTries
	case code.StreamBroken, code.AnswerCut, code.EngineError, code.BackendLost:
		return try < maxItemTries
	}
	return false
}

// backoff is the wait after a try, with full jitter.
func (d *Duty) backoff(try int) time.Duration {
	longest := maxItemBackoff
	if try < 6 {
		longest = min(itemBackoff<<(try-1), maxItemBackoff)
	}
	return time.Duration(d.random.Int64N(int64(longest)))
}

func requestID(j Job, i int) string {
	return j.ID + "-" + strconv.Itoa(i)
}

// try answers one item once. The request id is new in each try of each holder,
// so that frames of an earlier one are told apart.
func (d *Duty) try(ctx context.Context, h *hold, i, try int) (Line, error) {
	item := h.items[i]
	line := Line{Index: i, CustomID: item.CustomID}
	catalog, err := d.catalogs.Catalog()
	if err != nil {
		return line, err
	}
	caller, ok := catalog.Caller(h.task.Caller)
	if !ok {
		return line, code.Errorf(code.Forbidden, "caller %q is not declared any more", h.task.Caller)
	}
	g, err := item.Generation()
	if err != nil {
		return line, err
	}
	g.Priority = h.task.Priority
	id := requestID(h.task, i)
	now := d.now()
	attempt := id + "-" + strconv.Itoa(h.task.Holds) + "-" + strconv.Itoa(try)
	call, err := catalog.Call(caller, g, attempt, now)
	if err != nil {
		return line, err
	}
	call.Admission.Deadline = h.task.Deadline
	var whole relay.Whole
	if err := d.deps.Answerer.Answer(ctx, call, &whole); err != nil {
		return line, err
	}
	head := wire.Head{ID: id, Model: g.Model, Created: now.Unix(), Chat: g.Chat}
	usage := wire.NewUsage(call.Admission.Route.PromptTokens, whole.Tokens())
	body, err := head.Whole(whole.Text(), whole.Reason(), usage)
	if err != nil {
		return line, err
	}
	line.Response = &Response{StatusCode: http.StatusOK, RequestID: id, Body: body}
	return line, nil
}
