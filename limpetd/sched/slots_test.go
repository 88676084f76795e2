package sched_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/layout"
	"github.com/limpetlb/limpetlb/limpetd/sched"
)

const (
	plainObjective = 300 * time.Millisecond
	plainWork      = 60 * time.Millisecond
	plainSlots     = 6
	plainQueue     = 6
)

// plainServer is a fake plain server that queues plainQueue calls and rejects further ones.
type plainServer struct {
	pace   float64
	slowAt int
	calls  int
	freeAt [plainSlots]time.Time
}

// plainWorld simulates daemons, of which the first is the lease holder, that send calls to plain servers. arrivals is
// the source of the arrivals, which are the same in all worlds.
type plainWorld struct {
	now                                                time.Time
	events                                             []plainEvent
	random, arrivals                                   *rand.Rand
	daemons                                            []*sched.Balancer
	servers                                            map[string]*plainServer
	uneven, reserves, reportsPace                      bool
	calls, rejected, retries, refused, onTime, crossed int
}

type plainEvent struct {
	at time.Time
	do func()
}

// after lets a function run after a time. events is sorted by time, the latest first.
func (w *plainWorld) after(d time.Duration, do func()) {
	at := w.now.Add(d)
	i, _ := slices.BinarySearchFunc(w.events, at, func(e plainEvent, at time.Time) int { return at.Compare(e.at) })
	w.events = slices.Insert(w.events, i, plainEvent{at, do})
}

// link returns the time of a message from one VM to another.
func (w *plainWorld) link() time.Duration { return time.Duration(1e6 + w.random.Float64()*2e6) }

func newPlainWorld(daemons int, uneven, reserves bool) *plainWorld {
	w := &plainWorld{now: start, random: rand.New(rand.NewPCG(1, 2)), arrivals: rand.New(rand.NewPCG(5, 6)), servers: map[string]*plainServer{}, uneven: uneven, reserves: reserves}
	var list []*layout.Server
	for i, pace := range []float64{0.6, 1, 1.6} {
		e := &layout.Server{ID: fmt.Sprint("p", i), Service: "plain", Slots: plainSlots, DataCentre: fmt.Sprint("dc", i)}
		if !uneven {
			pace = 1
		}
		list, w.servers[e.ID] = append(list, e), &plainServer{pace: pace, slowAt: i * 1300}
	}
	for i := range daemons {
		b := sched.NewBalancer(sched.Settings{DataCentre: fmt.Sprint("dc", i%3), ReserveSlots: true}, rand.New(rand.NewPCG(uint64(i), 3)))
		b.SetServers(list)
		b.SetDaemons(daemons, i, start)
		for _, s := range list {
			b.RecordLoad(s.ID, sched.LoadReport{Slots: plainSlots}, start)
		}
		w.daemons = append(w.daemons, b)
	}
	return w
}

// paceOf returns how slowly a server works at a time. An uneven server works 2.5 times as slowly for 0.6 s in every 4 s.
func (w *plainWorld) paceOf(s *plainServer, at time.Time) float64 {
	if w.uneven && (int(at.Sub(start)/time.Millisecond)+s.slowAt)%4000 < 600 {
		return 2.5 * s.pace
	}
	return s.pace
}

// receive passes a call to a server; done gets whether the server has run it.
func (w *plainWorld) receive(s *plainServer, done func(ran bool)) {
	if s.calls == plainSlots+plainQueue {
		done(false)
		return
	}
	s.calls++
	slices.SortFunc(s.freeAt[:], time.Time.Compare)
	if s.freeAt[0].Before(w.now) {
		s.freeAt[0] = w.now
	}
	work := w.paceOf(s, s.freeAt[0]) * (0.7 + 0.6*w.random.Float64()) * float64(plainWork)
	s.freeAt[0] = s.freeAt[0].Add(time.Duration(work))
	w.after(s.freeAt[0].Sub(w.now), func() { s.calls--; done(true) })
}

// try sends a call of a daemon.
func (w *plainWorld) try(b *sched.Balancer, c *sched.Call) {
	if !w.reserves || !b.SharesSlots(c.Service) {
		w.send(b, c, b.Choose(c, w.now))
		return
	}
	request := b.NewReservationRequest(c, sched.Requirements{}, w.now)
	w.after(w.link(), func() {
		g := w.daemons[0].Reserve(&request, w.now)
		w.after(w.link()+g.Delay, func() {
			choice := b.ChoiceFor(g, c, w.now)
			if choice.Verdict == sched.NoServer {
				choice = b.Choose(c, w.now)
			}
			w.send(b, c, choice)
		})
	})
}

