package gate

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/batch"
	"github.com/limpetlb/limpetlb/limpetd/engine"
	"github.com/limpetlb/limpetlb/limpetd/fakes"
	"github.com/limpetlb/limpetlb/limpetd/relay"
)

// startEngineServer starts an engine that responds to each generation at once,
// with 16 tokens in 4 frames.
func startEngineServer(b *testing.B) *httptest.Server {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var q engine.Request
		_ = json.NewDecoder(r.Body).Decode(&q)
		e := json.NewEncoder(w)
		for i := range 4 {
			_ = e.Encode(engine.Frame{Attempt: q.Attempt, Offset: 4 * i, Text: "one two three four ", Tokens: 4})
		}
		_ = e.Encode(engine.Frame{Attempt: q.Attempt, Offset: 16, Done: true, Reason: "stop"})
	}))
	b.Cleanup(s.Close)
	return s
}

// postAndDrain sends one request and reads the whole response.
func postAndDrain(b *testing.B, c *http.Client, url, body string) {
	q, err := http.NewRequest("POST", url, strings.NewReader(body))
	require.NoError(b, err)
	q.Header.Set("Authorization", "Bearer "+appKey)
	r, err := c.Do(q)
	require.NoError(b, err)
	_, err = io.Copy(io.Discard, r.Body)
	require.NoError(b, err)
	require.Equal(b, http.StatusOK, r.StatusCode)
	require.NoError(b, r.Body.Close())
}

// reportMedianLatency sends b.N requests one after the other and reports the
// median time of a request.
func reportMedianLatency(b *testing.B, url, body string) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	times := make([]time.Duration, 0, b.N)
	for b.Loop() {
		start := time.Now()
		postAndDrain(b, client, url, body)
		times = append(times, time.Since(start))
	}
	slices.Sort(times)
	b.ReportMetric(float64(times[len(times)/2].Microseconds()), "p50-µs")
}

// startGateServer starts a Gate whose requests go to the engine at address.
func startGateServer(b *testing.B, address string) *httptest.Server {
	r := relay.New(relay.Deps{Generator: engine.NewClient(), Admitter: &fakes.Admitter{VMs: []string{address}}})
	g := New(Config{}, Deps{Documents: staticDocuments{testDocument()}, Relay: r})
	s := httptest.NewUnstartedServer(nil)
	s.Config = g.Server()
	s.Start()
	b.Cleanup(s.Close)
	return s
}

// BenchmarkDirect measures requests to the engine without a daemon in between.
func BenchmarkDirect(b *testing.B) {
	s := startEngineServer(b)
	reportMedianLatency(b, s.URL+"/v1/generate", `{"attempt":"a","prompt":"hello"}`)
}

// BenchmarkThroughGate measures requests to the engine through a Gate.
func BenchmarkThroughGate(b *testing.B) {
	s := startGateServer(b, strings.TrimPrefix(startEngineServer(b).URL, "http://"))
	reportMedianLatency(b, s.URL+batch.PathChat, streamBody)
}

// BenchmarkThroughGateParallel measures the throughput of parallel requests with
// a pool of 64 connections.
func BenchmarkThroughGateParallel(b *testing.B) {
	s := startGateServer(b, strings.TrimPrefix(startEngineServer(b).URL, "http://"))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	b.SetParallelism(8)
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			postAndDrain(b, client, s.URL+batch.PathChat, streamBody)
		}
	})
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
}

// BenchmarkOpenStreams holds b.N streams open and reports the memory per stream,
// of the daemon and the caller's connection, without a connection to an engine.
func BenchmarkOpenStreams(b *testing.B) {
	engines := &fakes.Generator{Tokens: 3, Block: true, Script: func(_ int, _ string, f []engine.Frame) []engine.Frame { return f[:1] }}
	r := relay.New(relay.Deps{Generator: engines, Admitter: &fakes.Admitter{VMs: []string{"e1"}}})
	g := New(Config{}, Deps{Documents: staticDocuments{testDocument()}, Relay: r})
	s := httptest.NewUnstartedServer(nil)
	s.Config = g.Server()
	s.Start()
	defer s.Close()
	before := memoryInUse()
	var conns []net.Conn
	for b.Loop() {
		conns = append(conns, (&testGate{url: s.URL}).openStream(b))
	}
	for g.InFlight() < b.N {
		runtime.Gosched()
	}
	b.ReportMetric(float64(memoryInUse()-before)/float64(b.N), "bytes/stream")
	for _, c := range conns {
		require.NoError(b, c.Close())
	}
}

// memoryInUse returns the bytes in use by the heap and the stacks.
func memoryInUse() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}
