package relay

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// The model of a leaving engine whose answers go on at other engines: either
// their KV cache is exported over the engine's link and imported, or the other
// engines process prompt and tokens again, less the prefix that they have.
const (
	kvBytesPerToken   = 128 << 10
	promptRate        = 8000
	answersOfEngine   = 32
	otherEngines      = 3
	modelRuns         = 200
	cachedPrefixShare = 0.5
)

// answerTokens draws the length of one answer so far, prompt included.
func answerTokens(r *rand.Rand, prompt int) int {
	return prompt/2 + r.IntN(prompt) + r.IntN(longestAnswer)
}

// longestAnswer is the longest answer of the model.
const longestAnswer = 256

// exported returns when each answer goes on: the link carries one after the
// other.
func exported(tokens []int, bytesPerSecond float64) []time.Duration {
	var ends []time.Duration
	sent := 0.0
	for _, n := range tokens {
		sent += float64(n) * kvBytesPerToken
		ends = append(ends, time.Duration(sent/bytesPerSecond*float64(time.Second)))
	}
	return ends
}

// recomputed returns when each answer goes on: the engines share the work.
func recomputed(tokens []int) []time.Duration {
	var ends []time.Duration
	var work [otherEngines]float64
	for i, n := range tokens {
		e := i % otherEngines
		work[e] += float64(n) * (1 - cachedPrefixShare)
		ends = append(ends, time.Duration(work[e]/promptRate*float64(time.Second)))
	}
	return ends
}

func percentile95(d []time.Duration) float64 {
	slices.Sort(d)
	return float64(d[len(d)*95/100].Milliseconds())
}

// BenchmarkContinuation reports the 95th percentile of the pause of an answer
// in milliseconds, by both ways.
func BenchmarkContinuation(b *testing.B) {
	for _, prompt := range []int{256, 1000, 4000} {
		for _, gigabits := range []float64{10, 25, 100} {
			b.Run(fmt.Sprintf("prompt=%d/gigabits=%g", prompt, gigabits), func(b *testing.B) {
				r := rand.New(rand.NewPCG(1, 1))
				var export, recompute []time.Duration
				for b.Loop() {
					export, recompute = nil, nil
					for range modelRuns {
						tokens := make([]int, answersOfEngine)
						for i := range tokens {
							tokens[i] = answerTokens(r, prompt)
						}
						export = append(export, exported(tokens, gigabits*1e9/8)...)
						recompute = append(recompute, recomputed(tokens)...)
					}
				}
				b.ReportMetric(percentile95(export), "export-ms")
				b.ReportMetric(percentile95(recompute), "recompute-ms")
			})
		}
	}
}
