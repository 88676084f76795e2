package member

import "github.com/limpetlb/limpetlb/limpetd/engine"

// reportCache holds the latest full report of each engine, by the hash of its stable
// fields.
type reportCache struct {
	reports  map[uint64]engine.Report
	hashByVM map[string]uint64
}

// newReportCache returns an empty cache.
func newReportCache() reportCache {
	return reportCache{reports: map[uint64]engine.Report{}, hashByVM: map[string]uint64{}}
}

// store adds a full report, replacing the earlier one of the same engine.
func (c reportCache) store(l EngineReport) {
	delete(c.reports, c.hashByVM[l.Report.VM])
	c.reports[l.Hash] = l.Report
	c.hashByVM[l.Report.VM] = l.Hash
}

// lookup returns the full report with a hash.
func (c reportCache) lookup(hash uint64) (engine.Report, bool) {
	r, ok := c.reports[hash]
	return r, ok
}
