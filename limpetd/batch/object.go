package batch

import (
	"context"
	"fmt"

	"go.uber.org/zap"
)

// newObjectKey returns the key of a new object of a job. A key is never used again, so
// that a deletion that takes effect late can't delete another object.
func (d *Manager) newObjectKey(kind, id string) string {
	unique := fmt.Sprintf("%016x%016x", d.random.Uint64(), d.random.Uint64())
	return objectPrefix(d.config.Environment, kind, id) + unique
}

// discardObjects deletes objects that no row refers to. An object that can't be deleted
// stays in the object store.
func (d *Manager) discardObjects(ctx context.Context, keys ...string) {
	for _, key := range keys {
		if err := d.deleteObject(ctx, key); err != nil {
			d.deps.Log.Info("batch_object_left", zap.String("key", key), zap.Error(err))
		}
	}
}

// deleteObject deletes an object and counts the deletion.
func (d *Manager) deleteObject(ctx context.Context, key string) error {
	if err := d.deps.Objects.Delete(ctx, key); err != nil {
		return err
	}
	d.objectsDeleted.Inc(1)
	return nil
}
