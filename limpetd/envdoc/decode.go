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

// MaxBytes is the maximum size of a document in bytes.
const MaxBytes = 1 << 20

// maxFaults is the maximum number of faults that are reported for one document.
const maxFaults = 200

// Fault is an error in a document, with its position.
type Fault struct {
	File string
	// Line and Column count from 1.
	Line   int
	Column int
	// Text is the error message.
	Text string
	// Source is the text of the line.
	Source string
}

// String returns file:line:column and the message, followed by the text of the
// line.
func (f Fault) String() string {
	return fmt.Sprintf("%s:%d:%d: %s\n    %s", f.File, f.Line, f.Column, f.Text, f.Source)
}

// Decode strictly decodes and validates a document. The error has code
// DocumentInvalid and lists all faults, or has code DocumentTooLarge.
func Decode(file string, body []byte) (*Document, error) {
	if len(body) > MaxBytes {
		return nil, code.Errorf(code.DocumentTooLarge, "%s has %d bytes, %d are allowed", file, len(body), MaxBytes)
	}
	doc, faults := Validate(file, body)
	if len(faults) == 0 {
		return doc, nil
	}
	lines := make([]string, len(faults))
	for i, f := range faults {
		lines[i] = f.String()
	}
	return nil, code.Errorf(code.DocumentInvalid, "%s", strings.Join(lines, "\n"))
}

