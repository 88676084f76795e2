package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/platform/stand"
)

// balancer tells callers of kept connections which daemons take new connections: those that were ready in one of the
// last two checks, which it makes each second.
type balancer struct {
	mu       sync.Mutex
	rotation []string
}

// run checks the daemons until ctx ends.
func (b *balancer) run(ctx context.Context, daemons []*daemon) {
	misses := make([]int, len(daemons))
	for {
		var rotation []string
		for i, d := range daemons {
			misses[i]++
			if stand.Ready(d.readyAddress) {
				misses[i] = 0
			}
			if misses[i] < 2 {
				rotation = append(rotation, d.callerAddress)
			}
		}
		b.mu.Lock()
		b.rotation = rotation
		b.mu.Unlock()
		if !sleep(ctx, time.Second) {
			return
		}
	}
}

// dial connects to a daemon that takes new connections.
func (b *balancer) dial(random *rand.Rand) (net.Conn, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.rotation) == 0 {
		return nil, errors.New("no daemon takes connections")
	}
	return net.Dial("tcp4", b.rotation[random.IntN(len(b.rotation))])
}

// keptCaller sends one call after the other on a connection that it keeps for as long as the daemon does.
type keptCaller struct {
	id       int
	balancer *balancer
	random   *rand.Rand
	conn     net.Conn
	reader   *bufio.Reader
	// answered counts the calls with a complete response by status. unanswered holds the ids of the calls whose
	// connection ended without one, by how long after the last byte of the call that was.
	answered   map[int]int
	unanswered map[string]time.Duration
	// timedOut counts the responses that had begun and broke off at the route's timeout.
	timedOut int
}

// run sends calls until ctx ends.
func (c *keptCaller) run(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		if c.conn == nil {
			conn, err := c.balancer.dial(c.random)
			if err != nil {
				sleep(ctx, 50*time.Millisecond)
				continue
			}
			c.conn, c.reader = conn, bufio.NewReader(conn)
		}
		c.call(fmt.Sprintf("kept-%d-%d", c.id, n), callPaths[c.random.IntN(len(callPaths))])
		sleep(ctx, randomDuration(c.random, 0, 60*time.Millisecond))
	}
	if c.conn != nil {
		_ = c.conn.Close()
	}
}

var callPaths = []string{stand.EngineRoute, stand.UnsafeRoute, stand.SafeRoute}

// call sends a call, whose body comes late at times, and records how it ended.
func (c *keptCaller) call(id, path string) {
	const body = "0123456789"
	model := ""
	if path == stand.EngineRoute {
		model = stand.Model(c.random.IntN(models))
	}
	startedAt := time.Now()
	_, err := io.WriteString(c.conn, stand.CallHead(path, id, model, len(body))+body[:5])
	if c.random.IntN(4) == 0 {
		time.Sleep(randomDuration(c.random, 0, 300*time.Millisecond))
	}
	if err == nil {
		_, err = io.WriteString(c.conn, body[5:])
	}
	sentAt := time.Now()
	var response *http.Response
	if err == nil {
		response, err = http.ReadResponse(c.reader, nil)
	}
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
		err = errors.Join(err, response.Body.Close())
	}
	switch {
	case err == nil:
		c.answered[response.StatusCode]++
	case response != nil && time.Since(startedAt) >= shortTimeout:
		c.timedOut++
	default:
		c.unanswered[id] = time.Since(sentAt)
	}
	if err != nil || response.Close {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// shortTimeout is the timeout of the routes in every other configuration.
const shortTimeout = time.Second

// lossSlack is how long after its last byte a call may end without an answer if no server got it: it has crossed the
// close of its connection.
const lossSlack = 200 * time.Millisecond

// TestPlannedStopsLoseNoCalls guards against calls that a daemon has accepted and that end without an answer because it is
// asked to leave, to read its settings again, or both at once, while engines stand still and the configuration changes, in
// part to shorter timeouts than those of running calls.
func TestPlannedStopsLoseNoCalls(t *testing.T) {
	t.Parallel()
	const callers, daemons, grace = 24, 3, 8
	r := startRunWithGrace(t, daemons, 4, grace)
	random := rand.New(rand.NewPCG(5, 1))
	ctx, cancel := context.WithCancel(t.Context())
	b := &balancer{}
	var background, running sync.WaitGroup
	background.Go(func() { b.run(ctx, r.daemons) })
	all := make([]*keptCaller, callers)
	for i := range all {
		all[i] = &keptCaller{id: i, balancer: b, random: rand.New(rand.NewPCG(6, uint64(i))), answered: map[int]int{}, unanswered: map[string]time.Duration{}}
		running.Go(func() { all[i].run(ctx) })
	}
	time.Sleep(2 * time.Second)
	for i, d := range slices.Concat(r.daemons, r.daemons[:1]) {
		r.platform.SetTimeout([]time.Duration{shortTimeout, 10 * time.Second}[i%2])
		r.changeConfiguration(random)
		background.Go(func() {
			r.stopFor(ctx, []time.Duration{0, 1300 * time.Millisecond, 3 * time.Second}[i%3], []int{i % 4})
		})
		if i%2 == 0 {
			require.NoError(t, d.signal(syscall.SIGHUP, false))
		}
		r.restart(d, random, d.leave)
		require.True(t, r.awaitReady(ctx))
		time.Sleep(2 * time.Second)
	}
	cancel()
	running.Wait()
	background.Wait()
	require.Empty(t, r.violations)
	ran := map[string]bool{}
	for _, e := range slices.Concat(r.platform.Engines, r.platform.PlainServers) {
		for _, run := range e.Runs() {
			ran[run.ID] = true
		}
	}
	answered, crossed, timedOut := map[int]int{}, 0, 0
	var lost []string
	for _, c := range all {
		for status, n := range c.answered {
			answered[status] += n
		}
		timedOut += c.timedOut
		for id, after := range c.unanswered {
			if ran[id] || after > lossSlack {
				lost = append(lost, fmt.Sprint(id, " after ", after))
			} else {
				crossed++
			}
		}
	}
	t.Logf("answered %v, %d crossed the close of their connection, %d broke off at their timeout", answered, crossed, timedOut)
	require.Greater(t, answered[http.StatusOK], 1000)
	require.Empty(t, lost, strings.Join(lost, ", "))
}
