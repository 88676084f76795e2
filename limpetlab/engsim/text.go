package engsim

import (
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/limpetlb/limpetlb/limpetd/envdoc"
	"github.com/limpetlb/limpetlb/limpetd/route"
)

// Form of the generated text.
const (
	tokenBytes  = 5
	shortest    = 16
	lengths     = 240
	letters     = "abcdefghijklmnopqrstuvwxyz234567"
	letterBits  = 5
	splitMix    = 0x9e3779b97f4a7c15
	mixShift    = 29
	mixMultiply = 0xbf58476d1ce4e5b9
)

// Reasons for the end of an answer.
const (
	reasonStop   = "stop"
	reasonLength = "length"
)

// base is the hash that all tokens of an answer derive from.
func base(s envdoc.Slot, prompt string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(s.String())
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(prompt)
	return d.Sum64()
}

// appendToken appends the token with an index to dst.
func appendToken(dst []byte, base uint64, index int) []byte {
	h := base + uint64(index+1)*splitMix
	h ^= h >> mixShift
	h *= mixMultiply
	h ^= h >> mixShift
	for range tokenBytes - 1 {
		dst = append(dst, letters[h&(1<<letterBits-1)])
		h >>= letterBits
	}
	return append(dst, ' ')
}

// text returns the tokens from index from up to index to.
func text(base uint64, from, to int) string {
	dst := make([]byte, 0, (to-from)*tokenBytes)
	for i := from; i < to; i++ {
		dst = appendToken(dst, base, i)
	}
	return string(dst)
}

// length returns the number of tokens of an answer and why it ends there.
func length(base uint64, limit int) (int, string) {
	natural := shortest + int(base%lengths)
	if limit > 0 && limit < natural {
		return limit, reasonLength
	}
	return natural, reasonStop
}

// Answer returns the whole answer of a slot to a prompt, with its number of
// tokens.
func Answer(s envdoc.Slot, prompt string, maxTokens int) (string, int) {
	b := base(s, prompt)
	n, _ := length(b, maxTokens)
	return text(b, 0, n), n
}

// Matches tells whether got is the whole answer of any of the slots.
func Matches(got, prompt string, maxTokens int, slots ...envdoc.Slot) bool {
	for _, s := range slots {
		want, _ := Answer(s, prompt, maxTokens)
		if strings.TrimSpace(got) == strings.TrimSpace(want) {
			return true
		}
	}
	return false
}

// promptTokens returns the number of tokens of a prompt.
func promptTokens(prompt string) int {
	const tokenLength = route.BlockBytes / route.BlockTokens
	return (len(prompt) + tokenLength - 1) / tokenLength
}
