package relay

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// Parameters of the model of a leaving engine whose answers continue on other engines.
// Either the KV cache of each answer is exported over the engine's link and imported,
// or the other engines process the prompt and the generated tokens again, except the
// prefix that they hold.
const (
	kvBytesPerToken       = 128 << 10
	promptTokensPerSecond = 8000
	answersPerEngine      = 32
	targetEngines         = 3
	runs                  = 200
	cachedPrefixShare     = 0.5
)

// answerTokens draws the current length of one answer in tokens, prompt included.
func answerTokens(r *rand.Rand, prompt int) int {
	return prompt/2 + r.IntN(prompt) + r.IntN(maxGeneratedTokens)
}

// maxGeneratedTokens is the limit of the generated tokens of one answer.
const maxGeneratedTokens = 256

// exportTimes returns the time until each answer continues if its KV cache is
// exported. The link transfers the caches one after the other.
func exportTimes(tokens []int, bytesPerSecond float64) []time.Duration {
	var ends []time.Duration
	sent := 0.0
	for _, n := range tokens {
		sent += float64(n) * kvBytesPerToken
		ends = append(ends, time.Duration(sent/bytesPerSecond*float64(time.Second)))
	}
	return ends
}

// recomputeTimes returns the time until each answer continues if its tokens are
// processed again. The other engines share the answers evenly.
func recomputeTimes(tokens []int) []time.Duration {
	var ends []time.Duration
	var tokensToProcess [targetEngines]float64
	for i, n := range tokens {
		e := i % targetEngines
		tokensToProcess[e] += float64(n) * (1 - cachedPrefixShare)
		ends = append(ends, time.Duration(tokensToProcess[e]/promptTokensPerSecond*float64(time.Second)))
	}
	return ends
}

func percentile95(d []time.Duration) float64 {
	slices.Sort(d)
	return float64(d[len(d)*95/100].Milliseconds())
}

// BenchmarkContinuation reports the 95th percentile of the pause of an answer in
// milliseconds, for export and for recomputation.
func BenchmarkContinuation(b *testing.B) {
	for _, prompt := range []int{256, 1000, 4000} {
		for _, gigabits := range []float64{10, 25, 100} {
			b.Run(fmt.Sprintf("prompt=%d/gigabits=%g", prompt, gigabits), func(b *testing.B) {
				r := rand.New(rand.NewPCG(1, 1))
				var export, recompute []time.Duration
				for b.Loop() {
					export, recompute = nil, nil
					for range runs {
						tokens := make([]int, answersPerEngine)
						for i := range tokens {
							tokens[i] = answerTokens(r, prompt)
						}
						export = append(export, exportTimes(tokens, gigabits*1e9/8)...)
						recompute = append(recompute, recomputeTimes(tokens)...)
					}
				}
				b.ReportMetric(percentile95(export), "export-ms")
				b.ReportMetric(percentile95(recompute), "recompute-ms")
			})
		}
	}
}
