package scale

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/batch"
	"github.com/limpetlb/limpetlb/limpetd/engine"
	"github.com/limpetlb/limpetlb/limpetd/store"
	"github.com/limpetlb/limpetlb/limpetlab/serve"
	"github.com/limpetlb/limpetlb/limpetlab/table"
)

const (
	// headerTimeout bounds the reading of a request's header.
	headerTimeout = 10 * time.Second
	// packetBytes is the overhead of the TCP and IP headers for each write or read.
	packetBytes = 52
	// copiedRows is the number of ledger rows that a daemon without the lease
	// copies: four daemons may have to restore each engine.
	copiedRows = 4*EnginesPerDataCentre/DaemonsPerDataCentre + 1
	// openJobs is the largest number of open jobs that a daemon reads at once, and
	// openJobBytes the size of a value in the list of open jobs.
	openJobs     = 50
	openJobBytes = 60
	// countedCalls is the number of calls over which the bytes are averaged.
	countedCalls = 20
	// cacheEventsPerSecond is the number of cache events a second of a busy engine.
	cacheEventsPerSecond = 10
)

// trafficMeasures measures the bytes of calls, including headers.
func trafficMeasures() []measure {
	charges := []int{10, 21, SlotsPerEngine}
	return []measure{
		{"watcher", "reading a report", "bytes", "slots", charges, SlotsPerEngine, reportBytes},
		{"watcher", "reading a report", "us", "slots", charges, SlotsPerEngine, reportTime},
		{"watcher", "reading cache events", "bytes", "events", []int{0, 5, cacheEventsPerSecond}, cacheEventsPerSecond, cacheEventBytes},
		{"documents", "reading a row", "bytes", "bytes of the value", []int{70, 140, headRowBytes}, headRowBytes, readRowBytes},
		{"lease", "reading both rows", "bytes", "bytes of a value", []int{70, leaseRowBytes, 280}, leaseRowBytes, readPairBytes},
		{"orders", "reading ledger rows", "bytes", "rows", []int{1, 2, copiedRows}, copiedRows, readLedgerRowsBytes},
		{"batch", "a look at open jobs", "bytes", "open jobs", []int{10, 25, openJobs}, openJobs, readOpenJobsBytes},
	}
}

// byteCounter counts the bytes of a listener's connections, including packet
// headers.
type byteCounter struct {
	net.Listener
	bytes atomic.Int64
}

// Accept implements net.Listener.
func (c *byteCounter) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	return countedConn{conn, c}, err
}

// countedConn is a connection whose bytes are added to a counter.
type countedConn struct {
	net.Conn
	counter *byteCounter
}

// Read implements net.Conn.
func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.counter.bytes.Add(int64(n + packetBytes))
	}
	return n, err
}

// Write implements net.Conn.
func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counter.bytes.Add(int64(n + packetBytes))
	return n, err
}

// serveCounted serves handler at a loopback address and counts the bytes. The
// returned function stops the server.
func serveCounted(handler http.Handler) (*byteCounter, func(), error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, err
	}
	c := &byteCounter{Listener: l}
	s := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Serve(c)
	}()
	return c, func() {
		_ = s.Close()
		<-done
	}, nil
}

// engineHandler serves an engine's report with a number of slots, and a number of
// cache events.
func engineHandler(slots, events int) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/report", func(w http.ResponseWriter, r *http.Request) {
		serve.WriteJSONGzip(w, r, newReport(0, slots))
	})
	mux.HandleFunc("GET /v1/cache", func(w http.ResponseWriter, r *http.Request) {
		list := make([]engine.CacheEvent, events)
		random := newRandom()
		for i := range list {
			list[i] = engine.CacheEvent{Sequence: int64(100_000 + i), Instance: "engine-000-instance", Prefix: random.Uint64()}
		}
		serve.WriteJSONGzip(w, r, list)
	})
	return mux
}

// bytesPerCall returns the bytes of one call over an open connection.
func bytesPerCall(handler http.Handler, call func(address string) error) (float64, error) {
	c, stop, err := serveCounted(handler)
	if err != nil {
		return 0, err
	}
	defer stop()
	address := c.Addr().String()
	if err := call(address); err != nil {
		return 0, err
	}
	before := c.bytes.Load()
	for range countedCalls {
		if err := call(address); err != nil {
			return 0, err
		}
	}
	return float64(c.bytes.Load()-before) / countedCalls, nil
}

