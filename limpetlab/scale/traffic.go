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
	// headerTime bounds the reading of a request's header.
	headerTime = 10 * time.Second
	// packetBytes is what TCP and IP add to a write or read.
	packetBytes = 52
	// copiedRows is the number of ledger rows that a daemon without the lease
	// copies: four daemons may have to restore an engine.
	copiedRows = 4*NearEngines/NearDaemons + 1
	// openJobs is the number of open jobs that a look reads at most, openBytes
	// the size of a value in the list of open jobs.
	openJobs  = 50
	openBytes = 60
	// calls is the number of calls that bytes are counted over.
	calls = 20
	// eventsASecond is what a busy engine tells of its cache in a second.
	eventsASecond = 10
)

// traffic measures the bytes of calls, headers included.
func traffic() []measure {
	charges := []int{10, 21, SlotsPerEngine}
	return []measure{
		{"watcher", "reading a report", "bytes", "slots", charges, SlotsPerEngine, reportBytes},
		{"watcher", "reading a report", "us", "slots", charges, SlotsPerEngine, reportTime},
		{"watcher", "reading cache events", "bytes", "events", []int{0, 5, eventsASecond}, eventsASecond, cacheBytes},
		{"documents", "reading a row", "bytes", "bytes of the value", []int{70, 140, headRowBytes}, headRowBytes, smallBytes},
		{"lease", "reading both rows", "bytes", "bytes of a value", []int{70, leaseRowBytes, 280}, leaseRowBytes, pairBytes},
		{"orders", "reading ledger rows", "bytes", "rows", []int{1, 2, copiedRows}, copiedRows, copyBytes},
		{"batch", "a look at open jobs", "bytes", "open jobs", []int{10, 25, openJobs}, openJobs, lookBytes},
	}
}

// counter counts the bytes of a listener's connections.
type counter struct {
	net.Listener
	bytes atomic.Int64
}

// Accept implements net.Listener.
func (c *counter) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	return counted{conn, c}, err
}

// counted is a connection whose bytes are counted.
type counted struct {
	net.Conn
	counter *counter
}

// Read implements net.Conn.
func (c counted) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.counter.bytes.Add(int64(n + packetBytes))
	}
	return n, err
}

// Write implements net.Conn.
func (c counted) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counter.bytes.Add(int64(n + packetBytes))
	return n, err
}

// serveCounted serves handler on loopback and counts the bytes.
func serveCounted(handler http.Handler) (*counter, func(), error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, err
	}
	c := &counter{Listener: l}
	s := &http.Server{Handler: handler, ReadHeaderTimeout: headerTime}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = s.Serve(c)
	}()
	return c, func() {
		_ = s.Close()
		<-ended
	}, nil
}

// engineServer serves a report with slots, and cache events.
func engineServer(slots, events int) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/report", func(w http.ResponseWriter, r *http.Request) {
		serve.Packed(w, r, report(0, slots))
	})
	mux.HandleFunc("GET /v1/cache", func(w http.ResponseWriter, r *http.Request) {
		list := make([]engine.CacheEvent, events)
		random := newRandom()
		for i := range list {
			list[i] = engine.CacheEvent{Sequence: int64(100_000 + i), Instance: "engine-000-instance", Prefix: random.Uint64()}
		}
		serve.Packed(w, r, list)
	})
	return mux
}

// countCalls returns the bytes of one call over an open connection.
func countCalls(handler http.Handler, call func(address string) error) (float64, error) {
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
	for range calls {
		if err := call(address); err != nil {
			return 0, err
		}
	}
	return float64(c.bytes.Load()-before) / calls, nil
}

func reportBytes(ctx context.Context, slots int) (float64, error) {
	client := engine.NewClient()
	defer client.Close()
	return countCalls(engineServer(slots, 0), func(address string) error {
		_, err := client.Report(ctx, address)
		return err
	})
}

func cacheBytes(ctx context.Context, events int) (float64, error) {
	client := engine.NewClient()
	defer client.Close()
	return countCalls(engineServer(0, events), func(address string) error {
		_, err := client.CacheEvents(ctx, address, 100_000)
		return err
	})
}

// reportTime returns the processor time of a read, with the engine's part.
func reportTime(ctx context.Context, slots int) (float64, error) {
	c, stop, err := serveCounted(engineServer(slots, 0))
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
	spent := perCall(func() {
		_, err := client.Report(ctx, c.Addr().String())
		failed = errors.Join(failed, err)
	})
	return spent, failed
}

// rowsBytes returns the bytes of reading rows with values of some size.
func rowsBytes(ctx context.Context, rows, valueBytes int) (float64, error) {
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
	return countCalls(mux, func(address string) error {
		if client == nil {
			client = store.NewClient("http://" + address)
			return client.Apply(ctx, tx)
		}
		_, err := client.Get(ctx, keys...)
		return err
	})
}

// smallBytes returns the bytes of reading a row with a small value.
func smallBytes(ctx context.Context, valueBytes int) (float64, error) {
	return rowsBytes(ctx, 1, valueBytes)
}

// pairBytes returns the bytes of reading two rows with small values.
func pairBytes(ctx context.Context, valueBytes int) (float64, error) {
	return rowsBytes(ctx, 2, valueBytes)
}

// copyBytes returns the bytes of reading the ledger rows of engines.
func copyBytes(ctx context.Context, rows int) (float64, error) {
	return rowsBytes(ctx, rows, len(encoded(SlotsPerEngine)))
}

// lookBytes returns the bytes of reading the list of open jobs and their rows.
func lookBytes(ctx context.Context, jobs int) (float64, error) {
	j := batch.Job{
		ID: store.NewID(), Caller: "summaries", Priority: "overnight", State: batch.StateRunning, At: time.Now(), Deadline: time.Now(),
		Requests: 1000, Input: store.NewID() + store.NewID(), Saved: store.NewID() + store.NewID(),
		Holder: store.NewID(), HolderVM: "entry-vm-001", HeldUntil: time.Now(), Holds: 1,
	}
	value, err := json.Marshal(j)
	if err != nil {
		return 0, err
	}
	list, err := rowsBytes(ctx, jobs, openBytes)
	if err != nil {
		return 0, err
	}
	rows, err := rowsBytes(ctx, jobs, len(value))
	return list + rows, err
}

// The sizes of the values of a head row and of a lease's rows.
const (
	headRowBytes  = 280
	leaseRowBytes = 140
)
