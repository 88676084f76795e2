package rbench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/envdoc"
)

// deployment describes the size of an environment.
type deployment struct {
	dataCentres []string
	engines     int
	routers     int
	models      int
	adapters    int
	// slotsPerEngine is the number of models that an engine holds.
	slotsPerEngine int
	// topics is the number of distinct shared prompt prefixes of each model or
	// adapter, for example the programmes of congresses.
	topics int
}

// acceleratorsPerEngine is the number of accelerators of an engine.
const acceleratorsPerEngine = 4

// deployments holds the deployments by name.
var deployments = map[string]deployment{
	"andesoft": {
		dataCentres: []string{"lima-1", "lima-2", "lima-3", "lima-4"},
		engines:     12, routers: 9, models: 15, adapters: 75, slotsPerEngine: 5, topics: 3,
	},
	"ibeji": {
		dataCentres: []string{"lagos-1", "lagos-2", "lagos-3"},
		engines:     12, routers: 6, models: 26, adapters: 63, slotsPerEngine: 7, topics: 2,
	},
}

// lookupDeployment returns a deployment by name. An unknown name is an error with
// code BadSetting.
func lookupDeployment(name string) (deployment, error) {
	d, ok := deployments[name]
	if !ok {
		return d, code.Errorf(code.BadSetting, "unknown deployment %q", name)
	}
	return d, nil
}

// herdDeployment returns the deployment of the herding scenario: many engines of
// one data centre, all of which hold the same model.
func herdDeployment(routers int) deployment {
	return deployment{
		dataCentres: []string{"one"},
		engines:     86, routers: routers, models: 1, adapters: 0, slotsPerEngine: 1, topics: 64,
	}
}

// priority is a priority class of requests; firstToken is the time within
// which the first token is expected.
type priority struct {
	name       string
	rank       int
	firstToken time.Duration
	deferred   bool
}

// priorities lists the priority classes, the most urgent first. The deadline of
// deferred work is shortened like the day.
var priorities = []priority{
	{name: "live", rank: 0, firstToken: 1700 * time.Millisecond},
	{name: "draft", rank: 1, firstToken: 4 * time.Second},
	{name: "night", rank: 2, firstToken: 150 * time.Second, deferred: true},
}

// document returns an environment document with the priorities.
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

// cluster is a deployment with a static placement of its models.
type cluster struct {
	deployment
	// slots lists the models and adapters, each model before its adapters.
	slots []envdoc.Slot
	// slotsByEngine lists the slots that each engine holds, enginesBySlot the
	// engines that hold each slot.
	slotsByEngine [][]envdoc.Slot
	enginesBySlot [][]int
}

// newCluster distributes the models of a deployment evenly over the engines, with
// the replicas of a model in different data centres. Each engine that holds a model
// also holds the model's adapters.
func newCluster(d deployment) *cluster {
	c := &cluster{deployment: d, slotsByEngine: make([][]envdoc.Slot, d.engines)}
	replicas := max(d.engines*d.slotsPerEngine/d.models, 1)
	next := 0
	for m := range d.models {
		count := replicas
		if m < d.engines*d.slotsPerEngine-replicas*d.models {
			count++
		}
		engines := make([]int, 0, count)
		for range count {
			engines = append(engines, next%d.engines)
			next++
		}
		c.place(envdoc.Slot{Model: fmt.Sprintf("m%02d", m), Version: "1"}, engines)
		for a := m; a < d.adapters; a += d.models {
			slot := envdoc.Slot{Model: fmt.Sprintf("m%02d", m), Adapter: fmt.Sprintf("a%02d", a), Version: "1"}
			c.place(slot, engines)
		}
	}
	return c
}

// place adds a slot and places it on engines.
func (c *cluster) place(s envdoc.Slot, engines []int) {
	c.slots = append(c.slots, s)
	c.enginesBySlot = append(c.enginesBySlot, engines)
	for _, e := range engines {
		c.slotsByEngine[e] = append(c.slotsByEngine[e], s)
	}
}

// dataCentre returns the data centre of an engine or router.
func (c *cluster) dataCentre(n int) string {
	return c.dataCentres[n%len(c.dataCentres)]
}

// capacity returns the requests per second that all engines together answer with
// full batches.
func (c *cluster) capacity() float64 {
	serviceTime := float64(meanPromptTokens)/promptRate + meanOutputTokens*tokenTime(batchLimit).Seconds()
	return float64(c.engines) * batchLimit / serviceTime
}

// request is a simulated request and its state.
type request struct {
	number       int
	slot         int
	priority     *priority
	phase        string
	router       int
	arrived      time.Time
	promptTokens int
	blockHashes  []uint64
	outputTokens int
	// sends counts the attempts; failedOn lists the VMs of the engines on which
	// an attempt failed; sentTo is the engine of the last attempt.
	sends    int
	failedOn []string
	sentTo   int
	attained bool
	ended    bool
	// routerState is for the use of the router.
	routerState any
	// promptTokensLeft is the length of the unprocessed part of the prompt in
	// tokens.
	promptTokensLeft int
}

const (
	// meanPromptTokens and meanOutputTokens are the mean lengths of prompts and
	// answers in tokens; sharedPromptTokens is the length of the prefix that all
	// prompts of a topic share.
	meanPromptTokens   = 1024
	sharedPromptTokens = 768
	meanOutputTokens   = 120
	// blockTokens is the length of a prompt block in tokens.
	blockTokens = 64
)

// newRequest draws a request for a slot.
func (c *cluster) newRequest(random *rand.Rand, number, slot int, p *priority, phase string, at time.Time) *request {
	uniqueTokens := 128 + random.IntN(257)
	req := &request{
		number:       number,
		slot:         slot,
		priority:     p,
		phase:        phase,
		router:       random.IntN(c.routers),
		arrived:      at,
		promptTokens: sharedPromptTokens + uniqueTokens,
		outputTokens: 30 + random.IntN(2*(meanOutputTokens-30)+1),
	}
	topic := uint64(slot*c.topics + random.IntN(c.topics) + 1)
	for b := range req.promptTokens / blockTokens {
		h := topic<<32 | uint64(b)
		if b >= sharedPromptTokens/blockTokens {
			h = 1<<63 | uint64(number)<<8 | uint64(b)
		}
		req.blockHashes = append(req.blockHashes, h*0x9e3779b97f4a7c15)
	}
	return req
}
