package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"slices"
)

// figures holds the benchmark figures of a commit by name. All figures are counts
// and ratios, which are the same in each run with the same seed.
type figures struct {
	Seed  uint64 `json:"seed"`
	Quick bool   `json:"quick"`
	// Attainment holds requests per second and accelerator that met their
	// expectation; higher is better. Moves holds loads and unloads and Sends
	// holds sends per request; lower is better for both.
	Attainment map[string]float64 `json:"attainment"`
	Moves      map[string]float64 `json:"moves"`
	Sends      map[string]float64 `json:"sends"`
}

// Tolerances of the comparison with the figures of an earlier commit.
const (
	// minAttainmentRatio is the smallest allowed ratio of the current to the
	// earlier attainment.
	minAttainmentRatio = 0.99
	// maxMovesRatio is the largest allowed ratio of the current to the earlier
	// moves. An increase of up to maxAddedMoves is always allowed.
	maxMovesRatio = 1.1
	maxAddedMoves = 10
	// maxSendsRatio is the largest allowed ratio of the current to the earlier
	// sends per request.
	maxSendsRatio = 1.03
)

// Names of limpetlb's own policy in the placement and requests benchmarks.
const (
	ownPlacementPolicy = "limpetlb"
	ownRequestsPolicy  = "limpet"
)

// figures returns the figures of limpetlb's own policies, over all requests and
// over the most urgent ones.
func (a allResult) figures(f benchFlags) figures {
	current := figures{
		Seed: f.Seed, Quick: f.Quick,
		Attainment: make(map[string]float64), Moves: make(map[string]float64), Sends: make(map[string]float64),
	}
	for _, p := range a.Placement {
		for _, r := range p.Rows {
			if r.Policy == ownPlacementPolicy {
				current.Attainment[p.Deployment+" placement"] = r.AttainmentPerAccelerator
				current.Moves[p.Deployment+" placement"] = float64(r.Moves)
			}
		}
	}
	for _, q := range a.Requests {
		for _, r := range q.Rows {
			if r.Policy != ownRequestsPolicy || r.Priority != priorityAll && r.Priority != priorityUrgent {
				continue
			}
			name := q.Deployment + " requests " + r.Phase + " " + r.Priority
			current.Attainment[name] = r.AttainmentPerAccelerator
			current.Sends[name] = r.SendsPerRequest
		}
	}
	return current
}

// write writes the figures to a file as JSON.
func (f figures) write(file string) error {
	body, err := json.MarshalIndent(f, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(file, append(body, '\n'), 0o644)
}

// compare returns a description of each current figure that is worse than the
// earlier figure in a file. A figure that only one side has also counts as a
// regression, so that the file stays complete. Figures of another seed or length
// are an error.
func compare(file string, current figures) ([]string, error) {
	body, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	var earlier figures
	if err := json.Unmarshal(body, &earlier); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	if earlier.Seed != current.Seed || earlier.Quick != current.Quick {
		return nil, fmt.Errorf("%s holds figures of another kind of run: seed %d, quick %t", file, earlier.Seed, earlier.Quick)
	}
	regressions := findRegressions("attainment", earlier.Attainment, current.Attainment, func(previous, value float64) bool {
		return value >= minAttainmentRatio*previous
	})
	regressions = append(regressions, findRegressions("moves", earlier.Moves, current.Moves, func(previous, value float64) bool {
		return value <= max(maxMovesRatio*previous, previous+maxAddedMoves)
	})...)
	regressions = append(regressions, findRegressions("sends per request", earlier.Sends, current.Sends, func(previous, value float64) bool {
		return value <= maxSendsRatio*previous
	})...)
	return regressions, nil
}

// findRegressions describes the current figures that are not acceptable, and the
// figures that only one side has.
func findRegressions(unit string, earlier, current map[string]float64, acceptable func(previous, value float64) bool) []string {
	var regressions []string
	for _, name := range slices.Sorted(maps.Keys(earlier)) {
		previous := earlier[name]
		value, ok := current[name]
		switch {
		case !ok:
			regressions = append(regressions, fmt.Sprintf("%s: no %s, was %.4g", name, unit, previous))
		case !acceptable(previous, value):
			regressions = append(regressions, fmt.Sprintf("%s: %.4g %s, was %.4g", name, value, unit, previous))
		}
	}
	for _, name := range slices.Sorted(maps.Keys(current)) {
		if _, ok := earlier[name]; !ok {
			regressions = append(regressions, fmt.Sprintf("%s: %.4g %s, not among the earlier figures", name, current[name], unit))
		}
	}
	return regressions
}
