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

// world is an environment of three data centres, a, b and c, as a daemon of a
// sees it: an engine in a holds model "here" and one in b model "there".
type world struct {
	list   []store.VM
	answer *Reach
	lag    time.Duration

	mu sync.Mutex
	// down are the data centres that cannot be reached; asked counts the
	// questions, slots the slots in them, by data centre.
	down         map[string]bool
	asked, slots map[string]int
	sequence     int64
}

func newWorld(daemons int) *world {
	w := &world{lag: 20 * time.Millisecond, down: map[string]bool{}, asked: map[string]int{}, slots: map[string]int{}}
	for i := range daemons {
		// One daemon each in a and b reads the engine there; all others are in c.
		id, centre := fmt.Sprintf("d%03d", i), "abc"[min(i, 2):][:1]
		w.list = append(w.list, store.VM{ID: id, Address: centre + "/" + id, Kind: store.KindEntry, DataCentre: centre, State: store.StateLive})
	}
	for id, dc := range map[string]string{"here": "a", "there": "b"} {
		w.list = append(w.list, store.VM{ID: id, Address: id, Kind: store.KindEngine, DataCentre: dc, State: store.StateLive})
	}
	return w
}

func (w *world) VMs(context.Context) ([]store.VM, error) { return w.list, nil }

func (w *world) Report(_ context.Context, address string) (engine.Report, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sequence++
	slots := []envdoc.Slot{{Model: address, Version: "1"}, {Model: "other", Version: "1"}}
	return engine.Report{VM: address, Instance: "1", Sequence: w.sequence, At: time.Now(), BatchLimit: 8, Slots: slots}, nil
}

func (w *world) CacheEvents(context.Context, string, int64) ([]engine.CacheEvent, error) {
	return nil, nil
}

// Holders carries a question to the daemon of b, or to one of c that knows none.
func (w *world) Holders(ctx context.Context, address string, slots []envdoc.Slot) ([]engine.Report, error) {
	centre := address[:1]
	w.mu.Lock()
	w.asked[centre]++
	w.slots[centre] += len(slots)
	down := w.down[centre]
	w.mu.Unlock()
	if down {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	time.Sleep(w.lag)
	if centre != "b" {
		return nil, nil
	}
	return w.answer.Holders(slots)
}

func (w *world) Tell(string, member.Message) error { return nil }

func (w *world) Exchange(context.Context, string, member.Message) (member.Message, error) {
	return member.Message{}, errors.New("mute")
}

func (w *world) Document(context.Context, string) (member.Copy, error) {
	return member.Copy{}, errors.New("mute")
}

func (w *world) Daemons() int { return len(w.list) - 2 }

func (w *world) counts(centre string) (asked, slots int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.asked[centre], w.slots[centre]
}

func (w *world) cut(centre string, down bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.down[centre] = down
}

type documents struct{}

func (documents) Document() (*envdoc.Document, bool) {
	return &envdoc.Document{Priorities: []envdoc.Priority{{Name: "live"}}}, true
}

// daemon is the daemon of a.
type daemon struct {
	queue *admit.Queue
	watch *watch.Watch
	reach *Reach
}

// admit admits a call and gives its room back.
func (d *daemon) admit(ctx context.Context, model string, expect time.Duration) (route.Choice, error) {
	ticket, err := d.queue.Admit(ctx, admit.Request{
		Priority: "live", Route: route.Request{Model: model, Version: "1", PromptTokens: 100, Expected: time.Now().Add(expect)},
	})
	if err != nil {
		return route.Choice{}, err
	}
	defer ticket.Release(admit.OutcomeAnswered)
	return ticket.Choice(), nil
}

// run runs f with a daemon of a in a world, in fake time.
func run(t *testing.T, w *world, f func(ctx context.Context, d *daemon)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		self := w.list[0]
		members := member.New(ctx, member.Config{VM: self.ID, Instance: "1", DataCentre: "a", Address: self.Address},
			member.Deps{List: w, Peers: w}, member.WithSeed(1))
		var all member.Message
		for _, vm := range w.list[1 : len(w.list)-2] {
			all.Daemons = append(all.Daemons, member.Daemon{VM: vm.ID, Instance: "1", Sequence: 1, DataCentre: vm.DataCentre, Address: vm.Address})
		}
		members.Receive(member.Sender{VM: w.list[1].ID}, all)
		there := watch.New(ctx, watch.Config{VM: w.list[1].ID, DataCentre: "b"}, watch.Deps{VMs: members, Reporter: w})
		w.answer = New(ctx, Deps{Peers: members, Questions: w, Answers: there, Engines: there})
		d := &daemon{watch: watch.New(ctx, watch.Config{VM: self.ID, DataCentre: "a"}, watch.Deps{VMs: members, Reporter: w})}
		d.reach = New(ctx, Deps{Peers: members, Questions: w, Answers: d.watch, Engines: d.watch}, WithRandom(rand.New(rand.NewPCG(1, 1))))
		d.queue = admit.New(ctx, admit.Config{VM: self.ID, DataCentre: "a"}, admit.Deps{
			Documents: documents{}, Views: d.watch, Peers: w, VMs: members, Seeker: d.reach,
		})
		time.Sleep(5 * time.Second)
		f(ctx, d)
		cancel()
		for _, x := range []interface{ Wait() error }{d.queue, d.reach, d.watch, w.answer, there, members} {
			require.NoError(t, x.Wait())
		}
	})
}

