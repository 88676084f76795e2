package steer

import (
	"github.com/vmihailenco/msgpack/v5"

	"github.com/limpetlb/limpetlb/limpetd/array"
)

// DecodeMsgpack implements msgpack.CustomDecoder.
func (s *serverStart) DecodeMsgpack(d *msgpack.Decoder) error {
	return array.Decode(d, &s.ID, &s.StartedAt)
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (s *streams) DecodeMsgpack(d *msgpack.Decoder) error {
	return array.Decode(d, &s.Ended, &s.Paused)
}
