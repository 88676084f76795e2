package world

import (
	"github.com/limpetlb/limpetlb/limpetlab/engsim"
	"github.com/limpetlb/limpetlb/limpetlab/table"
	"github.com/limpetlb/limpetlb/limpetlab/weight"
)

// Books holds the records of all simulated servers.
type Books struct {
	Table             table.Books         `json:"table"`
	Weights           weight.Books        `json:"weights"`
	Engines           []engsim.Books      `json:"engines"`
	MemoryOvercommits []engsim.Overcommit `json:"memory_overcommits"`
	// Executions counts the executions of each call of the plain service.
	Executions map[string]int `json:"executions"`
}

// Books returns the records so far.
func (w *World) Books() Books {
	b := Books{Table: w.Table.Books(), Weights: w.Weights.Books(), Executions: w.Bookings.All()}
	for _, e := range w.Engines {
		books := e.Books()
		b.Engines = append(b.Engines, books)
		b.MemoryOvercommits = append(b.MemoryOvercommits, books.Overcommits...)
	}
	return b
}

// Loads returns the number of loads and of unloads of models and adapters.
func (b Books) Loads() (loads, unloads int64) {
	for _, e := range b.Engines {
		loads += e.ModelLoads + e.AdapterLoads
		unloads += e.ModelUnloads + e.AdapterUnloads
	}
	return loads, unloads
}

// Executed returns the number of executions of a call of the plain service.
func (b Books) Executed(call string) int { return b.Executions[call] }

// Runs returns the number of attempts that engines started for a prompt.
func (b Books) Runs(prompt string) int {
	n := 0
	for _, e := range b.Engines {
		n += e.Runs[prompt]
	}
	return n
}

// Doubled returns the calls that were executed more than once although once reports
// that they must be executed at most once.
func (b Books) Doubled(once func(call string) bool) []string {
	var doubled []string
	for call, n := range b.Executions {
		if n > 1 && once(call) {
			doubled = append(doubled, call)
		}
	}
	return doubled
}
