package crash

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// evaluate drops old records and computes the blocks and the parts on probation.
func (l *Ledger) evaluate(now time.Time) {
	l.expireEnds(now)
	maps.DeleteFunc(l.strikes, func(_ uint64, s strike) bool { return now.Sub(s.at) > strikeTerm })
	l.suspected = map[uint64]period{}
	open := l.openEnds()
	for _, e := range open {
		for i := range e.suspects {
			for _, p := range e.suspects[i].Parts {
				l.suspect(p, e.at)
			}
		}
	}
	for p, s := range l.strikes {
		if a, ok := l.answers[p]; ok && !a.begunAt.Before(s.at) {
			delete(l.strikes, p)
			continue
		}
		l.suspect(p, s.at.Add(survivalAge))
	}
	for p := range l.suspected {
		if _, ok := l.known[p]; !ok && l.Remembers(p) {
			l.known[p] = l.nextVersion()
		}
	}
	maps.DeleteFunc(l.known, func(p uint64, _ int64) bool { _, ok := l.suspected[p]; return !ok })
	maps.DeleteFunc(l.answers, func(p uint64, _ answer) bool { _, ok := l.suspected[p]; return !ok })
	l.blocks, l.blocked = nil, map[uint64]bool{}
	for {
		best, ok := l.mostSuspected(open)
		if !ok {
			break
		}
		b := Block{Parts: l.group(best, open), part: best.part}
		last := best.ends[len(best.ends)-1]
		b.Until = last.at.Add(l.term(best.part))
		for _, e := range best.ends {
			b.Servers = append(b.Servers, e.server)
		}
		l.blocks = append(l.blocks, b)
		for _, p := range b.Parts {
			l.blocked[p] = true
		}
		open = slices.DeleteFunc(open, func(e *end) bool { return slices.Contains(best.ends, e) })
	}
	l.restrict(open)
}

// restrict computes the parts on probation, and the reserved ones, from the ends that no block explains.
func (l *Ledger) restrict(open []*end) {
	l.probation, l.reserved = map[uint64]bool{}, map[uint64]time.Time{}
	for p, s := range l.suspicions(open) {
		_, known := l.known[p]
		known = known && isRequest(p)
		rounds := probationRounds
		if known {
			rounds = knownRounds - 1
		}
		if l.allowed[p] {
			continue
		}
		if s.score >= float64(rounds)-scoreSlack {
			l.probation[p] = true
			if known {
				l.reserved[p] = s.last().Add(reservedTerm)
			}
		}
		if isRequest(p) && !known && (len(s.ends) >= reservedCalls || s.repeats >= reservedCalls) {
			l.probation[p], l.reserved[p] = true, s.last().Add(reservedTerm)
		}
	}
	for p, s := range l.strikes {
		if !l.allowed[p] {
			l.probation[p], l.reserved[p] = true, s.at.Add(strikeTerm)
		}
	}
}

// openEnds returns the ends that have not been retracted, in the order of their times.
func (l *Ledger) openEnds() []*end {
	open := make([]*end, 0, len(l.ends))
	for _, e := range l.ends {
		if !e.retracted {
			open = append(open, e)
		}
	}
	slices.SortFunc(open, func(a, b *end) int { return cmp.Or(a.at.Compare(b.at), compareStarts(a.start, b.start)) })
	return open
}

// suspect extends the period in which a part is suspected.
func (l *Ledger) suspect(part uint64, at time.Time) {
	s, ok := l.suspected[part]
	if !ok || at.Before(s.first) {
		s.first = at
	}
	if at.After(s.last) {
		s.last = at
	}
	l.suspected[part] = s
}

// suspicion is the evidence against a part.
type suspicion struct {
	part uint64
	// ends are the ends that the part may have caused, in the order of their times, and weights
	// how strongly it is suspected in each.
	ends    []*end
	weights []float64
	// calls is the number of calls with the part that may have caused each end. repeats is the sum,
	// over the rounds, of the largest of these, score the sum of the weights of the rounds.
	calls   []int
	repeats int
	score   float64
}

