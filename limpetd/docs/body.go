package docs

import (
	"context"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/envdoc"
	"github.com/limpetlb/limpetlb/limpetd/store"
)

// storeBody compresses a body and puts it into the object store.
func (u *Manager) storeBody(ctx context.Context, digest string, body []byte) error {
	packed, err := store.Compress(body)
	if err != nil {
		return err
	}
	return u.deps.Objects.Put(ctx, objectKey(digest), packed)
}

// loadBody reads a body from the object store and decompresses it. The error has
// code StoreCorrupt if the body cannot be decompressed. The caller checks the
// digest.
func (u *Manager) loadBody(ctx context.Context, digest string) ([]byte, error) {
	stored, err := u.deps.Objects.Get(ctx, objectKey(digest))
	if err != nil {
		return nil, err
	}
	body, err := unpack(stored)
	if err != nil {
		return nil, code.Errorf(code.StoreCorrupt, "unpack the stored body with digest %.12s: %w", digest, err)
	}
	return body, nil
}

// unpack decompresses a stored body of at most envdoc.MaxBytes. A body that is not
// compressed is returned unchanged.
func unpack(stored []byte) ([]byte, error) {
	return store.Decompress(stored, envdoc.MaxBytes)
}
