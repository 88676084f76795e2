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

// itemTime is how long the generation of an item takes.
const itemTime = 20 * time.Second

type documents struct{}

var doc = &envdoc.Document{
	Priorities: []envdoc.Priority{
		{Name: "live"},
		{Name: "night", Rank: 9, Deferred: true, Deadline: envdoc.Duration(8 * time.Hour)},
	},
	Models:  []envdoc.Model{{Name: "m", Version: "1"}},
	Callers: []envdoc.Caller{{Name: "app", Priorities: []string{"live", "night"}}},
}

func (documents) Document() (*envdoc.Document, bool) { return doc, true }

// answerer answers with the prompt and counts the generations of each.
type answerer struct {
	mu    sync.Mutex
	began map[string]int
	ended map[string]int
	fail  func(prompt string, n int) error
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
		return code.Errorf(code.CallerGone, "gone")
	}
	if a.fail != nil {
		if err := a.fail(c.Prompt, n); err != nil {
			return err
		}
	}
	a.mu.Lock()
	a.ended[c.Prompt]++
	a.mu.Unlock()
	return s.Send(relay.Piece{Text: "re " + c.Prompt, Tokens: 2, Done: true, Reason: "stop"})
}

// world is a table and objects with daemons on them.
type world struct {
	table    store.Table
	objects  *fakes.Objects
	answerer *answerer
	// saveEvery is the time between two savings of a job's answers.
	saveEvery time.Duration
	// keepFor is how long ended batches are kept; 0 for the default.
	keepFor time.Duration
	n       int
}

// daemon starts a daemon; stop ends it as its death would.
func (w *world) daemon(t *testing.T, table store.Table) (d *Duty, stop func()) {
	w.n++
	ctx, cancel := context.WithCancel(t.Context())
	d = New(ctx, Config{VM: "vm", Instance: fmt.Sprint("i", w.n), Environment: "test", JobsAtOnce: 1, PollEvery: 5 * time.Second, SaveEvery: w.saveEvery, KeepFor: w.keepFor}, Deps{
		Table: table, Objects: w.objects, Answerer: w.answerer, Documents: documents{},
	})
	return d, func() {
		cancel()
		require.NoError(t, d.Wait())
	}
}

func submission(items int) Submission {
	s := Submission{Caller: &doc.Callers[0]}
	for i := range items {
		s.Items = append(s.Items, Item{CustomID: fmt.Sprint(i), URL: PathCompletion, Body: fmt.Appendf(nil, `{"model":"m","prompt":"p%d"}`, i)})
	}
	return s
}

// done returns the number of generations that have ended.
func (a *answerer) done() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.ended)
}

// ended waits until a job has ended.
func ended(t *testing.T, d *Duty, id string) Job {
	for range 10000 {
		j, err := d.Get(t.Context(), "app", id)
		if err == nil && j.Final() {
			return j
		}
		time.Sleep(time.Second)
	}
	require.Fail(t, "the job has not ended")
	return Job{}
}

// requireWhole checks that a result holds one answer to each item, in order.
func requireWhole(t *testing.T, d *Duty, id string, items int) {
	lines, err := d.Result(t.Context(), "app", id)
	require.NoError(t, err)
	require.Len(t, lines, items)
	for i, l := range lines {
		require.Equal(t, fmt.Sprint(i), l.CustomID)
		require.Nil(t, l.Error)
		require.Contains(t, string(l.Response.Body), fmt.Sprintf(`"text":"re p%d"`, i))
	}
}

func inWorld(t *testing.T, table *fakes.Table, f func(t *testing.T, w *world)) {
	synctest.Test(t, func(t *testing.T) {
		f(t, &world{table: table, objects: &fakes.Objects{}, answerer: &answerer{}, saveEvery: 10 * time.Second})
	})
}

const items = 10

func TestBatchRunsToItsResult(t *testing.T) {
	inWorld(t, &fakes.Table{}, func(t *testing.T, w *world) {
		d, stop := w.daemon(t, w.table)
		defer stop()
		j, err := d.Submit(t.Context(), submission(items))
		require.NoError(t, err)
		lines, err := d.Result(t.Context(), "app", j.ID)
		require.NoError(t, err)
		require.Nil(t, lines)
		require.Equal(t, StateDone, ended(t, d, j.ID).State)
		requireWhole(t, d, j.ID, items)
		jobs, more, err := d.List(t.Context(), "app", "")
		require.NoError(t, err)
		require.False(t, more)
		require.Len(t, jobs, 1)
	})
}

func TestRepeatedSubmissionFindsItsJob(t *testing.T) {
	inWorld(t, &fakes.Table{}, func(t *testing.T, w *world) {
		d, stop := w.daemon(t, w.table)
		defer stop()
		s := submission(2)
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

func TestCancelledJobIsNotEndedByItsHolder(t *testing.T) {
	inWorld(t, &fakes.Table{}, func(t *testing.T, w *world) {
		d, stop := w.daemon(t, w.table)
		defer stop()
		j, err := d.Submit(t.Context(), submission(items))
		require.NoError(t, err)
		time.Sleep(itemTime)
		_, err = d.Cancel(t.Context(), "app", j.ID)
		require.NoError(t, err)
		time.Sleep(time.Hour)
		got, err := d.Get(t.Context(), "app", j.ID)
		require.NoError(t, err)
		require.Equal(t, StateCancelled, got.State)
		require.Less(t, len(w.answerer.ended), items)
		_, err = d.Result(t.Context(), "app", j.ID)
		require.Equal(t, code.BatchFailed, code.Of(err))

		j, err = d.Submit(t.Context(), submission(1))
		require.NoError(t, err)
		ended(t, d, j.ID)
		_, err = d.Cancel(t.Context(), "app", j.ID)
		require.Equal(t, code.BatchEnded, code.Of(err))
	})
}

func TestItemsAreTriedAgainWhereThatMayHelp(t *testing.T) {
	inWorld(t, &fakes.Table{}, func(t *testing.T, w *world) {
		w.answerer.fail = func(prompt string, n int) error {
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
		d, stop := w.daemon(t, w.table)
		defer stop()
		j, err := d.Submit(t.Context(), submission(4))
		require.NoError(t, err)
		got := ended(t, d, j.ID)
		require.Equal(t, 1, got.Failed)
		lines, err := d.Result(t.Context(), "app", j.ID)
		require.NoError(t, err)
		require.Equal(t, "engine_error", lines[2].Error.Name)
		require.Equal(t, maxItemTries, w.answerer.began["p2"])
	})
}

func TestSweepDeletesOldBatches(t *testing.T) {
	inWorld(t, &fakes.Table{}, func(t *testing.T, w *world) {
		d, stop := w.daemon(t, w.table)
		defer stop()
		j, err := d.Submit(t.Context(), submission(1))
		require.NoError(t, err)
		ended(t, d, j.ID)
		time.Sleep(DefaultKeepFor - time.Hour)
		_, err = d.Get(t.Context(), "app", j.ID)
		require.NoError(t, err)
		time.Sleep(2 * time.Hour)
		rows, err := w.table.Scan(t.Context(), "batch/", "", 10)
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
