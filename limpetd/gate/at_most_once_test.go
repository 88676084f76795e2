package gate

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/fakes"
	_ "github.com/limpetlb/limpetlb/limpetd/seeds"
)

// behaviour is what a service does with a call.
type behaviour int

const (
	respond behaviour = iota
	runThenAbort
	abortBeforeRunning
	rejectAsNotRun
	runThenReportBusy
	behaviourCount
)

// recordingService is a service that counts the runs of each call, by request ID
// and by idempotency key. It applies behaviours to the first calls, one to each
// call, and respond to all later calls.
type recordingService struct {
	mu            sync.Mutex
	behaviours    []behaviour
	runsByRequest map[string]int
	runsByKey     map[string]int
}

func (s *recordingService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := respond
	if len(s.behaviours) > 0 {
		next = s.behaviours[0]
		s.behaviours = s.behaviours[1:]
	}
	if next != abortBeforeRunning && next != rejectAsNotRun {
		s.runsByRequest[r.Header.Get(headerRequestID)]++
		s.runsByKey[r.Header.Get(headerKey)]++
	}
	switch next {
	case runThenAbort, abortBeforeRunning:
		panic(http.ErrAbortHandler)
	case rejectAsNotRun:
		w.Header().Set(headerRun, string(code.RunNo))
		w.WriteHeader(http.StatusServiceUnavailable)
	case runThenReportBusy:
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// TestCallsRunAtMostOnceUnderFaults guards against a call that runs twice, or
// whose reported run state is wrong. It sends calls with and without a key
// through two daemons that share a table, with faults of the table and the
// service, and compares the reported run states with the service's own counts.
func TestCallsRunAtMostOnceUnderFaults(t *testing.T) {
	service := &recordingService{}
	server := httptest.NewServer(service)
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	round := 0
	rapid.Check(t, func(r *rapid.T) {
		round++
		table := &fakes.Table{}
		faults := rapid.SliceOfN(rapid.SampledFrom([]fakes.Fault{
			fakes.NoFault, fakes.NoFault, fakes.Unavailable, fakes.LostAnswer, fakes.LostRequest, fakes.LateEffect,
		}), 0, 12).Draw(r, "faults")
		table.Fault = func(n int) fakes.Fault {
			if n < len(faults) {
				return faults[n]
			}
			return fakes.NoFault
		}
		service.behaviours = rapid.SliceOfN(rapid.Custom(func(r *rapid.T) behaviour {
			return behaviour(rapid.IntRange(0, int(behaviourCount)-1).Draw(r, "behaviour"))
		}), 0, 10).Draw(r, "behaviours")
		service.runsByRequest = make(map[string]int)
		service.runsByKey = make(map[string]int)
		keys := rapid.SliceOfN(rapid.IntRange(0, 2), 1, 8).Draw(r, "keys")
		t.Run(fmt.Sprint(round), func(t *testing.T) {
			daemons := []*testGate{
				startGate(t, testConfig{doc: testDocument(), table: table, services: []string{address}}),
				startGate(t, testConfig{doc: testDocument(), table: table, services: []string{address}}),
			}
			sendAll(t, daemons, service, keys)
		})
		require.False(r, t.Failed())
	})
}

// sendAll sends one call for each key, alternating between the daemons, and checks
// the reported run state. Key 0 means no key.
func sendAll(t *testing.T, daemons []*testGate, service *recordingService, keys []int) {
	for i, k := range keys {
		var header []string
		key := ""
		if k > 0 {
			key = fmt.Sprint("k", k)
			header = []string{headerKey, key}
		}
		resp := daemons[i%len(daemons)].do(t, "POST", "/services/app/bookings", "seat 7", header...)
		service.mu.Lock()
		runs := service.runsByRequest[resp.header.Get(headerRequestID)]
		keyRuns := service.runsByKey[key]
		service.mu.Unlock()
		require.LessOrEqual(t, runs, 1, "a call ran more than once")
		switch code.RunState(resp.header.Get(headerRun)) {
		case code.RunNo:
			require.Zero(t, runs, "a call ran, but its response states that it did not")
		case code.RunYes:
			require.Positive(t, keyRuns, "a call did not run, but its response states that it did")
		}
		if key != "" {
			require.LessOrEqual(t, keyRuns, 1, "a keyed call ran more than once")
		}
	}
}
