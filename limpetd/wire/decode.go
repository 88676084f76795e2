package wire

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"strings"
	"unicode/utf8"

	"github.com/go-json-experiment/json/jsontext"

	"github.com/limpetlb/limpetlb/limpetd/code"
)

// DecodeBytes returns the memory in bytes that decoding a body of n bytes of valid UTF-8 takes at most, beside the
// body: the text of its prompt while it is collected, and when it is complete.
func DecodeBytes(n int64) int64 { return 2 * n }

// invalidByteSize is the size of the replacement of a byte that is not valid UTF-8.
const invalidByteSize = len("\uFFFD")

// DecodeBytesOf returns DecodeBytes for a body that may not be valid UTF-8.
func DecodeBytesOf(body []byte) int64 {
	n := int64(len(body))
	if utf8.Valid(body) {
		return DecodeBytes(n)
	}
	return int64(invalidByteSize) * DecodeBytes(n)
}

// decoder reads one JSON value without building it: elements that are not needed take no memory, however many they
// are. The first invalid field is kept in err, so that a later syntax error has precedence.
type decoder struct {
	*jsontext.Decoder
	err error
}

func newDecoder(body []byte) *decoder {
	return &decoder{Decoder: jsontext.NewDecoder(bytes.NewBuffer(body), jsontext.AllowDuplicateNames(true), jsontext.AllowInvalidUTF8(true))}
}

// decode decodes a body, which must consist of exactly one JSON object. member reads the value of a field.
func decode(body []byte, member func(d *decoder, name string) error) error {
	d := newDecoder(body)
	if err := d.object("body", func(name string) error { return member(d, name) }); err != nil {
		return code.Errorf(code.MalformedBody, "body: %s", describeSyntax(err))
	}
	if _, err := d.ReadToken(); !errors.Is(err, io.EOF) {
		return code.Errorf(code.MalformedBody, "body: unexpected data after the JSON value, near byte %d", d.InputOffset())
	}
	return d.err
}

// describeSyntax returns the text of a syntax error.
func describeSyntax(err error) string {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return "unexpected end of the JSON value"
	}
	return strings.TrimPrefix(err.Error(), "jsontext: ")
}

// fail keeps the error of an invalid field.
func (d *decoder) fail(err error) {
	if d.err == nil {
		d.err = err
	}
}

// object reads an object. member reads the value of each field. A null is an object without fields.
func (d *decoder) object(path string, member func(name string) error) error {
	if !d.expect(path, '{') {
		return d.SkipValue()
	}
	if _, err := d.ReadToken(); err != nil {
		return err
	}
	for d.PeekKind() != '}' {
		name, err := d.name()
		if err != nil {
			return err
		}
		if err := member(name); err != nil {
			return err
		}
	}
	_, err := d.ReadToken()
	return err
}

// list reads a list. element reads each element. A null is an empty list.
func (d *decoder) list(path string, element func(i int) error) error {
	if !d.expect(path, '[') {
		return d.SkipValue()
	}
	if _, err := d.ReadToken(); err != nil {
		return err
	}
	for i := 0; d.PeekKind() != ']'; i++ {
		if err := element(i); err != nil {
			return err
		}
	}
	_, err := d.ReadToken()
	return err
}

// expect reports whether the next value begins with a kind. Another one, except null, is an invalid field.
func (d *decoder) expect(path string, kind jsontext.Kind) bool {
	found := d.PeekKind()
	if found != kind && found != 'n' && found != jsontext.KindInvalid {
		d.fail(code.Errorf(code.MalformedBody, "field %s: a JSON %s is not accepted", path, kindName(found)))
	}
	return found == kind
}

// kindName returns the name of a kind of JSON values.
func kindName(k jsontext.Kind) string {
	switch k {
	case 't', 'f':
		return "bool"
	case '0':
		return "number"
	case '"':
		return "string"
	case '{':
		return "object"
	case '[':
		return "array"
	}
	return "null"
}

// fieldNames are the names of the fields of requests, in lower case.
var fieldNames = map[string]string{}

func init() {
	for _, name := range []string{
		"model", "max_tokens", "max_completion_tokens", "temperature", "seed", "stream", "stream_options", "include_usage",
		"priority", "n", "requests", "stop", "tools", "messages", "prompt", "role", "content", "type", "text",
	} {
		fieldNames[name] = name
	}
}

