package watch

import "github.com/limpetlb/limpetlb/limpetd/engine"

// maxPrefixes is the maximum number of prefixes in the index of an engine. A full
// index is cleared and filled again from later events.
const maxPrefixes = 1 << 13

// prefixIndex is the set of prompt prefixes in the cache of an engine, maintained
// from the engine's cache events. The zero value is an empty index.
type prefixIndex struct {
	instance string
	sequence int64
	prefixes map[uint64]bool
	// changed indicates whether prefixes changed since the last rebuild by
	// Watch.prefixHolders.
	changed bool
}

// lastSequence returns the sequence number of the last event applied for an engine
// process, 0 if the index belongs to another process.
func (x *prefixIndex) lastSequence(instance string) int64 {
	if x.instance != instance {
		return 0
	}
	return x.sequence
}

// apply applies the events of an engine process. gap reports whether events are
// missing since the last applied one. A gap clears the index, since a missing event
// may have been a removal.
func (x *prefixIndex) apply(instance string, events []engine.CacheEvent) (gap bool) {
	if x.instance != instance {
		x.drop()
		x.instance, x.sequence = instance, 0
	}
	for _, e := range events {
		if e.Instance != instance || e.Sequence <= x.sequence {
			continue
		}
		if e.Sequence != x.sequence+1 {
			gap = gap || x.sequence > 0
			x.drop()
		}
		x.applyEvent(e)
	}
	return gap
}

// applyEvent applies one event.
func (x *prefixIndex) applyEvent(e engine.CacheEvent) {
	x.sequence = e.Sequence
	x.changed = true
	if e.Removed {
		delete(x.prefixes, e.Prefix)
		return
	}
	if x.prefixes == nil || len(x.prefixes) >= maxPrefixes {
		x.prefixes = make(map[uint64]bool)
	}
	x.prefixes[e.Prefix] = true
}

// drop removes all prefixes.
func (x *prefixIndex) drop() {
	x.changed = x.changed || len(x.prefixes) > 0
	x.prefixes = nil
}
