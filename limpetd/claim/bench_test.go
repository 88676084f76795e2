package claim

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/fakes"
)

// BenchmarkClaim makes and closes claims in 16 goroutines per core, with a table that
// takes 5 ms per transaction. It reports the transactions per call and the calls per
// second.
func BenchmarkClaim(b *testing.B) {
	table := &fakes.Table{}
	ctx, cancel := context.WithCancel(context.Background())
	s := New(ctx, Config{Environment: "test"}, Deps{Table: slowTable{table, 5 * time.Millisecond}})
	var n atomic.Int64
	b.SetParallelism(16)
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			c, err := s.Claim(ctx, testCall(fmt.Sprint(n.Add(1))))
			require.NoError(b, err)
			c.Hold.Close(ctx, Outcome{Status: 200})
		}
	})
	b.ReportMetric(float64(table.Transactions())/float64(b.N), "transactions/call")
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "calls/s")
	cancel()
	require.NoError(b, s.Wait())
}
