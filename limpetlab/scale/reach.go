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
	// maxQuestionSlots is the number of slots of the largest question.
	maxQuestionSlots = 16
	// wantedSlots is the number of slots that are requested at once, seekPeriod the
	// time between two calls of RequestEngines, and seekBatchTime the length of a batch.
	wantedSlots   = 50
	seekPeriod    = 100 * time.Millisecond
	seekBatchTime = time.Second
)

// reachMeasures measures the questions that a daemon sends to other data centres to
// find engines that hold a slot.
func reachMeasures() []measure {
	asked := []int{1, 8, maxQuestionSlots}
	daemons := []int{90, 180, TargetDaemons}
	return []measure{
		{roleReach, "a question and its answer, both ends", unitTime, "slots", asked, 1, questionTime},
		{roleReach, "a question and its answer", unitBytes, "slots", asked, 1, questionBytes},
		{roleReach, "looking for whom to ask, a second", unitTime, "daemons", daemons, TargetDaemons, seekCPUTime},
	}
}

// singleHolder answers each question with one engine.
type singleHolder struct{}

// Holders implements peer.HolderProvider.
func (singleHolder) Holders(slots []envdoc.Slot) ([]engine.Report, error) {
	r := newReport(0, 0)
	r.Slots = slots
	return []engine.Report{r}, nil
}

// withQuestion starts a peer server and calls run with the server's byte counter and
// a function that asks the server for the holders of n slots. The first question
// precedes run, so that the connection is open.
func withQuestion(ctx context.Context, n int, run func(c *byteCounter, ask func() error) error) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	tls, err := newPeerKeys(ctx)
	if err != nil {
		return err
	}
	c := &byteCounter{Listener: l}
	config := peer.Config{Environment: "andesoft/production", VM: "entry-vm-001", Instance: "entry-vm-001-instance"}
	peer.NewServer(ctx, config, c, peer.ServerDeps{TLS: tls.PeerServer(), Holders: singleHolder{}})
	client := peer.NewClient(ctx, config, peer.ClientDeps{TLS: tls.PeerClient()})
	ask := func() error {
		_, err := client.QueryHolders(ctx, l.Addr().String(), newSlots(0, n))
		return err
	}
	if err := ask(); err != nil {
		return err
	}
	return run(c, ask)
}

// questionTime returns the processor time of a question about n slots and its
// answer, at both ends.
func questionTime(ctx context.Context, n int) (float64, error) {
	cpuTime := 0.0
	err := withQuestion(ctx, n, func(_ *byteCounter, ask func() error) error {
		var failed error
		cpuTime = cpuTimePerCall(func() {
			if err := ask(); err != nil {
				failed = err
			}
		})
		return failed
	})
	return cpuTime, err
}

// questionBytes returns the bytes on the wire of a question about n slots and its
// answer.
func questionBytes(ctx context.Context, n int) (float64, error) {
	wireBytes := 0.0
	err := withQuestion(ctx, n, func(c *byteCounter, ask func() error) error {
		before := c.bytes.Load()
		for range countedCalls {
			if err := ask(); err != nil {
				return err
			}
		}
		wireBytes = float64(c.bytes.Load()-before) / countedCalls
		return nil
	})
	return wireBytes, err
}

// localAnswers answers questions in the process, without a connection, and discards
// the reports that reach receives.
type localAnswers struct{ singleHolder }

// QueryHolders implements reach.HoldersClient.
func (a localAnswers) QueryHolders(_ context.Context, _ string, slots []envdoc.Slot) ([]engine.Report, error) {
	return a.Holders(slots)
}

// ReceiveRemoteReports implements reach.AnswerReceiver.
func (localAnswers) ReceiveRemoteReports([]engine.Report) {}

// noHolders implements reach.EngineProvider with engines that hold no slots.
type noHolders struct{}

// SlotHolders implements reach.EngineProvider.
func (noHolders) SlotHolders([]envdoc.Slot) []engine.Report { return nil }

// seekCPUTime returns the additional processor time a second, in microseconds, of a
// daemon that seeks slots at a number of daemons, without its connections. The
// first questions come in a burst, which is not measured.
func seekCPUTime(ctx context.Context, daemons int) (float64, error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	vms := entryVMs(daemons/TargetDataCentres, daemons)
	members := member.New(ctx, member.Config{VM: vms[0].ID, Instance: "seeker", DataCentre: localDataCentre, Region: "lima", Address: vms[0].Address},
		member.Deps{List: vms, Peers: unreachable{}}, member.WithPeriod(time.Hour), member.WithSeed(1))
	receiveDaemons(members, vms)
	r := reach.New(ctx, reach.Deps{Peers: members, Holders: localAnswers{}, Answers: localAnswers{}, Engines: noHolders{}})
	wanted := newSlots(0, wantedSlots)
	idle := cpuTimePerSecond(batchCount, func() {})
	cpuTimePerSecond(1, func() { r.RequestEngines(wanted) })
	return max(0, cpuTimePerSecond(batchCount, func() { r.RequestEngines(wanted) })-idle), nil
}

// cpuTimePerSecond calls work each seekPeriod. It returns the processor time a
// second, in microseconds, of the fastest of n batches.
func cpuTimePerSecond(n int, work func()) float64 {
	lowest := math.Inf(1)
	for range n {
		before := processCPUTime()
		for range int(seekBatchTime / seekPeriod) {
			work()
			time.Sleep(seekPeriod)
		}
		lowest = min(lowest, float64(processCPUTime()-before)/seekBatchTime.Seconds()/float64(time.Microsecond))
	}
	return lowest
}
