package rbench

import (
	"sort"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/engine"
)

const (
	// batchLimit is the number of requests that an engine runs at once.
	batchLimit = 16
	// promptRate is the speed of prompt processing in tokens a second.
	promptRate = 8000
	// cacheBlocks is the number of prompt blocks that an engine caches.
	cacheBlocks = 500
	// failTime is the time after which a failing engine answers with an error.
	failTime = 5 * time.Millisecond
	// networkTime is the time of a message.
	networkTime = time.Millisecond
)

// tokenTime returns the time between tokens with running requests.
func tokenTime(running int) time.Duration {
	return 25*time.Millisecond + time.Duration(running)*500*time.Microsecond
}

// server is a model of an engine: requests wait by rank for a place in the batch;
// prompts are processed one at a time, less the part in the cache; then tokens are
// generated, the slower the more requests run.
type server struct {
	number  int
	failing bool
	// slow divides the speed; 1 is full speed.
	slow    time.Duration
	waiting []*job
	// prompts are the requests in the batch whose prompt is not processed.
	prompts  []*job
	busy     bool
	running  int
	sequence int64
	cache    blockCache
}

// accept takes a request.
func (e *server) accept(s *simulation, j *job) {
	if e.failing {
		s.after(failTime, event{kind: eventFailed, job: j, server: e})
		return
	}
	j.tokensLeft = j.prompt
	e.waiting = byRank(e.waiting, j)
	e.advance(s)
}

// byRank inserts a request after those of its rank.
func byRank(list []*job, j *job) []*job {
	at := sort.Search(len(list), func(i int) bool { return list[i].priority.rank > j.priority.rank })
	list = append(list, nil)
	copy(list[at+1:], list[at:])
	list[at] = j
	return list
}

// advance fills the batch and starts the next prompt.
func (e *server) advance(s *simulation) {
	for e.running < batchLimit && len(e.waiting) > 0 {
		e.running++
		e.prompts = byRank(e.prompts, e.waiting[0])
		e.waiting = e.waiting[1:]
	}
	if e.busy || len(e.prompts) == 0 {
		return
	}
	e.busy = true
	j := e.prompts[0]
	e.prompts = e.prompts[1:]
	left := j.prompt - e.cache.use(j.chain)*blockTokens
	d := time.Duration(float64(max(left, 1)) / promptRate * float64(time.Second))
	s.after(d*e.slow, event{kind: eventPrompt, job: j, server: e})
}

// promptDone begins the generation of tokens.
func (e *server) promptDone(s *simulation, j *job) {
	e.busy = false
	j.tokensLeft = 0
	s.after(networkTime, event{kind: eventFirstToken, job: j, server: e})
	s.after(time.Duration(j.tokens)*tokenTime(e.running)*e.slow, event{kind: eventDone, job: j, server: e})
	e.advance(s)
}

// done ends a request.
func (e *server) done(s *simulation) {
	e.running--
	e.advance(s)
}

// report returns the load of the engine.
func (e *server) report(vm string, at time.Time) engine.Report {
	e.sequence++
	tokens := 0
	for _, j := range e.waiting {
		tokens += j.tokensLeft
	}
	for _, j := range e.prompts {
		tokens += j.tokensLeft
	}
	return engine.Report{
		VM:                    vm,
		Instance:              "1",
		Sequence:              e.sequence,
		At:                    at,
		Running:               e.running,
		Waiting:               len(e.waiting),
		WaitingTokens:         tokens,
		PromptTokensPerSecond: promptRate,
		BatchLimit:            batchLimit,
	}
}

// blockCache keeps the prompt blocks that were used last.
type blockCache struct {
	used  map[uint64]int64
	clock int64
}

// use returns the number of leading blocks in the cache, and puts all of the
// chain into it.
func (c *blockCache) use(chain []uint64) int {
	if c.used == nil {
		c.used = make(map[uint64]int64)
	}
	hit := 0
	for hit < len(chain) && c.used[chain[hit]] > 0 {
		hit++
	}
	c.clock++
	for _, b := range chain {
		c.used[b] = c.clock
	}
	if len(c.used) > cacheBlocks*5/4 {
		c.evict()
	}
	return hit
}

// evict drops the blocks that were not used for longest.
func (c *blockCache) evict() {
	times := make([]int64, 0, len(c.used))
	for _, t := range c.used {
		times = append(times, t)
	}
	sort.Slice(times, func(i, j int) bool { return times[i] < times[j] })
	oldest := times[len(times)-cacheBlocks]
	for b, t := range c.used {
		if t < oldest {
			delete(c.used, b)
		}
	}
}
