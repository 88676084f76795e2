package envdoc

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"sync"
)

// Level is the feature level of this release. A field of the document names in
// its level tag the level that brought it; a field without one is of level 1.
const Level = 1

// RequiredLevel returns the least feature level that honours doc: the highest
// level of the fields that it uses.
func RequiredLevel(doc *Document) int {
	return requiredLevel(reflect.ValueOf(doc).Elem())
}

// requiredLevel returns the highest level of the fields used below v.
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

// field describes a field of the document.
type field struct {
	name     string
	index    int
	required bool
	level    int
}

// knownFields holds the fields of each struct that was looked at, by its type.
var knownFields sync.Map

// fieldsOf returns the fields of a struct by their tags. The caller must not
// change them.
func fieldsOf(t reflect.Type) []field {
	if known, ok := knownFields.Load(t); ok {
		fields, _ := known.([]field)
		return fields
	}
	fields := readFields(t)
	knownFields.Store(t, fields)
	return fields
}

// readFields reads the tags of a struct. A field without omitempty is required.
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

// find returns the field with a name, or nil.
func find(fields []field, name string) *field {
	for i := range fields {
		if fields[i].name == name {
			return &fields[i]
		}
	}
	return nil
}

// suggest returns a hint at the field that was probably meant.
func suggest(fields []field, name string) string {
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

// editDistance is the Levenshtein distance of two short strings.
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