// allCalls returns the number of calls with the part over all ends.
func (s *suspicion) allCalls() int {
	n := 0
	for _, c := range s.calls {
		n += c
	}
	return n
}

// last returns when the last of the ends was.
func (s *suspicion) last() time.Time { return s.ends[len(s.ends)-1].at }

// rate drops the ends that are too far from the last one, and computes the score.
func (s *suspicion) rate() {
	for s.last().Sub(s.ends[0].at) > blockTerm {
		s.ends, s.weights, s.calls = s.ends[1:], s.weights[1:], s.calls[1:]
	}
	var roundAt time.Time
	round, repeats, calls := 0.0, 0, 0
	for i, e := range s.ends {
		switch {
		case i == 0 || e.at.Sub(roundAt) >= roundLength:
			roundAt, round, repeats, calls = e.at, 0, 0, 0
		case isRequest(s.part) && repeats < maxRepeats:
			s.score += repeatWeight
			repeats++
		}
		s.score += max(s.weights[i]-round, 0)
		round = max(round, s.weights[i])
		s.repeats += max(s.calls[i]-calls, 0)
		calls = max(calls, s.calls[i])
	}
}

// suspicions returns the evidence against each part from ends in the order of their times. An end
// counts unless a later answer clears the part, or a block for it has ended.
func (l *Ledger) suspicions(ends []*end) map[uint64]*suspicion {
	all := map[uint64]*suspicion{}
	for _, e := range ends {
		weights, calls := e.weights()
		for p, weight := range weights {
			if a, ok := l.answers[p]; ok && !a.begunAt.Before(e.at.Add(-survivalAge)) {
				continue
			}
			if s, ok := l.strikes[p]; ok && !e.at.After(s.at) {
				continue
			}
			if all[p] == nil {
				all[p] = &suspicion{part: p}
			}
			all[p].ends = append(all[p].ends, e)
			all[p].weights = append(all[p].weights, weight)
			all[p].calls = append(all[p].calls, calls[p])
		}
	}
	for _, s := range all {
		s.rate()
	}
	return all
}

// weights returns how strongly each part is suspected in the end, and in how many of the suspected
// calls it occurs.
func (e *end) weights() (map[uint64]float64, map[uint64]int) {
	waiting := staleWeight
	if slices.ContainsFunc(e.suspects, func(s Suspect) bool { return s.justBegun() }) {
		waiting = waitingWeight
	}
	weights, calls := map[uint64]float64{}, map[uint64]int{}
	for i := range e.suspects {
		s := &e.suspects[i]
		partWeight := waiting
		switch {
		case s.Begun && s.Age < freshAge:
			partWeight = 1
		case s.justBegun():
			partWeight = staleWeight
		case s.Begun:
			continue
		}
		for _, p := range s.Parts {
			weight := partWeight
			if isRequest(p) {
				weight = 1
			}
			weights[p] = max(weights[p], weight)
			calls[p]++
		}
	}
	return weights, calls
}

// mostSuspected returns the part to block next: a part that is not known before those that are. Among
// parts with equal evidence it is the one that occurs in the fewest calls, since a part that all
// prompts share is suspected in each end. A request that has a rival is not blocked.
func (l *Ledger) mostSuspected(ends []*end) (*suspicion, bool) {
	var candidates []*suspicion
	for p, s := range l.suspicions(ends) {
		if !l.allowed[p] && s.score >= float64(l.rounds(p))-scoreSlack {
			candidates = append(candidates, s)
		}
	}
	var best *suspicion
	for _, s := range candidates {
		if slices.ContainsFunc(candidates, func(o *suspicion) bool { return l.areRivals(s, o) }) {
			continue
		}
		if best == nil || l.isMoreSuspected(s, best) {
			best = s
		}
	}
	return best, best != nil
}

