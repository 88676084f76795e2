package steer

import (
	"math"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/crash"
	"github.com/limpetlb/limpetlb/limpetd/mirror"
	"github.com/limpetlb/limpetlb/limpetd/origin"
	"github.com/limpetlb/limpetlb/limpetd/sched"
	"github.com/limpetlb/limpetlb/limpetd/stock"
)

// usage counts the calls since the last report, and their work in prompt tokens.
type usage struct {
	Calls int     `msgpack:"calls"`
	Work  float64 `msgpack:"work"`
}

// modelKey identifies a model of a service, or an adapter of the model.
type modelKey struct {
	Service string `msgpack:"service"`
	Model   string `msgpack:"model"`
	// Adapter is empty for the model itself.
	Adapter string `msgpack:"adapter"`
}

// daemonReport is a report of a daemon to the lease holder.
type daemonReport struct {
	VM string `msgpack:"vm"`
	// Member is the daemon, in the first report of a link.
	Member *Member `msgpack:"member,omitempty"`
	// Versions and Eras are the positions of the daemon's tables, in the first report of a
	// link.
	Versions map[string]int64 `msgpack:"versions,omitempty"`
	Eras     map[string]int64 `msgpack:"eras,omitempty"`
	// Models are the models and adapters that calls asked for. Usage and Waiting are the
	// usage and the number of waiting calls of each, in the same order.
	Models  []modelKey `msgpack:"slots"`
	Usage   []usage    `msgpack:"used"`
	Waiting []int      `msgpack:"waiting"`
	// Loads is the load that the daemon puts on servers, by server.
	Loads map[string]sched.ServerLoad `msgpack:"loads"`
	// CutOff is whether the daemon has lost its paths to servers.
	CutOff bool `msgpack:"cut_off,omitempty"`
	// Samples are measurements of how fast engines read prompts.
	Samples []sched.Sample `msgpack:"samples,omitempty"`
	// Streams counts the streams that ended, by service.
	Streams map[string]streams `msgpack:"streams,omitempty"`
	// Leaving are the servers that announced to this daemon that they are leaving.
	Leaving []serverStart `msgpack:"leaving,omitempty"`
	// Limits are the limits of requests that servers have named, by server.
	Limits map[string]sched.Limit `msgpack:"limits,omitempty"`
	// Crashes is what the daemon has learned about the ends of engines since its last report, or
	// all that it knows in the first report of a link.
	Crashes *crash.Facts `msgpack:"crashes,omitempty"`
	// Origins are the streams that began at the daemon since its last report, or all that it knows in
	// the first report of a link, of services with several software versions.
	Origins *origin.Facts `msgpack:"origins,omitempty"`
	// QuotaUse is what the daemon has used of quotas without an answer of the lease holder, by organisation.
	QuotaUse map[string]float64 `msgpack:"quota_use,omitempty"`
}

// serverStart identifies one start of a backend server.
type serverStart struct {
	_msgpack  struct{} `msgpack:",as_array"` //nolint:unused // The codec reads the tag.
	ID        string
	StartedAt int64
}

// positions returns the positions of the daemon's tables.
func (r *daemonReport) positions() map[string]mirror.Position {
	positions := make(map[string]mirror.Position, len(r.Versions))
	for name, version := range r.Versions {
		positions[name] = mirror.Position{Era: r.Eras[name], Version: version}
	}
	return positions
}

// streams counts streams that ended, and those of them that had too long a pause.
type streams struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // The codec reads the tag.
	Ended    int
	Paused   int
}

// reportBuilder collects the contents of a daemon's next report.
type reportBuilder struct {
	used    map[modelKey]usage
	waiting map[modelKey]int
	samples []sched.Sample
	streams map[string]streams
	leaving []serverStart
}

func newReportBuilder() reportBuilder {
	return reportBuilder{used: map[modelKey]usage{}, waiting: map[modelKey]int{}, streams: map[string]streams{}}
}

// take returns the report and resets the builder.
func (b *reportBuilder) take(vm string) daemonReport {
	r := daemonReport{VM: vm, Samples: b.samples, Streams: b.streams, Leaving: b.leaving}
	for key, u := range b.used {
		r.Models = append(r.Models, key)
		r.Usage = append(r.Usage, u)
		r.Waiting = append(r.Waiting, b.waiting[key])
		delete(b.waiting, key)
	}
	for key, n := range b.waiting {
		r.Models = append(r.Models, key)
		r.Usage = append(r.Usage, usage{})
		r.Waiting = append(r.Waiting, n)
	}
	*b = newReportBuilder()
	return r
}

// waitingTerm is how long a call counts as waiting after it was reported. Calls that
// still wait are reported again when something changes.
const waitingTerm = time.Second

