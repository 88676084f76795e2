package envdoc

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
)

// position is the position of a model or adapter in the document, as indexes into
// Models and Adapters. adapter is -1 for a model.
type position struct {
	model   int
	adapter int
}

// buildIndex builds the index that Lookup uses.
func (d *Document) buildIndex() {
	d.index = map[string]position{}
	for i, m := range d.Models {
		d.index[m.Name] = position{model: i, adapter: -1}
		for j, a := range m.Adapters {
			d.index[a.Name] = position{model: i, adapter: j}
		}
	}
}

// Lookup finds a model or adapter by the name that callers use. For an adapter, the
// result includes the adapter's model. For a model, the adapter is nil.
func (d *Document) Lookup(name string) (*Model, *Adapter, bool) {
	if d.index == nil {
		return d.scan(name)
	}
	p, ok := d.index[name]
	if !ok {
		return nil, nil, false
	}
	m := &d.Models[p.model]
	if p.adapter < 0 {
		return m, nil, true
	}
	return m, &m.Adapters[p.adapter], true
}

// scan implements Lookup for a document without an index.
func (d *Document) scan(name string) (*Model, *Adapter, bool) {
	for i := range d.Models {
		m := &d.Models[i]
		if m.Name == name {
			return m, nil, true
		}
		for j := range m.Adapters {
			if m.Adapters[j].Name == name {
				return m, &m.Adapters[j], true
			}
		}
	}
	return nil, nil, false
}

// Slots returns all declared slots: each model, followed by its adapters.
func (d *Document) Slots() []Slot {
	var slots []Slot
	for i := range d.Models {
		m := &d.Models[i]
		slots = append(slots, m.Slot())
		for _, a := range m.Adapters {
			slots = append(slots, Slot{Model: m.Name, Adapter: a.Name, Version: a.Version})
		}
	}
	return slots
}

// Slot returns the slot of the model without an adapter.
func (m *Model) Slot() Slot {
	return Slot{Model: m.Name, Version: m.Version}
}

// Priority returns the priority with the given name.
func (d *Document) Priority(name string) (Priority, bool) {
	for _, p := range d.Priorities {
		if p.Name == name {
			return p, true
		}
	}
	return Priority{}, false
}

// Service returns the service with the given name.
func (d *Document) Service(name string) (*Service, bool) {
	for i := range d.Services {
		if d.Services[i].Name == name {
			return &d.Services[i], true
		}
	}
	return nil, false
}

// CallerByKey returns the caller with the given key. The duration of the search
// does not depend on which caller has the key.
func (d *Document) CallerByKey(key string) (*Caller, bool) {
	digest := KeyDigest(key)
	found := -1
	for i := range d.Callers {
		equal := subtle.ConstantTimeCompare([]byte(d.Callers[i].KeySHA256), []byte(digest))
		found = subtle.ConstantTimeSelect(equal, i, found)
	}
	if found < 0 {
		return nil, false
	}
	return &d.Callers[found], true
}

// KeyDigest returns the digest of a caller's key in the form of Caller.KeySHA256.
func KeyDigest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
