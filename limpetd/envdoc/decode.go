package envdoc

import (
	"crypto/sha256"
	"encoding"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"math"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"unicode/utf8"

	"gopkg.in/yaml.v3"

	"github.com/limpetlb/limpetlb/limpetd/code"
)

// MaxBytes is the size of the largest accepted document.
const MaxBytes = 1 << 20

// maxFaults bounds the faults that are reported for one document.
const maxFaults = 200

// Fault is a reason to refuse a document.
type Fault struct {
	File string
	// Line and Column count from 1.
	Line   int
	Column int
	// Text says what is wrong.
	Text string
	// Source is the offending line.
	Source string
}

// String returns file:line:column, the reason and the offending line.
func (f Fault) String() string {
	return fmt.Sprintf("%s:%d:%d: %s\n    %s", f.File, f.Line, f.Column, f.Text, f.Source)
}

// Decode reads a document strictly. The error has code DocumentInvalid and
// lists all faults, or DocumentTooLarge.
func Decode(file string, body []byte) (*Document, error) {
	if len(body) > MaxBytes {
		return nil, code.Errorf(code.DocumentTooLarge, "%s has %d bytes, %d are allowed", file, len(body), MaxBytes)
	}
	doc, faults := Check(file, body)
	if len(faults) == 0 {
		return doc, nil
	}
	lines := make([]string, len(faults))
	for i, f := range faults {
		lines[i] = f.String()
	}
	return nil, code.Errorf(code.DocumentInvalid, "%s", strings.Join(lines, "\n"))
}

// Check reads a document and returns its faults in the order of lines.
func Check(file string, body []byte) (*Document, []Fault) {
	d := &decoder{file: file, body: body, nodes: map[string]*yaml.Node{}, broken: map[string]bool{}}
	doc := &Document{}
	root := d.parse(body)
	if root != nil {
		d.value(root, reflect.ValueOf(doc).Elem(), "")
		checkDocument(doc, d.faultAt)
	}
	if len(d.faults) > 0 {
		slices.SortStableFunc(d.faults, byPlace)
		return nil, d.faults
	}
	doc.buildIndex()
	return doc, nil
}

// Digest returns the SHA-256 digest of a document's body in hexadecimal.
func Digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// byPlace orders faults by line and column.
func byPlace(a, b Fault) int {
	if a.Line != b.Line {
		return a.Line - b.Line
	}
	return a.Column - b.Column
}

// decoder walks the nodes of a document along the type of its value.
type decoder struct {
	file string
	body []byte
	// lines is the body in lines, nil before the first fault.
	lines  []string
	faults []Fault
	// nodes finds the place of a value by its path.
	nodes map[string]*yaml.Node
	// broken lists paths that have a fault; the rules leave them out.
	broken map[string]bool
}

// breakPattern matches what the parser counts as the end of a line.
var breakPattern = regexp.MustCompile("\r\n|[\r\n\u0085\u2028\u2029]")

// splitLines returns the lines as the parser counts them.
func splitLines(body []byte) []string {
	return breakPattern.Split(string(body), -1)
}

// parse returns the root node, or nil after a fault.
func (d *decoder) parse(body []byte) *yaml.Node {
	if !utf8.Valid(body) {
		d.add(1, 1, "the document is not UTF-8")
		return nil
	}
	parser := yaml.NewDecoder(strings.NewReader(string(body)))
	var document yaml.Node
	err := parser.Decode(&document)
	if errors.Is(err, io.EOF) {
		d.add(1, 1, "the document is empty")
		return nil
	}
	if err != nil {
		d.add(lineOf(err), 1, strings.TrimPrefix(err.Error(), "yaml: "))
		return nil
	}
	var second yaml.Node
	if err := parser.Decode(&second); !errors.Is(err, io.EOF) {
		d.add(max(second.Line, lineOf(err)), 1, "only one document is allowed in a file")
		return nil
	}
	return document.Content[0]
}

// linePattern finds the line in an error of the parser.
var linePattern = regexp.MustCompile(`line (\d+)`)

// lineOf returns the line that a parser error names, 1 if none.
func lineOf(err error) int {
	if err == nil {
		return 1
	}
	m := linePattern.FindStringSubmatch(err.Error())
	if m == nil {
		return 1
	}
	n, err := strconv.Atoi(m[1])
	if err != nil {
		return 1
	}
	return max(n, 1)
}

// add notes a fault at a place.
func (d *decoder) add(line, column int, text string) {
	if len(d.faults) >= maxFaults {
		return
	}
	if d.lines == nil {
		d.lines = splitLines(d.body)
	}
	f := Fault{File: d.file, Line: line, Column: column, Text: text}
	if line >= 1 && line <= len(d.lines) {
		f.Source = d.lines[line-1]
	}
	d.faults = append(d.faults, f)
}

