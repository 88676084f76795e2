package reach

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/admit"
	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/engine"
	"github.com/limpetlb/limpetlb/limpetd/envdoc"
	"github.com/limpetlb/limpetlb/limpetd/member"
	"github.com/limpetlb/limpetlb/limpetd/route"
	_ "github.com/limpetlb/limpetlb/limpetd/seeds"
	"github.com/limpetlb/limpetlb/limpetd/store"
	"github.com/limpetlb/limpetlb/limpetd/watch"
)

// fakeEnvironment simulates three data centres, a, b and c, as seen by a daemon in a.
// An engine in a holds model "here" and one in b holds model "there".
type fakeEnvironment struct {
	vms      []store.VM
	answerer *Finder
	latency  time.Duration

	mu sync.Mutex
	// down are the unreachable data centres; queries counts the queries and slots
	// the slots in them, by data centre.
	down           map[string]bool
	queries, slots map[string]int
	sequence       int64
}

func newFakeEnvironment(daemons int) *fakeEnvironment {
	e := &fakeEnvironment{latency: 20 * time.Millisecond, down: map[string]bool{}, queries: map[string]int{}, slots: map[string]int{}}
	for i := range daemons {
		// One daemon each in a and b polls the engine there; all others are in c.
		id, centre := fmt.Sprintf("d%03d", i), "abc"[min(i, 2):][:1]
		e.vms = append(e.vms, store.VM{ID: id, Address: centre + "/" + id, Kind: store.KindEntry, DataCentre: centre, State: store.StateLive})
	}
	for id, dc := range map[string]string{"here": "a", "there": "b"} {
		e.vms = append(e.vms, store.VM{ID: id, Address: id, Kind: store.KindEngine, DataCentre: dc, State: store.StateLive})
	}
	return e
}

func (e *fakeEnvironment) VMs(context.Context) ([]store.VM, error) { return e.vms, nil }

func (e *fakeEnvironment) Report(_ context.Context, address string) (engine.Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sequence++
	slots := []envdoc.Slot{{Model: address, Version: "1"}, {Model: "other", Version: "1"}}
	return engine.Report{VM: address, Instance: "1", Sequence: e.sequence, MeasuredAt: time.Now(), BatchLimit: 8, Slots: slots}, nil
}

func (e *fakeEnvironment) CacheEvents(context.Context, string, int64) ([]engine.CacheEvent, error) {
	return nil, nil
}

// QueryHolders passes a query to the daemon of b. Daemons of c hold no slots.
func (e *fakeEnvironment) QueryHolders(ctx context.Context, address string, slots []envdoc.Slot) ([]engine.Report, error) {
	centre := address[:1]
	e.mu.Lock()
	e.queries[centre]++
	e.slots[centre] += len(slots)
	down := e.down[centre]
	e.mu.Unlock()
	if down {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	time.Sleep(e.latency)
	if centre != "b" {
		return nil, nil
	}
	return e.answerer.Holders(slots)
}

func (e *fakeEnvironment) Send(string, member.Message) error { return nil }

func (e *fakeEnvironment) Exchange(context.Context, string, member.Message) (member.Message, error) {
	return member.Message{}, errors.New("not implemented")
}

func (e *fakeEnvironment) Document(context.Context, string) (member.DocumentCopy, error) {
	return member.DocumentCopy{}, errors.New("not implemented")
}

func (e *fakeEnvironment) LiveDaemons() int { return len(e.vms) - 2 }

func (e *fakeEnvironment) counts(centre string) (queries, slots int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.queries[centre], e.slots[centre]
}

func (e *fakeEnvironment) setDown(centre string, down bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.down[centre] = down
}

type fakeDocuments struct{}

func (fakeDocuments) Document() (*envdoc.Document, bool) {
	return &envdoc.Document{Priorities: []envdoc.Priority{{Name: "live"}}}, true
}

// localDaemon is the daemon in data centre a.
type localDaemon struct {
	queue *admit.Queue
	watch *watch.Watch
	reach *Finder
}

// admit admits a request and releases it at once.
func (d *localDaemon) admit(ctx context.Context, model string, expect time.Duration) (route.Choice, error) {
	ticket, err := d.queue.Admit(ctx, admit.Request{
		Priority: "live", Route: route.Request{Model: model, Version: "1", PromptTokens: 100, ExpectedBy: time.Now().Add(expect)},
	})
	if err != nil {
		return route.Choice{}, err
	}
	defer ticket.Release(admit.OutcomeAnswered)
	return ticket.Choice(), nil
}

// withDaemon runs f with a daemon in a, in fake time.
func withDaemon(t *testing.T, env *fakeEnvironment, f func(ctx context.Context, d *localDaemon)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		self := env.vms[0]
		members := member.New(ctx, member.Config{VM: self.ID, Instance: "1", DataCentre: "a", Address: self.Address},
			member.Deps{List: env, Peers: env}, member.WithSeed(1))
		var daemonStates member.Message
		for _, vm := range env.vms[1 : len(env.vms)-2] {
			daemonStates.Daemons = append(daemonStates.Daemons, member.Daemon{VM: vm.ID, Instance: "1", Sequence: 1, DataCentre: vm.DataCentre, Address: vm.Address})
		}
		members.Receive(member.Sender{VM: env.vms[1].ID}, daemonStates)
		remoteWatch := watch.New(ctx, watch.Config{VM: env.vms[1].ID, DataCentre: "b"}, watch.Deps{VMs: members, Reporter: env})
		env.answerer = New(ctx, Deps{Peers: members, Holders: env, Answers: remoteWatch, Engines: remoteWatch})
		d := &localDaemon{watch: watch.New(ctx, watch.Config{VM: self.ID, DataCentre: "a"}, watch.Deps{VMs: members, Reporter: env})}
		d.reach = New(ctx, Deps{Peers: members, Holders: env, Answers: d.watch, Engines: d.watch}, WithRandom(rand.New(rand.NewPCG(1, 1))))
		d.queue = admit.New(ctx, admit.Config{VM: self.ID, DataCentre: "a"}, admit.Deps{
			Documents: fakeDocuments{}, Views: d.watch, Peers: env, VMs: members, Seeker: d.reach,
		})
		time.Sleep(5 * time.Second)
		f(ctx, d)
		cancel()
		for _, component := range []interface{ Wait() error }{d.queue, d.reach, d.watch, env.answerer, remoteWatch, members} {
			require.NoError(t, component.Wait())
		}
	})
}

