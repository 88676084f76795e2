package steer_test

import (
	"slices"
	"sync"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/crash"
	"github.com/limpetlb/limpetlb/limpetd/origin"
)

// departures records the servers that a daemon learns to be leaving.
type departures struct {
	mu      sync.Mutex
	leaving map[string]int64
}

func (d *departures) MarkLeaving(id string, startedAt int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.leaving[id] = startedAt
}

func (d *departures) startOf(id string) int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.leaving[id]
}

// origins is a table of streams that is safe for concurrent use.
type origins struct {
	mu    sync.Mutex
	table *origin.Table
}

func (o *origins) OriginFacts(version int64, own bool) (origin.Facts, int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.table.Since(version, own, time.Now())
}

func (o *origins) MergeOriginFacts(f origin.Facts) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.table.Merge(f, time.Now())
}

// record records a stream of a service with two versions.
func (o *origins) record(id uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.table.SetVersions("s", []string{"v1", "v2"}, time.Now())
	o.table.Record("s", id, "v1", time.Now())
}

// knows reports whether the streams are known.
func (o *origins) knows(ids ...uint64) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return !slices.ContainsFunc(ids, func(id uint64) bool {
		_, known := o.table.Service(id)
		return !known
	})
}

// crashes is a ledger of the ends of engines that is safe for concurrent use.
type crashes struct {
	mu     sync.Mutex
	ledger *crash.Ledger
}

func (c *crashes) CrashFacts(version int64) (crash.Facts, int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ledger.Since(version, time.Now()), c.ledger.Version()
}

func (c *crashes) MergeCrashFacts(f crash.Facts) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ledger.Merge(f, time.Now())
}

// ends returns the number of ends in the ledger.
func (c *crashes) ends() int {
	f, _ := c.CrashFacts(0)
	return len(f.Ends)
}
