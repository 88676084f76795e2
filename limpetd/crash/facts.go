package crash

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Facts carry records between ledgers. Times are sent as ages, because the clocks of VMs differ.
type Facts struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // The codec reads the tag.
	Ends     []EndFact
	Answers  []AnswerFact
	Strikes  []StrikeFact
	// Known are the suspected parts whose calls were answered before.
	Known []uint64
}

// EndFact is the end of an engine. Retracted is whether the engine has answered since.
type EndFact struct {
	_msgpack  struct{} `msgpack:",as_array"` //nolint:unused // The codec reads the tag.
	Server    string
	StartedAt int64
	Age       time.Duration
	Suspects  []Suspect
	Retracted bool
}

// AnswerFact is the last answer to a call with a part that went on. Age is the time since it began.
type AnswerFact struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // The codec reads the tag.
	Part     uint64
	Age      time.Duration
}

// StrikeFact counts the blocks of a part that have ended. Age is the time since the last one did.
type StrikeFact struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // The codec reads the tag.
	Part     uint64
	Count    int
	Age      time.Duration
}

// Empty reports whether there are no facts.
func (f *Facts) Empty() bool {
	return len(f.Ends) == 0 && len(f.Answers) == 0 && len(f.Strikes) == 0 && len(f.Known) == 0
}

// Aged returns the facts as they are after a time.
func (f Facts) Aged(by time.Duration) Facts {
	aged := Facts{Ends: slices.Clone(f.Ends), Answers: slices.Clone(f.Answers), Strikes: slices.Clone(f.Strikes), Known: f.Known}
	for i := range aged.Ends {
		aged.Ends[i].Age += by
	}
	for i := range aged.Answers {
		aged.Answers[i].Age += by
	}
	for i := range aged.Strikes {
		aged.Strikes[i].Age += by
	}
	return aged
}

// Since returns the facts that have changed after a version.
func (l *Ledger) Since(version int64, now time.Time) Facts {
	return l.facts(now, func(e *end) bool { return e.version > version }, func(v int64) bool { return v > version })
}

// maxLastingSuspects and maxLastingParts bound the facts that last: the suspects of an end, and the
// parts of a suspect. maxLastingAnswers bounds the answers.
const (
	maxLastingSuspects = 4
	maxLastingParts    = 12
	maxLastingAnswers  = 512
)

// Lasting returns what a daemon that starts must know: the ends with their strongest suspects, the
// answers that clear them, and the strikes.
func (l *Ledger) Lasting(now time.Time) Facts {
	f := l.facts(now, func(e *end) bool { return !e.retracted }, func(int64) bool { return true })
	suspected := map[uint64]bool{}
	evidence := l.suspicions(l.openEnds())
	for i := range f.Ends {
		f.Ends[i].Suspects = l.lastingSuspects(f.Ends[i].Suspects, evidence)
		for _, s := range f.Ends[i].Suspects {
			for _, p := range s.Parts {
				suspected[p] = true
			}
		}
	}
	f.Answers = slices.DeleteFunc(f.Answers, func(a AnswerFact) bool { return !suspected[a.Part] })
	f.Answers = f.Answers[:min(len(f.Answers), maxLastingAnswers)]
	f.Known = slices.DeleteFunc(f.Known, func(p uint64) bool { return !suspected[p] && l.strikes[p].count == 0 })
	f.Known = f.Known[:min(len(f.Known), maxLastingAnswers)]
	return f
}

// lastingSuspects returns the first of the suspects, those that are blocked before those with the most
// evidence against them, with the parts of their blocks or the first of their parts.
func (l *Ledger) lastingSuspects(list []Suspect, evidence map[uint64]*suspicion) []Suspect {
	score := func(s Suspect) float64 {
		most := 0.0
		for _, p := range s.Parts {
			if e := evidence[p]; e != nil {
				most = max(most, e.score)
			}
		}
		return most
	}
	list = slices.Clone(list)
	slices.SortStableFunc(list, func(a, b Suspect) int { return cmp.Compare(score(b), score(a)) })
	var blocked, others []Suspect
	for _, s := range list {
		i := slices.IndexFunc(l.blocks, func(b Block) bool { return containsAll(s.Parts, b.Parts) })
		if i >= 0 {
			s.Parts = l.blocks[i].Parts
		}
		s.Parts = s.Parts[:min(len(s.Parts), maxLastingParts)]
		if i >= 0 {
			blocked = append(blocked, s)
		} else {
			others = append(others, s)
		}
	}
	blocked = append(blocked, others...)
	return blocked[:min(len(blocked), maxLastingSuspects)]
}