// demand is the smoothed demand of the callers of all daemons.
type demand struct {
	models map[modelKey]*modelDemand
	// since is when the first demand was reported.
	since time.Time
}

// modelDemand is the demand for a model or adapter.
type modelDemand struct {
	// workRate is the moving average of work per second over demandWindow, slowRate
	// the one over trendWindow.
	workRate, slowRate float64
	updatedAt          time.Time
	lastUsed           time.Time
	// waiting is the number of waiting calls, valid until waitingUntil.
	waiting      int
	waitingUntil time.Time
}

// add adds the demand of a daemon's report.
func (d *demand) add(r daemonReport, now time.Time) {
	if len(r.Usage) != len(r.Models) || len(r.Waiting) != len(r.Models) {
		return
	}
	if d.since.IsZero() && len(r.Models) > 0 {
		d.since = now
	}
	for i, key := range r.Models {
		m := d.models[key]
		if m == nil {
			m = &modelDemand{updatedAt: now}
			d.models[key] = m
		}
		m.workRate = m.current(now) + r.Usage[i].Work/demandWindow.Seconds()
		m.slowRate = decayed(m.slowRate, m.updatedAt, now, trendWindow) + r.Usage[i].Work/trendWindow.Seconds()
		m.updatedAt = now
		if r.Usage[i].Calls > 0 || r.Waiting[i] > 0 {
			m.lastUsed = now
		}
		if r.Waiting[i] > 0 {
			m.waiting, m.waitingUntil = r.Waiting[i], now.Add(waitingTerm)
		}
	}
}

// current returns workRate, decayed until now.
func (m *modelDemand) current(now time.Time) float64 {
	return decayed(m.workRate, m.updatedAt, now, demandWindow)
}

// decayed returns the value at now of a moving average that was updated last at updatedAt.
func decayed(average float64, updatedAt, now time.Time, window time.Duration) float64 {
	return average * math.Exp(-now.Sub(updatedAt).Seconds()/window.Seconds())
}

// forecast returns the work per second that is expected when a load that is ordered now
// completes. Extrapolating the trend gives a model with rising demand replicas before its
// calls have to wait for them, and takes replicas early from a model with falling demand.
func (m *modelDemand) forecast(now time.Time) float64 {
	work := m.current(now)
	trend := (work - decayed(m.slowRate, m.updatedAt, now, trendWindow)) / (trendWindow - demandWindow).Seconds()
	return min(max(work+trend*(demandWindow+forecastAhead).Seconds(), 0), maxForecastGrowth*work)
}

// clearWaiting records that calls no longer wait for a model or adapter.
func (d *demand) clearWaiting(key modelKey) {
	if m := d.models[key]; m != nil {
		m.waiting = 0
	}
}

// needs returns the demand for the models of a service, by model. The work is in prompt
// tokens per second.
func (d *demand) needs(service string, now time.Time) map[string]*stock.ModelDemand {
	needs := map[string]*stock.ModelDemand{}
	for key, m := range d.models {
		if key.Service != service {
			continue
		}
		n := needs[key.Model]
		if n == nil {
			n = &stock.ModelDemand{Adapters: map[string]stock.AdapterDemand{}}
			needs[key.Model] = n
		}
		waiting := 0
		if now.Before(m.waitingUntil) {
			waiting = m.waiting
		}
		n.Work += m.forecast(now)
		if m.lastUsed.After(n.LastRequested) {
			n.LastRequested = m.lastUsed
		}
		if key.Adapter == "" {
			n.Waiting += waiting
			continue
		}
		n.Adapters[key.Adapter] = stock.AdapterDemand{Waiting: waiting, LastRequested: m.lastUsed}
	}
	return needs
}

// loadTerm is how long the reported load of a daemon counts. It is several times
// reportPeriod, so that a few lost reports don't matter.
const loadTerm = 1600 * time.Millisecond

// loadTable holds the load that each daemon reported last, by VM.
type loadTable struct {
	byVM map[string]daemonLoad
}

// daemonLoad is the load that one daemon puts on servers, by server.
type daemonLoad struct {
	receivedAt time.Time
	servers    map[string]sched.ServerLoad
}

// sum returns the load that all daemons put on servers, by server. It removes expired
// entries.
func (t *loadTable) sum(now time.Time) map[string]sched.ServerLoad {
	out := map[string]sched.ServerLoad{}
	for vm, d := range t.byVM {
		if now.Sub(d.receivedAt) > loadTerm {
			delete(t.byVM, vm)
			continue
		}
		for id, load := range d.servers {
			total := out[id]
			out[id] = sched.ServerLoad{Calls: total.Calls + load.Calls, Pending: total.Pending + load.Pending, PauseMS: max(total.PauseMS, load.PauseMS)}
		}
	}
	return out
}
