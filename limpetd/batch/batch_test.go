package batch

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/envdoc"
	"github.com/limpetlb/limpetlb/limpetd/fakes"
	"github.com/limpetlb/limpetlb/limpetd/relay"
	_ "github.com/limpetlb/limpetlb/limpetd/seeds"
	"github.com/limpetlb/limpetlb/limpetd/store"
)

// itemTime is how long the answerer takes to generate the answer to an item.
const itemTime = 20 * time.Second

// documents provides doc as the current document.
type documents struct{}

// doc has one caller with a live and a deferred priority.
var doc = &envdoc.Document{
	Priorities: []envdoc.Priority{
		{Name: "live"},
		{Name: "night", Rank: 9, Deferred: true, Deadline: envdoc.Duration(8 * time.Hour)},
	},
	Models:  []envdoc.Model{{Name: "m", Version: "1"}},
	Callers: []envdoc.Caller{{Name: "app", Priorities: []string{"live", "night"}}},
}

func (documents) Document() (*envdoc.Document, bool) { return doc, true }

// answerer answers a request with its prompt and counts the generations of each prompt.
type answerer struct {
	mu sync.Mutex
	// began and ended are the numbers of generations by prompt.
	began map[string]int
	ended map[string]int
	// fail returns the error of a generation, if any; n is the number of earlier
	// generations of the prompt.
	fail func(prompt string, n int) error
}

func (a *answerer) Answer(ctx context.Context, c relay.Call, s relay.Sink) error {
	a.mu.Lock()
	if a.began == nil {
		a.began = make(map[string]int)
		a.ended = make(map[string]int)
	}
	n := a.began[c.Prompt]
	a.began[c.Prompt]++
	a.mu.Unlock()
	select {
	case <-time.After(itemTime):
	case <-ctx.Done():
		return code.Errorf(code.CallerGone, "the caller has left")
	}
	if a.fail != nil {
		if err := a.fail(c.Prompt, n); err != nil {
			return err
		}
	}
	a.mu.Lock()
	a.ended[c.Prompt]++
	a.mu.Unlock()
	return s.Send(relay.Chunk{Text: "re " + c.Prompt, Tokens: 2, Done: true, Reason: "stop"})
}

// testEnv is the environment of a test: a table, an object store and an answerer that
// several daemons share.
type testEnv struct {
	table    store.Table
	objects  *fakes.Objects
	answerer *answerer
	// saveEvery is Config.SaveInterval of the daemons.
	saveEvery time.Duration
	// keepFor is Config.Retention of the daemons; 0 for the default.
	keepFor time.Duration
	// daemons is the number of daemons started.
	daemons int
}

// startDaemon starts a daemon that uses the given table; stop cancels the daemon's
// context and waits until the daemon has ended.
func (e *testEnv) startDaemon(t *testing.T, table store.Table) (d *Manager, stop func()) {
	e.daemons++
	ctx, cancel := context.WithCancel(t.Context())
	d = New(ctx, Config{VM: "vm", Instance: fmt.Sprint("i", e.daemons), Environment: "test", MaxConcurrentJobs: 1, PollInterval: 5 * time.Second, SaveInterval: e.saveEvery, Retention: e.keepFor}, Deps{
		Table: table, Objects: e.objects, Answerer: e.answerer, Documents: documents{},
	})
	return d, func() {
		cancel()
		require.NoError(t, d.Wait())
	}
}

// newSubmission returns a batch with items whose prompts are p0, p1 and so on.
func newSubmission(items int) Submission {
	s := Submission{Caller: &doc.Callers[0]}
	for i := range items {
		s.Items = append(s.Items, Item{CustomID: fmt.Sprint(i), URL: PathCompletion, Body: fmt.Appendf(nil, `{"model":"m","prompt":"p%d"}`, i)})
	}
	return s
}

// countAnswered returns the number of prompts for which a generation has ended.
func (a *answerer) countAnswered() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.ended)
}

// waitEnded waits until a job has ended and returns it.
func waitEnded(t *testing.T, d *Manager, id string) Job {
	for range 10000 {
		j, err := d.Get(t.Context(), "app", id)
		if err == nil && j.HasEnded() {
			return j
		}
		time.Sleep(time.Second)
	}
	require.Fail(t, "the job has not ended")
	return Job{}
}

// requireComplete checks that a result holds exactly one answer to each item, in order.
func requireComplete(t *testing.T, d *Manager, id string, items int) {
	lines, err := d.Result(t.Context(), "app", id)
	require.NoError(t, err)
	require.Len(t, lines, items)
	for i, l := range lines {
		require.Equal(t, fmt.Sprint(i), l.CustomID)
		require.Nil(t, l.Error)
		require.Contains(t, string(l.Response.Body), fmt.Sprintf(`"text":"re p%d"`, i))
	}
}

// runInTestEnv runs f in a synctest bubble with a testEnv that uses the table.
func runInTestEnv(t *testing.T, table *fakes.Table, f func(t *testing.T, e *testEnv)) {
	synctest.Test(t, func(t *testing.T) {
		f(t, &testEnv{table: table, objects: &fakes.Objects{}, answerer: &answerer{}, saveEvery: 10 * time.Second})
	})
}

// itemCount is the number of items in the larger batches.
const itemCount = 10

