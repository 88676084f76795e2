package order

import (
	"slices"
	"strings"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/envdoc"
	"github.com/limpetlb/limpetlb/limpetd/place"
	"github.com/limpetlb/limpetlb/limpetd/store"
)

// remotes returns what the other data centres hold, from reports and answers, sorted by
// name.
func (l *loop) remotes(now time.Time) []place.Remote {
	var remotes []place.Remote
	slots := make(map[string]map[envdoc.Slot]bool)
	for _, v := range l.vms {
		if v.Kind != store.KindEngine || v.DataCentre == l.controller.config.DataCentre {
			continue
		}
		if slots[v.DataCentre] == nil {
			slots[v.DataCentre] = make(map[envdoc.Slot]bool)
			remotes = append(remotes, place.Remote{DataCentre: v.DataCentre})
		}
		if v.State != store.StateLive {
			continue
		}
		i := slices.IndexFunc(remotes, func(r place.Remote) bool { return r.DataCentre == v.DataCentre })
		remotes[i].Engines = append(remotes[i].Engines, place.EngineMemory{Pool: v.Pool, MemoryMB: v.MemoryMB})
		if !l.addReportedSlots(slots[v.DataCentre], v.ID, now) {
			remotes[i].Incomplete = true
		}
	}
	for i := range remotes {
		r := &remotes[i]
		models, whole := place.HeldModels(l.document, slots[r.DataCentre])
		r.Models, r.WithAdapters = l.modelNames(models), l.modelNames(whole)
	}
	l.addRemoteAnswers(remotes, now)
	for i := range remotes {
		r := &remotes[i]
		slices.Sort(r.Models)
		slices.Sort(r.WithAdapters)
		r.Models, r.WithAdapters = slices.Compact(r.Models), slices.Compact(r.WithAdapters)
	}
	slices.SortFunc(remotes, func(a, b place.Remote) int { return strings.Compare(a.DataCentre, b.DataCentre) })
	return remotes
}

// modelNames returns the names of the marked models of the document.
func (l *loop) modelNames(marked []bool) []string {
	var names []string
	for i, ok := range marked {
		if ok {
			names = append(names, l.document.Models[i].Name)
		}
	}
	return names
}

// addReportedSlots adds the slots of an engine. It returns false if the engine has no
// recent report.
func (l *loop) addReportedSlots(slots map[envdoc.Slot]bool, vm string, now time.Time) bool {
	report, measured, ok := l.controller.deps.Reports.Report(vm)
	if !ok || now.Sub(measured) > MaxReportAge {
		return false
	}
	for _, s := range report.Slots {
		slots[envdoc.Slot{Model: s.Model, Adapter: s.Adapter}] = true
	}
	return true
}

// addRemoteAnswers adds the answers of data centres whose engine reports do not reach
// this daemon.
func (l *loop) addRemoteAnswers(remotes []place.Remote, now time.Time) {
	if l.controller.deps.Remotes == nil {
		return
	}
	for _, answer := range l.controller.deps.Remotes.Remotes() {
		i := slices.IndexFunc(remotes, func(r place.Remote) bool { return r.DataCentre == answer.DataCentre })
		if i < 0 {
			continue
		}
		r := &remotes[i]
		r.QueriedAt, r.Incomplete = answer.QueriedAt, true
		if now.Sub(answer.QueriedAt) <= MaxRemoteAnswerAge {
			r.Incomplete = answer.Incomplete
			r.Models = append(r.Models, answer.Models...)
			r.WithAdapters = append(r.WithAdapters, answer.WithAdapters...)
		}
	}
}
