//go:build !race

package sched_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/layout"
	"github.com/limpetlb/limpetlb/limpetd/sched"
)

// shortOfEngines returns a Balancer with 100 engines and 1,000 calls that wait because all engines are busy.
func shortOfEngines() (*sched.Balancer, []*sched.ReservationRequest) {
	var servers []*layout.Server
	for i := range 100 {
		servers = append(servers, engine(fmt.Sprint("engine-", i), "m"))
	}
	b := newBalancer(servers...)
	var waiting []*sched.ReservationRequest
	for i := range 100_000 {
		a := objective400(400 + i%1200)
		a.Level, a.IsTopPriority = 1+i%3, i%3 == 0
		if b.Reserve(a, start).Verdict == sched.Chosen {
			continue
		}
		if waiting = append(waiting, a); len(waiting) == 1000 {
			break
		}
	}
	return b, waiting
}

// TestReservationAllocations guards against decisions that become slow for the lease holder, which decides for all calls.
func TestReservationAllocations(t *testing.T) {
	b, waiting := shortOfEngines()
	require.Len(t, waiting, 1000)
	i := 0
	require.LessOrEqual(t, testing.AllocsPerRun(1000, func() {
		i++
		b.Reserve(waiting[i%1000], start.Add(time.Duration(i)*time.Millisecond))
	}), 2.0)
}

func BenchmarkReserveUnderShortage(b *testing.B) {
	balancer, waiting := shortOfEngines()
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		i++
		balancer.Reserve(waiting[i%1000], start.Add(time.Duration(i)*50*time.Microsecond))
	}
}
