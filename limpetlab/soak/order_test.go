package soak

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/platform/stand"
)

// Sizes of the streams of TestStreamsStayInOrderWhileServersAreSilent. They last longer than the silence of a server, so
// that each silence meets streams that have begun.
const (
	orderEvents = 24
	orderPeriod = 60 * time.Millisecond
	// orderGap is the pause of a stream after which its caller takes it up at another daemon.
	orderGap = 2400 * time.Millisecond
)

// orderedStream is a stream as its caller receives it over all of its tries.
type orderedStream struct {
	id, model string
	// last is the number of the last event; -1 before the first one. software is the version of the engines' software
	// in the last event.
	last     int
	software string
	// faults describes the events and ends that are out of order.
	faults []string
}

// run sends the call, and takes the stream up when it breaks off.
func (s *orderedStream) run(ctx context.Context, daemons []string, random *rand.Rand) {
	for try := range 4 {
		if s.read(ctx, daemons[random.IntN(len(daemons))], try) || ctx.Err() != nil {
			return
		}
		sleep(ctx, 100*time.Millisecond)
	}
}

// read sends a try of the call and reads its events. It returns true if the stream is complete, or if its caller
// does not try again.
func (s *orderedStream) read(ctx context.Context, daemon string, try int) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	id := s.id
	if try > 0 {
		id += fmt.Sprint("-", try)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+daemon+stand.EngineRoute+s.id, strings.NewReader("x"))
	if err != nil {
		return true
	}
	r.Host = stand.Host
	last := ""
	if s.last >= 0 {
		last = strconv.Itoa(s.last)
	}
	for name, value := range stand.StreamHeaders(id, s.model, s.id, last) {
		r.Header.Set(name, value)
	}
	abandon := time.AfterFunc(orderGap, cancel)
	defer abandon.Stop()
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return false
	}
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		abandon.Reset(orderGap)
		if value, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			n, err := strconv.Atoi(value)
			if err != nil || n != s.last+1 {
				s.faults = append(s.faults, fmt.Sprintf("%s: event %s after %d", id, value, s.last))
			}
			s.last = n
		}
		if value, ok := strings.CutPrefix(lines.Text(), "data: "); ok {
			software := ""
			if _, label, ok := strings.Cut(value, "@"); ok {
				software, _, _ = strings.Cut(label, "-")
			}
			if s.last > 0 && software != s.software {
				s.faults = append(s.faults, fmt.Sprintf("%s: event %d of software %q after %q", id, s.last, software, s.software))
			}
			s.software = software
		}
	}
	if lines.Err() != nil {
		return false
	}
	if s.last != orderEvents-1 {
		s.faults = append(s.faults, fmt.Sprintf("%s: complete after event %d", id, s.last))
	}
	return true
}

// silentRounds makes the servers of a part stop for a time, again and again, while the configuration changes: its
// timeouts and, with moves, the service of EngineRoute.
func (r *run) silentRounds(ctx context.Context, rounds int, longest time.Duration, moves bool) {
	random := rand.New(rand.NewPCG(1, 1))
	for round := range rounds {
		r.platform.SetTimeout(time.Duration(8+2*(round%2)) * time.Second)
		if moves {
			r.platform.MoveEngineRoute([]string{stand.OtherEngineName, stand.EngineName}[round%2])
		}
		r.changeConfiguration(random)
		sleep(ctx, 600*time.Millisecond)
		engines := len(r.platform.Engines)
		stopped := random.Perm(engines)[:engines-1]
		if round%2 == 1 {
			stopped = stopped[:engines*6/10]
		}
		r.stopFor(ctx, randomDuration(random, time.Second, longest), stopped)
		sleep(ctx, 2*time.Second)
	}
}

// sendOrdered sends streams until ctx ends, and returns them when they have ended.
func (r *run) sendOrdered(ctx, callCtx context.Context) []*orderedStream {
	var running sync.WaitGroup
	var streams []*orderedStream
	random := rand.New(rand.NewPCG(1, 2))
	for i := 0; ctx.Err() == nil; i++ {
		s := &orderedStream{id: fmt.Sprint("o-", i), model: stand.Model(random.IntN(models)), last: -1}
		callRandom := rand.New(rand.NewPCG(1, uint64(i)))
		streams = append(streams, s)
		r.platform.CountCall(stand.EngineName)
		running.Go(func() { s.run(callCtx, r.callerAddresses(), callRandom) })
		sleep(ctx, time.Second/60)
	}
	running.Wait()
	return streams
}

// TestStreamsStayInOrderWhileServersAreSilent guards against streams with missing or repeated events, with events of two
// services, and against retries beyond the budget, when sound servers stop for some seconds while the configuration changes.
func TestStreamsStayInOrderWhileServersAreSilent(t *testing.T) {
	const daemons, engines, calm, rounds = 6, 12, 13 * time.Second, 5
	for name, moves := range map[string]bool{"same-service": false, "moved-route": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := stand.Config{Engines: engines, EventPeriod: orderPeriod, EventCount: orderEvents}
			if moves {
				c.Engines, c.OtherEngines = engines/2, engines/2
			}
			r := startRunWith(t, daemons, c)
			ctx, cancel := context.WithCancel(t.Context())
			r.running.Go(func() {
				defer cancel()
				sleep(ctx, calm)
				r.silentRounds(ctx, rounds, 4*time.Second, moves)
			})
			streams := r.sendOrdered(ctx, t.Context())
			r.running.Wait()
			var faults []string
			complete := 0
			for _, s := range streams {
				faults = append(faults, s.faults...)
				if s.last == orderEvents-1 {
					complete++
				}
			}
			use := r.platform.RetryUse(stand.EngineName)
			t.Log(len(streams), "streams,", complete, "complete;", use)
			require.Positive(t, complete)
			require.Empty(t, faults)
			require.LessOrEqual(t, use.Excess(), 0.0, "%s", use)
		})
	}
}
