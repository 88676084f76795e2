package docs

import (
	"context"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/envdoc"
	"github.com/limpetlb/limpetlb/limpetd/store"
)

// storeBody puts a body into the object store, compressed.
func (u *Duty) storeBody(ctx context.Context, digest string, body []byte) error {
	stored, err := store.Pack(body)
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

// unpack returns a body as it was stored, cut at one byte more than a document may
// have. One that is not compressed is returned as it is.
func unpack(stored []byte) ([]byte, error) {
	return store.Unpack(stored, envdoc.MaxBytes+1)
}
