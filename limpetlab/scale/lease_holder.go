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
	holderVM    = "entry-vm-001"
	environment = "andesoft/production"
	// shortPlanPeriod replaces order.DefaultPlanPeriod to shorten the measurement.
	shortPlanPeriod = 50 * time.Millisecond
	// warmupPlans is the number of plans before the measurement, and measuredPlans
	// the number of plans that are measured.
	warmupPlans   = 10
	measuredPlans = 40
	// holderTimeout bounds the time in which the lease holder makes these plans.
	holderTimeout = time.Minute
)

var errNoPlans = errors.New("the lease holder did not make the plans in time")

// leaseHolderMeasures measures the lease holder, which places models, while the
// demand and the placement do not change.
func leaseHolderMeasures() []measure {
	models := []int{100, 300, TargetModels}
	return []measure{{rolePlacement, "a step of the holder at rest", unitTime, "models", models, TargetModels, holderStepTime}}
}

// idleDataCentre is a data centre in which all models are placed. It provides the
// dependencies of the lease holder.
type idleDataCentre struct {
	input   *place.Input
	vms     []store.VM
	reports map[string]engine.Report
	start   time.Time
	plans   atomic.Int64
}

// Document implements order.DocumentProvider.
func (c *idleDataCentre) Document() (*envdoc.Document, bool) { return c.input.Document, true }

// Demand implements order.DemandProvider. It counts plans, since each plan reads
// the demand once.
func (c *idleDataCentre) Demand() []member.ModelDemand {
	c.plans.Add(1)
	return c.input.Demand
}

// Report implements order.ReportProvider. Each call returns a new report.
func (c *idleDataCentre) Report(vm string) (engine.Report, time.Time, bool) {
	report, ok := c.reports[vm]
	now := time.Now()
	report.Sequence, report.MeasuredAt = int64(now.Sub(c.start)), now
	return report, now, ok
}

// VMs implements order.VMProvider.
func (c *idleDataCentre) VMs() []store.VM { return c.vms }

// Order implements engine.OrderSender. It always fails, since no orders are expected.
func (*idleDataCentre) Order(context.Context, string, engine.Order) (engine.OrderResult, error) {
	return engine.OrderResult{}, errUnreachable
}

// QueryGrant implements order.GrantQuerier.
func (*idleDataCentre) QueryGrant(context.Context, string, string) (order.GrantAnswer, error) {
	return order.GrantAnswer{}, errUnreachable
}

// newIdleDataCentre places a number of models. It returns the data centre and the
// transaction that writes the placement to the ledger.
func newIdleDataCentre(models int) (*idleDataCentre, store.Tx, error) {
	_, f := settledPlacement(models)
	c := &idleDataCentre{input: f, reports: map[string]engine.Report{}, start: time.Now()}
	tx := store.Tx{ID: store.NewID()}
	c.vms = []store.VM{{ID: holderVM, Kind: store.KindEntry, DataCentre: localDataCentre, State: store.StateLive}}
	for i, e := range f.Engines {
		c.vms = append(c.vms, store.VM{
			ID: e.VM, Kind: store.KindEngine, DataCentre: localDataCentre, Pool: e.Pool, Address: e.VM, State: store.StateLive,
			Fencing: store.FencingRefuses, MemoryMB: e.MemoryMB, Accelerators: 4,
		})
		loadReport := newReport(i, 0)
		row := ledger.Row{Engine: e.VM, MemoryMB: e.MemoryMB, Fence: 1}
		for _, s := range e.Slots {
			loadReport.Slots = append(loadReport.Slots, s.Slot)
			row.Charges = append(row.Charges, ledger.Charge{
				Slot: s.Slot, MemoryMB: s.MemoryMB, Phase: ledger.PhaseCharged, Order: store.NewID(), At: time.Now().UnixMilli(),
			})
		}
		c.reports[e.VM] = loadReport
		value, err := ledger.Encode(row)
		if err != nil {
			return nil, tx, err
		}
		tx.Put(ledger.Key(environment, localDataCentre, e.VM), value)
	}
	return c, tx, nil
}

// holderStepTime returns the processor time that the lease holder uses in a plan
// period.
func holderStepTime(ctx context.Context, models int) (float64, error) {
	ctx, stop := context.WithTimeout(ctx, holderTimeout)
	defer stop()
	c, tx, err := newIdleDataCentre(models)
	if err != nil {
		return 0, err
	}
	table := &fakes.Table{}
	if err := table.Apply(ctx, tx); err != nil {
		return 0, err
	}
	d := order.New(ctx, order.Config{VM: holderVM, Instance: "holder", DataCentre: localDataCentre, Environment: environment, PlanPeriod: shortPlanPeriod}, order.Deps{
		Table: table, OrderSender: c, Documents: c, VMs: c, Reports: c, Demand: c, Grants: c,
		Log: zap.NewNop(), Events: event.New(holderVM), Scope: tally.NoopScope,
	})
	if err := c.waitForPlans(ctx, warmupPlans); err != nil {
		return 0, fmt.Errorf("%w: %+v", err, d.Status())
	}
	plans, before := c.plans.Load(), processCPUTime()
	if err := c.waitForPlans(ctx, plans+measuredPlans); err != nil {
		return 0, err
	}
	cpuTime := float64(processCPUTime()-before) / float64(c.plans.Load()-plans) / float64(time.Microsecond)
	stop()
	if err := d.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		return 0, err
	}
	return cpuTime, nil
}

// waitForPlans waits until the lease holder has made a number of plans.
func (c *idleDataCentre) waitForPlans(ctx context.Context, plans int64) error {
	for c.plans.Load() < plans {
		select {
		case <-ctx.Done():
			return errNoPlans
		case <-time.After(shortPlanPeriod):
		}
	}
	return nil
}
