package engsim

import (
	"container/list"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/engine"
	"github.com/limpetlb/limpetlb/limpetd/envdoc"
	"github.com/limpetlb/limpetlb/limpetd/route"
)

// keptEvents is the number of cache events that an engine keeps.
const keptEvents = 8192

// cacheEvent is a cache event with the time of its happening.
type cacheEvent struct {
	at    time.Time
	event engine.CacheEvent
}

// cache is the prefix cache: prompt blocks, the least recently used given up
// first.
type cache struct {
	limit    int
	lag      time.Duration
	gap      int64
	recent   *list.List
	blocks   map[block]*list.Element
	events   []cacheEvent
	sequence int64
}

// block is a cached prompt block. Slots do not share blocks.
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

// cached returns the number of prompt tokens found in the cache.
func (c *cache) cached(s envdoc.Slot, prompt string) int {
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

// add keeps the blocks of a prompt.
func (c *cache) add(s envdoc.Slot, prompt string) {
	for _, p := range route.Prefixes(prompt) {
		key := block{s, p}
		if b, ok := c.blocks[key]; ok {
			c.recent.MoveToFront(b)
			continue
		}
		c.blocks[key] = c.recent.PushFront(key)
		c.note(p, false)
	}
	for c.recent.Len() > c.limit {
		key := c.recent.Remove(c.recent.Back()).(block)
		delete(c.blocks, key)
		c.note(key.prefix, true)
	}
}

// note keeps an event, unless it falls into a gap.
func (c *cache) note(prefix uint64, removed bool) {
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

// after returns the events after a sequence number that are old enough.
func (c *cache) after(sequence int64, instance string) []engine.CacheEvent {
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
