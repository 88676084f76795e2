package engsim

import (
	"maps"

	"github.com/limpetlb/limpetlb/limpetd/envdoc"
)

// Overcommit is a load that would exceed the engine's memory.
type Overcommit struct {
	VM       string `json:"vm"`
	Slot     string `json:"slot"`
	UsedMB   int64  `json:"used_mb"`
	LoadMB   int64  `json:"load_mb"`
	MemoryMB int64  `json:"memory_mb"`
}

// Books are what an engine saw over all its instances.
type Books struct {
	VM          string       `json:"vm"`
	Overcommits []Overcommit `json:"overcommits"`
	MemoryMB    int64        `json:"memory_mb"`
	UsedMB      int64        `json:"used_mb"`
	PeakMB      int64        `json:"peak_mb"`
	// Orders counts orders by first arrival, DuplicateOrders later arrivals.
	Orders          int64 `json:"orders"`
	DuplicateOrders int64 `json:"duplicate_orders"`
	FencedOrders    int64 `json:"fenced_orders"`
	RejectedOrders  int64 `json:"rejected_orders"`
	ModelLoads      int64 `json:"model_loads"`
	ModelUnloads    int64 `json:"model_unloads"`
	AdapterLoads    int64 `json:"adapter_loads"`
	AdapterUnloads  int64 `json:"adapter_unloads"`
	// Generations counts attempts begun, Refused those refused.
	Generations int64 `json:"generations"`
	Refused     int64 `json:"refused"`
	Cancelled   int64 `json:"cancelled"`
	Resumed     int64 `json:"resumed"`
	Tokens      int64 `json:"tokens"`
	// PromptTokens counts prompt tokens processed, CachedTokens those found
	// in the cache.
	PromptTokens int64    `json:"prompt_tokens"`
	CachedTokens int64    `json:"cached_tokens"`
	Restarts     int64    `json:"restarts"`
	Resident     []string `json:"resident"`
	// Runs counts attempts begun by prompt. It is not told over HTTP.
	Runs map[string]int `json:"-"`
}

// books is the running account behind Books.
type books struct {
	overcommits     []Overcommit
	peakMB          int64
	orders          int64
	duplicateOrders int64
	fencedOrders    int64
	rejectedOrders  int64
	modelLoads      int64
	modelUnloads    int64
	adapterLoads    int64
	adapterUnloads  int64
	generations     int64
	refused         int64
	cancelled       int64
	resumed         int64
	tokens          int64
	promptTokens    int64
	cachedTokens    int64
	restarts        int64
	runs            map[string]int
}

// overcommit notes a load that exceeds the memory.
func (b *books) overcommit(c Config, s envdoc.Slot, used, load int64) {
	b.overcommits = append(b.overcommits, Overcommit{
		VM: c.VM, Slot: s.String(), UsedMB: used, LoadMB: load, MemoryMB: c.MemoryMB,
	})
}

// peak notes the memory in use.
func (b *books) peak(used int64) {
	b.peakMB = max(b.peakMB, used)
}

// loaded counts a load.
func (b *books) loaded(s envdoc.Slot) {
	if s.Adapter != "" {
		b.adapterLoads++
		return
	}
	b.modelLoads++
}

// unloaded counts an unload.
func (b *books) unloaded(s envdoc.Slot) {
	if s.Adapter != "" {
		b.adapterUnloads++
		return
	}
	b.modelUnloads++
}

// ran counts an attempt for a prompt.
func (b *books) ran(prompt string) {
	if b.runs == nil {
		b.runs = make(map[string]int)
	}
	b.generations++
	b.runs[prompt]++
}

// Books returns what the engine saw so far.
func (e *Engine) Books() Books {
	e.mu.Lock()
	defer e.mu.Unlock()
	b := e.books
	books := Books{
		VM: e.config.VM, Overcommits: append([]Overcommit{}, b.overcommits...),
		MemoryMB: e.config.MemoryMB, UsedMB: e.life.used(), PeakMB: b.peakMB,
		Orders: b.orders, DuplicateOrders: b.duplicateOrders,
		FencedOrders: b.fencedOrders, RejectedOrders: b.rejectedOrders,
		ModelLoads: b.modelLoads, ModelUnloads: b.modelUnloads,
		AdapterLoads: b.adapterLoads, AdapterUnloads: b.adapterUnloads,
		Generations: b.generations, Refused: b.refused,
		Cancelled: b.cancelled, Resumed: b.resumed, Tokens: b.tokens,
		PromptTokens: b.promptTokens, CachedTokens: b.cachedTokens,
		Restarts: b.restarts, Runs: maps.Clone(b.runs),
	}
	for s := range e.life.resident {
		books.Resident = append(books.Resident, s.String())
	}
	return books
}
