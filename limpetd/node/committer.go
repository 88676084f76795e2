package node

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"github.com/limpetlb/limpetlb/limpetd/claim"
)

// committerTTL is how long a selection of the daemon that commits claims is used.
const committerTTL = time.Second

// committerSelector selects the daemon of the data centre that commits claims, by
// rendezvous hashing over the ready daemons. Daemons may differ in their
// selection for a while, which costs only additional transactions.
type committerSelector struct {
	*Node

	mu          sync.Mutex
	selectedAt  time.Time
	address     string
	dataCentres int
}

var (
	_ claim.CommitterProvider = (*committerSelector)(nil)
	_ claim.Committer         = remoteCommitter{}
)

// Committer implements claim.CommitterProvider. It returns nil if this daemon is
// selected.
func (g *committerSelector) Committer() claim.Committer {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refresh()
	if g.address == "" {
		return nil
	}
	return remoteCommitter{g.Node, g.address}
}

// DataCentres implements claim.CommitterProvider.
func (g *committerSelector) DataCentres() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refresh()
	return g.dataCentres
}

// refresh selects again if the last selection is older than gathererTTL.
func (g *committerSelector) refresh() {
	if time.Since(g.selectedAt) < committerTTL {
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

// remoteCommitter has another daemon commit claims.
type remoteCommitter struct {
	*Node
	address string
}

// CommitFor implements claim.Committer.
func (r remoteCommitter) CommitFor(ctx context.Context, w claim.Write) (claim.WriteResult, error) {
	return r.peers.CommitFor(ctx, r.address, w)
}
