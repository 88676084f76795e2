package scale

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/limpetlb/limpetlb/limpetd/engine"
	"github.com/limpetlb/limpetlb/limpetd/envdoc"
	"github.com/limpetlb/limpetlb/limpetd/event"
	"github.com/limpetlb/limpetlb/limpetd/fakes"
	"github.com/limpetlb/limpetlb/limpetd/ledger"
	"github.com/limpetlb/limpetlb/limpetd/member"
	"github.com/limpetlb/limpetlb/limpetd/order"
	"github.com/limpetlb/limpetlb/limpetd/place"
	"github.com/limpetlb/limpetlb/limpetd/store"
)

const (
	holdingVM   = "entry-vm-001"
	environment = "andesoft/production"
	// quickPlan stands for order.DefaultPlanPeriod, to measure in less time.
	quickPlan = 50 * time.Millisecond
	// warmPlans go by before it is measured, in heldPlans.
	warmPlans = 10
	heldPlans = 40
	// holdTime bounds the time until the plans are made.
	holdTime = time.Minute
)

var errNoPlans = errors.New("the holder makes no plans")

// holding measures the daemon that places models, while nothing changes.
func holding() []measure {
	models := []int{100, 300, TargetModels}
	return []measure{{rolePlacement, "a step of the holder at rest", unitTime, "models", models, TargetModels, stepTime}}
}

// rest is a data centre where everything is placed.
type rest struct {
	facts   *place.Facts
	vms     []store.VM
	reports map[string]engine.Report
	start   time.Time
	plans   atomic.Int64
}

// Document implements order.DocumentProvider.
func (r *rest) Document() (*envdoc.Document, bool) { return r.facts.Document, true }

// Demand implements order.DemandProvider. Each plan asks once.
func (r *rest) Demand() []member.ModelDemand {
	r.plans.Add(1)
	return r.facts.Demand
}

// Report implements order.ReportProvider, with a new report at each call.
func (r *rest) Report(vm string) (engine.Report, time.Time, bool) {
	report, ok := r.reports[vm]
	now := time.Now()
	report.Sequence, report.At = int64(now.Sub(r.start)), now
	return report, now, ok
}

// VMs implements order.VMProvider.
func (r *rest) VMs() []store.VM { return r.vms }

// Order implements engine.Orderer and refuses: nothing is to be ordered.
func (*rest) Order(context.Context, string, engine.Order) (engine.OrderAnswer, error) {
	return engine.OrderAnswer{}, errMute
}

// Sent implements order.SentProvider.
func (*rest) Sent(context.Context, string, string) (order.SentAnswer, error) {
	return order.SentAnswer{}, errMute
}

// newRest places models and returns the ledger's writes.
func newRest(models int) (*rest, store.Tx, error) {
	_, f := settled(models)
	r := &rest{facts: f, reports: map[string]engine.Report{}, start: time.Now()}
	tx := store.Tx{ID: store.NewID()}
	r.vms = []store.VM{{ID: holdingVM, Kind: store.KindEntry, DataCentre: here, State: store.StateLive}}
	for i, e := range f.Engines {
		r.vms = append(r.vms, store.VM{
			ID: e.VM, Kind: store.KindEngine, DataCentre: here, Pool: e.Pool, Address: e.VM, State: store.StateLive,
			Fencing: store.FencingRefuses, MemoryMB: e.MemoryMB, Accelerators: 4,
		})
		known := report(i, 0)
		row := ledger.Row{Engine: e.VM, MemoryMB: e.MemoryMB, Fence: 1}
		for _, s := range e.Slots {
			known.Slots = append(known.Slots, s.Slot)
			row.Charges = append(row.Charges, ledger.Charge{
				Slot: s.Slot, MemoryMB: s.MemoryMB, Phase: ledger.PhaseCharged, Order: store.NewID(), At: time.Now().UnixMilli(),
			})
		}
		r.reports[e.VM] = known
		value, err := ledger.Encode(row)
		if err != nil {
			return nil, tx, err
		}
		tx.Put(ledger.Key(environment, here, e.VM), value)
	}
	return r, tx, nil
}

// stepTime returns the processor time of a plan period of the holder.
func stepTime(ctx context.Context, models int) (float64, error) {
	ctx, stop := context.WithTimeout(ctx, holdTime)
	defer stop()
	r, tx, err := newRest(models)
	if err != nil {
		return 0, err
	}
	table := &fakes.Table{}
	if err := table.Apply(ctx, tx); err != nil {
		return 0, err
	}
	d := order.New(ctx, order.Config{VM: holdingVM, Instance: "holder", DataCentre: here, Environment: environment, PlanPeriod: quickPlan}, order.Deps{
		Table: table, Orderer: r, Documents: r, VMs: r, Reports: r, Demand: r, Sent: r,
		Log: zap.NewNop(), Events: event.New(holdingVM), Scope: tally.NoopScope,
	})
	if err := r.wait(ctx, warmPlans); err != nil {
		return 0, fmt.Errorf("%w: %+v", err, d.Status())
	}
	plans, before := r.plans.Load(), processor()
	if err := r.wait(ctx, plans+heldPlans); err != nil {
		return 0, err
	}
	spent := float64(processor()-before) / float64(r.plans.Load()-plans) / float64(time.Microsecond)
	stop()
	if err := d.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		return 0, err
	}
	return spent, nil
}

// wait returns when some plans were made.
func (r *rest) wait(ctx context.Context, plans int64) error {
	for r.plans.Load() < plans {
		select {
		case <-ctx.Done():
			return errNoPlans
		case <-time.After(quickPlan):
		}
	}
	return nil
}
