package ledger

import "github.com/limpetlb/limpetlb/limpetd/store"

const (
	// minCompressBytes is the size from which an encoded row is compressed.
	minCompressBytes = 512
	// maxRowBytes limits the size of a decompressed row.
	maxRowBytes = 4 << 20
)

// compress returns the stored form of an encoded row: compressed, unless the row
// is shorter than minCompressBytes.
func compress(encoded []byte) ([]byte, error) {
	if len(encoded) < minCompressBytes {
		return encoded, nil
	}
	return store.Compress(encoded)
}

// decompress returns the encoded row of a stored value, compressed or not. A
// row over maxRowBytes is an error.
func decompress(stored []byte) ([]byte, error) {
	return store.Decompress(stored, maxRowBytes)
}
