package ledger

import (
	"bytes"
	"compress/gzip"
	"io"
	"sync"
)

const (
	// packBytes is the size from which a row is stored compressed.
	packBytes = 512
	// maxRowBytes bounds a row that is unpacked.
	maxRowBytes = 4 << 20
)

// gzipMagic begins each compressed row. No other row begins so: it is a map.
var gzipMagic = []byte{0x1f, 0x8b}

// packers are compressors that are used again.
var packers = sync.Pool{New: func() any { return gzip.NewWriter(nil) }}

// pack returns the stored form of an encoded row.
func pack(value []byte) ([]byte, error) {
	if len(value) < packBytes {
		return value, nil
	}
	w, _ := packers.Get().(*gzip.Writer)
	defer packers.Put(w)
	var buffer bytes.Buffer
	w.Reset(&buffer)
	if _, err := w.Write(value); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return buffer.Bytes(), nil
}

// unpack returns an encoded row from its stored form.
func unpack(stored []byte) ([]byte, error) {
	if !bytes.HasPrefix(stored, gzipMagic) {
		return stored, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(stored))
	if err != nil {
		return nil, err
	}
	return io.ReadAll(io.LimitReader(r, maxRowBytes))
}
