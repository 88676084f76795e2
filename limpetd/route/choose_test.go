package route

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/limpetlb/limpetlb/limpetd/engine"
	"github.com/limpetlb/limpetlb/limpetd/envdoc"
	_ "github.com/limpetlb/limpetlb/limpetd/seeds"
)

var testTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// testEngines returns engines in 7 data centres. Every engine holds m000; the models with an
// adapter are distributed over the engines in turn.
func testEngines(engines, models int) []Engine {
	list := make([]Engine, engines)
	for i := range list {
		vm := fmt.Sprintf("e%03d", i)
		slots := []envdoc.Slot{{Model: "m000", Version: "1"}}
		for m := i; m < max(models, engines); m += engines {
			slots = append(slots, envdoc.Slot{Model: fmt.Sprintf("m%03d", m%models), Adapter: "a", Version: "1"})
		}
		list[i] = Engine{
			VM: vm, Address: vm, DataCentre: fmt.Sprintf("dc%d", i%7), MeasuredAt: testTime, PromptRate: 8000,
			Report: engine.Report{VM: vm, Instance: "1", Running: i % 16, BatchLimit: 16, Slots: slots},
		}
	}
	return list
}

// ownWithRoom returns the state of n engines that have room for every class.
func ownWithRoom(n int) []LocalState {
	own := make([]LocalState, n)
	for i := range own {
		own[i].ClassesWithRoom, own[i].ClassesWithRoomAfterWait = 3, 3
	}
	return own
}

// longRequest returns a request with a long prompt, and a cache that holds its first half.
func longRequest() (*Request, Cache) {
	r := &Request{Model: "m000", Version: "1", PromptTokens: 4096, ExpectedBy: testTime.Add(time.Second)}
	cache := make(Cache)
	for i := range MaxBlocks {
		h := uint64(i+1) * 0x9e3779b97f4a7c15
		r.Prefixes = append(r.Prefixes, h)
		if i < MaxBlocks/2 {
			cache[h] = []string{"e007", "e014"}
		}
	}
	return r, cache
}

func TestChooseAllocatesNothing(t *testing.T) {
	r, cache := longRequest()
	v := NewView("dc0", testEngines(600, 900), cache, nil)
	require.Len(t, v.find(r).local, 86)
	own, hints := ownWithRoom(600), NewHints()
	hints.Sent(r.Prefixes, 21)
	random := rand.New(rand.NewPCG(1, 1))
	for _, options := range []ChoiceOptions{{Now: testTime}, {Now: testTime, Waited: true, Class: ClassDeferred}} {
		for _, room := range []int{int(ClassDeferred) + 1, 0} {
			for i := range own {
				own[i].ClassesWithRoom, own[i].ClassesWithRoomAfterWait = room, room
			}
			require.Zero(t, testing.AllocsPerRun(1000, func() {
				Choose(v, own, hints, r, options, random)
			}))
		}
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{12, 50, 150, 300, 600} {
		for _, full := range []bool{false, true} {
			b.Run(fmt.Sprintf("engines=%d/full=%v", n, full), func(b *testing.B) {
				r, cache := longRequest()
				v := NewView("dc0", testEngines(n, 900), cache, nil)
				own, hints := ownWithRoom(n), NewHints()
				if full {
					clear(own)
				}
				random := rand.New(rand.NewPCG(1, 1))
				b.ReportAllocs()
				for b.Loop() {
					Choose(v, own, hints, r, ChoiceOptions{Now: testTime}, random)
				}
			})
		}
	}
}

func BenchmarkNewView(b *testing.B) {
	list := testEngines(600, 900)
	v := NewView("dc0", list, nil, nil)
	b.ReportAllocs()
	for b.Loop() {
		v = NewView("dc0", append([]Engine(nil), list...), nil, v)
	}
}

// TestChooseIsAllowed checks each choice against the rules, with random views.
func TestChooseIsAllowed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 20).Draw(t, "engines")
		list := testEngines(n, 3)
		own := ownWithRoom(n)
		for i := range list {
			list[i].Health = Health(rapid.IntRange(0, 3).Draw(t, "health"))
			list[i].Report.Running = rapid.IntRange(0, 40).Draw(t, "running")
			own[i].ClassesWithRoom = rapid.IntRange(0, 3).Draw(t, "room")
			own[i].Ejected = rapid.Bool().Draw(t, "ejected")
		}
		class := Class(rapid.IntRange(0, 2).Draw(t, "class"))
		r := &Request{Model: "m000", Version: "1", PromptTokens: 100, ExpectedBy: testTime.Add(time.Second)}
		if rapid.Bool().Draw(t, "exclude") {
			r.Exclude = []string{"e000"}
		}
		v := NewView("dc0", list, nil, nil)
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		c, verdict := Choose(v, own, nil, r, ChoiceOptions{Class: class, Now: testTime}, random)
		usable, notEjected := 0, 0
		for i := range v.Engines {
			ok := allowed(v, own, r, class, i)
			usable += count(ok)
			notEjected += count(ok && !own[i].Ejected)
		}
		if verdict != VerdictChosen {
			require.Zero(t, notEjected)
			return
		}
		i := v.Number(c.VM)
		require.True(t, allowed(v, own, r, class, i))
		require.True(t, !own[i].Ejected || notEjected == 0)
		require.Equal(t, r.Model, c.Slot.Model)
	})
}

