package envdoc

import (
	"bytes"
	"encoding/json"
	"flag"
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/invopop/jsonschema"
	validator "github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/stretchr/testify/require"
	"gopkg.in/yaml.v3"
	"pgregory.net/rapid"
)

//go:generate go test . -run TestSchemaIsUpToDate -update

var update = flag.Bool("update", false, "write schema.json")

// schemaFile is the file name of the committed schema.
const schemaFile = "schema.json"

// makeSchema returns the JSON Schema of Document, with descriptions from the doc
// comments of this package.
func makeSchema(t testing.TB) []byte {
	r := jsonschema.Reflector{FieldNameTag: "yaml", ExpandedStruct: true}
	r.Mapper = func(v reflect.Type) *jsonschema.Schema {
		if v == reflect.TypeOf(Duration(0)) {
			return &jsonschema.Schema{Type: "string", Description: "A time span such as 1500ms or 8h."}
		}
		return nil
	}
	require.NoError(t, r.AddGoComments("github.com/limpetlb/limpetlb/limpetd/envdoc", "."))
	schema, err := json.MarshalIndent(r.Reflect(&Document{}), "", "  ")
	require.NoError(t, err)
	return append(schema, '\n')
}

func TestSchemaIsUpToDate(t *testing.T) {
	schema := makeSchema(t)
	if *update {
		require.NoError(t, os.WriteFile(schemaFile, schema, 0o644))
	}
	committed, err := os.ReadFile(schemaFile)
	require.NoError(t, err)
	require.Equal(t, string(schema), string(committed), "run go generate")
}

// accepts reports whether the schema accepts a YAML body.
func accepts(t require.TestingT, s *validator.Schema, body []byte) bool {
	var decoded any
	require.NoError(t, yaml.Unmarshal(body, &decoded))
	text, err := json.Marshal(decoded)
	require.NoError(t, err)
	value, err := validator.UnmarshalJSON(bytes.NewReader(text))
	require.NoError(t, err)
	return s.Validate(value) == nil
}

// TestSchemaAgreesWithDecoder changes a random line of an example. The schema must
// accept every document that the decoder accepts, and both must reject a field that
// is unknown, missing or of the wrong type.
func TestSchemaAgreesWithDecoder(t *testing.T) {
	schema, err := validator.NewCompiler().Compile(schemaFile)
	require.NoError(t, err)
	lines := strings.Split(string(example(t, "andesoft.yaml")), "\n")
	require.True(t, accepts(t, schema, example(t, "andesoft.yaml")))
	require.True(t, accepts(t, schema, example(t, "ibeji.yaml")))
	rejected := 0
	rapid.Check(t, func(t *rapid.T) {
		at := rapid.IntRange(3, len(lines)-2).Draw(t, "line")
		key, value, ok := strings.Cut(lines[at], ": ")
		if !ok || strings.Contains(key, "{") {
			t.Skip("not a field")
		}
		change := rapid.SampledFrom([]string{"unknown", "missing", "type", "value"}).Draw(t, "change")
		line := map[string]string{
			"unknown": key + "s_x: " + value,
			"missing": "# nothing",
			"type":    key + ": {x_y: 1}",
			"value":   key + ": " + rapid.SampledFrom([]string{"1", "a", "1.5", "true", "[]"}).Draw(t, "value"),
		}[change]
		changed := append([]string(nil), lines...)
		changed[at] = line
		body := []byte(strings.Join(changed, "\n"))
		if yaml.Unmarshal(body, new(any)) != nil {
			t.Skip("not YAML")
		}
		_, err := Decode("a.yaml", body)
		accepted := accepts(t, schema, body)
		require.False(t, err == nil && !accepted, "the decoder accepts a line that the schema rejects: %s", line)
		if change == "missing" {
			missing := err != nil && strings.Contains(err.Error(), "the field is missing")
			require.False(t, missing && accepted, "the schema accepts the document without %q: %v", lines[at], err)
			return
		}
		if change != "value" {
			require.Error(t, err, line)
			require.False(t, accepted, "the schema accepts %q for %q", line, lines[at])
			rejected++
		}
	})
	require.Positive(t, rejected)
}
