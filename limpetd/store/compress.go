package store

import (
	"bytes"
	"compress/gzip"
	"sync"

	"github.com/limpetlb/limpetlb/limpetd/conns"
)

// gzipMagic is the prefix of each compressed value. Uncompressed values must not start
// with this prefix; text and MessagePack maps do not.
var gzipMagic = []byte{0x1f, 0x8b}

// gzipWriters holds reusable writers.
var gzipWriters = sync.Pool{New: func() any { return gzip.NewWriter(nil) }}

// Compress returns the compressed form of a value.
func Compress(value []byte) ([]byte, error) {
	w, _ := gzipWriters.Get().(*gzip.Writer)
	defer gzipWriters.Put(w)
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

// Decompress returns the decompressed form of a value of at most limit bytes. A value that is
// not compressed is returned unchanged.
func Decompress(stored []byte, limit int64) ([]byte, error) {
	if !bytes.HasPrefix(stored, gzipMagic) {
		return stored, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(stored))
	if err != nil {
		return nil, err
	}
	return conns.ReadBody(r, limit)
}
