package crash

import (
	"github.com/vmihailenco/msgpack/v5"

	"github.com/limpetlb/limpetlb/limpetd/array"
)

// DecodeMsgpack implements msgpack.CustomDecoder.
func (f *Facts) DecodeMsgpack(d *msgpack.Decoder) error {
	return array.Decode(d, &f.Ends, &f.Answers, &f.Strikes, &f.Known)
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (e *EndFact) DecodeMsgpack(d *msgpack.Decoder) error {
	return array.Decode(d, &e.Server, &e.StartedAt, &e.Age, &e.Suspects, &e.Retracted)
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (a *AnswerFact) DecodeMsgpack(d *msgpack.Decoder) error {
	return array.Decode(d, &a.Part, &a.Age)
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (s *StrikeFact) DecodeMsgpack(d *msgpack.Decoder) error {
	return array.Decode(d, &s.Part, &s.Count, &s.Age)
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (s *Suspect) DecodeMsgpack(d *msgpack.Decoder) error {
	return array.Decode(d, &s.Call, &s.Parts, &s.Begun, &s.Age)
}
