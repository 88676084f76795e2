package scale

import (
	"math"

	"github.com/limpetlb/limpetlb/limpetlab/bound"
)

// The limits of the resources that a daemon uses for control: bytes on the wire and
// microseconds of processor time a second, and bytes of memory.
const (
	limitBytes   = 18_000.0
	limitCPUTime = 23_000.0
	limitMemory  = 128e6
)

// How often a daemon performs the operations that the rows measure.
const (
	// readsPerSecond counts the engines that a daemon reads, and viewsPerSecond the
	// new views of engines.
	readsPerSecond = float64(EnginesPerDataCentre) / DaemonsPerDataCentre
	viewsPerSecond = 10
	// The time between two reads: listSeconds of the VM list, headSeconds of the
	// document's head row, leaseSeconds of the lease, copySeconds of ledger rows by
	// a daemon without the lease, and jobPollSeconds of open jobs.
	listSeconds    = 0.2 * TargetVMs
	headSeconds    = 1.5
	leaseSeconds   = 2
	copySeconds    = 30
	jobPollSeconds = 7.5
	// documentChangeSeconds is the time between two new documents, at 690 a day.
	documentChangeSeconds = 125
	// questionBytesPerSecond is the limit of package reach for the questions that a
	// daemon asks, and the same limit applies to its answers.
	questionBytesPerSecond = 700
	// usualOpenJobs is the usual number of open jobs.
	usualOpenJobs = 2
	// garbageFactor is the largest ratio of the heap to its live bytes, reached just
	// before a garbage collection.
	garbageFactor = 2
)

// perSecondSuffix is appended to the unit of a total that is a rate.
const perSecondSuffix = " a second"

// Part is one term of a total.
type Part struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
}

// Total is a daemon's use of one resource, as the sum of its parts.
type Total struct {
	Name  string  `json:"name"`
	Unit  string  `json:"unit"`
	Parts []Part  `json:"parts"`
	Sum   float64 `json:"sum"`
}

// newTotal returns a total with the sum of parts.
func newTotal(name, unit string, parts ...Part) Total {
	t := Total{Name: name, Unit: unit, Parts: parts}
	for _, p := range parts {
		t.Sum += p.Value
	}
	return t
}

// atTarget returns the value of a row at its target size, or NaN if there is no such
// row.
func (r *Result) atTarget(role, name, unit string) float64 {
	for _, row := range r.Rows {
		if row.Role == role && row.Measure == name && row.Unit == unit {
			return row.AtTarget
		}
	}
	return math.NaN()
}

// atSize returns the value of a row at another size than its target, on the row's
// least-squares line, or NaN if there is no such row.
func (r *Result) atSize(role, name, unit string, size int) float64 {
	for _, row := range r.Rows {
		if row.Role == role && row.Measure == name && row.Unit == unit {
			_, height := fitLine(row.Sizes, row.Values, size)
			return height
		}
	}
	return math.NaN()
}

// sumBytes adds the totals of bytes a second.
func (r *Result) sumBytes() {
	engineRead := r.atTarget(roleWatcher, "reading a report", unitBytes) + r.atTarget(roleWatcher, "reading cache events", unitBytes)
	lease := r.atTarget("lease", "reading both rows", unitBytes) / leaseSeconds
	shared := []Part{
		{"reads of engines", readsPerSecond * engineRead},
		{"VM list", r.atTarget(roleMembership, "VM list", unitBytes) / listSeconds},
		{"head of the document", r.atTarget(roleDocuments, "reading a row", unitBytes) / headSeconds},
		{"documents, fetched and handed on", 2 * r.atTarget(roleDocuments, "fetching it from a peer", unitBytes) / documentChangeSeconds},
		{"questions to other data centres, at most", 2 * questionBytesPerSecond},
		{"looks at open jobs", r.atSize("batch", "a look at open jobs", unitBytes, usualOpenJobs) / jobPollSeconds},
	}
	usual := append([]Part{
		{"membership", r.atTarget(roleMembership, "told and heard a second", unitBytes)}, {"lease", lease},
		{"ledger rows", r.atTarget("orders", "reading ledger rows", unitBytes) / copySeconds},
	}, shared...)
	holder := append([]Part{
		{"membership", r.atTarget(roleMembership, "the same of the holder", unitBytes)}, {"lease, read and renewed", 2 * lease},
	}, shared...)
	r.addTotal(newTotal("daemon", unitBytes+perSecondSuffix, usual...), limitBytes)
	r.addTotal(newTotal("holder", unitBytes+perSecondSuffix, holder...), limitBytes)
}

