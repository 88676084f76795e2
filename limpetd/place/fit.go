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

// maxTrialSteps limits the plans that a trial makes in each data centre.
const maxTrialSteps = 100

// Fit checks that planners that start with empty engines place all declared models and
// adapters, each model with its minimum of replicas over all data centres. If not, it
// returns an error with code DocumentUnfit that names the models and adapters that
// don't fit.
func Fit(doc *envdoc.Document, vms []store.VM) error {
	t := newTrial(doc, vms)
	t.run()
	unfit := t.unfit()
	if len(unfit) == 0 {
		return nil
	}
	return code.Errorf(code.DocumentUnfit, "%s", strings.Join(unfit, "; "))
}

// trial simulates the placement of a document by the planners of all data centres. The
// moves take no time, and each planner receives the state of the others at once.
type trial struct {
	document *envdoc.Document
	centres  []Input
	planners []*Planner
	now      time.Time
}

// newTrial returns a trial with the engines of a VM list, all empty.
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
			t.centres = append(t.centres, Input{Document: doc, DataCentre: v.DataCentre})
			t.planners = append(t.planners, NewPlanner())
		}
		f := &t.centres[len(t.centres)-1]
		f.Engines = append(f.Engines, Engine{VM: v.ID, Pool: v.Pool, MemoryMB: v.MemoryMB, Usable: true})
	}
	return t
}

// run makes plans until everything is placed, or until no data centre has made a move
// for so many steps that each has had its turn.
func (t *trial) run() {
	idle := 0
	for range maxTrialSteps {
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

// step makes and applies a plan in each data centre. It reports whether any plan had
// moves.
func (t *trial) step() bool {
	t.now = t.now.Add(turnInterval)
	remotes := make([]Remote, len(t.centres))
	for i := range t.centres {
		remotes[i] = t.centres[i].asRemote()
	}
	moved := false
	for i := range t.centres {
		f := &t.centres[i]
		f.Now = t.now
		f.Remotes = slices.Delete(slices.Clone(remotes), i, i+1)
		plan := t.planners[i].Plan(*f)
		f.apply(plan)
		moved = moved || len(plan.Moves) > 0
	}
	return moved
}

// asRemote returns the Remote that describes this data centre to the others.
func (f *Input) asRemote() Remote {
	r := Remote{DataCentre: f.DataCentre, QueriedAt: f.Now}
	for i := range f.Engines {
		r.Engines = append(r.Engines, EngineMemory{f.Engines[i].Pool, f.Engines[i].MemoryMB})
	}
	models, complete := HeldModels(f.Document, f.residentSlots())
	for i, m := range f.Document.Models {
		if models[i] {
			r.Models = append(r.Models, m.Name)
		}
		if complete[i] {
			r.WithAdapters = append(r.WithAdapters, m.Name)
		}
	}
	slices.Sort(r.Models)
	slices.Sort(r.WithAdapters)
	return r
}

// residentSlots returns the resident slots, without versions.
func (f *Input) residentSlots() map[envdoc.Slot]bool {
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

// apply applies the moves of a plan at once.
func (f *Input) apply(plan Plan) {
	engines := make(map[string]*Engine, len(f.Engines))
	for i := range f.Engines {
		engines[f.Engines[i].VM] = &f.Engines[i]
	}
	for _, m := range plan.Moves {
		e := engines[m.Engine]
		if m.Kind == Load {
			e.Slots = append(e.Slots, ChargedSlot{Slot: m.Slot, MemoryMB: m.MemoryMB, State: Resident, ChargedAt: f.Now})
			continue
		}
		e.Slots = slices.DeleteFunc(e.Slots, func(s ChargedSlot) bool { return s.Slot == m.Slot })
	}
}

// unfit returns a message for each declared model that is not fully placed.
func (t *trial) unfit() []string {
	replicas, placed := map[string]int{}, map[envdoc.Slot]bool{}
	engines := map[string]int{}
	for i := range t.centres {
		for s := range t.centres[i].residentSlots() {
			placed[s] = true
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
		if message := describeUnfit(m, replicas[m.Name], placed, engines[m.Pool]); message != "" {
			unfit = append(unfit, message)
		}
	}
	return unfit
}

// describeUnfit describes what of a model is not placed, or returns an empty string.
func describeUnfit(m *envdoc.Model, replicas int, placed map[envdoc.Slot]bool, engines int) string {
	if replicas == 0 {
		return fmt.Sprintf("model %s (%d MB) fits on none of the %d engines of pool %s", m.Name, m.MemoryMB, engines, m.Pool)
	}
	for _, a := range m.Adapters {
		if !placed[envdoc.Slot{Model: m.Name, Adapter: a.Name}] {
			return fmt.Sprintf("adapter %s of model %s (%d MB) fits on no engine of pool %s beside its model", a.Name, m.Name, a.MemoryMB, m.Pool)
		}
	}
	if replicas < m.MinReplicas {
		return fmt.Sprintf("model %s fits with only %d of %d replicas in pool %s", m.Name, replicas, m.MinReplicas, m.Pool)
	}
	return ""
}
