package engsim

import (
	"maps"

	"github.com/limpetlb/limpetlb/limpetd/envdoc"
)

// Overcommit describes a load that would have exceeded the engine's memory.
// UsedMB is the memory in use before the load.
type Overcommit struct {
	VM       string `json:"vm"`
	Slot     string `json:"slot"`
	UsedMB   int64  `json:"used_mb"`
	LoadMB   int64  `json:"load_mb"`
	MemoryMB int64  `json:"memory_mb"`
}

// Stats are an engine's counters, summed over all its instances, and its current
// state.
type Stats struct {
	VM          string       `json:"vm"`
	Overcommits []Overcommit `json:"overcommits"`
	MemoryMB    int64        `json:"memory_mb"`
	UsedMB      int64        `json:"used_mb"`
	PeakMB      int64        `json:"peak_mb"`
	// Orders counts the first arrivals of orders, DuplicateOrders further
	// arrivals with the same ID.
	Orders          int64 `json:"orders"`
	DuplicateOrders int64 `json:"duplicate_orders"`
	FencedOrders    int64 `json:"fenced_orders"`
	RejectedOrders  int64 `json:"rejected_orders"`
	ModelLoads      int64 `json:"model_loads"`
	ModelUnloads    int64 `json:"model_unloads"`
	AdapterLoads    int64 `json:"adapter_loads"`
	AdapterUnloads  int64 `json:"adapter_unloads"`
	// Generations counts attempts that were started, Refused attempts that
	// the engine refused.
	Generations int64 `json:"generations"`
	Refused     int64 `json:"refused"`
	Cancelled   int64 `json:"cancelled"`
	Resumed     int64 `json:"resumed"`
	Tokens      int64 `json:"tokens"`
	// PromptTokens counts the prompt tokens of started attempts, CachedTokens
	// the prompt tokens among them that the prefix cache held.
	PromptTokens int64    `json:"prompt_tokens"`
	CachedTokens int64    `json:"cached_tokens"`
	Restarts     int64    `json:"restarts"`
	Resident     []string `json:"resident"`
	// Runs counts started attempts by prompt. The HTTP API omits it.
	Runs map[string]int `json:"-"`
}

// counters holds the values from which Stats is built. It outlives restarts.
type counters struct {
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

// recordOvercommit records a load that would exceed the memory.
func (c *counters) recordOvercommit(config Config, s envdoc.Slot, used, load int64) {
	c.overcommits = append(c.overcommits, Overcommit{
		VM: config.VM, Slot: s.String(), UsedMB: used, LoadMB: load, MemoryMB: config.MemoryMB,
	})
}

// recordPeak updates the peak of the memory in use.
func (c *counters) recordPeak(used int64) {
	c.peakMB = max(c.peakMB, used)
}

// countLoad counts the load of a model or an adapter.
func (c *counters) countLoad(s envdoc.Slot) {
	if s.Adapter != "" {
		c.adapterLoads++
		return
	}
	c.modelLoads++
}

// countUnload counts the unload of a model or an adapter.
func (c *counters) countUnload(s envdoc.Slot) {
	if s.Adapter != "" {
		c.adapterUnloads++
		return
	}
	c.modelUnloads++
}

// countRun counts an attempt that was started for a prompt.
func (c *counters) countRun(prompt string) {
	if c.runs == nil {
		c.runs = make(map[string]int)
	}
	c.generations++
	c.runs[prompt]++
}

// Stats returns a copy of the engine's counters.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := e.counters
	stats := Stats{
		VM: e.config.VM, Overcommits: append([]Overcommit{}, c.overcommits...),
		MemoryMB: e.config.MemoryMB, UsedMB: e.instance.used(), PeakMB: c.peakMB,
		Orders: c.orders, DuplicateOrders: c.duplicateOrders,
		FencedOrders: c.fencedOrders, RejectedOrders: c.rejectedOrders,
		ModelLoads: c.modelLoads, ModelUnloads: c.modelUnloads,
		AdapterLoads: c.adapterLoads, AdapterUnloads: c.adapterUnloads,
		Generations: c.generations, Refused: c.refused,
		Cancelled: c.cancelled, Resumed: c.resumed, Tokens: c.tokens,
		PromptTokens: c.promptTokens, CachedTokens: c.cachedTokens,
		Restarts: c.restarts, Runs: maps.Clone(c.runs),
	}
	for s := range e.instance.resident {
		stats.Resident = append(stats.Resident, s.String())
	}
	return stats
}
