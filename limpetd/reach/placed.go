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
	// placedPeriod is the time between two questions which models another data
	// centre holds; it is longer when they would take more than placedShare of
	// bytesPerSecond. A part of jitterShare is added at random.
	placedPeriod = 5 * time.Second
	placedShare  = 0.5
	// A question with its answer takes placedBytes on the wire, and two bits for
	// each model.
	placedBytes = questionBytes + 60
)

// DocumentProvider gives the document in force and its digest.
type DocumentProvider interface {
	Document() (*envdoc.Document, bool)
	InForce() (revision int64, digest string, ok bool)
}

// PlacingProvider tells whether this daemon places the models of its data centre.
type PlacingProvider interface {
	Placing() bool
}

// PlacedProvider asks the daemon at an address which models its data centre holds.
type PlacedProvider interface {
	Placed(ctx context.Context, address, digest string) (member.Placed, error)
}

// ResidentProvider gives the slots that the own data centre holds.
type ResidentProvider interface {
	Resident() (slots map[envdoc.Slot]bool, complete bool)
}

// placedCost returns the bytes of a question for n models.
func placedCost(n int) int {
	return placedBytes + 2*bitBytes(n)
}

// inForce returns the document in force with its digest.
func (r *Reach) inForce() (*envdoc.Document, string, bool) {
	_, digest, _ := r.deps.Documents.InForce()
	doc, ok := r.deps.Documents.Document()
	_, after, _ := r.deps.Documents.InForce()
	return doc, digest, ok && digest == after
}

// Placed answers the question of a daemon that places models. The error has code
// QueueFull when more is asked than this daemon answers.
func (r *Reach) Placed(digest string) (member.Placed, error) {
	if r.deps.Documents == nil {
		return member.Placed{}, nil
	}
	doc, own, ok := r.inForce()
	cost := placedBytes
	if ok {
		cost = placedCost(len(doc.Models))
	}
	if !r.answers.AllowN(time.Now(), cost) {
		r.deps.Scope.Counter("reach_refused").Inc(1)
		return member.Placed{}, code.Errorf(code.QueueFull, "too many questions for models")
	}
	if !ok || own != digest {
		return member.Placed{}, nil
	}
	slots, complete := r.deps.Resident.Resident()
	models, whole := place.Held(doc, slots)
	return member.Placed{Known: true, Models: bits(models), Whole: bits(whole), Complete: complete}, nil
}

// bitBytes returns the bytes that n bits take.
func bitBytes(n int) int {
	return (n + 7) / 8
}

// bits returns a bit for each mark.
func bits(marked []bool) []byte {
	b := make([]byte, bitBytes(len(marked)))
	for i, is := range marked {
		if is {
			b[i/8] |= 1 << (i % 8)
		}
	}
	return b
}

// Remotes returns what the data centres that tell no reports here hold, with the
// time of each answer; the time is zero when there is none.
func (r *Reach) Remotes() []place.Remote {
	_, centres := r.far()
	r.mu.Lock()
	defer r.mu.Unlock()
	var remotes []place.Remote
	for _, centre := range centres {
		remote, ok := r.placed[centre]
		if !ok {
			remote = place.Remote{DataCentre: centre, Unknown: true}
		}
		remotes = append(remotes, remote)
	}
	return remotes
}

// runPlaced asks which models the other data centres hold while this daemon
// places models.
func (r *Reach) runPlaced(ctx context.Context) error {
	for {
		period := placedPeriod
		if r.deps.Placing.Placing() {
			period = r.askAllPlaced(ctx)
		}
		r.mu.Lock()
		period = r.book.jitter(period)
		r.mu.Unlock()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(period):
		}
	}
}

// askAllPlaced asks one daemon of each other data centre, and returns the time
// until the next questions.
func (r *Reach) askAllPlaced(ctx context.Context) time.Duration {
	daemons, centres := r.far()
	doc, digest, ok := r.inForce()
	if len(centres) == 0 || !ok {
		return placedPeriod
	}
	now := time.Now()
	cost := placedCost(len(doc.Models))
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, centre := range centres {
		r.asks.ReserveN(now, cost)
		p := r.choose(now, daemons[centre])
		r.tomb.Go(func() error {
			r.askPlaced(ctx, p, doc, digest)
			return nil
		})
	}
	return max(placedPeriod, time.Duration(float64(len(centres)*cost)/(placedShare*bytesPerSecond)*float64(time.Second)))
}

// askPlaced asks a daemon and keeps its answer. No answer leaves the last one to
// age; one for another document ends it.
func (r *Reach) askPlaced(ctx context.Context, p member.Peer, doc *envdoc.Document, digest string) {
	call, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	asked := time.Now()
	r.deps.Scope.Counter("reach_placed_asked").Inc(1)
	a, err := r.deps.Placed.Placed(call, p.Address, digest)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.noteLink(time.Now(), p.DataCentre, err)
	switch {
	case err != nil:
		r.deps.Scope.Counter("reach_placed_failed").Inc(1)
		r.deps.Log.Debug("reach_placed_failed", zap.String("vm", p.VM), zap.String("data_centre", p.DataCentre), zap.Error(err))
	case !a.Known || len(a.Models) != bitBytes(len(doc.Models)) || len(a.Whole) != len(a.Models):
		delete(r.placed, p.DataCentre)
	default:
		r.placed[p.DataCentre] = place.Remote{
			DataCentre: p.DataCentre, Models: names(doc, a.Models), Whole: names(doc, a.Whole), Unknown: !a.Complete, At: asked,
		}
	}
}

// names returns the models whose bits are set.
func names(doc *envdoc.Document, bits []byte) []string {
	var held []string
	for i := range doc.Models {
		if bits[i/8]&(1<<(i%8)) != 0 {
			held = append(held, doc.Models[i].Name)
		}
	}
	return held
}
