package route

// hintPlaces is the number of prefixes that Hints keeps, a power of two.
const hintPlaces = 1 << 13

// Hints remembers the engine to which a daemon sent a prompt prefix last. A
// newer prefix takes the place of an older one. It is not safe for concurrent
// use; a nil Hints is empty.
type Hints struct {
	places [hintPlaces]hint
}

// hint is a prefix and the engine number that it was sent to.
type hint struct {
	prefix uint64
	engine int32
	used   bool
}

// NewHints returns empty hints.
func NewHints() *Hints {
	return &Hints{}
}

// Sent notes that the prompt with this chain was sent to an engine.
func (h *Hints) Sent(chain []uint64, engine int) {
	for _, p := range chain {
		h.places[p%hintPlaces] = hint{prefix: p, engine: int32(engine), used: true}
	}
}

// Drop forgets an engine, for example after its restart.
func (h *Hints) Drop(engine int) {
	for i := range h.places {
		if h.places[i].engine == int32(engine) {
			h.places[i].used = false
		}
	}
}

// Reset forgets all engines.
func (h *Hints) Reset() {
	clear(h.places[:])
}

// engine returns the engine that a prefix was sent to last.
func (h *Hints) engine(prefix uint64) (int32, bool) {
	if h == nil {
		return 0, false
	}
	p := &h.places[prefix%hintPlaces]
	return p.engine, p.used && p.prefix == prefix
}
