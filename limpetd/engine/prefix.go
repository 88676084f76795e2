package engine

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/limpetlb/limpetlb/limpetd/envdoc"
)

// Measures of prompts.
const (
	// BlockBytes is the length of the prompt block that a cache keeps.
	BlockBytes = 256
	// BytesPerToken is the usual length of a token.
	BytesPerToken = 4
)

// PromptTokens estimates the number of tokens of a prompt.
func PromptTokens(prompt string) int {
	return (len(prompt) + BytesPerToken - 1) / BytesPerToken
}

// Prefixes appends to dst the chain of prompt block hashes, the shortest prefix
// first. Each hash covers the slot and all blocks up to its own, so that equal
// hashes mean equal prefixes. A last block that is not full has none.
func Prefixes(dst []uint64, s envdoc.Slot, prompt string) []uint64 {
	if len(prompt) < BlockBytes {
		return dst
	}
	chain := xxhash.Sum64String(s.String())
	var d xxhash.Digest
	var seed [8]byte
	for len(prompt) >= BlockBytes {
		d.Reset()
		binary.LittleEndian.PutUint64(seed[:], chain)
		_, _ = d.Write(seed[:])
		_, _ = d.WriteString(prompt[:BlockBytes])
		chain = d.Sum64()
		dst = append(dst, chain)
		prompt = prompt[BlockBytes:]
	}
	return dst
}
