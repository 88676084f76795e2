package layout

import (
	"crypto/rand"
	"crypto/sha256"
)

// Unit is what the limit of an organisation counts.
type Unit int

// The units.
const (
	// Calls counts each call as one.
	Calls Unit = iota
	// Tokens counts a call as its prompt tokens plus its output tokens.
	Tokens
)

// Quota limits the calls of an organisation over all daemons.
type Quota struct {
	// PerSecond is the number of units a second, and Burst how many units may be used beyond it
	// after a pause; both in Unit. There is no limit if PerSecond is 0.
	PerSecond, Burst float64
	Unit             Unit
	// PlainTokens is the number of tokens of a call that states none.
	PlainTokens float64
	// Invalid is whether the configured values are out of range. PerSecond is then so low that no call is within
	// the quota.
	Invalid bool
}

// Limited reports whether the quota has a limit.
func (q Quota) Limited() bool { return q.PerSecond > 0 }

// Charge returns the number of units that a call counts as. promptTokens and outputTokens are 0 if the
// call states none.
func (q Quota) Charge(promptTokens, outputTokens int) float64 {
	switch {
	case q.Unit != Tokens:
		return 1
	case promptTokens+outputTokens == 0:
		return q.PlainTokens
	}
	return float64(promptTokens) + float64(outputTokens)
}

// Organisation is a group of callers that share keys, a priority and a quota.
type Organisation struct {
	Name string
	// Priority replaces the priority of the route if HasPriority is set.
	Priority    int
	HasPriority bool
	Quota       Quota
}

// maxShortKey is the length of the keys that are hashed without allocation.
const maxShortKey = 512

// KeyHash is the keyed hash of an organisation's key. Only this process can compute it.
type KeyHash [16]byte

// keySecret makes the hashes of keys useless outside of the process, so that a dump of the index
// does not help to guess keys.
var keySecret = func() [sha256.Size]byte {
	var secret [sha256.Size]byte
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
	var buffer [sha256.Size + maxShortKey]byte
	text := buffer[:0]
	if len(key) > maxShortKey {
		text = make([]byte, 0, sha256.Size+len(key))
	}
	sum := sha256.Sum256(append(append(text, keySecret[:]...), key...))
	copy(hash[:], sum[:])
	return hash, true
}

// KeyIndex finds the organisation of a key. It keeps hashes of the keys, not the keys. It is immutable
// once it is part of a Config.
type KeyIndex struct {
	organisations map[KeyHash]*Organisation
}

// NewKeyIndex returns an empty index with room for a number of keys.
func NewKeyIndex(keys int) *KeyIndex {
	return &KeyIndex{organisations: make(map[KeyHash]*Organisation, keys)}
}

// Add adds a key of an organisation. It returns false for a key that can't be used: it is empty or
// belongs to another organisation, which keeps it.
func (i *KeyIndex) Add(key string, o *Organisation) bool {
	hash, ok := HashKey(key)
	if !ok {
		return false
	}
	if owner := i.organisations[hash]; owner != nil && owner != o {
		return false
	}
	i.organisations[hash] = o
	return true
}

// Match returns the organisation of a key, or nil if no organisation has the key.
func (i *KeyIndex) Match(hash KeyHash) *Organisation { return i.organisations[hash] }

// Len returns the number of keys.
func (i *KeyIndex) Len() int { return len(i.organisations) }
