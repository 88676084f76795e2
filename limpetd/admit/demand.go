package admit

import (
	"maps"
	"slices"
	"sort"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/member"
)

const (
	// minTold is the rate below which demand is not told, per second.
	minTold = 0.001
	// toldFor is how long what a peer told is believed.
	toldFor = 20 * time.Second
)

// target names a model or adapter.
type target struct {
	model, adapter string
}

// demand is the demand for models and adapters.
type demand struct {
	own  map[target]*targetDemand
	told map[string]toldDemand
}

// targetDemand is the demand for one model or adapter at this daemon.
type targetDemand struct {
	requests, tokens meter
}

// toldDemand is the demand that a peer told.
type toldDemand struct {
	at     time.Time
	demand []member.ModelDemand
}

// newDemand returns no demand.
func newDemand() *demand {
	return &demand{own: make(map[target]*targetDemand), told: make(map[string]toldDemand)}
}

// add counts a request that asks for tokens.
func (d *demand) add(now time.Time, t target, tokens int) {
	k := d.own[t]
	if k == nil {
		k = &targetDemand{}
		d.own[t] = k
	}
	k.requests.add(now, 1)
	k.tokens.add(now, float64(tokens))
}

// list returns the demand at this daemon with the queued requests, and forgets
// what has ceased.
func (d *demand) list(now time.Time, queued map[target]int) []member.ModelDemand {
	var list []member.ModelDemand
	for t, k := range d.own {
		m := member.ModelDemand{
			Model:           t.model,
			Adapter:         t.adapter,
			PerSecond:       k.requests.perSecond(now),
			TokensPerSecond: k.tokens.perSecond(now),
			Queued:          queued[t],
		}
		if m.PerSecond < minTold && m.Queued == 0 {
			delete(d.own, t)
			continue
		}
		list = append(list, m)
	}
	sortDemand(list)
	return list
}

// receive takes the demand that a peer told.
func (d *demand) receive(now time.Time, daemon string, list []member.ModelDemand) {
	for name, t := range d.told {
		if now.Sub(t.at) > toldFor {
			delete(d.told, name)
		}
	}
	d.told[daemon] = toldDemand{at: now, demand: list}
}

// sum returns own with what the peers chosen by counts told.
func (d *demand) sum(now time.Time, own []member.ModelDemand, counts func(daemon string) bool) []member.ModelDemand {
	sums := make(map[target]member.ModelDemand)
	addDemand(sums, own)
	// In the order of names, since a sum of fractions depends on its order.
	for _, daemon := range slices.Sorted(maps.Keys(d.told)) {
		t := d.told[daemon]
		if now.Sub(t.at) <= toldFor && counts(daemon) {
			addDemand(sums, t.demand)
		}
	}
	list := make([]member.ModelDemand, 0, len(sums))
	for _, m := range sums {
		list = append(list, m)
	}
	sortDemand(list)
	return list
}

// addDemand adds list to the sums.
func addDemand(sums map[target]member.ModelDemand, list []member.ModelDemand) {
	for _, m := range list {
		t := target{m.Model, m.Adapter}
		s := sums[t]
		s.Model, s.Adapter = m.Model, m.Adapter
		s.PerSecond += m.PerSecond
		s.TokensPerSecond += m.TokensPerSecond
		s.Queued += m.Queued
		sums[t] = s
	}
}

// sortDemand sorts by model and adapter.
func sortDemand(list []member.ModelDemand) {
	sort.Slice(list, func(i, j int) bool {
		if list[i].Model != list[j].Model {
			return list[i].Model < list[j].Model
		}
		return list[i].Adapter < list[j].Adapter
	})
}