// areRivals reports whether s and o are different requests with the same evidence, one of which may
// just have run beside the other.
func (l *Ledger) areRivals(s, o *suspicion) bool {
	_, known := l.known[s.part]
	_, otherKnown := l.known[o.part]
	return s != o && isRequest(s.part) && isRequest(o.part) && known == otherKnown && s.score == o.score &&
		slices.ContainsFunc(s.ends, func(e *end) bool { return slices.Contains(o.ends, e) })
}

// isMoreSuspected reports whether the part of s is to be blocked before the part of o.
func (l *Ledger) isMoreSuspected(s, o *suspicion) bool {
	_, known := l.known[s.part]
	_, otherKnown := l.known[o.part]
	switch {
	case known != otherKnown:
		return otherKnown
	case s.score != o.score:
		return s.score > o.score
	case s.allCalls() != o.allCalls():
		return s.allCalls() < o.allCalls()
	case isRequest(s.part) != isRequest(o.part):
		return isRequest(s.part)
	}
	return s.part < o.part
}

// rounds returns the number of rounds after which a part is blocked.
func (l *Ledger) rounds(part uint64) int {
	if l.strikes[part].count > 0 {
		return 1
	}
	if _, known := l.known[part]; known {
		return knownRounds
	}
	return blockRounds
}

// term returns how long a block of a part lasts after the last end.
func (l *Ledger) term(part uint64) time.Duration {
	if _, known := l.known[part]; known {
		first := knownTerm
		if isRequest(part) {
			first = knownRequestTerm
		}
		return first << min(l.strikes[part].count, maxKnownStrikes)
	}
	return blockTerm << min(l.strikes[part].count, maxStrikes)
}

// group returns the parts that occur in all suspects with the part, in the ends that it may have
// caused, and that no later answer has cleared.
func (l *Ledger) group(s *suspicion, open []*end) []uint64 {
	evidence := l.suspicions(open)
	var group []uint64
	first := true
	for _, e := range s.ends {
		for i := range e.suspects {
			parts := e.suspects[i].Parts
			if !slices.Contains(parts, s.part) {
				continue
			}
			if first {
				group, first = slices.Clone(parts), false
			}
			group = slices.DeleteFunc(group, func(p uint64) bool {
				o := evidence[p]
				return p != s.part && (!slices.Contains(parts, p) || o == nil || len(o.ends) < len(s.ends))
			})
		}
	}
	slices.Sort(group)
	return slices.Compact(group)
}

// expireEnds drops the ends whose term is over. A part whose block ends with them gets a strike; the
// parts that occur with it do not.
func (l *Ledger) expireEnds(now time.Time) {
	for _, b := range l.blocks {
		if now.Before(b.Until) {
			continue
		}
		l.strikes[b.part] = strike{count: l.strikes[b.part].count + 1, at: now, version: l.nextVersion()}
		for k, e := range l.ends {
			if slices.Contains(b.Servers, e.server) {
				delete(l.ends, k)
			}
		}
	}
	for k, e := range l.ends {
		if now.Sub(e.at) > l.retention(e) && !l.supportsBlock(e, now) {
			delete(l.ends, k)
		}
	}
	for len(l.strikes) > maxStruck {
		oldest := slices.MinFunc(slices.Collect(maps.Keys(l.strikes)), func(a, b uint64) int { return l.strikes[a].at.Compare(l.strikes[b].at) })
		delete(l.strikes, oldest)
	}
}

// retention returns how long an end is kept: as long as a block may last that rests on it.
func (l *Ledger) retention(e *end) time.Duration {
	longest := blockTerm
	for i := range e.suspects {
		for _, p := range e.suspects[i].Parts {
			longest = max(longest, l.term(p))
		}
	}
	return blockTerm + longest
}

// supportsBlock reports whether a block in force rests on an end.
func (l *Ledger) supportsBlock(e *end, now time.Time) bool {
	return slices.ContainsFunc(l.blocks, func(b Block) bool { return now.Before(b.Until) && slices.Contains(b.Servers, e.server) })
}
