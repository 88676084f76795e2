package layout

import (
	"crypto/rand"
	"crypto/sha256"
	"hash/maphash"
	"maps"
	"math/bits"
	"slices"
)

// maxShortKey is the length of the keys that are hashed without allocation.
const maxShortKey = 512

// KeyHash is the keyed hash of an organisation's key. Only this process can compute it.
type KeyHash [16]byte

// secretSize is the size of the secret of the hashes. With keys of up to 39 bytes, the secret and the key are one block
// of SHA-256.
const secretSize = 16

// keySecret makes the hashes of keys useless outside of the process, so that a dump of the index
// does not help to guess keys.
var keySecret = func() [secretSize]byte {
	var secret [secretSize]byte
	// Read never returns an error.
	_, _ = rand.Read(secret[:])
	return secret
}()

// HashKey returns the hash of a key. Only the hashes of keys are compared, so that the time of a look-up
// says nothing about keys. ok is false for an empty key.
func HashKey(key string) (hash KeyHash, ok bool) {
	if key == "" {
		return hash, false
	}
	var buffer [secretSize + maxShortKey]byte
	text := buffer[:0]
	if len(key) > maxShortKey {
		text = make([]byte, 0, secretSize+len(key))
	}
	sum := sha256.Sum256(append(append(text, keySecret[:]...), key...))
	copy(hash[:], sum[:])
	return hash, true
}

// shards is the number of parts of an index. A changed key copies one part.
const shards = 256

// KeyIndex finds the organisation of a key. It keeps hashes of the keys, not the keys. It is immutable
// once it is part of a Config.
type KeyIndex struct {
	// slots holds the slots of organisations by the hashes of their keys, in parts by the first byte of the hash.
	slots [shards]map[KeyHash]uint32
	// organisations are the organisations by slot; nil for a slot that is free.
	organisations []*Organisation
	keys          int
	// lists are the keys that Update added, by the name of their organisation; nil if the next Update must add all
	// keys again.
	lists map[string]*hashedKeys
	// shared are pairs of organisations that list the same key, the one that has it first.
	shared map[[2]string]bool
}

// hashedKeys are the keys of an organisation.
type hashedKeys struct {
	slot uint32
	// digest identifies the keys, so that those that did not change are not hashed again.
	digest uint64
	hashes []KeyHash
}

// KeyList is an organisation with its keys.
type KeyList struct {
	Organisation *Organisation
	Keys         []string
}

// NewKeyIndex returns an empty index with room for a number of keys.
func NewKeyIndex(keys int) *KeyIndex {
	i := &KeyIndex{}
	for s := range i.slots {
		i.slots[s] = make(map[KeyHash]uint32, keys/shards)
	}
	return i
}

// Add adds a key of an organisation. It returns false for a key that can't be used: it is empty or
// belongs to another organisation, which keeps it.
func (i *KeyIndex) Add(key string, o *Organisation) bool {
	hash, ok := HashKey(key)
	if !ok {
		return false
	}
	if owner := i.Match(hash); owner != nil {
		return owner == o
	}
	if n := len(i.organisations); n == 0 || i.organisations[n-1] != o {
		i.organisations = append(i.organisations, o)
	}
	i.slots[hash[0]][hash] = uint32(len(i.organisations) - 1)
	i.keys++
	return true
}

// Match returns the organisation of a key, or nil if no organisation has the key.
func (i *KeyIndex) Match(hash KeyHash) *Organisation {
	if slot, ok := i.slots[hash[0]][hash]; ok {
		return i.organisations[slot]
	}
	return nil
}

// Len returns the number of keys.
func (i *KeyIndex) Len() int { return i.keys }

// Shared returns the pairs of organisations that list the same key, the one that has it first.
func (i *KeyIndex) Shared() [][2]string {
	return slices.SortedFunc(maps.Keys(i.shared), func(a, b [2]string) int { return slices.Compare(a[:], b[:]) })
}

// Missing returns the number of keys that another index does not have.
func (i *KeyIndex) Missing(other *KeyIndex) int {
	n := 0
	for _, part := range i.slots {
		for hash := range part {
			if other.Match(hash) == nil {
				n++
			}
		}
	}
	return n
}