// maxShort is the size in JSON of the longest string that short reads. With each character escaped, "max_completion_tokens"
// has 128 bytes.
const maxShort = 128

// short appends the text of a string to dst, or nothing if the string is longer than any name.
func (d *decoder) short(dst []byte) ([]byte, error) {
	raw, err := d.ReadValue()
	if err != nil || len(raw) > maxShort {
		return dst, err
	}
	// The decoder has accepted the string.
	dst, _ = jsontext.AppendUnquote(dst, raw)
	return dst, nil
}

// equals reads a string and reports whether it is a given one.
func (d *decoder) equals(want string) (bool, error) {
	var scratch [maxShort]byte
	found, err := d.short(scratch[:0])
	return string(found) == want, err
}

// name reads the name of a field of an object. It is empty for one that is no field of a request. Case is ignored.
func (d *decoder) name() (string, error) {
	var scratch [maxShort]byte
	name, err := d.short(scratch[:0])
	if err != nil {
		return "", err
	}
	for i, c := range name {
		if 'A' <= c && c <= 'Z' {
			name[i] = c + 'a' - 'A'
		}
	}
	return fieldNames[string(name)], nil
}

// scalar reads a value into a pointer to a bool, a number or a string. A null leaves it unchanged.
func (d *decoder) scalar(path string, dst any) error {
	raw, err := d.ReadValue()
	if err != nil {
		return err
	}
	if err := json.Unmarshal(raw, dst); err != nil {
		d.fail(code.Errorf(code.MalformedBody, "field %s: a JSON %s is not accepted", path, describeValue(raw)))
	}
	return nil
}

// describeValue returns a value for the text of an error: a number as it is, others by their kind.
func describeValue(raw jsontext.Value) string {
	const maxNumber = 40
	if raw.Kind() == '0' && len(raw) <= maxNumber {
		return "number " + string(raw)
	}
	return kindName(raw.Kind())
}

// text appends the text of a string to dst.
func (d *decoder) text(dst []byte) ([]byte, error) {
	raw, err := d.ReadValue()
	if err != nil {
		return dst, err
	}
	// The decoder has accepted the string. The error reports bytes that are not valid UTF-8, which are replaced.
	dst, _ = jsontext.AppendUnquote(dst, raw)
	return dst, nil
}

// errTooManyRequests is the error of a batch with more than the maximum of requests.
func errTooManyRequests(most int) error {
	return code.Errorf(code.BadParameter, "the batch has more than %d requests", most)
}

// SplitBatch returns the priority and the requests of a batch that is submitted as a JSON object. The requests, at most
// most, are parts of the body. An error has code MalformedBody or BadParameter.
func SplitBatch(body []byte, most int) (priority string, requests [][]byte, err error) {
	tooMany := false
	err = decode(body, func(d *decoder, name string) error {
		switch name {
		case "priority":
			return d.scalar(name, &priority)
		case "requests":
			requests, tooMany = nil, false
			return d.list(name, func(i int) error {
				raw, err := d.ReadValue()
				if tooMany = i >= most; !tooMany {
					requests = append(requests, body[d.InputOffset()-int64(len(raw)):d.InputOffset()])
				}
				return err
			})
		}
		return d.SkipValue()
	})
	if err == nil && tooMany {
		err = errTooManyRequests(most)
	}
	return priority, requests, err
}

// SplitLines returns the requests of a batch that is submitted as JSON lines. The requests, at most most, are parts of
// the body. An error has code MalformedBody or BadParameter.
func SplitLines(body []byte, most int) ([][]byte, error) {
	d := newDecoder(body)
	var requests [][]byte
	for {
		raw, err := d.ReadValue()
		switch {
		case errors.Is(err, io.EOF):
			return requests, nil
		case err != nil:
			return nil, code.Errorf(code.MalformedBody, "line %d: %s", len(requests)+1, describeSyntax(err))
		case len(requests) == most:
			return nil, errTooManyRequests(most)
		}
		requests = append(requests, body[d.InputOffset()-int64(len(raw)):d.InputOffset()])
	}
}
