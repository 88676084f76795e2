package order

import "time"

// prunePeriod is how often unreferenced records are dropped.
const prunePeriod = time.Minute

// prune drops the records of orders, sender queries and grants to which no cached row
// refers.
func (l *loop) prune(now time.Time) {
	if now.Sub(l.prunedAt) < prunePeriod {
		return
	}
	l.prunedAt = now
	grants := map[string]bool{}
	current := map[string]bool{}
	slots := map[slotKey]bool{}
	orders := map[string]bool{}
	for vm, cached := range l.cache.entries {
		current[cached.row.CurrentGrant().ID] = true
		for _, g := range cached.row.Grants {
			grants[g.ID] = true
		}
		for _, c := range cached.row.Charges {
			slots[slotKey{vm, c.Slot}] = true
			orders[c.Order] = true
		}
	}
	for key, a := range l.attempts {
		if !slots[key] && !a.inFlight && now.After(a.nextAt) {
			delete(l.attempts, key)
		}
	}
	for s, q := range l.senderQueries {
		if !grants[s.grant] && !q.inFlight {
			delete(l.senderQueries, s)
		}
	}
	for vm := range l.silentSince {
		if !l.hasOpenQuery(vm) {
			delete(l.silentSince, vm)
		}
	}
	for key, until := range l.refusedUntil {
		if now.After(until) {
			delete(l.refusedUntil, key)
		}
	}
	for _, e := range l.engines {
		for id := range e.confirmedUnloads {
			if !orders[id] {
				delete(e.confirmedUnloads, id)
			}
		}
	}
	l.controller.mu.Lock()
	defer l.controller.mu.Unlock()
	l.controller.sendTracker.Prune(func(id string) bool { return current[id] }, now)
}
