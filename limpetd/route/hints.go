package route

// hintEntries is the number of entries of Hints, a power of two.
const hintEntries = 1 << 13

// Hints records the engine to which this daemon last sent each prompt prefix. It is a
// direct-mapped table: a newer prefix replaces an older one in the same entry. It is not safe
// for concurrent use; a nil Hints is empty.
type Hints struct {
	entries [hintEntries]hint
}

// hint is a prefix and the number of the engine that it was sent to.
type hint struct {
	prefix uint64
	engine int32
	valid  bool
}

// NewHints returns empty hints.
func NewHints() *Hints {
	return &Hints{}
}

// Sent records that the prompt with the given hash chain was sent to an engine.
func (h *Hints) Sent(chain []uint64, engine int) {
	for _, p := range chain {
		h.entries[p%hintEntries] = hint{prefix: p, engine: int32(engine), valid: true}
	}
}

// Drop removes the entries of an engine, for example after its restart.
func (h *Hints) Drop(engine int) {
	for i := range h.entries {
		if h.entries[i].engine == int32(engine) {
			h.entries[i].valid = false
		}
	}
}

// Reset removes all entries.
func (h *Hints) Reset() {
	clear(h.entries[:])
}

// engine returns the number of the engine that a prefix was last sent to, and whether the
// prefix has an entry.
func (h *Hints) engine(prefix uint64) (int32, bool) {
	if h == nil {
		return 0, false
	}
	p := &h.entries[prefix%hintEntries]
	return p.engine, p.valid && p.prefix == prefix
}
