package scale

import (
	"math"

	"github.com/limpetlb/limpetlb/limpetlab/bound"
)

// The limits for control of a daemon, a second.
const (
	limitBytes     = 18_000.0
	limitProcessor = 23_000.0
	limitMemory    = 128e6
)

// How often a daemon does what the rows measure, a second.
const (
	readsASecond = float64(NearEngines) / NearDaemons
	viewsASecond = 10
	// listSeconds is the time between two reads of the VM list, headSeconds and
	// leaseSeconds of the head and the lease, copySeconds of ledger rows by a
	// daemon without the lease, lookSeconds of open jobs.
	listSeconds  = 0.2 * VMs
	headSeconds  = 1.5
	leaseSeconds = 2
	copySeconds  = 30
	lookSeconds  = 7.5
	// changeSeconds is the time between two documents, at 690 a day.
	changeSeconds = 125
	// askedBytes is what reach may take for questions, and as much for answers.
	askedBytes = 700
	// usualJobs is the number of open jobs.
	usualJobs = 2
	// garbage is the most memory for each byte in use, before a collection.
	garbage = 2
)

// perSecond makes the unit of a total that counts a second.
const perSecond = " a second"

// Part is a part of a total.
type Part struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
}

// Total is what a daemon takes in all.
type Total struct {
	Name  string  `json:"name"`
	Unit  string  `json:"unit"`
	Parts []Part  `json:"parts"`
	Sum   float64 `json:"sum"`
}

// newTotal sums parts.
func newTotal(name, unit string, parts ...Part) Total {
	t := Total{Name: name, Unit: unit, Parts: parts}
	for _, p := range parts {
		t.Sum += p.Value
	}
	return t
}

// at returns the figure of a row at its target, or no number.
func (r *Result) at(role, name, unit string) float64 {
	for _, row := range r.Rows {
		if row.Role == role && row.Measure == name && row.Unit == unit {
			return row.AtTarget
		}
	}
	return math.NaN()
}

// below returns the figure of a row below its target, on its line.
func (r *Result) below(role, name, unit string, size int) float64 {
	for _, row := range r.Rows {
		if row.Role == role && row.Measure == name && row.Unit == unit {
			_, height := line(row.Sizes, row.Values, size)
			return height
		}
	}
	return math.NaN()
}

// sumBytes adds the bytes a second.
func (r *Result) sumBytes() {
	read := r.at(roleWatcher, "reading a report", unitBytes) + r.at(roleWatcher, "reading cache events", unitBytes)
	lease := r.at("lease", "reading both rows", unitBytes) / leaseSeconds
	shared := []Part{
		{"reads of engines", readsASecond * read},
		{"VM list", r.at(roleMembership, "VM list", unitBytes) / listSeconds},
		{"head of the document", r.at(roleDocuments, "reading a row", unitBytes) / headSeconds},
		{"documents, fetched and handed on", 2 * r.at(roleDocuments, "fetching it from a peer", unitBytes) / changeSeconds},
		{"questions to other data centres, at most", 2 * askedBytes},
		{"looks at open jobs", r.below("batch", "a look at open jobs", unitBytes, usualJobs) / lookSeconds},
	}
	usual := append([]Part{
		{"membership", r.at(roleMembership, "told and heard a second", unitBytes)}, {"lease", lease},
		{"ledger rows", r.at("orders", "reading ledger rows", unitBytes) / copySeconds},
	}, shared...)
	holder := append([]Part{
		{"membership", r.at(roleMembership, "the same of the holder", unitBytes)}, {"lease, read and renewed", 2 * lease},
	}, shared...)
	r.limit(newTotal("daemon", unitBytes+perSecond, usual...), limitBytes)
	r.limit(newTotal("holder", unitBytes+perSecond, holder...), limitBytes)
}

// sumProcessor adds the processor time a second while slots are at rest. Reading
// cache events is taken for as much as reading a report.
func (r *Result) sumProcessor() {
	questions := askedBytes / r.at(roleReach, "a question and its answer", unitBytes)
	parts := []Part{
		{"membership", r.at(roleMembership, "processor time a second, both ends", unitTime)},
		{"view of engines", r.at(roleWatcher, "processor time a second, no slots changed", unitTime)},
		{"views taken by admission", viewsASecond * r.at(roleAdmission, "taking a view", unitTime)},
		{"reads of engines", 2 * readsASecond * r.at(roleWatcher, "reading a report", unitTime)},
		{"documents", r.at(roleDocuments, "decoding", unitTime) / changeSeconds},
		{"questions to other data centres", questions * r.at(roleReach, "a question and its answer, both ends", unitTime)},
		{"looking for whom to ask", r.at(roleReach, "looking for whom to ask, a second", unitTime)},
	}
	holder := append([]Part{{"step", r.at(rolePlacement, "a step of the holder at rest", unitTime)}}, parts...)
	r.limit(newTotal("daemon", unitTime+perSecond, parts...), limitProcessor)
	r.limit(newTotal("holder", unitTime+perSecond, holder...), limitProcessor)
}

// sumMemory adds the memory of control, with what is garbage before a collection.
func (r *Result) sumMemory() {
	row := r.at("ledger", "row in memory", unitBytes)
	parts := []Part{
		{"membership, both ends", garbage * r.at(roleMembership, "heap and stacks, both ends", unitBytes)},
		{"reports and view", garbage * r.at(roleWatcher, "reports and view", unitBytes)},
		{"known prefixes", garbage * r.at("router", "known prefixes", unitBytes)},
		{"document", garbage * (r.at(roleDocuments, "document", unitBytes) + r.at(roleDocuments, "decoded document", unitBytes))},
		{"time line", garbage * r.at("time line", "events kept", unitBytes)},
		{"ledger rows", garbage * copiedRows * row},
	}
	holder := append([]Part{
		{"facts and planner", garbage * r.at(rolePlacement, "facts and planner", unitBytes)},
		{"ledger rows of the data centre", garbage * (NearEngines - copiedRows) * row},
	}, parts...)
	r.limit(newTotal("daemon, memory", unitBytes, parts...), limitMemory)
	r.limit(newTotal("holder, memory", unitBytes, holder...), limitMemory)
}

// limit bounds a total, and keeps it with rounded figures.
func (r *Result) limit(t Total, limit float64) {
	r.AtMost(t.Name+", "+t.Unit, limit, t.Sum)
	t.Sum = rounded(t.Sum)
	for i := range t.Parts {
		t.Parts[i].Value = rounded(t.Parts[i].Value)
	}
	r.Totals = append(r.Totals, t)
}

// conclude adds all up; after a quick run only bytes on the wire.
func (r *Result) conclude(quick bool) {
	r.List = bound.New()
	r.sumBytes()
	if quick {
		return
	}
	r.sumProcessor()
	r.sumMemory()
}