// send sends a call to a server, and again if the server rejects it and the retries allow it.
func (w *plainWorld) send(b *sched.Balancer, c *sched.Call, choice sched.Choice) {
	if choice.Verdict != sched.Chosen {
		w.refused++
		return
	}
	id, sent := choice.Server.ID, w.now
	s := w.servers[id]
	c.Tried = append(c.Tried, id)
	b.RecordSend(id, c, w.now)
	if b.Crosses(c, choice.Server, w.now) != sched.NoCrossing {
		w.crossed++
	}
	w.after(w.link(), func() {
		w.receive(s, func(ran bool) {
			load := sched.LoadReport{Running: min(s.calls, plainSlots), Waiting: max(s.calls-plainSlots, 0), Slots: plainSlots}
			if w.reportsPace {
				load.Pace = int(100 * w.paceOf(s, w.now))
			}
			w.after(w.link(), func() {
				b.RecordFirstEvent(id, c, 1, sent, w.now)
				b.RecordLoad(id, load, w.now)
				sample, late := sched.Sample{Service: c.Service, Server: id, Pace: load.Pace}, 20*time.Millisecond
				result := sched.Refused
				if ran {
					result, sample.Took = sched.Answered, w.now.Sub(sent)
					late = time.Duration(w.random.Int64N(int64(250 * time.Millisecond)))
				}
				b.RecordResult(id, c, result, true, w.now)
				w.after(late+w.link(), func() { w.daemons[0].RecordSample(sample, w.now) })
				switch {
				case ran && w.now.Sub(c.Arrived) <= plainObjective:
					w.onTime++
				case ran:
				case len(c.Tried) == 3 || w.retries*5 > w.calls:
					w.rejected++
					w.refused++
				default:
					w.rejected++
					w.retries++
					w.try(b, c)
				}
			})
		})
	})
}

// share passes on the load of all daemons every 250 ms.
func (w *plainWorld) share() {
	all := map[string]sched.ServerLoad{}
	for _, b := range w.daemons {
		for id, l := range b.OwnLoad(w.now) {
			l.Calls += all[id].Calls
			all[id] = l
		}
	}
	for _, b := range w.daemons {
		b.SetSharedLoad(all, w.now)
	}
	w.after(250*time.Millisecond, w.share)
}

// run runs 157 calls a second on average, in waves, and twice as many for 4 s in every 20 s.
func (w *plainWorld) run(length time.Duration) *plainWorld {
	var arrive func()
	arrive = func() {
		t := w.now.Sub(start).Seconds()
		rate := 157 * (1 + 0.4*math.Sin(t*2*math.Pi/12))
		if math.Mod(t, 20) > 16 {
			rate *= 2
		}
		if w.now.Sub(start) < length {
			w.after(time.Duration(w.arrivals.ExpFloat64()/rate*1e9), arrive)
		}
		w.calls++
		c := &sched.Call{Service: "plain", Route: &layout.Route{Expectation: plainObjective}, Arrived: w.now, Deadline: w.now.Add(4 * time.Second)}
		w.try(w.daemons[w.arrivals.IntN(len(w.daemons))], c)
	}
	arrive()
	for w.share(); w.now.Sub(start) < length+5*time.Second; {
		e := w.events[len(w.events)-1]
		w.events, w.now = w.events[:len(w.events)-1], e.at
		e.do()
	}
	return w
}

func (w *plainWorld) String() string {
	n := float64(w.calls)
	return fmt.Sprintf("%d calls: %.3f rejections, %.3f refused, %.3f on time, %.3f crossed", w.calls, float64(w.rejected)/n, float64(w.refused)/n, float64(w.onTime)/n, float64(w.crossed)/n)
}

// TestReservedSlotsAreNotGrantedTwice guards against daemons that send calls to full servers while others have free slots,
// because each of them chooses by old counts, and against a change for a few daemons. In the bursts, there is more work
// than the servers can do.
func TestReservedSlotsAreNotGrantedTwice(t *testing.T) {
	for _, daemons := range []int{3, 58, 361} {
		for _, uneven := range []bool{false, true} {
			before, after := newPlainWorld(daemons, uneven, false).run(time.Minute), newPlainWorld(daemons, uneven, true).run(time.Minute)
			t.Logf("%d daemons, uneven %t\nbefore: %v\nafter:  %v", daemons, uneven, before, after)
			if daemons == 3 {
				require.Equal(t, before.String(), after.String())
				continue
			}
			require.Less(t, 8*after.rejected, before.rejected)
			require.Less(t, float64(after.rejected), 0.03*float64(after.calls))
			require.Greater(t, after.onTime, before.onTime)
		}
	}
}