// reportBytes returns the bytes of reading a report with a number of slots.
func reportBytes(ctx context.Context, slots int) (float64, error) {
	client := engine.NewClient()
	defer client.Close()
	return bytesPerCall(engineHandler(slots, 0), func(address string) error {
		_, err := client.Report(ctx, address)
		return err
	})
}

// cacheEventBytes returns the bytes of reading a number of cache events.
func cacheEventBytes(ctx context.Context, events int) (float64, error) {
	client := engine.NewClient()
	defer client.Close()
	return bytesPerCall(engineHandler(0, events), func(address string) error {
		_, err := client.CacheEvents(ctx, address, 100_000)
		return err
	})
}

// reportTime returns the processor time of reading a report, including the engine's
// side.
func reportTime(ctx context.Context, slots int) (float64, error) {
	c, stop, err := serveCounted(engineHandler(slots, 0))
	if err != nil {
		return 0, err
	}
	defer stop()
	client := engine.NewClient()
	defer client.Close()
	if _, err := client.Report(ctx, c.Addr().String()); err != nil {
		return 0, err
	}
	var failed error
	cpuTime := cpuTimePerCall(func() {
		_, err := client.Report(ctx, c.Addr().String())
		failed = errors.Join(failed, err)
	})
	return cpuTime, failed
}

// readRowsBytes returns the bytes of reading rows with values of a given size from
// the table.
func readRowsBytes(ctx context.Context, rows, valueBytes int) (float64, error) {
	mux := http.NewServeMux()
	mux.Handle("/v1/table/", table.New(table.Config{}).Handler())
	tx := store.Tx{ID: store.NewID()}
	var keys []string
	for i := range rows {
		keys = append(keys, "andesoft/production/"+engineVM(i))
		tx.Put(keys[i], make([]byte, valueBytes))
	}
	var client *store.Client
	defer func() {
		if client != nil {
			client.Close()
		}
	}()
	return bytesPerCall(mux, func(address string) error {
		if client == nil {
			client = store.NewClient("http://" + address)
			return client.Apply(ctx, tx)
		}
		_, err := client.Get(ctx, keys...)
		return err
	})
}

// readRowBytes returns the bytes of reading one row.
func readRowBytes(ctx context.Context, valueBytes int) (float64, error) {
	return readRowsBytes(ctx, 1, valueBytes)
}

// readPairBytes returns the bytes of reading two rows.
func readPairBytes(ctx context.Context, valueBytes int) (float64, error) {
	return readRowsBytes(ctx, 2, valueBytes)
}

// readLedgerRowsBytes returns the bytes of reading the ledger rows of engines.
func readLedgerRowsBytes(ctx context.Context, rows int) (float64, error) {
	return readRowsBytes(ctx, rows, len(encodedLedgerRow(SlotsPerEngine)))
}

// readOpenJobsBytes returns the bytes of reading the list of open jobs and the
// jobs' rows.
func readOpenJobsBytes(ctx context.Context, jobs int) (float64, error) {
	j := batch.Job{
		ID: store.NewID(), Caller: "summaries", Priority: "overnight", State: batch.StateRunning, SubmittedAt: time.Now(), Deadline: time.Now(),
		Requests: 1000, InputKey: store.NewID() + store.NewID(), SavedKey: store.NewID() + store.NewID(),
		LeaseHolder: store.NewID(), LeaseHolderVM: "entry-vm-001", LeaseExpiry: time.Now(), LeaseCount: 1,
	}
	value, err := json.Marshal(j)
	if err != nil {
		return 0, err
	}
	list, err := readRowsBytes(ctx, jobs, openJobBytes)
	if err != nil {
		return 0, err
	}
	rows, err := readRowsBytes(ctx, jobs, len(value))
	return list + rows, err
}

// The sizes of the values of a document's head row and of a lease's rows.
const (
	headRowBytes  = 280
	leaseRowBytes = 140
)
