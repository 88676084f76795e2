package reach

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/envdoc"
	"github.com/limpetlb/limpetlb/limpetd/member"
	"github.com/limpetlb/limpetlb/limpetd/place"
)

const (
	// placedPeriod is the time between two queries to a data centre for the models
	// that it holds. It is extended when the queries would use more than
	// placedBudgetShare of bytesPerSecond. Up to 1/jitterDivisor of it is added at
	// random.
	placedPeriod      = 5 * time.Second
	placedBudgetShare = 0.5
	// placedQueryBytes is the size on the wire of a query and its answer, apart
	// from the two bits for each model.
	placedQueryBytes = queryBytes + 60
)

// DocumentProvider returns the document in force and its digest.
type DocumentProvider interface {
	Document() (*envdoc.Document, bool)
	InForce() (revision int64, digest string, ok bool)
}

// PlacementStatus reports whether this daemon places the models of its data centre.
type PlacementStatus interface {
	Placing() bool
}

// PlacedClient queries the daemon at an address for the models that its data
// centre holds.
type PlacedClient interface {
	QueryPlaced(ctx context.Context, address, digest string) (member.PlacedModels, error)
}

// ResidentProvider returns the slots that engines of this data centre hold. complete
// is false if reports of some engines are missing.
type ResidentProvider interface {
	ResidentSlots() (slots map[envdoc.Slot]bool, complete bool)
}

// placedQueryCost returns the bytes on the wire of a query for a document of n models,
// with its answer.
func placedQueryCost(n int) int {
	return placedQueryBytes + 2*bitmapBytes(n)
}

// documentInForce returns the document in force with its digest. The result is false
// if there is none or the document changed between the two reads.
func (r *Finder) documentInForce() (*envdoc.Document, string, bool) {
	_, digest, _ := r.deps.Documents.InForce()
	doc, ok := r.deps.Documents.Document()
	_, after, _ := r.deps.Documents.InForce()
	return doc, digest, ok && digest == after
}

// Placed answers a query from a daemon of another data centre that places models: it
// returns which models of the document with the given digest the engines of this data
// centre hold. Known is false unless that document is in force here. The error has
// code QueueFull when the queries exceed the byte budget for answers.
func (r *Finder) Placed(digest string) (member.PlacedModels, error) {
	if r.deps.Documents == nil {
		return member.PlacedModels{}, nil
	}
	doc, ownDigest, ok := r.documentInForce()
	cost := placedQueryBytes
	if ok {
		cost = placedQueryCost(len(doc.Models))
	}
	if !r.answerBudget.AllowN(time.Now(), cost) {
		r.deps.Scope.Counter("reach_refused").Inc(1)
		return member.PlacedModels{}, code.Errorf(code.QueueFull, "too many queries for models")
	}
	if !ok || ownDigest != digest {
		return member.PlacedModels{}, nil
	}
	slots, complete := r.deps.Resident.ResidentSlots()
	models, whole := place.HeldModels(doc, slots)
	return member.PlacedModels{SameDocument: true, Models: bitmap(models), WithAdapters: bitmap(whole), Complete: complete}, nil
}

// bitmapBytes returns the size of a bitmap of n bits.
func bitmapBytes(n int) int {
	return (n + 7) / 8
}

// bitmap packs flags into bytes, least significant bit first.
func bitmap(flags []bool) []byte {
	b := make([]byte, bitmapBytes(len(flags)))
	for i, set := range flags {
		if set {
			b[i/8] |= 1 << (i % 8)
		}
	}
	return b
}

// Remotes returns the models held by each data centre that sends no reports here,
// with the time when the query was sent. Without an answer, the time is zero and
// Unknown is set; Unknown is also set if the answer was incomplete.
func (r *Finder) Remotes() []place.Remote {
	_, centres := r.farDaemons()
	r.mu.Lock()
	defer r.mu.Unlock()
	var remotes []place.Remote
	for _, centre := range centres {
		remote, ok := r.lastPlaced[centre]
		if !ok {
			remote = place.Remote{DataCentre: centre, Incomplete: true}
		}
		remotes = append(remotes, remote)
	}
	return remotes
}

// runPlacedQueries periodically queries the other data centres for the models that
// they hold, while this daemon places models.
func (r *Finder) runPlacedQueries(ctx context.Context) error {
	for {
		period := placedPeriod
		if r.deps.Placing.Placing() {
			period = r.sendPlacedQueries(ctx)
		}
		r.mu.Lock()
		period = r.planner.jitter(period)
		r.mu.Unlock()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(period):
		}
	}
}

// sendPlacedQueries queries one daemon of each other data centre and returns the time
// until the next round.
func (r *Finder) sendPlacedQueries(ctx context.Context) time.Duration {
	daemons, centres := r.farDaemons()
	doc, digest, ok := r.documentInForce()
	if len(centres) == 0 || !ok {
		return placedPeriod
	}
	now := time.Now()
	cost := placedQueryCost(len(doc.Models))
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, centre := range centres {
		r.queryBudget.ReserveN(now, cost)
		p := r.chooseTarget(now, daemons[centre])
		r.tomb.Go(func() error {
			r.queryPlaced(ctx, p, doc, digest)
			return nil
		})
	}
	return max(placedPeriod, time.Duration(float64(len(centres)*cost)/(placedBudgetShare*bytesPerSecond)*float64(time.Second)))
}

// queryPlaced queries a daemon and stores its answer. After an error the previous
// answer is kept with its time; an answer for another document removes it.
func (r *Finder) queryPlaced(ctx context.Context, p member.Peer, doc *envdoc.Document, digest string) {
	callCtx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	sentAt := time.Now()
	r.deps.Scope.Counter("reach_placed_asked").Inc(1)
	answer, err := r.deps.Placed.QueryPlaced(callCtx, p.Address, digest)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recordResult(time.Now(), p.DataCentre, err)
	switch {
	case err != nil:
		r.deps.Scope.Counter("reach_placed_failed").Inc(1)
		r.deps.Log.Debug("reach_placed_failed", zap.String("vm", p.VM), zap.String("data_centre", p.DataCentre), zap.Error(err))
	case !answer.SameDocument || len(answer.Models) != bitmapBytes(len(doc.Models)) || len(answer.WithAdapters) != len(answer.Models):
		delete(r.lastPlaced, p.DataCentre)
	default:
		r.lastPlaced[p.DataCentre] = place.Remote{
			DataCentre: p.DataCentre, Models: modelNames(doc, answer.Models), WithAdapters: modelNames(doc, answer.WithAdapters), Incomplete: !answer.Complete, QueriedAt: sentAt,
		}
	}
}

// modelNames returns the names of the models whose bits are set.
func modelNames(doc *envdoc.Document, modelBits []byte) []string {
	var names []string
	for i := range doc.Models {
		if modelBits[i/8]&(1<<(i%8)) != 0 {
			names = append(names, doc.Models[i].Name)
		}
	}
	return names
}
