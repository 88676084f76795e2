package main

import (
	"encoding/json"
	"fmt"
	"os"
	"sort"
)

// figures are the figures of a commit, by name. All are counts and ratios that
// the seed fixes.
type figures struct {
	Seed  uint64 `json:"seed"`
	Quick bool   `json:"quick"`
	// Attainment holds figures of which more is better, Moves those of which
	// fewer is better.
	Attainment map[string]float64 `json:"attainment"`
	Moves      map[string]float64 `json:"moves"`
}

// Tolerances of the comparison with an earlier commit.
const (
	// leastAttainment is the part of the earlier attainment that is kept.
	leastAttainment = 0.97
	// mostMoves is the allowed ratio to the earlier moves; mostMoreMoves are
	// allowed in any case.
	mostMoves     = 1.1
	mostMoreMoves = 10
	// ownPolicy is the name of this system's policy, by bench.
	ownPlacement = "limpetlb"
	ownRequests  = "limpet"
)

// figures returns the figures of this system's own policies: over all requests,
// and of the most urgent ones.
func (a allResult) figures(f benchFlags) figures {
	now := figures{Seed: f.Seed, Quick: f.Quick, Attainment: make(map[string]float64), Moves: make(map[string]float64)}
	for _, p := range a.Placement {
		for _, r := range p.Rows {
			if r.Policy == ownPlacement {
				now.Attainment[p.Deployment+" placement"] = r.AttainmentPerAccelerator
				now.Moves[p.Deployment+" placement"] = float64(r.Moves)
			}
		}
	}
	for _, q := range a.Requests {
		for _, r := range q.Rows {
			if r.Policy == ownRequests && (r.Priority == "all" || r.Priority == "live") {
				now.Attainment[q.Deployment+" requests "+r.Phase+" "+r.Priority] = r.AttainmentPerAccelerator
			}
		}
	}
	return now
}

// write writes the figures to a file.
func (f figures) write(file string) error {
	body, err := json.MarshalIndent(f, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(file, append(body, '\n'), 0o644)
}

// compare returns what is worse now than in the figures of a file. Figures of
// another seed or length are not compared.
func compare(file string, now figures) ([]string, error) {
	body, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	var earlier figures
	if err := json.Unmarshal(body, &earlier); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	if earlier.Seed != now.Seed || earlier.Quick != now.Quick {
		return nil, fmt.Errorf("%s holds figures of seed %d, quick %t", file, earlier.Seed, earlier.Quick)
	}
	var worse []string
	for _, name := range names(earlier.Attainment) {
		if was, is := earlier.Attainment[name], now.Attainment[name]; is < leastAttainment*was {
			worse = append(worse, fmt.Sprintf("%s: attainment %.4g, was %.4g", name, is, was))
		}
	}
	for _, name := range names(earlier.Moves) {
		if was, is := earlier.Moves[name], now.Moves[name]; is > mostMoves*was && is > was+mostMoreMoves {
			worse = append(worse, fmt.Sprintf("%s: %.0f moves, was %.0f", name, is, was))
		}
	}
	return worse, nil
}

// names returns the names of figures in order.
func names(f map[string]float64) []string {
	list := make([]string, 0, len(f))
	for n := range f {
		list = append(list, n)
	}
	sort.Strings(list)
	return list
}
