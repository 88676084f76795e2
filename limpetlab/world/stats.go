package world

import (
	"github.com/limpetlb/limpetlb/limpetlab/engsim"
	"github.com/limpetlb/limpetlb/limpetlab/table"
	"github.com/limpetlb/limpetlb/limpetlab/weight"
)

// Stats holds the records of all simulated servers.
type Stats struct {
	Table             table.Stats         `json:"table"`
	Weights           weight.Stats        `json:"weights"`
	Engines           []engsim.Stats      `json:"engines"`
	MemoryOvercommits []engsim.Overcommit `json:"memory_overcommits"`
	// Executions counts the executions of each call of the plain service.
	Executions map[string]int `json:"executions"`
}

// Stats returns the records so far.
func (w *Environment) Stats() Stats {
	b := Stats{Table: w.Table.Stats(), Weights: w.Weights.Stats(), Executions: w.ExecutionLog.Counts()}
	for _, e := range w.Engines {
		stats := e.Stats()
		b.Engines = append(b.Engines, stats)
		b.MemoryOvercommits = append(b.MemoryOvercommits, stats.Overcommits...)
	}
	return b
}

// LoadCounts returns the number of loads and of unloads of models and adapters.
func (b Stats) LoadCounts() (loads, unloads int64) {
	for _, e := range b.Engines {
		loads += e.ModelLoads + e.AdapterLoads
		unloads += e.ModelUnloads + e.AdapterUnloads
	}
	return loads, unloads
}

// ExecutionCount returns the number of executions of a call of the plain service.
func (b Stats) ExecutionCount(call string) int { return b.Executions[call] }

// AttemptCount returns the number of attempts that engines started for a prompt.
func (b Stats) AttemptCount(prompt string) int {
	n := 0
	for _, e := range b.Engines {
		n += e.Runs[prompt]
	}
	return n
}

// RepeatedExecutions returns the calls that were executed more than once although once reports
// that they must be executed at most once.
func (b Stats) RepeatedExecutions(once func(call string) bool) []string {
	var doubled []string
	for call, n := range b.Executions {
		if n > 1 && once(call) {
			doubled = append(doubled, call)
		}
	}
	return doubled
}