// fault notes a fault of the value at path.
func (d *decoder) fault(n *yaml.Node, path, format string, args ...any) {
	d.broken[path] = true
	d.add(n.Line, n.Column, named(path)+fmt.Sprintf(format, args...))
}

// faultAt notes that the value at path breaks a rule, unless it has a fault
// already. A value that is left out is placed at the value around it.
func (d *decoder) faultAt(path, format string, args ...any) {
	if d.broken[path] {
		return
	}
	for p := path; ; p = parent(p) {
		if d.broken[p] {
			return
		}
		if n, ok := d.nodes[p]; ok {
			d.fault(n, path, format, args...)
			return
		}
	}
}

// parent returns the path of the value around path.
func parent(path string) string {
	i := strings.LastIndexAny(path, ".[")
	if i < 0 {
		return ""
	}
	return path[:i]
}

// named returns the path as a prefix of a message.
func named(path string) string {
	if path == "" {
		return ""
	}
	return path + ": "
}

// value reads n into v.
func (d *decoder) value(n *yaml.Node, v reflect.Value, path string) {
	d.nodes[path] = n
	if n.Kind == yaml.AliasNode || n.Anchor != "" {
		d.fault(n, path, "anchors and aliases are not allowed")
		return
	}
	if _, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		d.text(n, v, path)
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		d.mapping(n, v, path)
	case reflect.Slice:
		d.sequence(n, v, path)
	default:
		d.scalar(n, v, path)
	}
}

// mapping reads the fields of a struct.
func (d *decoder) mapping(n *yaml.Node, v reflect.Value, path string) {
	if n.Kind != yaml.MappingNode {
		d.fault(n, path, "must be a mapping of fields")
		return
	}
	fields := fieldsOf(v.Type())
	seen := map[string]bool{}
	for i := 0; i+1 < len(n.Content); i += 2 {
		key, item := n.Content[i], n.Content[i+1]
		f := find(fields, key.Value)
		if f == nil || key.Kind != yaml.ScalarNode {
			d.add(key.Line, key.Column, named(path)+fmt.Sprintf("unknown field %q%s", key.Value, suggest(fields, key.Value)))
			continue
		}
		if seen[f.name] {
			d.add(key.Line, key.Column, named(path)+fmt.Sprintf("field %q stands twice", f.name))
			continue
		}
		seen[f.name] = true
		d.value(item, v.Field(f.index), join(path, f.name))
	}
	for _, f := range fields {
		if f.required && !seen[f.name] {
			d.fault(n, join(path, f.name), "the field is missing")
		}
	}
}

// sequence reads the items of a slice.
func (d *decoder) sequence(n *yaml.Node, v reflect.Value, path string) {
	if n.Kind != yaml.SequenceNode {
		d.fault(n, path, "must be a list")
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), len(n.Content), len(n.Content)))
	for i, item := range n.Content {
		d.value(item, v.Index(i), fmt.Sprintf("%s[%d]", path, i))
	}
}

// text reads a value that decodes itself.
func (d *decoder) text(n *yaml.Node, v reflect.Value, path string) {
	if n.Kind != yaml.ScalarNode || n.ShortTag() != "!!str" {
		d.fault(n, path, "must be a time span such as 1500ms or 8h")
		return
	}
	if err := n.Decode(v.Addr().Interface()); err != nil {
		d.fault(n, path, "must be a time span such as 1500ms or 8h")
	}
}

// scalar reads a string, number or boolean.
func (d *decoder) scalar(n *yaml.Node, v reflect.Value, path string) {
	tag := n.ShortTag()
	switch {
	case n.Kind != yaml.ScalarNode:
		d.fault(n, path, "must be a single value")
	case v.Kind() == reflect.String && tag != "!!str":
		d.fault(n, path, "must be a string; put it in quotes")
	case v.Kind() == reflect.Bool && tag != "!!bool":
		d.fault(n, path, "must be true or false")
	case v.CanInt() && tag != "!!int":
		d.fault(n, path, "must be a whole number")
	case v.CanFloat() && tag != "!!int" && tag != "!!float":
		d.fault(n, path, "must be a number")
	case n.Decode(v.Addr().Interface()) != nil:
		d.fault(n, path, "is out of range")
	case v.CanFloat() && (math.IsNaN(v.Float()) || math.IsInf(v.Float(), 0)):
		d.fault(n, path, "must be a finite number")
	}
}

// join returns the path of a field.
func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
