package docs

import (
	"bytes"
	"compress/gzip"
	"context"
	"io"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/envdoc"
)

// gzipMagic begins each compressed body. No document begins so, since it is text.
var gzipMagic = []byte{0x1f, 0x8b}

// storeBody puts a body into the object store, compressed.
func (u *Duty) storeBody(ctx context.Context, digest string, body []byte) error {
	stored, err := pack(body)
	if err != nil {
		return err
	}
	return u.deps.Objects.Put(ctx, objectKey(digest), stored)
}

// loadBody gets a body from the object store. The error has code StoreCorrupt if
// it cannot be unpacked; the caller checks the digest.
func (u *Duty) loadBody(ctx context.Context, digest string) ([]byte, error) {
	stored, err := u.deps.Objects.Get(ctx, objectKey(digest))
	if err != nil {
		return nil, err
	}
	body, err := unpack(stored)
	if err != nil {
		return nil, code.Errorf(code.StoreCorrupt, "the stored body of digest %.12s: %w", digest, err)
	}
	return body, nil
}

// pack compresses a body.
func pack(body []byte) ([]byte, error) {
	var buffer bytes.Buffer
	w := gzip.NewWriter(&buffer)
	if _, err := w.Write(body); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return buffer.Bytes(), nil
}

// unpack returns a body as it was before pack, cut at one byte more than a
// document may have. One that is not compressed is returned as it is.
func unpack(stored []byte) ([]byte, error) {
	if !bytes.HasPrefix(stored, gzipMagic) {
		return stored, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(stored))
	if err != nil {
		return nil, err
	}
	return io.ReadAll(io.LimitReader(r, envdoc.MaxBytes+1))
}
