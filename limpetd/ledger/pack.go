package ledger

import "github.com/limpetlb/limpetlb/limpetd/store"

const (
	// packBytes is the size from which a row is stored compressed.
	packBytes = 512
	// maxRowBytes bounds a row that is unpacked.
	maxRowBytes = 4 << 20
)

// pack returns the stored form of an encoded row.
func pack(value []byte) ([]byte, error) {
	if len(value) < packBytes {
		return value, nil
	}
	return store.Pack(value)
}

// unpack returns an encoded row from its stored form.
func unpack(stored []byte) ([]byte, error) {
	return store.Unpack(stored, maxRowBytes)
}