func TestRemoteModelIsFound(t *testing.T) {
	env := newFakeEnvironment(66)
	withDaemon(t, env, func(ctx context.Context, d *localDaemon) {
		require.False(t, d.watch.View().HasHolder("there", ""))
		began := time.Now()
		choice, err := d.admit(ctx, "there", 5*time.Second)
		require.NoError(t, err)
		require.Equal(t, "there", choice.VM)
		require.Equal(t, "b", choice.DataCentre)
		require.Less(t, time.Since(began), 200*time.Millisecond)
		require.False(t, d.reach.PendingSlots()[envdoc.Slot{Model: "other", Version: "1"}])
		_, err = d.admit(ctx, "there", 5*time.Second)
		require.NoError(t, err)
		queries, _ := env.counts("b")
		require.Equal(t, 1, queries)

		time.Sleep(2 * time.Minute)
		require.False(t, d.watch.View().HasHolder("there", ""), "the answer has expired")
		queries, _ = env.counts("b")
		require.LessOrEqual(t, queries, 2, "a slot that is no longer requested is not queried")
	})
}

func TestQueriesRepeatWhileSlotIsRequested(t *testing.T) {
	for _, down := range []bool{false, true} {
		testRepeatedQueries(t, down)
	}
}

// testRepeatedQueries seeks a slot of b for a minute, with c reachable or not.
func testRepeatedQueries(t *testing.T, down bool) {
	env := newFakeEnvironment(66)
	env.down["c"] = down
	withDaemon(t, env, func(ctx context.Context, d *localDaemon) {
		const requests = 600
		for range requests {
			_, err := d.admit(ctx, "there", 5*time.Second)
			require.NoError(t, err)
			n := d.watch.View().Number("there")
			require.Equal(t, route.HealthFresh, d.watch.View().Engines[n].Health)
			time.Sleep(100 * time.Millisecond)
		}
		queries, _ := env.counts("b")
		require.Greater(t, queries, 20)
		require.LessOrEqual(t, queries, 31, "at most one query in two seconds")
		queries, _ = env.counts("c")
		require.LessOrEqual(t, queries, 16, "a data centre without the slot is queried less often")
	})
}

func TestConcurrentRequestsShareOneQuery(t *testing.T) {
	env := newFakeEnvironment(66)
	withDaemon(t, env, func(ctx context.Context, d *localDaemon) {
		var wait sync.WaitGroup
		for range 200 {
			wait.Go(func() {
				_, err := d.admit(ctx, "there", 30*time.Second)
				require.NoError(t, err)
			})
		}
		wait.Wait()
		queries, slots := env.counts("b")
		require.Equal(t, 1, queries)
		require.Equal(t, 1, slots)
	})
}

