package watch

import "github.com/limpetlb/limpetlb/limpetd/engine"

// maxPrefixes is the number of prefixes kept for an engine. Beyond it the index
// of the engine is dropped and learnt again.
const maxPrefixes = 1 << 13

// cache is the index of the prefixes that an engine holds. The zero value is
// empty.
type cache struct {
	instance string
	sequence int64
	prefixes map[uint64]bool
	changed  bool
}

// after returns the sequence number after which events are wanted.
func (c *cache) after(instance string) int64 {
	if c.instance != instance {
		return 0
	}
	return c.sequence
}

// apply takes the events of an engine process and tells whether some were
// missing. A gap drops the index, since a removal may have been among them.
func (c *cache) apply(instance string, events []engine.CacheEvent) (gap bool) {
	if c.instance != instance {
		c.drop()
		c.instance, c.sequence = instance, 0
	}
	for _, e := range events {
		if e.Instance != instance || e.Sequence <= c.sequence {
			continue
		}
		if e.Sequence != c.sequence+1 {
			gap = gap || c.sequence > 0
			c.drop()
		}
		c.note(e)
	}
	return gap
}

// note takes one event.
func (c *cache) note(e engine.CacheEvent) {
	c.sequence = e.Sequence
	c.changed = true
	if e.Removed {
		delete(c.prefixes, e.Prefix)
		return
	}
	if c.prefixes == nil || len(c.prefixes) >= maxPrefixes {
		c.prefixes = make(map[uint64]bool)
	}
	c.prefixes[e.Prefix] = true
}

// drop forgets all prefixes.
func (c *cache) drop() {
	c.changed = c.changed || len(c.prefixes) > 0
	c.prefixes = nil
}
