package origin

import (
	"github.com/vmihailenco/msgpack/v5"

	"github.com/limpetlb/limpetlb/limpetd/array"
)

// DecodeMsgpack implements msgpack.CustomDecoder.
func (f *Facts) DecodeMsgpack(d *msgpack.Decoder) error {
	return array.Decode(d, &f.Versions, &f.Streams)
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (v *VersionFact) DecodeMsgpack(d *msgpack.Decoder) error {
	return array.Decode(d, &v.Service, &v.Software, &v.Age)
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (s *StreamFacts) DecodeMsgpack(d *msgpack.Decoder) error {
	return array.Decode(d, &s.Service, &s.Software, &s.Age, &s.IDs)
}
