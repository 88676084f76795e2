package front_test

import (
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/broken"
	"github.com/limpetlb/limpetlb/limpetd/budget"
	"github.com/limpetlb/limpetlb/limpetd/front"
	"github.com/limpetlb/limpetlb/limpetd/guard"
	"github.com/limpetlb/limpetlb/limpetd/layout"
)

// startEndless starts servers that answer without end, as many as get endlessCalls calls at the same time.
func startEndless(t *testing.T, prefix, text string) (*broken.Endless, []string) {
	t.Helper()
	e := &broken.Endless{Prefix: prefix, Text: text}
	var addresses []string
	for range endlessServers {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(func() { require.NoError(t, l.Close()) })
		go e.Serve(l)
		addresses = append(addresses, l.Addr().String())
	}
	return e, addresses
}

const (
	stamped    = "HTTP/1.1 200 OK\r\nStamp: 1\r\n"
	stream     = stamped + "Content-Type: text/event-stream\r\n"
	chunkStart = "Transfer-Encoding: chunked\r\n\r\n"
)

// endlessAnswers are answers without end, by what has no end.
var endlessAnswers = map[string]struct{ prefix, text string }{
	"bytes instead of a head":    {"", "x"},
	"head line":                  {"HTTP/1.1 200 OK\r\nLong: ", "x"},
	"head lines":                 {"HTTP/1.1 200 OK\r\n", "Line: x\r\n"},
	"interim heads":              {"", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"},
	"body without a length":      {stamped + "Content-Type: text/plain\r\n\r\n", "x"},
	"chunks":                     {stamped + "Content-Type: text/plain\r\n" + chunkStart, "1\r\nx\r\n"},
	"chunk line":                 {stamped + chunkStart, "1"},
	"chunk extension":            {stamped + chunkStart + "1;", "x"},
	"trailers":                   {stamped + "Content-Type: text/plain\r\n" + chunkStart + "0\r\n", "Line: x\r\n"},
	"body of a refusal":          {"HTTP/1.1 503 Busy\r\nUnrun: 1\r\n\r\n", "x"},
	"line of an event":           {stream + "\r\ndata: ", "x"},
	"lines of an event":          {stream + "\r\n", "data: x\n"},
	"blank lines":                {stream + "\r\n", "\n"},
	"response without a stamp":   {"HTTP/1.1 200 OK\r\n\r\n", "x"},
	"body of another call's":     {"HTTP/1.1 200 OK\r\nStamp: 1\r\nId: other\r\nContent-Length: 99999999999\r\n\r\n", "x"},
	"comments instead of events": {stream + "\r\n", ": x"},
}

// maxHeap is how much memory the buffers of endlessCalls calls may take.
const (
	maxHeap        = 96 << 20
	endlessCalls   = 100
	endlessServers = 16
)

// TestEndlessAnswersAreCutOff guards against reading an answer without end until the memory is full or the
// deadline of the call is over. A hundred calls get such answers at the same time.
func TestEndlessAnswersAreCutOff(t *testing.T) {
	for name, answer := range endlessAnswers {
		t.Run(name, func(t *testing.T) {
			e, addresses := startEndless(t, answer.prefix, answer.text)
			route := layout.Route{Kind: layout.Stream, MaxAttempts: 1, Expectation: time.Second, Timeout: 30 * time.Second}
			fx := newFixtureWithServers(t, nil, route, addresses...)
			statuses, highest := fx.postTogether(t, endlessCalls)
			for _, status := range statuses {
				require.Contains(t, []int{http.StatusBadGateway, http.StatusServiceUnavailable}, status)
			}
			require.Less(t, highest, uint64(maxHeap))
			require.Eventually(t, func() bool { return e.Open.Load() == 0 }, 5*time.Second, 10*time.Millisecond, "connections are closed")
		})
	}
}

// postTogether makes calls at the same time. It returns their statuses, and the largest size of the heap until the last
// one has ended.
func (fx *fixture) postTogether(t *testing.T, calls int) ([]int, uint64) {
	t.Helper()
	var highest uint64
	stop := make(chan struct{})
	var sampler, callers sync.WaitGroup
	runtime.GC()
	sampler.Go(func() {
		for {
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			highest = max(highest, m.HeapAlloc)
			select {
			case <-stop:
				return
			case <-time.After(5 * time.Millisecond):
			}
		}
	})
	statuses := make([]int, calls)
	for i := range calls {
		callers.Go(func() {
			head, _, err := fx.post(t, "/r/1", nil)
			if err == nil {
				statuses[i] = head.StatusCode
			}
		})
	}
	callers.Wait()
	close(stop)
	sampler.Wait()
	return statuses, highest
}

// TestFailedResponsesStayWithinMemory guards against failures that are kept, for the case that no later attempt
// succeeds, beyond the limit of all buffered responses. Each call gets a large failure, and waits for a silent server then.
func TestFailedResponsesStayWithinMemory(t *testing.T) {
	// maxKept is the limit of all buffered bodies up to which failures are kept.
	const bodyBytes, maxKept = 2 << 20, 6 << 20
	memory := guard.Unlimited()
	var requests, highestKept atomic.Int64
	var sending sync.Mutex
	arrived, retried := make(chan struct{}), make(chan struct{}, 2*endlessCalls)
	failure := make([]byte, bodyBytes)
	addresses := startHTTP(t, func(w http.ResponseWriter, _ *http.Request) {
		switch n := requests.Add(1); {
		case n > endlessCalls:
			highestKept.Store(max(highestKept.Load(), memory.Used(budget.Responses)))
			retried <- struct{}{}
			<-t.Context().Done()
			return
		case n == endlessCalls:
			close(arrived)
		}
		select {
		case <-arrived:
		case <-t.Context().Done():
			return
		}
		// Wait for the retry of each call, so that few responses are read together.
		sending.Lock()
		defer sending.Unlock()
		w.Header().Set("Stamp", "1")
		w.Header().Set("Content-Length", strconv.Itoa(bodyBytes))
		w.WriteHeader(http.StatusInternalServerError)
		// An error means that the daemon has closed the connection.
		_, _ = w.Write(failure)
		select {
		case <-retried:
		case <-t.Context().Done():
		}
	})
	route := layout.Route{Kind: layout.Idempotent, MaxAttempts: 2, Timeout: 4 * time.Second}
	fx := newFixtureWithDeps(t, func(d *front.Deps) { d.Guard = memory }, route, addresses...)
	statuses, highest := fx.postTogether(t, endlessCalls)
	require.LessOrEqual(t, highestKept.Load(), int64(maxKept), "room remains for other responses")
	require.Eventually(t, func() bool { return memory.Used(budget.Responses) == 0 }, 5*time.Second, 10*time.Millisecond, "memory stays charged")
	for _, status := range statuses {
		// A failure that is not kept is replaced by the daemon's own, which doesn't say that the call has not run.
		require.Contains(t, []int{http.StatusInternalServerError, http.StatusBadGateway, http.StatusGatewayTimeout}, status)
	}
	require.Less(t, highest, uint64(maxHeap))
}

// TestIncompleteResponsesStayWithinMemory guards against buffering more than the limit of all responses together. Each
// call gets most of a large response.
func TestIncompleteResponsesStayWithinMemory(t *testing.T) {
	const bodyBytes = 4 << 20
	part := make([]byte, bodyBytes*3/4)
	addresses := startHTTP(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Stamp", "1")
		w.Header().Set("Content-Length", strconv.Itoa(bodyBytes))
		// An error means that the daemon has closed the connection.
		_, _ = w.Write(part)
		<-t.Context().Done()
	})
	fx := newFixtureWithServers(t, nil, layout.Route{Kind: layout.Idempotent, MaxAttempts: 1, Timeout: 2 * time.Second}, addresses...)
	statuses, highest := fx.postTogether(t, endlessCalls)
	for _, status := range statuses {
		require.Contains(t, []int{http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout}, status)
	}
	require.Less(t, highest, uint64(maxHeap))
}

// startHTTP starts servers with one handler, as many as get endlessCalls calls at the same time. It returns their
// addresses.
func startHTTP(t *testing.T, handler http.HandlerFunc) []string {
	t.Helper()
	var addresses []string
	for range endlessServers {
		s := httptest.NewServer(handler)
		t.Cleanup(s.Close)
		addresses = append(addresses, s.Listener.Addr().String())
	}
	return addresses
}

// TestSmallChunksAreCutOff guards against reading a body to its limit of size by chunks of one byte.
func TestSmallChunksAreCutOff(t *testing.T) {
	answer := endlessAnswers["chunks"]
	_, addresses := startEndless(t, answer.prefix, answer.text)
	fx := newFixtureWithServers(t, nil, layout.Route{Kind: layout.Idempotent, MaxAttempts: 1}, addresses...)
	head, _, err := fx.post(t, "/r/1", nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusBadGateway, head.StatusCode)
	ended := fx.logs.FilterMessage("request_ended").All()
	require.Len(t, ended, 1)
	require.Equal(t, "the chunks of the response are too small", ended[0].ContextMap()["reason"])
}