func TestModelOfAnotherDataCentreAnswers(t *testing.T) {
	w := newWorld(66)
	run(t, w, func(ctx context.Context, d *daemon) {
		require.False(t, d.watch.View().Holds("there", ""))
		began := time.Now()
		choice, err := d.admit(ctx, "there", 5*time.Second)
		require.NoError(t, err)
		require.Equal(t, "there", choice.VM)
		require.Equal(t, "b", choice.DataCentre)
		require.Less(t, time.Since(began), 200*time.Millisecond)
		require.False(t, d.reach.Sought()[envdoc.Slot{Model: "other", Version: "1"}])
		_, err = d.admit(ctx, "there", 5*time.Second)
		require.NoError(t, err)
		asked, _ := w.counts("b")
		require.Equal(t, 1, asked)

		time.Sleep(2 * time.Minute)
		require.False(t, d.watch.View().Holds("there", ""), "what an answer told is forgotten")
		asked, _ = w.counts("b")
		require.LessOrEqual(t, asked, 2, "nothing is asked that nobody wants")
	})
}

func TestQuestionsGoOnWhileRequestsDo(t *testing.T) {
	for _, down := range []bool{false, true} {
		questionsGoOn(t, down)
	}
}

// questionsGoOn asks for a slot of b for a minute, with c reachable or not.
func questionsGoOn(t *testing.T, down bool) {
	w := newWorld(66)
	w.down["c"] = down
	run(t, w, func(ctx context.Context, d *daemon) {
		const spans = 600
		for range spans {
			_, err := d.admit(ctx, "there", 5*time.Second)
			require.NoError(t, err)
			n := d.watch.View().Number("there")
			require.Equal(t, route.HealthFresh, d.watch.View().Engines[n].Health)
			time.Sleep(100 * time.Millisecond)
		}
		asked, _ := w.counts("b")
		require.Greater(t, asked, 20)
		require.LessOrEqual(t, asked, 31, "one question in two seconds at most")
		asked, _ = w.counts("c")
		require.LessOrEqual(t, asked, 16, "a data centre without the slot is asked less")
	})
}

func TestManyRequestsAskOnce(t *testing.T) {
	w := newWorld(66)
	run(t, w, func(ctx context.Context, d *daemon) {
		var wait sync.WaitGroup
		for range 200 {
			wait.Go(func() {
				_, err := d.admit(ctx, "there", 30*time.Second)
				require.NoError(t, err)
			})
		}
		wait.Wait()
		asked, slots := w.counts("b")
		require.Equal(t, 1, asked)
		require.Equal(t, 1, slots)
	})
}

