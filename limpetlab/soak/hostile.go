package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/limpetlb/limpetlb/limpetlab/crowd"
	"github.com/limpetlb/limpetlb/platform/stand"
)

const (
	// hostileClients is the number of clients of a crowd, whose bodies exceed what a daemon may hold for callers.
	hostileClients = 60
	// memoryMB is the memory limit in the settings of the daemons.
	memoryMB = 160
)

// sendHostileClients sends crowds of clients that don't behave to one daemon after the other, whatever other faults it
// has, until ctx ends. Their requests are incomplete or over a limit, so that none of them runs.
func (r *run) sendHostileClients(ctx context.Context, random *rand.Rand) {
	patterns := crowd.IncompletePatterns()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(randomDuration(random, 500*time.Millisecond, 4*time.Second)):
		}
		d, clients, length := r.pickDaemon(random), patterns[random.IntN(len(patterns))], randomDuration(random, 500*time.Millisecond, 3*time.Second)
		r.count("hostile_clients")
		e := crowd.Entry{Address: d.callerAddress, Head: fmt.Sprintf("POST %s1 HTTP/1.1\r\nHost: %s\r\nRequest-Id: hostile-%d-{id}\r\n", stand.SafeRoute, stand.Host, n)}
		crowdCtx, cancel := context.WithTimeout(ctx, length)
		stop := crowd.Start(crowdCtx, e, clients, hostileClients)
		<-crowdCtx.Done()
		stop()
		cancel()
	}
}

// limitMemory returns settings of a daemon with the memory limit memoryMB.
func limitMemory(settings string) string {
	return strings.Replace(settings, "memory_mb = 2000", fmt.Sprint("memory_mb = ", memoryMB), 1)
}
