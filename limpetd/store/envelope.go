package store

import (
	"github.com/vmihailenco/msgpack/v5"

	"github.com/limpetlb/limpetlb/limpetd/code"
)

// envelope is the stored form of a value: the value with its writer.
type envelope struct {
	Writer string `msgpack:"w"`
	Value  []byte `msgpack:"v"`
}

// seal returns the stored form of a value.
func seal(writer string, value []byte) ([]byte, error) {
	return msgpack.Marshal(envelope{Writer: writer, Value: value})
}

// open returns the writer and the value of a stored form.
func open(key string, stored []byte) (string, []byte, error) {
	var e envelope
	if err := msgpack.Unmarshal(stored, &e); err != nil {
		return "", nil, code.Errorf(code.StoreCorrupt, "row %s: %w", key, err)
	}
	return e.Writer, e.Value, nil
}
