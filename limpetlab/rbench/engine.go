package rbench

import (
	"sort"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/engine"
)

const (
	// batchLimit is the maximum number of requests that an engine runs at once.
	batchLimit = 16
	// promptRate is the speed of prompt processing in tokens per second.
	promptRate = 8000
	// cacheBlocks is the capacity of an engine's prompt cache in blocks.
	cacheBlocks = 500
	// failTime is the time after which a failing engine answers with an error.
	failTime = 5 * time.Millisecond
	// networkTime is the latency of a message between router and engine.
	networkTime = time.Millisecond
)

// tokenTime returns the time between two output tokens of a request while a number
// of requests is running.
func tokenTime(running int) time.Duration {
	return 25*time.Millisecond + time.Duration(running)*500*time.Microsecond
}

// simulatedEngine models an engine. Requests wait for a place in the batch, ordered
// by rank. Prompts are processed one at a time, without their cached blocks. Output
// tokens are then generated, more slowly the more requests run.
type simulatedEngine struct {
	number  int
	failing bool
	// slowdown divides the speed; 1 is full speed.
	slowdown time.Duration
	waiting  []*request
	// prefillQueue holds the requests in the batch whose prompt processing has not
	// started.
	prefillQueue []*request
	// prefilling indicates whether a prompt is being processed.
	prefilling bool
	// running counts the requests in the batch.
	running  int
	sequence int64
	cache    blockCache
}

// accept queues a request. A failing engine answers with an error after failTime.
func (e *simulatedEngine) accept(s *simulation, req *request) {
	if e.failing {
		s.scheduleAfter(failTime, event{kind: eventFailed, request: req, engine: e})
		return
	}
	req.promptTokensLeft = req.promptTokens
	e.waiting = insertByRank(e.waiting, req)
	e.schedule(s)
}

// insertByRank inserts a request into a list that is sorted by rank, after the
// requests of the same rank.
func insertByRank(list []*request, req *request) []*request {
	at := sort.Search(len(list), func(i int) bool { return list[i].priority.rank > req.priority.rank })
	list = append(list, nil)
	copy(list[at+1:], list[at:])
	list[at] = req
	return list
}

// schedule fills the batch and starts processing the next prompt if none is being
// processed.
func (e *simulatedEngine) schedule(s *simulation) {
	for e.running < batchLimit && len(e.waiting) > 0 {
		e.running++
		e.prefillQueue = insertByRank(e.prefillQueue, e.waiting[0])
		e.waiting = e.waiting[1:]
	}
	if e.prefilling || len(e.prefillQueue) == 0 {
		return
	}
	e.prefilling = true
	req := e.prefillQueue[0]
	e.prefillQueue = e.prefillQueue[1:]
	left := req.promptTokens - e.cache.use(req.blockHashes)*blockTokens
	d := time.Duration(float64(max(left, 1)) / promptRate * float64(time.Second))
	s.scheduleAfter(d*e.slowdown, event{kind: eventPromptDone, request: req, engine: e})
}

// promptDone starts the generation of output tokens. The token time is that of the
// number of requests that run at this time.
func (e *simulatedEngine) promptDone(s *simulation, req *request) {
	e.prefilling = false
	req.promptTokensLeft = 0
	s.scheduleAfter(networkTime, event{kind: eventFirstToken, request: req, engine: e})
	s.scheduleAfter(time.Duration(req.outputTokens)*tokenTime(e.running)*e.slowdown, event{kind: eventDone, request: req, engine: e})
	e.schedule(s)
}

// finishRequest frees a place in the batch.
func (e *simulatedEngine) finishRequest(s *simulation) {
	e.running--
	e.schedule(s)
}

// report returns the engine's report of its current load.
func (e *simulatedEngine) report(vm string, at time.Time) engine.Report {
	e.sequence++
	tokens := 0
	for _, req := range e.waiting {
		tokens += req.promptTokensLeft
	}
	for _, req := range e.prefillQueue {
		tokens += req.promptTokensLeft
	}
	return engine.Report{
		VM:                    vm,
		Instance:              "1",
		Sequence:              e.sequence,
		MeasuredAt:            at,
		Running:               e.running,
		Waiting:               len(e.waiting),
		WaitingTokens:         tokens,
		PromptTokensPerSecond: promptRate,
		BatchLimit:            batchLimit,
	}
}

// blockCache holds the most recently used prompt blocks, by hash. Times are values
// of a counter that each call of use increments.
type blockCache struct {
	lastUsed map[uint64]int64
	clock    int64
}

// use returns the number of leading blocks that are cached and adds all blocks to
// the cache. It evicts old blocks when the cache exceeds cacheBlocks by a quarter.
func (c *blockCache) use(blockHashes []uint64) int {
	if c.lastUsed == nil {
		c.lastUsed = make(map[uint64]int64)
	}
	hit := 0
	for hit < len(blockHashes) && c.lastUsed[blockHashes[hit]] > 0 {
		hit++
	}
	c.clock++
	for _, b := range blockHashes {
		c.lastUsed[b] = c.clock
	}
	if len(c.lastUsed) > cacheBlocks*5/4 {
		c.evict()
	}
	return hit
}

// evict removes the least recently used blocks.
func (c *blockCache) evict() {
	times := make([]int64, 0, len(c.lastUsed))
	for _, t := range c.lastUsed {
		times = append(times, t)
	}
	sort.Slice(times, func(i, j int) bool { return times[i] < times[j] })
	oldest := times[len(times)-cacheBlocks]
	for b, t := range c.lastUsed {
		if t < oldest {
			delete(c.lastUsed, b)
		}
	}
}