// allowed reports whether the rules allow an engine, whether it is ejected or not.
func allowed(v *View, own []LocalState, r *Request, class Class, i int) bool {
	fresh := 0
	for _, e := range v.Engines {
		fresh += count(e.Health == HealthFresh)
	}
	e := &v.Engines[i]
	live := e.Health == HealthFresh || e.Health == HealthStale && fresh == 0
	for _, vm := range r.Exclude {
		live = live && vm != e.VM
	}
	return live && own[i].ClassesWithRoom > int(class)
}

// count returns 1 for true and 0 for false.
func count(b bool) int {
	if b {
		return 1
	}
	return 0
}

func TestChooseVersion(t *testing.T) {
	list := testEngines(2, 1)
	list[0].Report.Slots = []envdoc.Slot{{Model: "m", Version: "old"}}
	list[1].Report.Slots = []envdoc.Slot{{Model: "m", Version: "new"}}
	v := NewView("dc0", list, nil, nil)
	random := rand.New(rand.NewPCG(1, 1))
	cases := []struct {
		version string
		pinned  bool
		vm      string
	}{
		{"new", false, "e001"},
		{"new", true, "e001"},
		{"old", true, "e000"},
		{"none", true, ""},
		{"none", false, "e000"},
	}
	for _, c := range cases {
		r := &Request{Model: "m", Version: c.version, VersionPinned: c.pinned}
		got, _ := Choose(v, ownWithRoom(2), nil, r, ChoiceOptions{Now: testTime}, random)
		require.Equal(t, c.vm, got.VM, "%+v", c)
	}
}

func TestChooseDataCentre(t *testing.T) {
	cases := []struct {
		name    string
		waiting int
		room    int
		vm      string
	}{
		{"local when idle", 0, 3, "e000"},
		{"remote when local endangers the expectation", 20000, 3, "e001"},
		{"remote when local is full", 0, 0, "e001"},
	}
	for _, c := range cases {
		list := testEngines(2, 1)
		list[0].Report.WaitingTokens = c.waiting
		own := ownWithRoom(2)
		own[0].ClassesWithRoom = c.room
		r := &Request{Model: "m000", Version: "1", PromptTokens: 100, ExpectedBy: testTime.Add(time.Second)}
		got, _ := Choose(NewView("dc0", list, nil, nil), own, nil, r, ChoiceOptions{Now: testTime}, rand.New(rand.NewPCG(1, 1)))
		require.Equal(t, c.vm, got.VM, c.name)
	}
}

func TestChoosePrefersCachedPrompt(t *testing.T) {
	r, cache := longRequest()
	list := testEngines(70, 1)
	for i := range list {
		list[i].DataCentre, list[i].Report.Running = "dc0", 0
	}
	random := rand.New(rand.NewPCG(1, 1))
	v := NewView("dc0", list, cache, nil)
	got, _ := Choose(v, ownWithRoom(70), nil, r, ChoiceOptions{Now: testTime}, random)
	require.Contains(t, []string{"e007", "e014"}, got.VM)
	require.Equal(t, MaxBlocks/2*BlockTokens, got.CachedTokens)
	hints := NewHints()
	hints.Sent(r.Prefixes, 3)
	got, _ = Choose(v, ownWithRoom(70), hints, r, ChoiceOptions{Now: testTime}, random)
	require.Equal(t, "e003", got.VM)
	hints.Drop(3)
	got, _ = Choose(v, ownWithRoom(70), hints, r, ChoiceOptions{Now: testTime}, random)
	require.NotEqual(t, "e003", got.VM)
}

func TestPrefixesOfCommonBeginningAreEqual(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		common := rapid.StringN(0, 2000, 4000).Draw(t, "common")
		a := Prefixes(common + rapid.StringN(0, 500, 1000).Draw(t, "a"))
		b := Prefixes(common + rapid.StringN(0, 500, 1000).Draw(t, "b"))
		same := min(len(common)/BlockBytes, MaxBlocks)
		require.GreaterOrEqual(t, len(a), same)
		require.GreaterOrEqual(t, len(b), same)
		require.Equal(t, a[:same], b[:same])
	})
}

func TestPrefixesDependOnTheFirstBlock(t *testing.T) {
	block := make([]byte, BlockBytes)
	a := Prefixes("x" + string(block) + string(block))
	b := Prefixes("y" + string(block) + string(block))
	require.Len(t, a, 2)
	require.NotEqual(t, a[0], b[0])
	require.NotEqual(t, a[1], b[1])
}

// TestChooseFindsTheOnlyEngine requires that the only engine that is not ejected is found, at
// each position of the list and for many random choices.
func TestChooseFindsTheOnlyEngine(t *testing.T) {
	const engines, choices = 12, 50
	r := &Request{Model: "m000", Version: "1", PromptTokens: 100, ExpectedBy: testTime.Add(time.Second)}
	v := NewView("dc0", testEngines(engines, 1), nil, nil)
	random := rand.New(rand.NewPCG(1, 1))
	for only := range engines {
		own := ownWithRoom(engines)
		for i := range own {
			own[i].Ejected = i != only
		}
		for range choices {
			c, verdict := Choose(v, own, nil, r, ChoiceOptions{Class: ClassUrgent, Now: testTime}, random)
			require.Equal(t, VerdictChosen, verdict)
			require.Equal(t, v.Engines[only].VM, c.VM)
		}
	}
}