func TestNoQuestionWhileOwnEnginesHaveRoom(t *testing.T) {
	w := newWorld(66)
	run(t, w, func(ctx context.Context, d *daemon) {
		for range 50 {
			choice, err := d.admit(ctx, "here", 5*time.Second)
			require.NoError(t, err)
			require.Equal(t, "here", choice.VM)
			time.Sleep(100 * time.Millisecond)
		}
		asked, _ := w.counts("b")
		require.Zero(t, asked)
	})
}

func TestCrowdedOwnEnginesSpill(t *testing.T) {
	w := newWorld(66)
	run(t, w, func(ctx context.Context, d *daemon) {
		got := make(map[string]int)
		for range 40 {
			ticket, err := d.queue.Admit(ctx, admit.Request{
				Priority: "live", Route: route.Request{Model: "other", Version: "1", PromptTokens: 100, Expected: time.Now().Add(20 * time.Second)},
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
	w := newWorld(66)
	run(t, w, func(ctx context.Context, d *daemon) {
		w.cut("c", true)
		began := time.Now()
		_, err := d.admit(ctx, "there", 5*time.Second)
		require.NoError(t, err)
		require.Less(t, time.Since(began), 200*time.Millisecond, "c costs nothing but its answer")

		time.Sleep(time.Minute)
		w.cut("b", true)
		began = time.Now()
		_, err = d.admit(ctx, "there", 10*time.Second)
		require.Equal(t, code.NoEngine, code.Of(err))
		require.Less(t, time.Since(began), 2*askTimeout, "refused as soon as nobody may answer")
		_, err = d.admit(ctx, "here", 5*time.Second)
		require.NoError(t, err)

		w.cut("b", false)
		time.Sleep(missedPeriod + missedPeriod/jitterShare)
		_, err = d.admit(ctx, "there", 5*time.Second)
		require.NoError(t, err)
	})
}

func TestSmallEnvironmentAsksNobody(t *testing.T) {
	w := newWorld(64)
	run(t, w, func(ctx context.Context, d *daemon) {
		began := time.Now()
		_, err := d.admit(ctx, "absent", 5*time.Second)
		require.Equal(t, code.NoEngine, code.Of(err))
		require.Less(t, time.Since(began), askTimeout)
		asked, _ := w.counts("b")
		require.Zero(t, asked)
	})
}

// TestBytesAreBounded wants more slots than may be asked for, for two minutes.
func TestBytesAreBounded(t *testing.T) {
	w := newWorld(66)
	run(t, w, func(_ context.Context, d *daemon) {
		const span = 2 * time.Minute
		for i := range int(span / (500 * time.Millisecond)) {
			var slots []envdoc.Slot
			for k := range 900 {
				slots = append(slots, envdoc.Slot{Model: fmt.Sprint("m", (i+k)%900)})
			}
			d.reach.Seek(slots)
			require.LessOrEqual(t, len(d.reach.Sought()), maxWishes)
			time.Sleep(500 * time.Millisecond)
		}
		spent := 0
		for _, centre := range []string{"b", "c"} {
			asked, slots := w.counts(centre)
			spent += asked*questionBytes + slots*slotBytes
			require.Positive(t, asked)
		}
		require.LessOrEqual(t, spent, bytesPerSecond*int(span/time.Second)+burstBytes)
	})
}

func TestAnswersAreBounded(t *testing.T) {
	w := newWorld(66)
	run(t, w, func(context.Context, *daemon) {
		for range burstBytes / questionBytes {
			_, _ = w.answer.Holders([]envdoc.Slot{{Model: "there", Version: "1"}})
		}
		_, err := w.answer.Holders([]envdoc.Slot{{Model: "there", Version: "1"}})
		require.Equal(t, code.QueueFull, code.Of(err))
	})
}
