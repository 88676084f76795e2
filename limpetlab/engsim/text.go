package engsim

import (
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/limpetlb/limpetlb/limpetd/envdoc"
	"github.com/limpetlb/limpetlb/limpetd/route"
)

// Format of the generated text. A token consists of tokenBytes-1 letters of
// alphabet, alphabetBits of the mixed hash each, and a space. An answer without
// a token limit has one of answerLengths different lengths, from
// minAnswerTokens on. The mix constants are parameters of the hash mixer in
// appendToken.
const (
	tokenBytes      = 5
	minAnswerTokens = 16
	answerLengths   = 240
	alphabet        = "abcdefghijklmnopqrstuvwxyz234567"
	alphabetBits    = 5
	mixIncrement    = 0x9e3779b97f4a7c15
	mixShift        = 29
	mixMultiplier   = 0xbf58476d1ce4e5b9
)

// Finish reasons of an answer.
const (
	reasonStop   = "stop"
	reasonLength = "length"
)

// answerHash returns the hash from which the length and all tokens of an answer
// are derived.
func answerHash(s envdoc.Slot, prompt string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(s.String())
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(prompt)
	return d.Sum64()
}

// appendToken appends the token at index to dst.
func appendToken(dst []byte, hash uint64, index int) []byte {
	h := hash + uint64(index+1)*mixIncrement
	h ^= h >> mixShift
	h *= mixMultiplier
	h ^= h >> mixShift
	for range tokenBytes - 1 {
		dst = append(dst, alphabet[h&(1<<alphabetBits-1)])
		h >>= alphabetBits
	}
	return append(dst, ' ')
}

// tokenText returns the text of the tokens from index from up to, but not
// including, index to.
func tokenText(hash uint64, from, to int) string {
	dst := make([]byte, 0, (to-from)*tokenBytes)
	for i := from; i < to; i++ {
		dst = appendToken(dst, hash, i)
	}
	return string(dst)
}

// answerLength returns the number of tokens of an answer and its finish reason.
// A limit of 0 or less means none.
func answerLength(hash uint64, limit int) (int, string) {
	natural := minAnswerTokens + int(hash%answerLengths)
	if limit > 0 && limit < natural {
		return limit, reasonLength
	}
	return natural, reasonStop
}

// CompleteAnswer returns the complete answer of a slot to a prompt and its number of
// tokens.
func CompleteAnswer(s envdoc.Slot, prompt string, maxTokens int) (string, int) {
	hash := answerHash(s, prompt)
	n, _ := answerLength(hash, maxTokens)
	return tokenText(hash, 0, n), n
}

// Matches reports whether got is the complete answer of any of the slots,
// ignoring leading and trailing blanks.
func Matches(got, prompt string, maxTokens int, slots ...envdoc.Slot) bool {
	for _, s := range slots {
		want, _ := CompleteAnswer(s, prompt, maxTokens)
		if strings.TrimSpace(got) == strings.TrimSpace(want) {
			return true
		}
	}
	return false
}

// promptTokens returns the number of tokens in a prompt, rounded up.
func promptTokens(prompt string) int {
	const tokenLength = route.BlockBytes / route.BlockTokens
	return (len(prompt) + tokenLength - 1) / tokenLength
}
