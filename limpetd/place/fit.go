package place

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/envdoc"
	"github.com/limpetlb/limpetlb/limpetd/store"
)

// fitSteps bounds the plans that a trial makes in each data centre.
const fitSteps = 100

// Fit tells whether planners that begin with empty engines place the declared
// models and adapters, each model at its minimum of replicas over all data
// centres. The error has code DocumentUnfit and names what doesn't fit.
func Fit(doc *envdoc.Document, vms []store.VM) error {
	t := newTrial(doc, vms)
	t.run()
	unfit := t.unfit()
	if len(unfit) == 0 {
		return nil
	}
	return code.Errorf(code.DocumentUnfit, "%s", strings.Join(unfit, "; "))
}

// trial is the placement of a document by planners whose moves take no time and
// who hear at once of each other.
type trial struct {
	document *envdoc.Document
	centres  []Facts
	planners []*Planner
	now      time.Time
}

// newTrial returns the data centres of a VM list with empty engines.
func newTrial(doc *envdoc.Document, vms []store.VM) *trial {
	t := &trial{document: doc, now: time.UnixMilli(0)}
	sorted := slices.DeleteFunc(slices.Clone(vms), func(v store.VM) bool { return v.Kind != store.KindEngine })
	slices.SortFunc(sorted, func(a, b store.VM) int {
		if c := strings.Compare(a.DataCentre, b.DataCentre); c != 0 {
			return c
		}
		return strings.Compare(a.ID, b.ID)
	})
	for _, v := range sorted {
		if n := len(t.centres); n == 0 || t.centres[n-1].DataCentre != v.DataCentre {
			t.centres = append(t.centres, Facts{Document: doc, DataCentre: v.DataCentre})
			t.planners = append(t.planners, NewPlanner())
		}
		f := &t.centres[len(t.centres)-1]
		f.Engines = append(f.Engines, Engine{VM: v.ID, Pool: v.Pool, MemoryMB: v.MemoryMB, Usable: true})
	}
	return t
}

// run plans until all is placed, or until every data centre has had its turn and
// makes no move.
func (t *trial) run() {
	idle := 0
	for range fitSteps {
		if !t.step() {
			idle++
		} else {
			idle = 0
		}
		if idle > len(t.centres) || (idle > 0 && len(t.unfit()) == 0) {
			return
		}
	}
}

// step makes and carries out a plan in each data centre. It returns false when
// there was no move.
func (t *trial) step() bool {
	t.now = t.now.Add(turnTime)
	remotes := make([]Remote, len(t.centres))
	for i := range t.centres {
		remotes[i] = t.centres[i].held()
	}
	moved := false
	for i := range t.centres {
		f := &t.centres[i]
		f.Now = t.now
		f.Remotes = slices.Delete(slices.Clone(remotes), i, i+1)
		plan := t.planners[i].Plan(*f)
		f.carry(plan)
		moved = moved || len(plan.Moves) > 0
	}
	return moved
}

// held returns what the data centre holds.
func (f *Facts) held() Remote {
	r := Remote{DataCentre: f.DataCentre, At: f.Now}
	for i := range f.Engines {
		r.Engines = append(r.Engines, Memory{f.Engines[i].Pool, f.Engines[i].MemoryMB})
	}
	models, whole := Held(f.Document, f.slots())
	for i, m := range f.Document.Models {
		if models[i] {
			r.Models = append(r.Models, m.Name)
		}
		if whole[i] {
			r.Whole = append(r.Whole, m.Name)
		}
	}
	slices.Sort(r.Models)
	slices.Sort(r.Whole)
	return r
}

// slots returns the slots that are resident, without versions.
func (f *Facts) slots() map[envdoc.Slot]bool {
	slots := map[envdoc.Slot]bool{}
	for i := range f.Engines {
		for _, s := range f.Engines[i].Slots {
			if s.State == Resident {
				slots[envdoc.Slot{Model: s.Slot.Model, Adapter: s.Slot.Adapter}] = true
			}
		}
	}
	return slots
}

// carry carries a plan out at once.
func (f *Facts) carry(plan Plan) {
	engines := make(map[string]*Engine, len(f.Engines))
	for i := range f.Engines {
		engines[f.Engines[i].VM] = &f.Engines[i]
	}
	for _, m := range plan.Moves {
		e := engines[m.Engine]
		if m.Kind == Load {
			e.Slots = append(e.Slots, Slot{Slot: m.Slot, MemoryMB: m.MemoryMB, State: Resident, Since: f.Now})
			continue
		}
		e.Slots = slices.DeleteFunc(e.Slots, func(s Slot) bool { return s.Slot == m.Slot })
	}
}

// unfit names the declared models and adapters that found no room.
func (t *trial) unfit() []string {
	replicas, reached := map[string]int{}, map[envdoc.Slot]bool{}
	engines := map[string]int{}
	for i := range t.centres {
		for s := range t.centres[i].slots() {
			reached[s] = true
		}
		for _, e := range t.centres[i].Engines {
			engines[e.Pool]++
			for _, s := range e.Slots {
				if s.Slot.Adapter == "" && s.State == Resident {
					replicas[s.Slot.Model]++
				}
			}
		}
	}
	var unfit []string
	for i := range t.document.Models {
		m := &t.document.Models[i]
		if lack := lacking(m, replicas[m.Name], reached, engines[m.Pool]); lack != "" {
			unfit = append(unfit, lack)
		}
	}
	return unfit
}

// lacking says what of a model found no room, or nothing.
func lacking(m *envdoc.Model, replicas int, reached map[envdoc.Slot]bool, engines int) string {
	if replicas == 0 {
		return fmt.Sprintf("model %s (%d MB) fits none of the %d engines of pool %s", m.Name, m.MemoryMB, engines, m.Pool)
	}
	for _, a := range m.Adapters {
		if !reached[envdoc.Slot{Model: m.Name, Adapter: a.Name}] {
			return fmt.Sprintf("adapter %s of model %s (%d MB) finds no room in pool %s", a.Name, m.Name, a.MemoryMB, m.Pool)
		}
	}
	if replicas < m.MinReplicas {
		return fmt.Sprintf("model %s finds room for %d of %d replicas in pool %s", m.Name, replicas, m.MinReplicas, m.Pool)
	}
	return ""
}
