package node

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"github.com/limpetlb/limpetlb/limpetd/claim"
)

// gathererTTL is how long a selection of the daemon that commits claims is used.
const gathererTTL = time.Second

// gathererSelector selects the daemon of the data centre that commits claims, by
// rendezvous hashing over the ready daemons. Daemons may differ in their
// selection for a while, which costs only additional transactions.
type gathererSelector struct {
	*Node

	mu          sync.Mutex
	selectedAt  time.Time
	address     string
	dataCentres int
}

var (
	_ claim.GathererProvider = (*gathererSelector)(nil)
	_ claim.Gatherer         = remoteGatherer{}
)

// Gatherer implements claim.GathererProvider. It returns nil if this daemon is
// selected.
func (g *gathererSelector) Gatherer() claim.Gatherer {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refresh()
	if g.address == "" {
		return nil
	}
	return remoteGatherer{g.Node, g.address}
}

// DataCentres implements claim.GathererProvider.
func (g *gathererSelector) DataCentres() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refresh()
	return g.dataCentres
}

// refresh selects again if the last selection is older than gathererTTL.
func (g *gathererSelector) refresh() {
	if time.Since(g.selectedAt) < gathererTTL {
		return
	}
	g.selectedAt = time.Now()
	addresses := make(map[string]string)
	dataCentres := map[string]bool{g.config.DataCentre: true}
	vms := []string{g.config.VM}
	for _, p := range g.members.Peers() {
		dataCentres[p.DataCentre] = true
		if p.DataCentre == g.config.DataCentre && p.Ready && !p.Leaving && !p.Suspect {
			addresses[p.VM] = p.Address
			vms = append(vms, p.VM)
		}
	}
	g.address = addresses[rendezvous.New(vms, xxhash.Sum64String).Lookup("claims")]
	g.dataCentres = len(dataCentres)
}

// remoteGatherer has another daemon commit claims.
type remoteGatherer struct {
	*Node
	address string
}

// Gather implements claim.Gatherer.
func (r remoteGatherer) Gather(ctx context.Context, w claim.Write) (claim.Answer, error) {
	return r.peers.Gather(ctx, r.address, w)
}
