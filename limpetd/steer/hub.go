package steer

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/mirror"
)

const (
	// outboxWords is how many words wait for a daemon. One that takes none for that
	// long is cut off: it opens a new link and gets everything anew.
	outboxWords = 8
	// wordDelay is how long a word may wait: a daemon takes what it is told for fresh.
	wordDelay = 500 * time.Millisecond
)

// hub sends words to the linked daemons. A word to all is encoded once.
type hub struct {
	tables []*mirror.Follower

	mu    sync.Mutex
	links map[*outbox]bool
	// sent are the versions of tables up to the last word to all.
	sent map[string]int64
	// adapters and closing are those of the last word to all.
	adapters, closing map[string][]string
}

// outbox holds the words for one daemon.
type outbox struct {
	next chan parcel
	// wants are the slots that calls of the daemon wait for.
	wants map[slot]bool
	// behind tells that the daemon has not got everything yet.
	behind bool
	// versions are those of its tables when the link was opened.
	versions map[string]int64
	full     bool
}

func newHub(tables []*mirror.Follower) *hub {
	return &hub{tables: tables, links: map[*outbox]bool{}, sent: map[string]int64{}}
}

// join adds a daemon with its versions of the tables; it gets everything with the next
// word.
func (h *hub) join(versions map[string]int64) *outbox {
	o := &outbox{next: make(chan parcel, outboxWords), wants: map[slot]bool{}, behind: true, versions: versions}
	h.mu.Lock()
	h.links[o] = true
	h.mu.Unlock()
	return o
}

// linked returns the number of linked daemons.
func (h *hub) linked() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.links)
}

func (h *hub) leave(o *outbox) {
	h.mu.Lock()
	delete(h.links, o)
	h.mu.Unlock()
}

// heard notes what calls of a daemon wait for.
func (h *hub) heard(o *outbox, t *told) {
	h.mu.Lock()
	defer h.mu.Unlock()
	clear(o.wants)
	for i, n := range t.Waiting {
		if n > 0 {
			o.wants[t.Slots[i]] = true
		}
	}
}

// arrived tells daemons whose calls wait for new adapters of an engine at once; adapters
// are all that the engine holds.
func (h *hub) arrived(engine string, adapters []string, slots []slot, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	w := word{Adapters: map[string][]string{engine: adapters}}
	for o := range h.links {
		if !o.behind && slices.ContainsFunc(slots, func(s slot) bool { return o.wants[s] }) {
			o.put(w, now)
		}
	}
}

// parcel is a message and when it was written.
type parcel struct {
	message any
	at      time.Time
}

func (o *outbox) put(message any, now time.Time) {
	select {
	case o.next <- parcel{message, now}:
	default:
		o.full = true
	}
}

// cut tells whether words for a daemon were lost.
func (h *hub) cut(o *outbox) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return o.full
}

// flush sends a word with all changes since the last one.
func (h *hub) flush(adapters, closing map[string][]string, encode func(word) (encoded, error), now time.Time) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	w := word{Adapters: changed(h.adapters, adapters), Closing: changed(h.closing, closing)}
	next := maps.Clone(h.sent)
	for _, f := range h.tables {
		if u, ok := f.Since(h.sent[f.Name()], now); ok {
			w.Tables = append(w.Tables, u)
			next[f.Name()] = u.To
		} else if version := f.Version(); version > 0 {
			// Daemons whose tables fall behind follow the store themselves.
			next[f.Name()] = version
		}
	}
	raw, err := encode(w)
	if err != nil {
		return err
	}
	h.sent, h.adapters, h.closing = next, maps.Clone(adapters), maps.Clone(closing)
	for o := range h.links {
		if !o.behind {
			o.put(raw, now)
			continue
		}
		o.behind = false
		all := word{Whole: true, Adapters: adapters, Closing: closing}
		for _, f := range h.tables {
			if u, ok := f.Since(o.versions[f.Name()], now); ok {
				all.Tables = append(all.Tables, u)
			}
		}
		first, err := encode(all)
		if err != nil {
			return err
		}
		o.put(first, now)
	}
	return nil
}

// changed returns the entries of now that are not the same in before, and empty ones
// for those that are gone.
func changed(before, now map[string][]string) map[string][]string {
	out := map[string][]string{}
	for key, list := range now {
		if old, ok := before[key]; !ok || !slices.Equal(old, list) {
			out[key] = list
		}
	}
	for key := range before {
		if _, ok := now[key]; !ok {
			out[key] = nil
		}
	}
	return out
}
