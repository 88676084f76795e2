package admit

import (
	"maps"
	"slices"
	"sort"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/member"
)

const (
	// minReportedRate is the rate in requests per second below which demand is
	// not reported.
	minReportedRate = 0.001
	// peerDemandTTL is how long the demand reported by a peer is valid.
	peerDemandTTL = 20 * time.Second
)

// target identifies a model, or an adapter of a model, in any version.
type target struct {
	model, adapter string
}

// demand is the demand for models and adapters, at this daemon by target and at its
// peers by the VM of the peer.
type demand struct {
	own   map[target]*targetDemand
	peers map[string]peerDemand
}

// targetDemand is the demand for one model or adapter at this daemon.
type targetDemand struct {
	requests, tokens meter
}

// peerDemand is the demand last reported by a peer.
type peerDemand struct {
	receivedAt time.Time
	demand     []member.ModelDemand
}

// newDemand returns an empty demand.
func newDemand() *demand {
	return &demand{own: make(map[target]*targetDemand), peers: make(map[string]peerDemand)}
}

// add counts a request that asks for a number of generated tokens.
func (d *demand) add(now time.Time, t target, tokens int) {
	td := d.own[t]
	if td == nil {
		td = &targetDemand{}
		d.own[t] = td
	}
	td.requests.add(now, 1)
	td.tokens.add(now, float64(tokens))
}

// list returns the demand at this daemon with the number of queued requests, sorted
// by target. It drops targets with a rate below minReportedRate and no queued requests.
func (d *demand) list(now time.Time, queued map[target]int) []member.ModelDemand {
	var list []member.ModelDemand
	for t, td := range d.own {
		m := member.ModelDemand{
			Model:           t.model,
			Adapter:         t.adapter,
			PerSecond:       td.requests.perSecond(now),
			TokensPerSecond: td.tokens.perSecond(now),
			Queued:          queued[t],
		}
		if m.PerSecond < minReportedRate && m.Queued == 0 {
			delete(d.own, t)
			continue
		}
		list = append(list, m)
	}
	sortDemand(list)
	return list
}

// receive stores the demand reported by a peer, and drops expired reports.
func (d *demand) receive(now time.Time, daemon string, list []member.ModelDemand) {
	for name, p := range d.peers {
		if now.Sub(p.receivedAt) > peerDemandTTL {
			delete(d.peers, name)
		}
	}
	d.peers[daemon] = peerDemand{receivedAt: now, demand: list}
}

// sum adds up own, the demand at this daemon, and the demand that peers reported within
// peerDemandTTL. It counts only the peers for which include returns true. The result is
// sorted by model and adapter.
func (d *demand) sum(now time.Time, own []member.ModelDemand, include func(daemon string) bool) []member.ModelDemand {
	sums := make(map[target]member.ModelDemand)
	addDemand(sums, own)
	// The order is fixed because a sum of floating-point numbers depends on it.
	for _, daemon := range slices.Sorted(maps.Keys(d.peers)) {
		p := d.peers[daemon]
		if now.Sub(p.receivedAt) <= peerDemandTTL && include(daemon) {
			addDemand(sums, p.demand)
		}
	}
	list := make([]member.ModelDemand, 0, len(sums))
	for _, m := range sums {
		list = append(list, m)
	}
	sortDemand(list)
	return list
}

// addDemand adds the demand in list to sums.
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
