package engsim

import (
	"container/list"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/engine"
	"github.com/limpetlb/limpetlb/limpetd/envdoc"
	"github.com/limpetlb/limpetlb/limpetd/route"
)

// keptEvents is the minimum number of recent cache events that an engine keeps.
// The cache discards that many of the oldest events when it holds more than
// twice as many.
const keptEvents = 8192

// cacheEvent is a cache event with the time at which it occurred.
type cacheEvent struct {
	at    time.Time
	event engine.CacheEvent
}

// cache is the engine's prefix cache: a set of prompt blocks with
// least-recently-used eviction.
type cache struct {
	limit    int
	lag      time.Duration
	gap      int64
	recent   *list.List
	blocks   map[block]*list.Element
	events   []cacheEvent
	sequence int64
}

// block identifies a cached prompt block. Slots do not share blocks.
type block struct {
	slot   envdoc.Slot
	prefix uint64
}

// newCache returns an empty cache.
func newCache(c Config) *cache {
	return &cache{
		limit:  c.CacheBlocks,
		lag:    c.CacheLag,
		gap:    c.CacheGap,
		recent: list.New(),
		blocks: make(map[block]*list.Element),
	}
}

// cachedTokens returns the number of leading prompt tokens whose blocks are
// cached, and marks these blocks as recently used.
func (c *cache) cachedTokens(s envdoc.Slot, prompt string) int {
	found := 0
	for _, p := range route.Prefixes(prompt) {
		b, ok := c.blocks[block{s, p}]
		if !ok {
			break
		}
		c.recent.MoveToFront(b)
		found++
	}
	return found * route.BlockTokens
}

// add caches the blocks of a prompt and evicts blocks beyond the limit.
func (c *cache) add(s envdoc.Slot, prompt string) {
	for _, p := range route.Prefixes(prompt) {
		key := block{s, p}
		if b, ok := c.blocks[key]; ok {
			c.recent.MoveToFront(b)
			continue
		}
		c.blocks[key] = c.recent.PushFront(key)
		c.recordEvent(p, false)
	}
	for c.recent.Len() > c.limit {
		key := c.recent.Remove(c.recent.Back()).(block)
		delete(c.blocks, key)
		c.recordEvent(key.prefix, true)
	}
}

// recordEvent appends an event, unless a gap drops it. The sequence number
// advances in both cases.
func (c *cache) recordEvent(prefix uint64, removed bool) {
	c.sequence++
	if c.gap > 0 && c.sequence%c.gap == 0 {
		return
	}
	e := engine.CacheEvent{Sequence: c.sequence, Prefix: prefix, Removed: removed}
	c.events = append(c.events, cacheEvent{at: time.Now(), event: e})
	if len(c.events) > 2*keptEvents {
		c.events = append([]cacheEvent(nil), c.events[keptEvents:]...)
	}
}

// eventsAfter returns the events after a sequence number that are older than
// the cache lag.
func (c *cache) eventsAfter(sequence int64, instance string) []engine.CacheEvent {
	events := []engine.CacheEvent{}
	until := time.Now().Add(-c.lag)
	for _, e := range c.events {
		if e.event.Sequence <= sequence || e.at.After(until) {
			continue
		}
		e.event.Instance = instance
		events = append(events, e.event)
	}
	return events
}
