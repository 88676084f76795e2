package admit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/route"
)

// benchState returns a state with a number of engines, of which at most 86 are in the
// data centre of the daemon.
func benchState(engines int) (*State, []route.Engine) {
	list := make([]route.Engine, engines)
	for i := range list {
		list[i] = testEngine(fmt.Sprintf("e%03d", i), testTime, 16)
		if i >= 86 {
			list[i].DataCentre = "b"
		}
	}
	s := NewState("d", rand.New(rand.NewPCG(1, 1)))
	s.SetDaemons(360)
	s.SetView(testTime, route.NewView("a", list, nil, nil))
	return s, list
}

func BenchmarkOffer(b *testing.B) {
	for _, engines := range []int{12, 600} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			s, _ := benchState(engines)
			now := testTime
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Millisecond)
				c := s.Offer(now, request(now, "live", 0, time.Second))
				s.FirstToken(now, c)
				s.Release(now, c, OutcomeAnswered)
			}
		})
	}
}

func BenchmarkSetView(b *testing.B) {
	for _, engines := range []int{12, 600} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			s, list := benchState(engines)
			b.ReportAllocs()
			for b.Loop() {
				s.SetView(testTime, route.NewView("a", append([]route.Engine(nil), list...), nil, s.view))
			}
		})
	}
}
