package steer

import (
	"math"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/sched"
	"github.com/limpetlb/limpetlb/limpetd/stock"
)

// use is what callers asked for since the last report.
type use struct {
	Calls int     `msgpack:"calls"`
	Work  float64 `msgpack:"work"`
}

// slot names a model, or an adapter of one, of a service.
type slot struct {
	Service string `msgpack:"service"`
	Model   string `msgpack:"model"`
	Adapter string `msgpack:"adapter"`
}

// told is a report of a daemon.
type told struct {
	VM string `msgpack:"vm"`
	// Versions are those of the daemon's tables, in the first report of a link.
	Versions map[string]int64 `msgpack:"versions,omitempty"`
	// Used and Waiting are those of Slots, in the same order.
	Slots   []slot `msgpack:"slots"`
	Used    []use  `msgpack:"used"`
	Waiting []int  `msgpack:"waiting"`
	// Loads is the load that the daemon puts on servers.
	Loads map[string]sched.Shared `msgpack:"loads"`
	// Samples tell how fast engines read prompts.
	Samples []sched.Sample `msgpack:"samples,omitempty"`
	// Streams are those that ended, by service.
	Streams map[string]streams `msgpack:"streams,omitempty"`
}

// streams counts streams that ended, and those of them that had too long a pause.
type streams struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // The codec reads the tag.
	Ended    int
	Paused   int
}

// counts collects what a daemon has to report.
type counts struct {
	used    map[slot]use
	waiting map[slot]int
	samples []sched.Sample
	streams map[string]streams
}

func newCounts() counts {
	return counts{used: map[slot]use{}, waiting: map[slot]int{}, streams: map[string]streams{}}
}

// take returns the report and starts a new one.
func (c *counts) take(vm string) told {
	t := told{VM: vm, Samples: c.samples, Streams: c.streams}
	for s, u := range c.used {
		t.Slots = append(t.Slots, s)
		t.Used = append(t.Used, u)
		t.Waiting = append(t.Waiting, c.waiting[s])
		delete(c.waiting, s)
	}
	for s, n := range c.waiting {
		t.Slots = append(t.Slots, s)
		t.Used = append(t.Used, use{})
		t.Waiting = append(t.Waiting, n)
	}
	*c = newCounts()
	return t
}

// waitingFor is how long a call counts as waiting after it was reported. Calls that
// still wait are reported again when something changes.
const waitingFor = time.Second

// demand is the smoothed demand of all daemons.
type demand struct {
	rates map[slot]*rate
	// since is when the first demand was told.
	since time.Time
}

// rate is the demand for a slot.
type rate struct {
	// work is the smoothed work a second, slow the same over a longer time.
	work, slow float64
	at         time.Time
	used       time.Time
	waiting    int
	until      time.Time
}

func (d *demand) add(t told, now time.Time) {
	if len(t.Used) != len(t.Slots) || len(t.Waiting) != len(t.Slots) {
		return
	}
	if d.since.IsZero() && len(t.Slots) > 0 {
		d.since = now
	}
	for i, s := range t.Slots {
		r := d.rates[s]
		if r == nil {
			r = &rate{at: now}
			d.rates[s] = r
		}
		r.work = r.current(now) + t.Used[i].Work/demandWindow.Seconds()
		r.slow = decayed(r.slow, r.at, now, trendWindow) + t.Used[i].Work/trendWindow.Seconds()
		r.at = now
		if t.Used[i].Calls > 0 || t.Waiting[i] > 0 {
			r.used = now
		}
		if t.Waiting[i] > 0 {
			r.waiting, r.until = t.Waiting[i], now.Add(waitingFor)
		}
	}
}

func (r *rate) current(now time.Time) float64 {
	return decayed(r.work, r.at, now, demandWindow)
}

// decayed returns an average that was told at a time, some time later.
func decayed(average float64, at, now time.Time, window time.Duration) float64 {
	return average * math.Exp(-now.Sub(at).Seconds()/window.Seconds())
}

// soon returns the work a second that is to be expected when a load that is ordered now
// ends. A model that rises is given replicas before its calls have to wait for them, and
// one that falls gives its own up.
func (r *rate) soon(now time.Time) float64 {
	work := r.current(now)
	trend := (work - decayed(r.slow, r.at, now, trendWindow)) / (trendWindow - demandWindow).Seconds()
	return min(max(work+trend*(demandWindow+trendAhead).Seconds(), 0), trendMost*work)
}

// served notes that calls no longer wait for a slot.
func (d *demand) served(s slot) {
	if r := d.rates[s]; r != nil {
		r.waiting = 0
	}
}

// needs returns the demand of a service by model.
func (d *demand) needs(service string, now time.Time) map[string]*stock.Need {
	needs := map[string]*stock.Need{}
	for s, r := range d.rates {
		if s.Service != service {
			continue
		}
		n := needs[s.Model]
		if n == nil {
			n = &stock.Need{Adapters: map[string]stock.AdapterNeed{}}
			needs[s.Model] = n
		}
		waiting := 0
		if now.Before(r.until) {
			waiting = r.waiting
		}
		n.Work += r.soon(now)
		if r.used.After(n.Used) {
			n.Used = r.used
		}
		if s.Adapter == "" {
			n.Waiting += waiting
			continue
		}
		n.Adapters[s.Adapter] = stock.AdapterNeed{Waiting: waiting, Used: r.used}
	}
	return needs
}

// loadsFor is how long the load that a daemon told counts: two reports may be lost.
const loadsFor = 1600 * time.Millisecond

// loads are the loads that daemons put on servers.
type loads struct {
	by map[string]daemonLoads
}

type daemonLoads struct {
	at    time.Time
	loads map[string]sched.Shared
}

// sum returns the load of all daemons.
func (l *loads) sum(now time.Time) map[string]sched.Shared {
	out := map[string]sched.Shared{}
	for vm, d := range l.by {
		if now.Sub(d.at) > loadsFor {
			delete(l.by, vm)
			continue
		}
		for id, one := range d.loads {
			all := out[id]
			out[id] = sched.Shared{Calls: all.Calls + one.Calls, Pending: all.Pending + one.Pending, Gap: max(all.Gap, one.Gap)}
		}
	}
	return out
}
