package envdoc

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"sync"
)

// FeatureLevel is the feature level of this release. The level tag of a document field is
// the level that introduced the field; a field without the tag has level 1.
const FeatureLevel = 1

// RequiredLevel returns the lowest feature level that supports doc, which is the
// highest level of the fields that doc uses.
func RequiredLevel(doc *Document) int {
	return requiredLevel(reflect.ValueOf(doc).Elem())
}

// requiredLevel returns the highest level of the non-zero fields in v.
func requiredLevel(v reflect.Value) int {
	level := 1
	switch v.Kind() {
	case reflect.Slice:
		for i := range v.Len() {
			level = max(level, requiredLevel(v.Index(i)))
		}
	case reflect.Struct:
		for _, f := range fieldsOf(v.Type()) {
			item := v.Field(f.index)
			if !item.IsZero() {
				level = max(level, f.level, requiredLevel(item))
			}
		}
	}
	return level
}

// field describes a field of a struct type of the document.
type field struct {
	// name is the name in YAML.
	name string
	// index is the index of the field in the struct.
	index    int
	required bool
	// level is the feature level that introduced the field.
	level int
}

// fieldCache caches the fields of struct types: reflect.Type to []field.
var fieldCache sync.Map

// fieldsOf returns the fields of a struct type, from the cache if possible. The
// caller must not change the slice.
func fieldsOf(t reflect.Type) []field {
	if cached, ok := fieldCache.Load(t); ok {
		fields, _ := cached.([]field)
		return fields
	}
	fields := readFields(t)
	fieldCache.Store(t, fields)
	return fields
}

// readFields reads the yaml and level tags of a struct type. A field without
// omitempty is required.
func readFields(t reflect.Type) []field {
	var fields []field
	for i := range t.NumField() {
		tag, ok := t.Field(i).Tag.Lookup("yaml")
		if !ok {
			continue
		}
		name, options, _ := strings.Cut(tag, ",")
		level, err := strconv.Atoi(t.Field(i).Tag.Get("level"))
		if err != nil {
			level = 1
		}
		fields = append(fields, field{name: name, index: i, required: options != "omitempty", level: level})
	}
	return fields
}

// findField returns the field with the given name, or nil.
func findField(fields []field, name string) *field {
	for i := range fields {
		if fields[i].name == name {
			return &fields[i]
		}
	}
	return nil
}

// suggestField returns a hint with the field whose name is closest to an unknown
// name, or "" if no name is within two edits.
func suggestField(fields []field, name string) string {
	best, distance := "", 3
	for _, f := range fields {
		if d := editDistance(f.name, name); d < distance {
			best, distance = f.name, d
		}
	}
	if best == "" {
		return ""
	}
	return fmt.Sprintf(", did you mean %q?", best)
}

// editDistance returns the Levenshtein distance between two strings, in bytes.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := 1; i <= len(a); i++ {
		diagonal := row[0]
		row[0] = i
		for j := 1; j <= len(b); j++ {
			cost := 1
			if a[i-1] == b[j-1] {
				cost = 0
			}
			next := min(row[j]+1, row[j-1]+1, diagonal+cost)
			diagonal, row[j] = row[j], next
		}
	}
	return row[len(b)]
}
