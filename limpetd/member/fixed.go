package member

import "github.com/limpetlb/limpetlb/limpetd/engine"

// fixed holds the newest whole report of each engine, by the hash of the part
// that seldom changes.
type fixed struct {
	reports map[uint64]engine.Report
	hashes  map[string]uint64
}

// newFixed returns a fixed that knows no report.
func newFixed() fixed {
	return fixed{reports: map[uint64]engine.Report{}, hashes: map[string]uint64{}}
}

// note takes a whole report in place of an earlier one of its engine.
func (f fixed) note(l Load) {
	delete(f.reports, f.hashes[l.Report.VM])
	f.reports[l.Hash] = l.Report
	f.hashes[l.Report.VM] = l.Hash
}

// find returns the whole report with a hash.
func (f fixed) find(hash uint64) (engine.Report, bool) {
	r, ok := f.reports[hash]
	return r, ok
}
