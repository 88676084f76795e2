package scale

import (
	"context"
	"math"
	"net"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/engine"
	"github.com/limpetlb/limpetlb/limpetd/envdoc"
	"github.com/limpetlb/limpetlb/limpetd/member"
	"github.com/limpetlb/limpetlb/limpetd/peer"
	"github.com/limpetlb/limpetlb/limpetd/reach"
)

const (
	// askedSlots is the number of slots of the largest question.
	askedSlots = 16
	// soughtSlots is the number of slots that are wanted at once, seekPeriod
	// how often, and seekTime how long a batch is measured.
	soughtSlots = 50
	seekPeriod  = 100 * time.Millisecond
	seekTime    = time.Second
)

// reaching measures questions to other data centres.
func reaching() []measure {
	asked := []int{1, 8, askedSlots}
	daemons := []int{90, 180, TargetDaemons}
	return []measure{
		{roleReach, "a question and its answer, both ends", unitTime, "slots", asked, 1, questionTime},
		{roleReach, "a question and its answer", unitBytes, "slots", asked, 1, questionBytes},
		{roleReach, "looking for whom to ask, a second", unitTime, "daemons", daemons, TargetDaemons, seekingTime},
	}
}

// holders answers each question with one engine.
type holders struct{}

// Holders implements peer.HolderProvider.
func (holders) Holders(slots []envdoc.Slot) ([]engine.Report, error) {
	r := report(0, 0)
	r.Slots = slots
	return []engine.Report{r}, nil
}

// question asks about slots and hands the question to use.
func question(ctx context.Context, n int, use func(c *counter, ask func() error) error) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	tls, err := secrets(ctx)
	if err != nil {
		return err
	}
	c := &counter{Listener: l}
	config := peer.Config{Environment: "andesoft/production", VM: "entry-vm-001", Instance: "entry-vm-001-instance"}
	peer.NewServer(ctx, config, c, peer.ServerDeps{TLS: tls.PeerServer(), Holders: holders{}})
	client := peer.NewClient(ctx, config, peer.ClientDeps{TLS: tls.PeerClient()})
	ask := func() error {
		_, err := client.Holders(ctx, l.Addr().String(), slots(0, n))
		return err
	}
	if err := ask(); err != nil {
		return err
	}
	return use(c, ask)
}

func questionTime(ctx context.Context, n int) (float64, error) {
	spent := 0.0
	err := question(ctx, n, func(_ *counter, ask func() error) error {
		var failed error
		spent = perCall(func() {
			if err := ask(); err != nil {
				failed = err
			}
		})
		return failed
	})
	return spent, err
}

func questionBytes(ctx context.Context, n int) (float64, error) {
	sent := 0.0
	err := question(ctx, n, func(c *counter, ask func() error) error {
		before := c.bytes.Load()
		for range calls {
			if err := ask(); err != nil {
				return err
			}
		}
		sent = float64(c.bytes.Load()-before) / calls
		return nil
	})
	return sent, err
}

// answers gives the holders of slots without a connection, and takes what was told.
type answers struct{ holders }

// Holders implements reach.QuestionProvider.
func (a answers) Holders(_ context.Context, _ string, slots []envdoc.Slot) ([]engine.Report, error) {
	return a.holders.Holders(slots)
}

// ReceiveFar implements reach.AnswerReceiver.
func (answers) ReceiveFar([]engine.Report) {}

// nothing implements reach.EngineProvider with engines that hold nothing.
type nothing struct{}

// Holders implements reach.EngineProvider.
func (nothing) Holders([]envdoc.Slot) []engine.Report { return nil }

// seekingTime returns what a daemon takes more of processor time a second while
// it seeks slots among daemons than while it does not, without its connections.
// The first questions come in a burst, which is left out.
func seekingTime(ctx context.Context, daemons int) (float64, error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	vms := entryList(daemons/TargetDataCentres, daemons)
	members := member.New(ctx, member.Config{VM: vms[0].ID, Instance: "seeker", DataCentre: here, Region: "lima", Address: vms[0].Address},
		member.Deps{List: vms, Peers: mute{}}, member.WithPeriod(time.Hour), member.WithSeed(1))
	introduce(members, vms)
	r := reach.New(ctx, reach.Deps{Peers: members, Questions: answers{}, Answers: answers{}, Engines: nothing{}})
	wanted := slots(0, soughtSlots)
	idle := spend(batches, func() {})
	spend(1, func() { r.Seek(wanted) })
	return max(0, spend(batches, func() { r.Seek(wanted) })-idle), nil
}

// spend calls work each seekPeriod and returns the processor time of a second,
// in the quickest of n batches.
func spend(n int, work func()) float64 {
	best := math.Inf(1)
	for range n {
		before := processor()
		for range int(seekTime / seekPeriod) {
			work()
			time.Sleep(seekPeriod)
		}
		best = min(best, float64(processor()-before)/seekTime.Seconds()/float64(time.Microsecond))
	}
	return best
}
