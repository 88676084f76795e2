package sched

import (
	"github.com/vmihailenco/msgpack/v5"

	"github.com/limpetlb/limpetlb/limpetd/array"
)

// DecodeMsgpack implements msgpack.CustomDecoder.
func (b *Brittleness) DecodeMsgpack(d *msgpack.Decoder) error {
	return array.Decode(d, &b.Named, &b.Rejections, &b.Age, &b.Full)
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (l *Limit) DecodeMsgpack(d *msgpack.Decoder) error {
	return array.Decode(d, &l.StartedAt, &l.PerSecond, &l.Age, &l.Brittle)
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (r *ReservationRequest) DecodeMsgpack(d *msgpack.Decoder) error {
	return array.Decode(d, &r.Service, &r.Model, &r.Adapter, &r.Tokens, &r.Session,
		&r.MaxStartDelay, &r.MaxPause, &r.ShortestExpectation, &r.IsTopPriority, &r.Excluded,
		&r.Level, &r.Waited, &r.Resumes, &r.DataCentre)
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (r *Reservation) DecodeMsgpack(d *msgpack.Decoder) error {
	return array.Decode(d, &r.Verdict, &r.Server, &r.Delay, &r.Exclusive)
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (s *Sample) DecodeMsgpack(d *msgpack.Decoder) error {
	return array.Decode(d, &s.Service, &s.Model, &s.Tokens, &s.Took, &s.Server, &s.Pace)
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (l *ServerLoad) DecodeMsgpack(d *msgpack.Decoder) error {
	return array.Decode(d, &l.Calls, &l.Pending, &l.PauseMS)
}
