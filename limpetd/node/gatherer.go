package node

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"github.com/limpetlb/limpetlb/limpetd/claim"
)

// gatherFresh is how long a choice of the daemon that commits claims holds.
const gatherFresh = time.Second

// gatherers chooses the daemon of the data centre that commits claims, by
// rendezvous hashing over those that are ready. Daemons may differ in their
// choice for a while; that costs transactions only.
type gatherers struct {
	*Node

	mu          sync.Mutex
	chosen      time.Time
	address     string
	dataCentres int
}

var (
	_ claim.GathererProvider = (*gatherers)(nil)
	_ claim.Gatherer         = remoteGatherer{}
)

// Gatherer implements claim.GathererProvider.
func (g *gatherers) Gatherer() claim.Gatherer {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refresh()
	if g.address == "" {
		return nil
	}
	return remoteGatherer{g.Node, g.address}
}

// DataCentres implements claim.GathererProvider.
func (g *gatherers) DataCentres() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refresh()
	return g.dataCentres
}

// refresh chooses anew when the last choice is old.
func (g *gatherers) refresh() {
	if time.Since(g.chosen) < gatherFresh {
		return
	}
	g.chosen = time.Now()
	addresses := make(map[string]string)
	centres := map[string]bool{g.config.DataCentre: true}
	vms := []string{g.config.VM}
	for _, p := range g.members.Peers() {
		centres[p.DataCentre] = true
		if p.DataCentre == g.config.DataCentre && p.Ready && !p.Leaving && !p.Suspect {
			addresses[p.VM] = p.Address
			vms = append(vms, p.VM)
		}
	}
	g.address = addresses[rendezvous.New(vms, xxhash.Sum64String).Lookup("claims")]
	g.dataCentres = len(centres)
}

// remoteGatherer commits through another daemon.
type remoteGatherer struct {
	*Node
	address string
}

// Gather implements claim.Gatherer.
func (r remoteGatherer) Gather(ctx context.Context, w claim.Write) (claim.Answer, error) {
	return r.peers.Gather(ctx, r.address, w)
}
