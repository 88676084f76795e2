package route

import "github.com/cespare/xxhash/v2"

const (
	// BlockBytes is the length of a prompt block in bytes.
	BlockBytes = 256
	// BlockTokens is the number of tokens that a block is assumed to have.
	BlockTokens = 64
	// MaxBlocks is the maximum number of blocks in a hash chain.
	MaxBlocks = 64
)

// Prefixes returns the hash chain of the prompt's blocks, the shortest prefix first. The
// hash of a block covers all blocks before it too. An incomplete last block is left out, so
// that the chain of a longer prompt starts with the chain of its beginning.
func Prefixes(prompt string) []uint64 {
	n := min(len(prompt)/BlockBytes, MaxBlocks)
	if n == 0 {
		return nil
	}
	chain := make([]uint64, 0, n)
	d := xxhash.New()
	for i := range n {
		_, _ = d.WriteString(prompt[i*BlockBytes : (i+1)*BlockBytes])
		chain = append(chain, d.Sum64())
	}
	return chain
}
