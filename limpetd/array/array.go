// Package array decodes structures that are encoded as MessagePack arrays, with an element for each field and without
// field names. Unlike the decoder of the msgpack package, it reads arrays of builds that have more or fewer fields:
// new fields are added at the end. It also encodes structures whose last fields are optional.
//
// # Usage
//
//	type pair struct {
//		_msgpack struct{} `msgpack:",as_array"`
//		ID       string
//		Count    int
//	}
//
//	func (p *pair) DecodeMsgpack(d *msgpack.Decoder) error { return array.Decode(d, &p.ID, &p.Count) }
package array

import (
	"fmt"
	"reflect"

	"github.com/vmihailenco/msgpack/v5"
)

// Decode decodes an array into fields, which are pointers. Fields that the array lacks keep their values, and elements
// without a field are skipped. A nil is an array without elements.
func Decode(d *msgpack.Decoder, fields ...any) error {
	n, err := d.DecodeArrayLen()
	if err != nil {
		return fmt.Errorf("array: %w", err)
	}
	for i := range n {
		if i >= len(fields) {
			err = d.Skip()
		} else {
			err = d.Decode(fields[i])
		}
		if err != nil {
			return fmt.Errorf("element %d of %d of an array: %w", i, n, err)
		}
	}
	return nil
}

// Encode encodes fields as an array. The last ones, up to a number of optional fields, are left out if they are zero, so
// that deployments that don't use them send the messages of builds without them.
func Encode(e *msgpack.Encoder, optional int, fields ...any) error {
	n := len(fields)
	for ; optional > 0 && reflect.ValueOf(fields[n-1]).IsZero(); optional-- {
		n--
	}
	if err := e.EncodeArrayLen(n); err != nil {
		return fmt.Errorf("array: %w", err)
	}
	for i, field := range fields[:n] {
		if err := e.Encode(field); err != nil {
			return fmt.Errorf("element %d of %d of an array: %w", i, n, err)
		}
	}
	return nil
}
