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

// Limits on the attempts to answer one item.
const (
	// maxItemAttempts is the maximum number of attempts for an item whose
	// generation fails.
	maxItemAttempts = 5
	// itemBackoff is the maximum backoff after the first attempt. The maximum doubles
	// with each further attempt.
	itemBackoff = time.Second
	// maxItemBackoff is the maximum backoff after any attempt.
	maxItemBackoff = 30 * time.Second
)

// answerItems answers the items that have no line yet, several of them concurrently.
// It returns when each item has a line or ctx ends.
func (d *Manager) answerItems(ctx context.Context, r *jobRun) {
	open := r.unanswered()
	// next passes the indexes of the items to the workers.
	next := make(chan int)
	var workers sync.WaitGroup
	for range min(d.config.MaxRequestsInFlight, len(open)) {
		workers.Go(func() {
			for i := range next {
				d.answerItem(ctx, r, i)
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

// answerItem answers the item with index i and records its line, unless ctx ends
// before. It makes further attempts while canRetry allows them.
func (d *Manager) answerItem(ctx context.Context, r *jobRun, i int) {
	for attempt := 1; ctx.Err() == nil; attempt++ {
		line, err := d.answerOnce(ctx, r, i, attempt)
		if ctx.Err() != nil {
			return
		}
		if err == nil || !canRetry(err, attempt, d.now(), r.initial.Deadline) {
			if err != nil {
				e := wire.NewError(err, requestID(r.initial, i)).Error
				line.Error = &e
			}
			r.addLine(line)
			return
		}
		select {
		case <-time.After(d.backoff(attempt)):
		case <-ctx.Done():
		}
	}
}

// canRetry reports whether an item is attempted again after err. An item whose generation
// failed is attempted up to maxItemAttempts times. An item that was rejected before it
// ran is attempted any number of times before the deadline; after the deadline, only
// while it has had fewer than maxItemAttempts attempts. Other errors are final.
func canRetry(err error, attempt int, now, deadline time.Time) bool {
	switch code.Of(err) {
	case code.CallerLimit, code.QueueFull, code.ShedDeadline, code.NoEngine,
		code.RetryBudget, code.BackendFailed, code.NoDocument, code.Stopping:
		return now.Before(deadline) || attempt < maxItemAttempts
	case code.StreamBroken, code.AnswerCut, code.EngineError, code.BackendLost:
		return attempt < maxItemAttempts
	}
	return false
}

// backoff returns the time to wait after an attempt: a random time (full jitter) below
// a maximum that doubles with each attempt, from itemBackoff up to maxItemBackoff.
func (d *Manager) backoff(attempt int) time.Duration {
	limit := maxItemBackoff
	if attempt < 6 {
		limit = min(itemBackoff<<(attempt-1), maxItemBackoff)
	}
	return time.Duration(d.random.Int64N(int64(limit)))
}

// requestID returns the request id that the answer to the item with index i carries.
func requestID(j Job, i int) string {
	return j.ID + "-" + strconv.Itoa(i)
}

// answerOnce makes one attempt to answer the item with index i. The id of the call
// contains the number of the lease and of the attempt, so that frames of an earlier
// attempt can be recognized.
func (d *Manager) answerOnce(ctx context.Context, r *jobRun, i, attempt int) (ItemResult, error) {
	item := r.items[i]
	line := ItemResult{Index: i, CustomID: item.CustomID}
	catalog, err := d.catalogs.Catalog()
	if err != nil {
		return line, err
	}
	caller, ok := catalog.Caller(r.initial.Caller)
	if !ok {
		return line, code.Errorf(code.Forbidden, "caller %q is no longer declared", r.initial.Caller)
	}
	g, err := item.Generation()
	if err != nil {
		return line, err
	}
	g.Priority = r.initial.Priority
	id := requestID(r.initial, i)
	now := d.now()
	callID := id + "-" + strconv.Itoa(r.initial.LeaseCount) + "-" + strconv.Itoa(attempt)
	call, err := catalog.Call(caller, g, callID, now)
	if err != nil {
		return line, err
	}
	call.Admission.Deadline = r.initial.Deadline
	var answer relay.AnswerBuffer
	if err := d.deps.Answerer.Answer(ctx, call, &answer); err != nil {
		return line, err
	}
	head := wire.ResponseEncoder{ID: id, Model: g.Model, Created: now.Unix(), Chat: g.Chat}
	usage := wire.NewUsage(call.Admission.Route.PromptTokens, answer.Tokens())
	body, err := head.Response(answer.Text(), answer.Reason(), usage)
	if err != nil {
		return line, err
	}
	line.Response = &Response{StatusCode: http.StatusOK, RequestID: id, Body: body}
	return line, nil
}
