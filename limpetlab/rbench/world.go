package rbench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/envdoc"
)

// deployment is the shape of an environment.
type deployment struct {
	dataCentres []string
	engines     int
	routers     int
	models      int
	adapters    int
	// slotsAnEngine is the number of models that an engine holds.
	slotsAnEngine int
	// topics is the number of prompt beginnings of each model or adapter, for
	// example the programmes of congresses.
	topics int
}

// acceleratorsAnEngine is the number of accelerators of an engine.
const acceleratorsAnEngine = 4

// deployments are the known environments at their sizes.
var deployments = map[string]deployment{
	"andesoft": {
		dataCentres: []string{"lima-1", "lima-2", "lima-3", "lima-4"},
		engines:     12, routers: 9, models: 15, adapters: 75, slotsAnEngine: 5, topics: 3,
	},
	"ibeji": {
		dataCentres: []string{"lagos-1", "lagos-2", "lagos-3"},
		engines:     12, routers: 6, models: 26, adapters: 63, slotsAnEngine: 7, topics: 2,
	},
}

// lookup returns a deployment by name.
func lookup(name string) (deployment, error) {
	d, ok := deployments[name]
	if !ok {
		return d, code.Errorf(code.BadSetting, "deployment %q is not known", name)
	}
	return d, nil
}

// herd returns the deployment on which herding is measured: many engines of one
// data centre that all hold the same model.
func herd(routers int) deployment {
	return deployment{
		dataCentres: []string{"one"},
		engines:     86, routers: routers, models: 1, adapters: 0, slotsAnEngine: 1, topics: 64,
	}
}

// priority is a class of requests.
type priority struct {
	name       string
	rank       int
	firstToken time.Duration
	deferred   bool
}

// priorities are the classes, the most urgent first. The deadline of deferred
// work is shortened with the day.
var priorities = []priority{
	{name: "live", rank: 0, firstToken: 1700 * time.Millisecond},
	{name: "draft", rank: 1, firstToken: 4 * time.Second},
	{name: "night", rank: 2, firstToken: 150 * time.Second, deferred: true},
}

// document returns the environment document of the priorities.
func document() *envdoc.Document {
	doc := &envdoc.Document{Environment: "bench", Revision: 1}
	for _, p := range priorities {
		doc.Priorities = append(doc.Priorities, envdoc.Priority{
			Name:       p.name,
			Rank:       p.rank,
			FirstToken: envdoc.Duration(p.firstToken),
			Deferred:   p.deferred,
			Deadline:   envdoc.Duration(p.firstToken),
		})
	}
	return doc
}

// world is a deployment with its placement.
type world struct {
	deployment
	// slots are the models and adapters, each model before its adapters.
	slots []envdoc.Slot
	// held lists the slots of each engine, holders the engines of each slot.
	held    [][]envdoc.Slot
	holders [][]int
}

// newWorld places the models of a deployment evenly, their replicas in different
// data centres. An adapter is wherever its model is.
func newWorld(d deployment) *world {
	w := &world{deployment: d, held: make([][]envdoc.Slot, d.engines)}
	replicas := max(d.engines*d.slotsAnEngine/d.models, 1)
	next := 0
	for m := range d.models {
		count := replicas
		if m < d.engines*d.slotsAnEngine-replicas*d.models {
			count++
		}
		engines := make([]int, 0, count)
		for range count {
			engines = append(engines, next%d.engines)
			next++
		}
		w.place(envdoc.Slot{Model: fmt.Sprintf("m%02d", m), Version: "1"}, engines)
		for a := m; a < d.adapters; a += d.models {
			slot := envdoc.Slot{Model: fmt.Sprintf("m%02d", m), Adapter: fmt.Sprintf("a%02d", a), Version: "1"}
			w.place(slot, engines)
		}
	}
	return w
}

// place adds a slot to engines.
func (w *world) place(s envdoc.Slot, engines []int) {
	w.slots = append(w.slots, s)
	w.holders = append(w.holders, engines)
	for _, e := range engines {
		w.held[e] = append(w.held[e], s)
	}
}

// dataCentre returns the data centre of an engine or router.
func (w *world) dataCentre(n int) string {
	return w.dataCentres[n%len(w.dataCentres)]
}

// capacity returns the requests a second that all engines answer when full.
func (w *world) capacity() float64 {
	hold := float64(meanPrompt)/promptRate + meanTokens*tokenTime(batchLimit).Seconds()
	return float64(w.engines) * batchLimit / hold
}

// job is a request.
type job struct {
	number   int
	slot     int
	priority *priority
	phase    string
	router   int
	arrived  time.Time
	prompt   int
	chain    []uint64
	tokens   int
	// sends counts attempts; failed lists the engines that failed it.
	sends    int
	failed   []string
	sentTo   int
	attained bool
	ended    bool
	// memo is what the policy keeps.
	memo any
	// tokensLeft is the part of the prompt that is not processed.
	tokensLeft int
}

const (
	// meanPrompt and meanTokens are the mean lengths of prompts and answers in
	// tokens; sharedPrompt is the part of a prompt that its topic shares.
	meanPrompt   = 1024
	sharedPrompt = 768
	meanTokens   = 120
	// blockTokens is the length of a prompt block in tokens.
	blockTokens = 64
)

// newJob draws a request for a slot.
func (w *world) newJob(random *rand.Rand, number, slot int, p *priority, phase string, at time.Time) *job {
	own := 128 + random.IntN(257)
	j := &job{
		number:   number,
		slot:     slot,
		priority: p,
		phase:    phase,
		router:   random.IntN(w.routers),
		arrived:  at,
		prompt:   sharedPrompt + own,
		tokens:   30 + random.IntN(2*(meanTokens-30)+1),
	}
	topic := uint64(slot*w.topics + random.IntN(w.topics) + 1)
	for b := range j.prompt / blockTokens {
		h := topic<<32 | uint64(b)
		if b >= sharedPrompt/blockTokens {
			h = 1<<63 | uint64(number)<<8 | uint64(b)
		}
		j.chain = append(j.chain, h*0x9e3779b97f4a7c15)
	}
	return j
}