// sumCPUTime adds the totals of processor time a second while slots do not change.
// Reading cache events is counted with the same time as reading a report.
func (r *Result) sumCPUTime() {
	questions := questionBytesPerSecond / r.atTarget(roleReach, "a question and its answer", unitBytes)
	parts := []Part{
		{"membership", r.atTarget(roleMembership, "processor time a second, both ends", unitTime)},
		{"view of engines", r.atTarget(roleWatcher, "processor time a second, no slots changed", unitTime)},
		{"views taken by admission", viewsPerSecond * r.atTarget(roleAdmission, "taking a view", unitTime)},
		{"reads of engines", 2 * readsPerSecond * r.atTarget(roleWatcher, "reading a report", unitTime)},
		{"documents", r.atTarget(roleDocuments, "decoding", unitTime) / documentChangeSeconds},
		{"questions to other data centres", questions * r.atTarget(roleReach, "a question and its answer, both ends", unitTime)},
		{"looking for whom to ask", r.atTarget(roleReach, "looking for whom to ask, a second", unitTime)},
	}
	holder := append([]Part{{"step", r.atTarget(rolePlacement, "a step of the holder at rest", unitTime)}}, parts...)
	r.addTotal(newTotal("daemon", unitTime+perSecondSuffix, parts...), limitCPUTime)
	r.addTotal(newTotal("holder", unitTime+perSecondSuffix, holder...), limitCPUTime)
}

// sumMemory adds the totals of memory for control, including the garbage before a
// collection.
func (r *Result) sumMemory() {
	row := r.atTarget("ledger", "row in memory", unitBytes)
	parts := []Part{
		{"membership, both ends", garbageFactor * r.atTarget(roleMembership, "heap and stacks, both ends", unitBytes)},
		{"reports and view", garbageFactor * r.atTarget(roleWatcher, "reports and view", unitBytes)},
		{"known prefixes", garbageFactor * r.atTarget("router", "known prefixes", unitBytes)},
		{"document", garbageFactor * (r.atTarget(roleDocuments, "document", unitBytes) + r.atTarget(roleDocuments, "decoded document", unitBytes))},
		{"time line", garbageFactor * r.atTarget("time line", "events kept", unitBytes)},
		{"ledger rows", garbageFactor * copiedRows * row},
	}
	holder := append([]Part{
		{"facts and planner", garbageFactor * r.atTarget(rolePlacement, "facts and planner", unitBytes)},
		{"ledger rows of the data centre", garbageFactor * (EnginesPerDataCentre - copiedRows) * row},
	}, parts...)
	r.addTotal(newTotal("daemon, memory", unitBytes, parts...), limitMemory)
	r.addTotal(newTotal("holder, memory", unitBytes, holder...), limitMemory)
}

// addTotal checks t against a limit, and adds t with rounded figures to the totals.
// The check uses the unrounded sum.
func (r *Result) addTotal(t Total, limit float64) {
	r.AtMost(t.Name+", "+t.Unit, limit, t.Sum)
	t.Sum = rounded(t.Sum)
	for i := range t.Parts {
		t.Parts[i].Value = rounded(t.Parts[i].Value)
	}
	r.Totals = append(r.Totals, t)
}

// addTotals adds all totals; after a quick run only those of bytes on the wire.
func (r *Result) addTotals(quick bool) {
	r.List = bound.New()
	r.sumBytes()
	if quick {
		return
	}
	r.sumCPUTime()
	r.sumMemory()
}
