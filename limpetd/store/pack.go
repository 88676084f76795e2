package store

import (
	"bytes"
	"compress/gzip"
	"io"
	"sync"
)

// gzipMagic begins each compressed value. What is stored uncompressed must not
// begin so; text and MessagePack maps do not.
var gzipMagic = []byte{0x1f, 0x8b}

// packers are compressors that are used again.
var packers = sync.Pool{New: func() any { return gzip.NewWriter(nil) }}

// Pack returns the compressed form of a value.
func Pack(value []byte) ([]byte, error) {
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

// Unpack returns a value as it was before Pack, cut at limit bytes. One that is
// not compressed is returned as it is.
func Unpack(stored []byte, limit int64) ([]byte, error) {
	if !bytes.HasPrefix(stored, gzipMagic) {
		return stored, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(stored))
	if err != nil {
		return nil, err
	}
	return io.ReadAll(io.LimitReader(r, limit))
}