// Update returns an index of the lists as if their keys were added in order. It hashes only the keys of organisations
// whose keys are not those of i, which may be nil, and does not change i.
func (i *KeyIndex) Update(lists []KeyList) *KeyIndex {
	if i == nil || i.lists == nil {
		return rebuild(lists)
	}
	u := &keyUpdate{index: &KeyIndex{slots: i.slots, organisations: make([]*Organisation, len(i.organisations)), keys: i.keys, lists: make(map[string]*hashedKeys, len(lists))}}
	var changed []KeyList
	for _, l := range lists {
		name := l.Organisation.Name
		if _, ok := u.index.lists[name]; ok {
			return rebuild(lists)
		}
		old, ok := i.lists[name]
		if ok && old.digest == digest(l.Keys) {
			u.index.lists[name] = old
			u.index.organisations[old.slot] = l.Organisation
			continue
		}
		u.index.lists[name] = nil
		changed = append(changed, l)
	}
	for name, old := range i.lists {
		if u.index.lists[name] == nil {
			u.remove(old)
		}
	}
	for _, l := range changed {
		if !u.add(l) {
			// The organisation that comes first keeps the key.
			return rebuild(lists)
		}
	}
	return u.index
}

// rebuild returns an index of the lists that reuses nothing. If several organisations have a key or a name, the next
// Update reuses nothing either, because another of them may then get the key.
func rebuild(lists []KeyList) *KeyIndex {
	keys := 0
	for _, l := range lists {
		keys += len(l.Keys)
	}
	u := &keyUpdate{index: NewKeyIndex(keys)}
	u.index.lists = make(map[string]*hashedKeys, len(lists))
	for s := range u.copied {
		u.copied[s] = true
	}
	unique := true
	for _, l := range lists {
		_, twice := u.index.lists[l.Organisation.Name]
		unique = u.add(l) && !twice && unique
	}
	if !unique {
		u.index.lists = nil
	}
	return u.index
}

// keyUpdate is an index that is being made. copied are the parts that no other index has, free the slots without an
// organisation.
type keyUpdate struct {
	index  *KeyIndex
	copied [shards]bool
	free   []uint32
}

// add adds the keys of an organisation. It returns false if another organisation has one of them, and keeps it.
func (u *keyUpdate) add(l KeyList) bool {
	i := u.index
	list := &hashedKeys{slot: uint32(len(i.organisations)), digest: digest(l.Keys), hashes: make([]KeyHash, 0, len(l.Keys))}
	if n := len(u.free); n > 0 {
		list.slot, u.free = u.free[n-1], u.free[:n-1]
		i.organisations[list.slot] = l.Organisation
	} else {
		i.organisations = append(i.organisations, l.Organisation)
	}
	unique := true
	for _, key := range l.Keys {
		hash, ok := HashKey(key)
		if !ok {
			continue
		}
		if owner, ok := i.slots[hash[0]][hash]; ok {
			if owner != list.slot {
				unique = false
				if i.shared == nil {
					i.shared = map[[2]string]bool{}
				}
				i.shared[[2]string{i.organisations[owner].Name, l.Organisation.Name}] = true
			}
			continue
		}
		u.part(hash)[hash] = list.slot
		list.hashes = append(list.hashes, hash)
		i.keys++
	}
	i.lists[l.Organisation.Name] = list
	return unique
}

// remove removes the keys of an organisation.
func (u *keyUpdate) remove(list *hashedKeys) {
	u.free = append(u.free, list.slot)
	for _, hash := range list.hashes {
		delete(u.part(hash), hash)
	}
	u.index.keys -= len(list.hashes)
}

// part returns the part of the index for a hash, which is copied first if another index has it.
func (u *keyUpdate) part(hash KeyHash) map[KeyHash]uint32 {
	s := hash[0]
	if !u.copied[s] {
		u.copied[s] = true
		u.index.slots[s] = maps.Clone(u.index.slots[s])
	}
	return u.index.slots[s]
}

var digestSeed = maphash.MakeSeed()

// digestFactor is odd, so that the digest depends on the order of keys and loses nothing of the keys before.
const digestFactor = 0x9e3779b97f4a7c15

// digest returns a hash of a list of keys, by which a change of the list is noticed. Its seed is random, so that nobody
// can choose keys whose change is not noticed.
func digest(keys []string) uint64 {
	h := uint64(len(keys))
	for _, key := range keys {
		h = bits.RotateLeft64(h, 7)*digestFactor ^ maphash.String(digestSeed, key)
	}
	return h
}
