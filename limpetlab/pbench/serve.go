package pbench

import "github.com/limpetlb/limpetlb/limpetd/place"

// flow is the demand for a model without an adapter or for one of its adapters,
// with the engines that can serve it.
type flow struct {
	model           int
	tokensPerSecond float64
	engines         []int
}

// serve distributes a step's requests over the engines that hold their model and
// adapter, and counts those that meet their expectation. On an engine with a load
// above maxGoodLoad, only the fraction that maxGoodLoad allows meets it.
func (dc *dataCentre) serve(rates []float64) {
	flows := dc.flows(rates)
	loads := make([]float64, len(dc.engines))
	shares := make([][]float64, len(flows))
	const rounds = 4
	for range rounds {
		for i, f := range flows {
			shares[i] = balance(f, loads, shares[i])
		}
	}
	dc.requests, dc.attained = 0, 0
	clear(dc.queued)
	for i, f := range flows {
		flowRequests := f.tokensPerSecond / tokensPerRequest * step.Seconds()
		attained := 0.0
		for j, e := range f.engines {
			share := shares[i][j]
			if loads[e] > maxGoodLoad*engineTokensPerSecond {
				share *= maxGoodLoad * engineTokensPerSecond / loads[e]
			}
			attained += share / tokensPerRequest * step.Seconds()
		}
		dc.requests += flowRequests
		dc.attained += attained
		dc.queued[f.model] += (flowRequests - attained) / step.Seconds() * queueSeconds
	}
}

// flows returns the demand of each model and adapter with the engines that can
// serve it.
func (dc *dataCentre) flows(rates []float64) []flow {
	var list []flow
	engines := dc.enginesBySlot()
	for k, m := range dc.doc.Models {
		modelEngines := engines[slotKey{m.Name, ""}]
		n := len(m.Adapters)
		tokensPerSecond := rates[k] * tokensPerRequest
		for _, a := range m.Adapters {
			share := tokensPerSecond * adapterShare / float64(n)
			list = append(list, flow{k, share, intersect(modelEngines, engines[slotKey{m.Name, a.Name}])})
		}
		if n > 0 {
			tokensPerSecond *= 1 - adapterShare
		}
		list = append(list, flow{k, tokensPerSecond, modelEngines})
	}
	return list
}

// slotKey identifies a model, or one of its adapters.
type slotKey struct{ model, adapter string }

// enginesBySlot returns the engines on which each model and adapter is resident.
func (dc *dataCentre) enginesBySlot() map[slotKey][]int {
	engines := map[slotKey][]int{}
	for i := range dc.engines {
		for _, o := range dc.engines[i].Slots {
			if o.State == place.Resident {
				k := slotKey{o.Slot.Model, o.Slot.Adapter}
				engines[k] = append(engines[k], i)
			}
		}
	}
	return engines
}

// intersect returns the elements of a that are also in b.
func intersect(a, b []int) []int {
	var list []int
	for _, x := range a {
		for _, y := range b {
			if x == y {
				list = append(list, x)
			}
		}
	}
	return list
}

// balance moves a flow to its least loaded engines and updates loads. It takes the
// flow's previous share of each engine, nil for none, and returns the new shares.
func balance(f flow, loads, previous []float64) []float64 {
	if len(f.engines) == 0 {
		return nil
	}
	for j, e := range f.engines {
		if previous != nil {
			loads[e] -= previous[j]
		}
	}
	shares := make([]float64, len(f.engines))
	const parts = 10
	for range parts {
		best := 0
		for j, e := range f.engines {
			if loads[e] < loads[f.engines[best]] {
				best = j
			}
		}
		shares[best] += f.tokensPerSecond / parts
		loads[f.engines[best]] += f.tokensPerSecond / parts
	}
	return shares
}