func TestNoQueryWhileLocalEnginesHaveCapacity(t *testing.T) {
	env := newFakeEnvironment(66)
	withDaemon(t, env, func(ctx context.Context, d *localDaemon) {
		for range 50 {
			choice, err := d.admit(ctx, "here", 5*time.Second)
			require.NoError(t, err)
			require.Equal(t, "here", choice.VM)
			time.Sleep(100 * time.Millisecond)
		}
		queries, _ := env.counts("b")
		require.Zero(t, queries)
	})
}

func TestRequestsSpillToRemoteEngine(t *testing.T) {
	env := newFakeEnvironment(66)
	withDaemon(t, env, func(ctx context.Context, d *localDaemon) {
		got := make(map[string]int)
		for range 40 {
			ticket, err := d.queue.Admit(ctx, admit.Request{
				Priority: "live", Route: route.Request{Model: "other", Version: "1", PromptTokens: 100, ExpectedBy: time.Now().Add(20 * time.Second)},
			})
			if err != nil {
				break
			}
			got[ticket.Choice().VM]++
		}
		require.Positive(t, got["here"])
		require.Positive(t, got["there"], "%v", got)
	})
}

func TestPartition(t *testing.T) {
	env := newFakeEnvironment(66)
	withDaemon(t, env, func(ctx context.Context, d *localDaemon) {
		env.setDown("c", true)
		began := time.Now()
		_, err := d.admit(ctx, "there", 5*time.Second)
		require.NoError(t, err)
		require.Less(t, time.Since(began), 200*time.Millisecond, "an unreachable data centre does not delay the answer of another")

		time.Sleep(time.Minute)
		env.setDown("b", true)
		began = time.Now()
		_, err = d.admit(ctx, "there", 10*time.Second)
		require.Equal(t, code.NoEngine, code.Of(err))
		require.Less(t, time.Since(began), 2*queryTimeout, "rejected as soon as no answer is expected any more")
		_, err = d.admit(ctx, "here", 5*time.Second)
		require.NoError(t, err)

		env.setDown("b", false)
		time.Sleep(missedPeriod + missedPeriod/jitterDivisor)
		_, err = d.admit(ctx, "there", 5*time.Second)
		require.NoError(t, err)
	})
}

func TestSmallEnvironmentSendsNoQueries(t *testing.T) {
	env := newFakeEnvironment(64)
	withDaemon(t, env, func(ctx context.Context, d *localDaemon) {
		began := time.Now()
		_, err := d.admit(ctx, "absent", 5*time.Second)
		require.Equal(t, code.NoEngine, code.Of(err))
		require.Less(t, time.Since(began), queryTimeout)
		queries, _ := env.counts("b")
		require.Zero(t, queries)
	})
}

// TestQueryBytesAreBounded seeks more slots than the byte budget allows, for two
// minutes.
func TestQueryBytesAreBounded(t *testing.T) {
	env := newFakeEnvironment(66)
	withDaemon(t, env, func(_ context.Context, d *localDaemon) {
		const duration = 2 * time.Minute
		for i := range int(duration / (500 * time.Millisecond)) {
			var slots []envdoc.Slot
			for k := range 900 {
				slots = append(slots, envdoc.Slot{Model: fmt.Sprint("m", (i+k)%900)})
			}
			d.reach.RequestEngines(slots)
			require.LessOrEqual(t, len(d.reach.PendingSlots()), maxRequestedSlots)
			time.Sleep(500 * time.Millisecond)
		}
		spent := 0
		for _, centre := range []string{"b", "c"} {
			queries, slots := env.counts(centre)
			spent += queries*queryBytes + slots*slotBytes
			require.Positive(t, queries)
		}
		require.LessOrEqual(t, spent, bytesPerSecond*int(duration/time.Second)+burstBytes)
	})
}

func TestAnswersAreBounded(t *testing.T) {
	env := newFakeEnvironment(66)
	withDaemon(t, env, func(context.Context, *localDaemon) {
		for range burstBytes / queryBytes {
			_, _ = env.answerer.Holders([]envdoc.Slot{{Model: "there", Version: "1"}})
		}
		_, err := env.answerer.Holders([]envdoc.Slot{{Model: "there", Version: "1"}})
		require.Equal(t, code.QueueFull, code.Of(err))
	})
}
