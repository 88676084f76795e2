package reach

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/envdoc"
)

const (
	// wishTime is how long a slot is asked for after it was wanted last.
	wishTime = 2 * time.Second
	// keepTime is how long it is remembered when a slot was asked for.
	keepTime = 10 * time.Second
	// firstWait is how long a slot counts as sought that could not be asked for
	// yet.
	firstWait = 2 * time.Second
	// foundPeriod is the time between two questions for a slot to a data centre
	// that held it, missedPeriod to another one. A part of jitterShare is added
	// at random.
	foundPeriod  = 2 * time.Second
	missedPeriod = 4 * time.Second
	jitterShare  = 4
	// maxWishes is the number of slots that are remembered; beyond it further
	// ones are not sought. maxSlots is the number of slots in a question.
	maxWishes = 512
	maxSlots  = 16
)

// wish is a slot that is looked for.
type wish struct {
	begun, wanted time.Time
	// open is the number of questions in flight, asked tells that there was one.
	open  int
	asked bool
	// due is when a data centre may be asked next.
	due map[string]time.Time
}

// question asks a data centre for slots.
type question struct {
	centre string
	slots  []envdoc.Slot
}

// book decides which data centre is asked for which slots and when. It is pure:
// it starts nothing and asks no clock.
type book struct {
	random *rand.Rand
	wishes map[envdoc.Slot]*wish
	// busy are the data centres with a question in flight.
	busy map[string]bool
}

func newBook(random *rand.Rand) *book {
	return &book{random: random, wishes: make(map[envdoc.Slot]*wish), busy: make(map[string]bool)}
}

// want notes that slots are looked for, and tells whether all are remembered.
func (b *book) want(now time.Time, slots []envdoc.Slot) bool {
	all := true
	for _, slot := range slots {
		w := b.wishes[slot]
		if w == nil && len(b.wishes) >= maxWishes {
			all = false
			continue
		}
		if w == nil {
			w = &wish{begun: now, due: make(map[string]time.Time)}
			b.wishes[slot] = w
		}
		w.wanted = now
	}
	return all
}

// next returns the questions that are due, at most one to a data centre that is
// not being asked, for at most allowed slots in all.
func (b *book) next(now time.Time, centres []string, allowed int) []question {
	b.forget(now)
	var questions []question
	for _, i := range b.random.Perm(len(centres)) {
		centre := centres[i]
		if b.busy[centre] || allowed <= 0 {
			continue
		}
		slots := b.due(now, centre, min(allowed, maxSlots))
		if len(slots) == 0 {
			continue
		}
		allowed -= len(slots)
		b.busy[centre] = true
		questions = append(questions, question{centre: centre, slots: slots})
	}
	return questions
}

// due returns up to limit slots that a data centre is to be asked for, those
// first that wait longest, and marks them as asked for.
func (b *book) due(now time.Time, centre string, limit int) []envdoc.Slot {
	var slots []envdoc.Slot
	for slot, w := range b.wishes {
		if now.Sub(w.wanted) <= wishTime && !now.Before(w.due[centre]) {
			slots = append(slots, slot)
		}
	}
	slices.SortFunc(slots, func(a, c envdoc.Slot) int {
		if order := b.wishes[a].due[centre].Compare(b.wishes[c].due[centre]); order != 0 {
			return order
		}
		return strings.Compare(a.String(), c.String())
	})
	slots = slots[:min(len(slots), max(limit, 0))]
	for _, slot := range slots {
		w := b.wishes[slot]
		w.asked = true
		w.open++
		w.due[centre] = now.Add(b.jitter(missedPeriod))
	}
	return slots
}

// jitter returns a period with a random part added.
func (b *book) jitter(period time.Duration) time.Duration {
	return period + time.Duration(b.random.Int64N(int64(period/jitterShare)))
}

// done notes the end of a question, with the slots that it found.
func (b *book) done(now time.Time, q question, found map[envdoc.Slot]bool) {
	delete(b.busy, q.centre)
	for _, slot := range q.slots {
		w := b.wishes[slot]
		if w == nil {
			continue
		}
		w.open--
		if found[slot] {
			w.due[q.centre] = now.Add(b.jitter(foundPeriod))
		}
	}
}

// sought returns the slots for which an answer is awaited.
func (b *book) sought(now time.Time) map[envdoc.Slot]bool {
	var slots map[envdoc.Slot]bool
	for slot, w := range b.wishes {
		if w.open == 0 && (w.asked || now.Sub(w.begun) > firstWait) {
			continue
		}
		if slots == nil {
			slots = make(map[envdoc.Slot]bool)
		}
		slots[slot] = true
	}
	return slots
}

// forget drops the slots that nobody has wanted for a while.
func (b *book) forget(now time.Time) {
	for slot, w := range b.wishes {
		if w.open == 0 && now.Sub(w.wanted) > keepTime {
			delete(b.wishes, slot)
		}
	}
}
