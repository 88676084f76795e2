package sched

import (
	"time"

	"github.com/limpetlb/limpetlb/limpetd/layout"
)

// nearShare is the part of the time in which a call is still on time that it may wait for a server of its own data
// centre while one of another could answer sooner. The times are estimates: at the limit, every second call would be late.
const nearShare = 0.5

// nearLoad is the load per slot up to which a daemon that chooses by itself keeps its calls in its data centre.
const nearLoad = 0.7

// crossPenalty ranks servers that would take a call out of its data centre, and those of it with which the call could be
// late, behind all others.
const crossPenalty = time.Minute

// prefersNear reports whether a call of a data centre stays there as long as it is on time. Services whose servers
// report no pace are served as before.
func (b *Balancer) prefersNear(service, dataCentre string) bool {
	return dataCentre != "" && b.paced[service]
}

// isNear reports whether a server is in the data centre of a request and can begin the call early enough.
func (s *server) isNear(a *ReservationRequest, wait, maxWait time.Duration) bool {
	return s.entry.DataCentre == a.DataCentre && wait <= time.Duration(nearShare*float64(maxWait))
}

// mayTry reports whether a slow server may get the call of a request to show that it has recovered. A call does not leave
// its data centre for that.
func (b *Balancer) mayTry(s *server, a *ReservationRequest, pace float64, now time.Time) bool {
	return b.dueForTrial(s, pace, now) && (!b.prefersNear(a.Service, a.DataCentre) || s.entry.DataCentre == a.DataCentre)
}

// near returns the candidates in the data centre of this daemon that have room; all candidates if there are none.
func (b *Balancer) near(service string, list []candidate) []candidate {
	if !b.prefersNear(service, b.settings.DataCentre) {
		return list
	}
	var near []candidate
	for _, l := range list {
		if l.server.entry.DataCentre == b.settings.DataCentre && l.load < nearLoad {
			near = append(near, l)
		}
	}
	if len(near) == 0 {
		return list
	}
	return near
}

// Crossing is why a call is sent to a server of another data centre.
type Crossing int

// The reasons.
const (
	// NoCrossing means that the server is in the data centre of this daemon, or that one of the two is not known.
	NoCrossing Crossing = iota
	// NoneNear means that no server of this data centre serves the call.
	NoneNear
	// NearUnusable means that those that serve it are excluded, or that the call was sent to them before.
	NearUnusable
	// NearBusy means that with the others the call would be late or refused, or that its service does not prefer near
	// servers.
	NearBusy
)

// Crosses returns why a call is sent to a server.
func (b *Balancer) Crosses(c *Call, chosen *layout.Server, now time.Time) Crossing {
	own := b.settings.DataCentre
	if own == "" || chosen.DataCentre == "" || chosen.DataCentre == own {
		return NoCrossing
	}
	reason := NoneNear
	for _, s := range b.byService[c.Service] {
		if s.entry.DataCentre != own || s.entry.State != layout.Ready || c.Model != "" && !b.HoldsModel(s.entry, c.Model, c.Adapter) {
			continue
		}
		if s.takes(c) && !s.isExcluded(now) && !s.lacksModel(c, now) {
			return NearBusy
		}
		reason = NearUnusable
	}
	return reason
}
