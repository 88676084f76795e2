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

// conduct is what a service does with a call.
type conduct int

const (
	answers conduct = iota
	runsAndDies
	diesBeforeRunning
	refusesAsNotRun
	runsAndSaysBusy
	conducts
)

// books is a service that keeps which requests it ran, by request id and by
// idempotency key.
type books struct {
	mu       sync.Mutex
	conducts []conduct
	requests map[string]int
	keys     map[string]int
}

func (s *books) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := answers
	if len(s.conducts) > 0 {
		c = s.conducts[0]
		s.conducts = s.conducts[1:]
	}
	if c != diesBeforeRunning && c != refusesAsNotRun {
		s.requests[r.Header.Get(headerRequestID)]++
		s.keys[r.Header.Get(headerKey)]++
	}
	switch c {
	case runsAndDies, diesBeforeRunning:
		panic(http.ErrAbortHandler)
	case refusesAsNotRun:
		w.Header().Set(headerRun, string(code.RunNo))
		w.WriteHeader(http.StatusServiceUnavailable)
	case runsAndSaysBusy:
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// TestCallsRunAtMostOnceUnderAnyFaults sends calls with and without a key
// through two daemons on one table, and checks what the callers were told
// against the service's own books.
func TestCallsRunAtMostOnceUnderAnyFaults(t *testing.T) {
	service := &books{}
	server := httptest.NewServer(service)
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	round := 0
	rapid.Check(t, func(r *rapid.T) {
		round++
		table := &fakes.Table{}
		faults := rapid.SliceOfN(rapid.SampledFrom([]fakes.Fault{
			fakes.None, fakes.None, fakes.Down, fakes.LostAnswer, fakes.LostCall, fakes.LateEffect,
		}), 0, 12).Draw(r, "faults")
		table.Fault = func(n int) fakes.Fault {
			if n < len(faults) {
				return faults[n]
			}
			return fakes.None
		}
		service.conducts = rapid.SliceOfN(rapid.Custom(func(r *rapid.T) conduct {
			return conduct(rapid.IntRange(0, int(conducts)-1).Draw(r, "conduct"))
		}), 0, 10).Draw(r, "conducts")
		service.requests = make(map[string]int)
		service.keys = make(map[string]int)
		keys := rapid.SliceOfN(rapid.IntRange(0, 2), 1, 8).Draw(r, "keys")
		t.Run(fmt.Sprint(round), func(t *testing.T) {
			daemons := []*bench{
				start(t, setup{doc: document(), table: table, services: []string{address}}),
				start(t, setup{doc: document(), table: table, services: []string{address}}),
			}
			sendAll(t, daemons, service, keys)
		})
		require.False(r, t.Failed())
	})
}

// sendAll sends one call for each key in turn; key 0 means none.
func sendAll(t *testing.T, daemons []*bench, service *books, keys []int) {
	for i, k := range keys {
		var header []string
		key := ""
		if k > 0 {
			key = fmt.Sprint("k", k)
			header = []string{headerKey, key}
		}
		a := daemons[i%len(daemons)].do(t, "POST", "/services/app/bookings", "seat 7", header...)
		service.mu.Lock()
		ran := service.requests[a.header.Get(headerRequestID)]
		ranKey := service.keys[key]
		service.mu.Unlock()
		require.LessOrEqual(t, ran, 1, "a call ran more than once")
		switch code.Run(a.header.Get(headerRun)) {
		case code.RunNo:
			require.Zero(t, ran, "a call ran that was told not to have run")
		case code.RunYes:
			require.Positive(t, ranKey, "a call did not run that was told to have run")
		}
		if key != "" {
			require.LessOrEqual(t, ranKey, 1, "a keyed call ran more than once")
		}
	}
}