// reservePlain reserves a slot for a call that is on time if it is answered within a time.
func reservePlain(b *sched.Balancer, within time.Duration, now time.Time) sched.Reservation {
	return b.Reserve(&sched.ReservationRequest{Service: "plain", MaxStartDelay: within}, now)
}

// TestSlotsOfPlainServers checks which server and delay a call gets while slots are free, in use and lost.
func TestSlotsOfPlainServers(t *testing.T) {
	b := newPlainWorld(58, false, true).daemons[0]
	granted := map[string]int{}
	for range 3 * plainSlots {
		g := reservePlain(b, plainObjective, start)
		require.Equal(t, sched.Reservation{Verdict: sched.Chosen, Server: g.Server, Exclusive: true}, g)
		granted[g.Server]++
	}
	require.Equal(t, map[string]int{"p0": plainSlots, "p1": plainSlots, "p2": plainSlots}, granted)
	g := reservePlain(b, plainObjective, start)
	require.Equal(t, sched.Chosen, g.Verdict)
	require.InDelta(t, plainWork, g.Delay, float64(plainWork)/10, "the call waits for the first slot")
	first := reservePlain(b, 0, start)
	require.Equal(t, sched.Full, first.Verdict, "a late call does not wait in front of others")
	require.Greater(t, reservePlain(b, 0, start).Delay, first.Delay, "refused callers return one after the other")
	require.Equal(t, 150*time.Millisecond, b.SlotsFull(&sched.Call{Deadline: start.Add(time.Second)}, first.Delay, start).RetryAfter)
	g = reservePlain(b, 0, start.Add(2*time.Second))
	require.Equal(t, sched.Chosen, g.Verdict, "slots of lost calls are free again")
	require.Zero(t, g.Delay)
}

// TestEvidenceThatServersAreFull guards against grants of slots that are in use: of a server that has rejected calls, of
// one at which calls pile up without answers, and of those that the lease holder before has granted.
func TestEvidenceThatServersAreFull(t *testing.T) {
	for name, evidence := range map[string]func(b *sched.Balancer, id string){
		"rejection": func(b *sched.Balancer, id string) { b.RecordSample(sched.Sample{Service: "plain", Server: id}, start) },
		"reported calls": func(b *sched.Balancer, _ string) {
			b.SetSharedLoad(map[string]sched.ServerLoad{"p0": {Calls: plainSlots}, "p1": {Calls: 2 * plainSlots}}, start)
		},
		"calls without answers": func(b *sched.Balancer, id string) {
			reservePlain(b, plainObjective, start.Add(-time.Second))
			b.SetSharedLoad(map[string]sched.ServerLoad{"p0": {Calls: 7 * plainSlots}, "p1": {Calls: 7 * plainSlots}}, start)
		},
	} {
		b := newPlainWorld(58, false, true).daemons[0]
		evidence(b, "p0")
		evidence(b, "p1")
		for range plainSlots {
			require.Equal(t, "p2", reservePlain(b, plainObjective, start).Server, name)
		}
	}
}

// TestSlotsAreSharedOnlyByManyDaemons guards against a change for deployments with few daemons, and for servers that
// report no slots, have a limit of requests or are brittle.
func TestSlotsAreSharedOnlyByManyDaemons(t *testing.T) {
	shares := func(daemons int, change func(b *sched.Balancer)) bool {
		b := newPlainWorld(daemons, false, true).daemons[0]
		change(b)
		return b.SharesSlots("plain")
	}
	setServer := func(id string) func(b *sched.Balancer) {
		return func(b *sched.Balancer) { b.SetServers([]*layout.Server{{ID: id, Service: "plain", Slots: plainSlots}}) }
	}
	require.True(t, shares(19, func(*sched.Balancer) {}))
	require.False(t, shares(18, func(*sched.Balancer) {}))
	require.True(t, shares(11, setServer("p0")))
	require.False(t, shares(9, setServer("p0")))
	require.False(t, shares(58, setServer("has not reported")))
	require.False(t, shares(58, func(b *sched.Balancer) { b.RecordLimit("p0", 9, start, start) }))
	require.False(t, shares(58, func(b *sched.Balancer) { b.RecordBrittle("p0", true, 9, start, start) }))
}
