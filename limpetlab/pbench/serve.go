package pbench

import "github.com/limpetlb/limpetlb/limpetd/place"

// flow is the demand for a model, or for one of its adapters, with the engines
// that can take it.
type flow struct {
	model   int
	tokens  float64
	engines []int
}

// serve routes a step's requests to the engines that hold their model and
// adapter and counts those that meet their expectation: all on an engine up to
// goodLoad, and of an engine with more what goodLoad allows.
func (s *site) serve(rates []float64) {
	flows := s.flows(rates)
	loads := make([]float64, len(s.engines))
	shares := make([][]float64, len(flows))
	const rounds = 4
	for range rounds {
		for i, f := range flows {
			shares[i] = balance(f, loads, shares[i])
		}
	}
	s.asked, s.met = 0, 0
	clear(s.queued)
	for i, f := range flows {
		requests := f.tokens / requestTokens * step.Seconds()
		met := 0.0
		for j, e := range f.engines {
			part := shares[i][j]
			if loads[e] > goodLoad*engineTokens {
				part *= goodLoad * engineTokens / loads[e]
			}
			met += part / requestTokens * step.Seconds()
		}
		s.asked += requests
		s.met += met
		s.queued[f.model] += (requests - met) / step.Seconds() * queueTime
	}
}

// flows lists the demand with the engines that can take it.
func (s *site) flows(rates []float64) []flow {
	var list []flow
	held := s.hosts()
	for k, m := range s.doc.Models {
		hosts := held[hostKey{m.Name, ""}]
		n := len(m.Adapters)
		own := rates[k] * requestTokens
		for _, a := range m.Adapters {
			part := own * adapterShare / float64(n)
			list = append(list, flow{k, part, both(hosts, held[hostKey{m.Name, a.Name}])})
		}
		if n > 0 {
			own *= 1 - adapterShare
		}
		list = append(list, flow{k, own, hosts})
	}
	return list
}

// hostKey names a model or an adapter.
type hostKey struct{ model, adapter string }

// hosts lists the engines that hold each model and adapter.
func (s *site) hosts() map[hostKey][]int {
	held := map[hostKey][]int{}
	for i := range s.engines {
		for _, o := range s.engines[i].Slots {
			if o.State == place.Resident {
				k := hostKey{o.Slot.Model, o.Slot.Adapter}
				held[k] = append(held[k], i)
			}
		}
	}
	return held
}

// both returns what is in a and in b.
func both(a, b []int) []int {
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

// balance moves a flow to its least loaded engines and returns the new shares.
func balance(f flow, loads, old []float64) []float64 {
	if len(f.engines) == 0 {
		return nil
	}
	for j, e := range f.engines {
		if old != nil {
			loads[e] -= old[j]
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
		shares[best] += f.tokens / parts
		loads[f.engines[best]] += f.tokens / parts
	}
	return shares
}
