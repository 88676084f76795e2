// Package array decodes structures that are encoded as MessagePack arrays, with an element for each field and without
// field names. Unlike the decoder of the msgpack package, it reads arrays of builds that have more or fewer fields:
// new fields are added at the end.
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