func TestBatchRunsToResult(t *testing.T) {
	runInTestEnv(t, &fakes.Table{}, func(t *testing.T, e *testEnv) {
		d, stop := e.startDaemon(t, e.table)
		defer stop()
		j, err := d.Submit(t.Context(), newSubmission(itemCount))
		require.NoError(t, err)
		lines, err := d.Result(t.Context(), "app", j.ID)
		require.NoError(t, err)
		require.Nil(t, lines)
		require.Equal(t, StateDone, waitEnded(t, d, j.ID).State)
		requireComplete(t, d, j.ID, itemCount)
		jobs, more, err := d.List(t.Context(), "app", "")
		require.NoError(t, err)
		require.False(t, more)
		require.Len(t, jobs, 1)
	})
}

func TestRepeatedSubmissionReturnsSameJob(t *testing.T) {
	runInTestEnv(t, &fakes.Table{}, func(t *testing.T, e *testEnv) {
		d, stop := e.startDaemon(t, e.table)
		defer stop()
		s := newSubmission(2)
		s.Key = "k"
		first, err := d.Submit(t.Context(), s)
		require.NoError(t, err)
		second, err := d.Submit(t.Context(), s)
		require.NoError(t, err)
		require.Equal(t, first.ID, second.ID)
		s.Items = s.Items[:1]
		_, err = d.Submit(t.Context(), s)
		require.Equal(t, code.ClaimMismatch, code.Of(err))
	})
}

// TestLeaseHolderDoesNotEndCancelledJob cancels a job while a daemon runs it. The lease
// holder must stop and leave the job cancelled.
func TestLeaseHolderDoesNotEndCancelledJob(t *testing.T) {
	runInTestEnv(t, &fakes.Table{}, func(t *testing.T, e *testEnv) {
		d, stop := e.startDaemon(t, e.table)
		defer stop()
		j, err := d.Submit(t.Context(), newSubmission(itemCount))
		require.NoError(t, err)
		time.Sleep(itemTime)
		_, err = d.Cancel(t.Context(), "app", j.ID)
		require.NoError(t, err)
		time.Sleep(time.Hour)
		got, err := d.Get(t.Context(), "app", j.ID)
		require.NoError(t, err)
		require.Equal(t, StateCancelled, got.State)
		require.Less(t, len(e.answerer.ended), itemCount)
		_, err = d.Result(t.Context(), "app", j.ID)
		require.Equal(t, code.BatchFailed, code.Of(err))

		j, err = d.Submit(t.Context(), newSubmission(1))
		require.NoError(t, err)
		waitEnded(t, d, j.ID)
		_, err = d.Cancel(t.Context(), "app", j.ID)
		require.Equal(t, code.BatchEnded, code.Of(err))
	})
}

// TestItemsAreRetriedAccordingToError checks that items that were rejected before they
// ran are retried until they succeed, and that items whose generation failed are
// attempted maxItemAttempts times at most.
func TestItemsAreRetriedAccordingToError(t *testing.T) {
	runInTestEnv(t, &fakes.Table{}, func(t *testing.T, e *testEnv) {
		e.answerer.fail = func(prompt string, n int) error {
			switch {
			case prompt == "p0" && n < 20:
				return code.Errorf(code.QueueFull, "full")
			case prompt == "p3" && n < 3:
				return code.Errorf(code.Stopping, "stopping")
			case prompt == "p1" && n < 2:
				return code.Errorf(code.StreamBroken, "broken")
			case prompt == "p2":
				return code.Errorf(code.EngineError, "fault")
			}
			return nil
		}
		d, stop := e.startDaemon(t, e.table)
		defer stop()
		j, err := d.Submit(t.Context(), newSubmission(4))
		require.NoError(t, err)
		got := waitEnded(t, d, j.ID)
		require.Equal(t, 1, got.FailedItems)
		lines, err := d.Result(t.Context(), "app", j.ID)
		require.NoError(t, err)
		require.Equal(t, "engine_error", lines[2].Error.Name)
		require.Equal(t, maxItemAttempts, e.answerer.began["p2"])
	})
}

func TestSweepDeletesRowsOfOldBatches(t *testing.T) {
	runInTestEnv(t, &fakes.Table{}, func(t *testing.T, e *testEnv) {
		d, stop := e.startDaemon(t, e.table)
		defer stop()
		j, err := d.Submit(t.Context(), newSubmission(1))
		require.NoError(t, err)
		waitEnded(t, d, j.ID)
		time.Sleep(DefaultRetention - time.Hour)
		_, err = d.Get(t.Context(), "app", j.ID)
		require.NoError(t, err)
		time.Sleep(2 * time.Hour)
		rows, err := e.table.Scan(t.Context(), "batch/", "", 10)
		require.NoError(t, err)
		require.Empty(t, rows)
	})
}

func FuzzItem(f *testing.F) {
	f.Add(PathChat, `{"model":"m","messages":[{"role":"user","content":"x"}]}`)
	f.Add(PathCompletion, `{"model":"m","prompt":["x"]}`)
	f.Add("/v1/orders", `{}`)
	f.Fuzz(func(t *testing.T, url, body string) {
		g, err := Item{URL: url, Body: []byte(body)}.Generation()
		if err != nil {
			require.Contains(t, []code.Code{code.MalformedBody, code.BadParameter}, code.Of(err))
			return
		}
		require.NotEmpty(t, g.Model)
		require.Positive(t, g.MaxTokens)
		require.True(t, strings.HasPrefix(url, "/v1/c"))
	})
}
