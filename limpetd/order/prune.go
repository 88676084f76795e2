package order

import "time"

// prunePeriod is how often records that nothing refers to are dropped.
const prunePeriod = time.Minute

// prune drops records of orders, questions and grants that no row refers to.
func (l *loop) prune(now time.Time) {
	if now.Sub(l.pruned) < prunePeriod {
		return
	}
	l.pruned = now
	grants := map[string]bool{}
	current := map[string]bool{}
	slots := map[slotKey]bool{}
	orders := map[string]bool{}
	for vm, b := range l.books.copies {
		current[b.row.Current().ID] = true
		for _, g := range b.row.Grants {
			grants[g.ID] = true
		}
		for _, c := range b.row.Charges {
			slots[slotKey{vm, c.Slot}] = true
			orders[c.Order] = true
		}
	}
	for key, a := range l.attempts {
		if !slots[key] && !a.running && now.After(a.next) {
			delete(l.attempts, key)
		}
	}
	for q, i := range l.inquiries {
		if !grants[q.grant] && !i.running {
			delete(l.inquiries, q)
		}
	}
	for vm := range l.silent {
		if !l.asks(vm) {
			delete(l.silent, vm)
		}
	}
	for key, until := range l.refuses {
		if now.After(until) {
			delete(l.refuses, key)
		}
	}
	for _, k := range l.known {
		for id := range k.gone {
			if !orders[id] {
				delete(k.gone, id)
			}
		}
	}
	l.duty.mu.Lock()
	defer l.duty.mu.Unlock()
	l.duty.gate.Prune(func(id string) bool { return current[id] }, now)
}
