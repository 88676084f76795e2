package store

import (
	"github.com/vmihailenco/msgpack/v5"

	"github.com/limpetlb/limpetlb/limpetd/code"
)

// envelope is the stored form of a value: the value and the id of the transaction that
// wrote the value.
type envelope struct {
	Writer string `msgpack:"w"`
	Value  []byte `msgpack:"v"`
}

// sealEnvelope encodes a value and its writer in the stored form.
func sealEnvelope(writer string, value []byte) ([]byte, error) {
	return msgpack.Marshal(envelope{Writer: writer, Value: value})
}

// openEnvelope decodes the writer and the value from the stored form.
func openEnvelope(key string, stored []byte) (string, []byte, error) {
	var e envelope
	if err := msgpack.Unmarshal(stored, &e); err != nil {
		return "", nil, code.Errorf(code.StoreCorrupt, "row %s: %w", key, err)
	}
	return e.Writer, e.Value, nil
}
