package admit

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/engine"
	"github.com/limpetlb/limpetlb/limpetd/envdoc"
	"github.com/limpetlb/limpetlb/limpetd/event"
	"github.com/limpetlb/limpetlb/limpetd/route"
	"github.com/limpetlb/limpetlb/limpetd/store"
)

// fixture provides the dependencies of a Queue.
type fixture struct {
	doc  *envdoc.Document
	view *route.View
	vms  []store.VM
}

func (f *fixture) Document() (*envdoc.Document, bool) { return f.doc, f.doc != nil }
func (f *fixture) View() *route.View                  { return f.view }
func (f *fixture) LiveDaemons() int                   { return 1 }
func (f *fixture) VMs() []store.VM                    { return f.vms }

var testSlot = envdoc.Slot{Model: "m", Version: "1"}

// testEngine returns an engine that holds testSlot.
func testEngine(vm string, at time.Time, batch int) route.Engine {
	return route.Engine{
		VM: vm, Address: vm, DataCentre: "a", MeasuredAt: at, PromptRate: 1000,
		Report: engine.Report{VM: vm, Instance: "1", Sequence: 1, BatchLimit: batch, Slots: []envdoc.Slot{testSlot}},
	}
}

// newFixture returns a fixture with one engine and three priorities.
func newFixture(now time.Time, batch int) *fixture {
	return &fixture{
		doc: &envdoc.Document{
			Priorities: []envdoc.Priority{
				{Name: "live", Rank: 0},
				{Name: "draft", Rank: 1},
				{Name: "night", Rank: 2, Deferred: true, Deadline: envdoc.Duration(time.Hour)},
			},
			Callers: []envdoc.Caller{{Name: "limited", RequestsPerSecond: 2}},
		},
		view: route.NewView("a", []route.Engine{testEngine("e1", now, batch)}, nil, nil),
	}
}

// deps returns the fixture as the dependencies of a Queue.
func (f *fixture) deps() Deps {
	return Deps{Documents: f, Views: f, Peers: f, VMs: f}
}

// request returns a request whose first token is expected within expect.
func request(now time.Time, priority string, rank int, expect time.Duration) Request {
	return Request{
		Priority: priority,
		Route:    route.Request{Model: "m", Version: "1", Rank: rank, PromptTokens: 100, ExpectedBy: now.Add(expect)},
	}
}

func TestQueueGrantsWhenRoomIsFreed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := newFixture(time.Now(), 1)
		q := New(ctx, Config{VM: "d", DataCentre: "a"}, f.deps())
		first, err := q.Admit(ctx, request(time.Now(), "live", 0, time.Second))
		require.NoError(t, err)
		require.Equal(t, "e1", first.Choice().VM)
		done := make(chan error, 1)
		go func() {
			_, err := q.Admit(ctx, request(time.Now(), "live", 0, 2*time.Second))
			done <- err
		}()
		synctest.Wait()
		require.Empty(t, done)
		first.Release(OutcomeAnswered)
		require.NoError(t, <-done)
		cancel()
		require.NoError(t, q.Wait())
	})
}

func TestQueueRefusesBeforeTheExpectedTimePasses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := newFixture(time.Now(), 1)
		q := New(ctx, Config{VM: "d", DataCentre: "a"}, f.deps())
		_, err := q.Admit(ctx, request(time.Now(), "live", 0, time.Second))
		require.NoError(t, err)
		started := time.Now()
		_, err = q.Admit(ctx, request(started, "live", 0, time.Second))
		require.Equal(t, code.ShedDeadline, code.Of(err))
		require.Equal(t, code.RunNo, code.RunOf(err))
		require.Positive(t, RetryAfter(err))
		require.Less(t, time.Since(started), time.Second)
		cancel()
		require.NoError(t, q.Wait())
	})
}

func TestQueueCancelsTheCallOfAGoneCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := newFixture(time.Now(), 1)
		q := New(ctx, Config{VM: "d", DataCentre: "a"}, f.deps())
		first, err := q.Admit(ctx, request(time.Now(), "live", 0, time.Minute))
		require.NoError(t, err)
		gone, cancelCaller := context.WithCancel(ctx)
		time.AfterFunc(100*time.Millisecond, cancelCaller)
		_, err = q.Admit(gone, request(time.Now(), "live", 0, time.Minute))
		require.Equal(t, code.CallerGone, code.Of(err))
		first.Release(OutcomeAnswered)
		next, err := q.Admit(ctx, request(time.Now(), "live", 0, time.Minute))
		require.NoError(t, err)
		next.Release(OutcomeAnswered)
		require.Zero(t, q.state.Waiting())
		cancel()
		require.NoError(t, q.Wait())
	})
}

func TestQueueNoEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := newFixture(time.Now(), 1)
		q := New(ctx, Config{VM: "d", DataCentre: "a"}, f.deps())
		r := request(time.Now(), "live", 0, time.Minute)
		r.Route.Model = "absent"
		_, err := q.Admit(ctx, r)
		require.Equal(t, code.NoEngine, code.Of(err))
		require.Equal(t, noEngineWait, time.Since(r.Route.ExpectedBy.Add(-time.Minute)).Truncate(100*time.Millisecond))
		cancel()
		require.NoError(t, q.Wait())
	})
}

func TestQueueLogsEjectedEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := newFixture(time.Now(), 16)
		engines := []route.Engine{testEngine("e1", time.Now(), 16), testEngine("e2", time.Now(), 16)}
		f.view = route.NewView("a", engines, nil, nil)
		d := f.deps()
		d.Events = event.New("d")
		q := New(ctx, Config{VM: "d", DataCentre: "a"}, d)
		for range 2 * ejectAfterFailures {
			ticket, err := q.Admit(ctx, request(time.Now(), "live", 0, time.Minute))
			require.NoError(t, err)
			ticket.Release(OutcomeFailed)
		}
		time.Sleep(2 * idlePeriod)
		require.Len(t, d.Events.Select(event.Filter{}), 1, "only one of two engines may be ejected")
		time.Sleep(baseEjectionTime)
		logged := d.Events.Select(event.Filter{})
		require.Len(t, logged, 2)
		require.Equal(t, event.EngineEjected, logged[0].Kind)
		require.Equal(t, event.EngineRestored, logged[1].Kind)
		require.Equal(t, logged[0].VM, logged[1].VM)
		cancel()
		require.NoError(t, q.Wait())
	})
}