// Validate decodes and validates a document. It returns either the document or its
// faults in the order of lines.
func Validate(file string, body []byte) (*Document, []Fault) {
	d := &decoder{file: file, body: body, nodes: map[string]*yaml.Node{}, faulty: map[string]bool{}}
	doc := &Document{}
	root := d.parse(body)
	if root != nil {
		d.decodeValue(root, reflect.ValueOf(doc).Elem(), "")
		checkDocument(doc, d.addRuleFault)
	}
	if len(d.faults) > 0 {
		slices.SortStableFunc(d.faults, compareFaults)
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

// compareFaults compares the positions of two faults.
func compareFaults(a, b Fault) int {
	if a.Line != b.Line {
		return a.Line - b.Line
	}
	return a.Column - b.Column
}

// decoder decodes the YAML nodes of a document into a Go value by reflection and
// collects faults. A path such as "models[0].name" identifies a value.
type decoder struct {
	file string
	body []byte
	// lines is the body split into lines; nil before the first fault.
	lines  []string
	faults []Fault
	// nodes holds the node of each value by path.
	nodes map[string]*yaml.Node
	// faulty is the set of paths that have a fault. Validation rules do not
	// report further faults there.
	faulty map[string]bool
}

// lineBreakPattern matches what the YAML parser counts as the end of a line.
var lineBreakPattern = regexp.MustCompile("\r\n|[\r\n\u0085\u2028\u2029]")

// splitLines splits a body into lines as the YAML parser counts them.
func splitLines(body []byte) []string {
	return lineBreakPattern.Split(string(body), -1)
}

// parse returns the root node of the body, or adds a fault and returns nil.
func (d *decoder) parse(body []byte) *yaml.Node {
	if !utf8.Valid(body) {
		d.addFault(1, 1, "the document is not UTF-8")
		return nil
	}
	parser := yaml.NewDecoder(strings.NewReader(string(body)))
	var document yaml.Node
	err := parser.Decode(&document)
	if errors.Is(err, io.EOF) {
		d.addFault(1, 1, "the document is empty")
		return nil
	}
	if err != nil {
		d.addFault(errorLine(err), 1, strings.TrimPrefix(err.Error(), "yaml: "))
		return nil
	}
	var second yaml.Node
	if err := parser.Decode(&second); !errors.Is(err, io.EOF) {
		d.addFault(max(second.Line, errorLine(err)), 1, "only one document is allowed in a file")
		return nil
	}
	return document.Content[0]
}

// linePattern matches the line number in an error of the YAML parser.
var linePattern = regexp.MustCompile(`line (\d+)`)

// errorLine returns the line number in an error of the YAML parser, or 1 if there
// is none.
func errorLine(err error) int {
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

// addFault adds a fault at a position, unless there are maxFaults already.
func (d *decoder) addFault(line, column int, text string) {
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

// addNodeFault adds a fault of the value at path, at the position of node n.
func (d *decoder) addNodeFault(n *yaml.Node, path, format string, args ...any) {
	d.faulty[path] = true
	d.addFault(n.Line, n.Column, messagePrefix(path)+fmt.Sprintf(format, args...))
}

// addRuleFault adds a fault for a value that violates a validation rule, unless the
// value has a fault already. An omitted value takes its position from the nearest
// enclosing value that is present; no fault is added if this value, or an omitted
// value inside it, has a fault already.
func (d *decoder) addRuleFault(path, format string, args ...any) {
	if d.faulty[path] {
		return
	}
	for p := path; ; p = parentPath(p) {
		if d.faulty[p] {
			return
		}
		if n, ok := d.nodes[p]; ok {
			d.addNodeFault(n, path, format, args...)
			return
		}
	}
}

// parentPath returns the path of the enclosing value, or "" for a field of the
// document.
func parentPath(path string) string {
	i := strings.LastIndexAny(path, ".[")
	if i < 0 {
		return ""
	}
	return path[:i]
}

// messagePrefix returns the path as the prefix of a message.
func messagePrefix(path string) string {
	if path == "" {
		return ""
	}
	return path + ": "
}

// decodeValue decodes n into v, according to the type of v.
func (d *decoder) decodeValue(n *yaml.Node, v reflect.Value, path string) {
	d.nodes[path] = n
	if n.Kind == yaml.AliasNode || n.Anchor != "" {
		d.addNodeFault(n, path, "anchors and aliases are not allowed")
		return
	}
	if _, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		d.decodeText(n, v, path)
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		d.decodeMapping(n, v, path)
	case reflect.Slice:
		d.decodeSequence(n, v, path)
	default:
		d.decodeScalar(n, v, path)
	}
}

// decodeMapping decodes a mapping into a struct. Unknown and duplicate fields and
// missing required fields are faults.
func (d *decoder) decodeMapping(n *yaml.Node, v reflect.Value, path string) {
	if n.Kind != yaml.MappingNode {
		d.addNodeFault(n, path, "must be a mapping of fields")
		return
	}
	fields := fieldsOf(v.Type())
	seen := map[string]bool{}
	for i := 0; i+1 < len(n.Content); i += 2 {
		key, item := n.Content[i], n.Content[i+1]
		f := findField(fields, key.Value)
		if f == nil || key.Kind != yaml.ScalarNode {
			d.addFault(key.Line, key.Column, messagePrefix(path)+fmt.Sprintf("unknown field %q%s", key.Value, suggestField(fields, key.Value)))
			continue
		}
		if seen[f.name] {
			d.addFault(key.Line, key.Column, messagePrefix(path)+fmt.Sprintf("field %q is given twice", f.name))
			continue
		}
		seen[f.name] = true
		d.decodeValue(item, v.Field(f.index), joinPath(path, f.name))
	}
	for _, f := range fields {
		if f.required && !seen[f.name] {
			d.addNodeFault(n, joinPath(path, f.name), "the field is missing")
		}
	}
}

// decodeSequence decodes a list into a slice.
func (d *decoder) decodeSequence(n *yaml.Node, v reflect.Value, path string) {
	if n.Kind != yaml.SequenceNode {
		d.addNodeFault(n, path, "must be a list")
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), len(n.Content), len(n.Content)))
	for i, item := range n.Content {
		d.decodeValue(item, v.Index(i), fmt.Sprintf("%s[%d]", path, i))
	}
}

// decodeText decodes a string into a type that implements encoding.TextUnmarshaler.
// Duration is the only such type in a document, so the messages ask for a time span.
func (d *decoder) decodeText(n *yaml.Node, v reflect.Value, path string) {
	if n.Kind != yaml.ScalarNode || n.ShortTag() != "!!str" {
		d.addNodeFault(n, path, "must be a time span such as 1500ms or 8h")
		return
	}
	if err := n.Decode(v.Addr().Interface()); err != nil {
		d.addNodeFault(n, path, "must be a time span such as 1500ms or 8h")
	}
}

// decodeScalar decodes a string, number or boolean.
func (d *decoder) decodeScalar(n *yaml.Node, v reflect.Value, path string) {
	tag := n.ShortTag()
	switch {
	case n.Kind != yaml.ScalarNode:
		d.addNodeFault(n, path, "must be a single value")
	case v.Kind() == reflect.String && tag != "!!str":
		d.addNodeFault(n, path, "must be a string; put it in quotes")
	case v.Kind() == reflect.Bool && tag != "!!bool":
		d.addNodeFault(n, path, "must be true or false")
	case v.CanInt() && tag != "!!int":
		d.addNodeFault(n, path, "must be a whole number")
	case v.CanFloat() && tag != "!!int" && tag != "!!float":
		d.addNodeFault(n, path, "must be a number")
	case n.Decode(v.Addr().Interface()) != nil:
		d.addNodeFault(n, path, "is out of range")
	case v.CanFloat() && (math.IsNaN(v.Float()) || math.IsInf(v.Float(), 0)):
		d.addNodeFault(n, path, "must be a finite number")
	}
}

// joinPath returns the path of a field of the value at path.
func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
