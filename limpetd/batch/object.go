package batch

import (
	"context"
	"fmt"

	"go.uber.org/zap"
)

// newObject returns the key of a new object of a job. A key is never used again,
// so that a deletion that comes late strikes no other object.
func (d *Duty) newObject(kind, id string) string {
	unique := fmt.Sprintf("%016x%016x", d.random.Uint64(), d.random.Uint64())
	return objectPrefix(d.config.Environment, kind, id) + unique
}

// discard deletes objects that no row names. One that cannot be deleted stays.
func (d *Duty) discard(ctx context.Context, keys ...string) {
	for _, key := range keys {
		if err := d.delete(ctx, key); err != nil {
			d.deps.Log.Info("batch_object_left", zap.String("key", key), zap.Error(err))
		}
	}
}

// delete deletes an object and counts it.
func (d *Duty) delete(ctx context.Context, key string) error {
	if err := d.deps.Objects.Delete(ctx, key); err != nil {
		return err
	}
	d.deleted.Inc(1)
	return nil
}