// facts returns the ends, and the other records by their versions, that are selected.
func (l *Ledger) facts(now time.Time, selectsEnd func(*end) bool, selects func(version int64) bool) Facts {
	var f Facts
	for _, e := range l.ends {
		if selectsEnd(e) {
			f.Ends = append(f.Ends, EndFact{Server: e.server, StartedAt: e.startedAt, Age: now.Sub(e.at), Suspects: e.suspects, Retracted: e.retracted})
		}
	}
	for p, a := range l.answers {
		if selects(a.version) {
			f.Answers = append(f.Answers, AnswerFact{Part: p, Age: now.Sub(a.begunAt)})
		}
	}
	for p, s := range l.strikes {
		if selects(s.version) {
			f.Strikes = append(f.Strikes, StrikeFact{Part: p, Count: s.count, Age: now.Sub(s.at)})
		}
	}
	for p, version := range l.known {
		if selects(version) {
			f.Known = append(f.Known, p)
		}
	}
	slices.Sort(f.Known)
	slices.SortFunc(f.Ends, func(a, b EndFact) int {
		return compareStarts(start{a.Server, a.StartedAt}, start{b.Server, b.StartedAt})
	})
	slices.SortFunc(f.Answers, func(a, b AnswerFact) int { return cmp.Compare(a.Part, b.Part) })
	slices.SortFunc(f.Strikes, func(a, b StrikeFact) int { return cmp.Compare(a.Part, b.Part) })
	return f
}

func compareStarts(a, b start) int {
	return cmp.Or(strings.Compare(a.server, b.server), cmp.Compare(a.startedAt, b.startedAt))
}

// Merge adds the facts of another ledger.
func (l *Ledger) Merge(f Facts, now time.Time) {
	changed := false
	for _, e := range f.Ends {
		changed = l.mergeEnd(start{e.Server, e.StartedAt}, now.Add(-max(e.Age, 0)), e.Suspects, e.Retracted) || changed
	}
	for _, s := range f.Strikes {
		if old := l.strikes[s.Part]; s.Count > old.count {
			l.strikes[s.Part] = strike{count: min(s.Count, maxKnownStrikes), at: now.Add(-max(s.Age, 0)), version: l.nextVersion()}
			changed = true
		}
	}
	if changed {
		l.evaluate(now)
		changed = false
	}
	for _, p := range f.Known {
		_, suspected := l.suspected[p]
		if _, known := l.known[p]; suspected && !known {
			l.known[p] = l.nextVersion()
			changed = true
		}
	}
	for _, a := range f.Answers {
		changed = l.mergeAnswer(a.Part, now.Add(-max(a.Age, 0))) || changed
	}
	if changed {
		l.evaluate(now)
	}
}

// mergeEnd adds a report on the end of an engine, and reports whether it changes the ledger.
func (l *Ledger) mergeEnd(s start, at time.Time, suspects []Suspect, retracted bool) bool {
	e := l.ends[s]
	if e == nil {
		if len(l.ends) >= maxEnds && !l.dropEnd() {
			return false
		}
		e = &end{start: s, at: at}
		l.ends[s] = e
	}
	changed := e.version == 0 || retracted && !e.retracted
	if at.Before(e.at) {
		e.at = at
	}
	e.retracted = e.retracted || retracted
	merged := slices.Clone(e.suspects)
	for _, added := range suspects {
		added.Parts = added.Parts[:min(len(added.Parts), maxParts)]
		if slices.ContainsFunc(merged, func(s Suspect) bool { return s.sameCall(&added) }) {
			continue
		}
		merged = append(merged, added)
	}
	slices.SortFunc(merged, compareSuspects)
	merged = boundSuspects(merged)
	if changed || !slices.EqualFunc(merged, e.suspects, func(a, b Suspect) bool { return a.sameCall(&b) }) {
		e.suspects, e.version = merged, l.nextVersion()
		return true
	}
	return false
}

// boundSuspects returns the first suspects, within maxSuspects and maxEndParts.
func boundSuspects(list []Suspect) []Suspect {
	parts := 0
	for i := range list {
		parts += len(list[i].Parts)
		if i == maxSuspects || i > 0 && parts > maxEndParts {
			return list[:i]
		}
	}
	return list
}

// compareSuspects sorts the calls whose responses had begun last first, and then those that waited.
func compareSuspects(a, b Suspect) int {
	rank := func(s Suspect) int {
		switch {
		case s.justBegun():
			return 0
		case !s.Begun:
			return 1
		}
		return 2
	}
	return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a.Age, b.Age), cmp.Compare(a.Call, b.Call), slices.Compare(a.Parts, b.Parts))
}

// dropEnd drops the oldest end on which no block rests. It returns false if there is none.
func (l *Ledger) dropEnd() bool {
	var oldest *end
	for _, e := range l.ends {
		if !l.supportsBlock(e, e.at) && (oldest == nil || e.at.Before(oldest.at)) {
			oldest = e
		}
	}
	if oldest != nil {
		delete(l.ends, oldest.start)
	}
	return oldest != nil
}

// mergeAnswer records when an answer to a call with a part began, unless the part is not suspected or
// cleared already. It reports whether a verdict depends on it.
func (l *Ledger) mergeAnswer(part uint64, begunAt time.Time) bool {
	s, suspected := l.suspected[part]
	a, known := l.answers[part]
	switch {
	case !suspected, begunAt.Before(s.first.Add(-survivalAge)):
		return false
	case known && (!begunAt.After(a.begunAt) || !a.begunAt.Before(s.last.Add(-survivalAge))):
		return false
	case !known && len(l.answers) >= maxAnswers:
		return false
	}
	l.answers[part] = answer{begunAt: begunAt, version: l.nextVersion()}
	return l.blocked[part] || l.probation[part]
}
