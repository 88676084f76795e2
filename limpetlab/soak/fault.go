package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/limpetlb/limpetlb/limpetlab/link"
	"github.com/limpetlb/limpetlb/platform/stand"
)

// fault is one kind of fault. It returns when the fault is over.
type fault struct {
	name string
	play func(r *run, s *rand.Rand)
}

// kinds are the faults in the order in which the seed picks them; new ones go to the end.
var kinds = []fault{
	{"kill", (*run).kill},
	{"leave", (*run).leave},
	{"freeze", (*run).freeze},
	{"reload", (*run).reload},
	{"herd_kill", (*run).herdKill},
	{"store_faults", (*run).storeFaults},
	{"store_forgets", func(r *run, _ *rand.Rand) { r.world.Store.Forget() }},
	{"store_link", func(r *run, s *rand.Rand) { disturb(r.stores[s.IntN(len(r.stores))], s) }},
	{"server_link", func(r *run, s *rand.Rand) { disturb(r.servers[s.IntN(len(r.servers))], s) }},
	{"server_faults", (*run).serverFaults},
	{"configuration", (*run).configure},
}

// inject plays faults until the duration is over, one after the other in short pauses, so
// that they overlap, and waits until all have ended.
func (r *run) inject(ctx context.Context) {
	end := time.Now().Add(r.config.Duration)
	for time.Now().Before(end) && ctx.Err() == nil {
		k := kinds[r.random.IntN(len(kinds))]
		// Each fault has numbers of its own, so that their order does not matter.
		s := rand.New(rand.NewPCG(r.random.Uint64(), 3))
		r.faults[k.name]++
		r.under.Go(func() { k.play(r, s) })
		select {
		case <-ctx.Done():
		case <-time.After(between(r.random, 0, seriesMost)):
		}
	}
	r.under.Wait()
}

// heal ends what faults may have left.
func (r *run) heal() {
	r.world.Store.SetFault(nil)
	for _, e := range slices.Concat(r.world.Engines, []*stand.Engine{r.world.Plain}) {
		e.SetFault(nil)
	}
	for _, l := range slices.Concat(r.stores, r.servers) {
		if err := l.Heal(); err != nil {
			r.breaks("a link did not heal: %v", err)
		}
	}
}

func between(s *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(s.Int64N(int64(most-least)))
}

func (r *run) pick(s *rand.Rand) *daemon { return r.daemons[s.IntN(len(r.daemons))] }

// replace ends a process in some way and starts a new one.
func (r *run) replace(d *daemon, s *rand.Rand, end func() error) {
	d.turn.Lock()
	defer d.turn.Unlock()
	if err := end(); err != nil {
		r.breaks("%s: %v", d.settings, err)
		if err := d.kill(); err != nil {
			r.breaks("%s: %v", d.settings, err)
		}
	}
	time.Sleep(between(s, 0, time.Second))
	if err := d.start(); err != nil {
		r.breaks("%s did not start: %v", d.settings, err)
	}
}

func (r *run) kill(s *rand.Rand) {
	d := r.pick(s)
	r.replace(d, s, d.kill)
}

func (r *run) leave(s *rand.Rand) {
	d := r.pick(s)
	r.replace(d, s, d.leave)
}

// freeze stops a process for longer or shorter than the term of a lease.
func (r *run) freeze(s *rand.Rand) {
	d := r.pick(s)
	d.turn.Lock()
	defer d.turn.Unlock()
	if err := d.signal(syscall.SIGSTOP, false); err != nil {
		r.breaks("%s: %v", d.settings, err)
	}
	time.Sleep(between(s, 200*time.Millisecond, 4*time.Second))
	if err := d.signal(syscall.SIGCONT, false); err != nil {
		r.breaks("%s: %v", d.settings, err)
	}
}

func (r *run) reload(s *rand.Rand) {
	d := r.pick(s)
	d.turn.Lock()
	defer d.turn.Unlock()
	if err := d.signal(syscall.SIGHUP, false); err != nil {
		r.breaks("reload: %v", err)
	}
}

// herdKill kills all processes at the same moment.
func (r *run) herdKill(s *rand.Rand) {
	var wait sync.WaitGroup
	for _, d := range r.daemons {
		own := rand.New(rand.NewPCG(s.Uint64(), 4))
		wait.Go(func() { r.replace(d, own, d.kill) })
	}
	wait.Wait()
}

// sometimes returns a fault for a part of the calls.
func sometimes(s *rand.Rand, share float64, of ...stand.Fault) func(*http.Request) stand.Fault {
	var mu sync.Mutex
	own := rand.New(rand.NewPCG(s.Uint64(), 5))
	return func(*http.Request) stand.Fault {
		mu.Lock()
		defer mu.Unlock()
		if own.Float64() >= share {
			return stand.Sound
		}
		return of[own.IntN(len(of))]
	}
}

func (r *run) storeFaults(s *rand.Rand) {
	share := []float64{0.2, 0.6, 1}[s.IntN(3)]
	r.world.Store.SetFault(sometimes(s, share, stand.Busy, stand.Limited, stand.LostAnswer, stand.Reset))
	time.Sleep(between(s, 300*time.Millisecond, 4*time.Second))
	r.world.Store.SetFault(nil)
}

func (r *run) serverFaults(s *rand.Rand) {
	all := slices.Concat(r.world.Engines, []*stand.Engine{r.world.Plain})
	e := all[s.IntN(len(all))]
	e.SetFault(sometimes(s, 0.1+0.4*s.Float64(), stand.Busy, stand.LostAnswer, stand.Reset))
	time.Sleep(between(s, 300*time.Millisecond, 3*time.Second))
	e.SetFault(nil)
}

// disturb does something to the connections of a link.
func disturb(l *link.Link, s *rand.Rand) {
	length := between(s, 100*time.Millisecond, 3*time.Second)
	switch s.IntN(6) {
	case 0:
		l.Cut()
	case 1:
		l.Silence(true, false)
	case 2:
		l.Silence(false, true)
	case 3:
		l.Silence(true, true)
	case 4:
		l.Slow(between(s, 5*time.Millisecond, 100*time.Millisecond))
	case 5:
		l.Reset()
		return
	}
	time.Sleep(length)
	// A link that another fault needs is healed early; faults that overlap are shorter.
	if err := l.Heal(); err != nil {
		l.Cut()
	}
}

func (r *run) configure(s *rand.Rand) {
	var more []map[string]any
	for i := range s.IntN(30) {
		more = append(more, stand.Route(fmt.Sprint("more-", i), fmt.Sprint("/more-", i, "/")))
	}
	r.world.Configure(more...)
}
