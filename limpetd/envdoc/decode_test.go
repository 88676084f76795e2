package envdoc

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/limpetlb/limpetlb/limpetd/code"
	_ "github.com/limpetlb/limpetlb/limpetd/seeds"
)

// example returns the body of an example document.
func example(t testing.TB, name string) []byte {
	body, err := os.ReadFile(filepath.Join("..", "..", "examples", name))
	require.NoError(t, err)
	return body
}

func TestExamplesHaveDeploymentSizes(t *testing.T) {
	for _, c := range []struct {
		file, pool, service string
		models, adapters    int
	}{
		{"andesoft.yaml", "assistant", "app", 15, 75},
		{"ibeji.yaml", "drafting", "dispatch", 26, 63},
	} {
		doc, err := Decode(c.file, example(t, c.file))
		require.NoError(t, err)
		require.Len(t, doc.Models, c.models)
		require.Len(t, doc.Slots(), c.models+c.adapters)
		require.Equal(t, c.pool, doc.Models[0].Pool)
		require.Equal(t, c.service, doc.Services[0].Name)
		require.Equal(t, 1, RequiredLevel(doc))
		caller, ok := doc.CallerByKey("example-" + doc.Callers[0].Name)
		require.True(t, ok)
		require.Equal(t, doc.Callers[0].Name, caller.Name)
		_, ok = doc.CallerByKey("example-nobody")
		require.False(t, ok)
	}
}

func TestDecodeReportsAllFaultsWithPositions(t *testing.T) {
	body := string(example(t, "andesoft.yaml"))
	body = strings.Replace(body, "revision: 1", "revison: 1", 1)
	body = strings.Replace(body, "first_token: 900ms", "first_token: soon", 1)
	body = strings.Replace(body, "memory_mb: 24000", "memory_mb: lots", 1)
	body = strings.Replace(body, "services: [app]", "services: [shop]", 1)
	body = strings.Replace(body, "rank: 2", "rank: 1", 1)
	_, err := Decode("a.yaml", []byte(body))
	require.Equal(t, code.DocumentInvalid, code.Of(err))
	for _, want := range []string{
		"a.yaml:4:1: unknown field \"revison\", did you mean \"revision\"?\n    revison: 1",
		"revision: the field is missing",
		"a.yaml:15:18: priorities[0].first_token: must be a time span such as 1500ms or 8h\n        first_token: soon",
		"a.yaml:24:11: priorities[2].rank: rank 1 is declared twice",
		"models[0].memory_mb: must be a whole number",
		"callers[0].services[0]: service \"shop\" is not declared",
	} {
		require.ErrorContains(t, err, want)
	}
	require.Equal(t, 6, strings.Count(err.Error(), "a.yaml:"))
}

func TestDecodeRejectsInvalidDocuments(t *testing.T) {
	whole := string(example(t, "ibeji.yaml"))
	for name, c := range map[string]struct{ old, replacement, want string }{
		"invalid UTF-8":       {"environment: ibeji", "environment: \xff", "not UTF-8"},
		"empty":               {whole, "", "the document is empty"},
		"two documents":       {"environment: ibeji", "a: 1\n---\nenvironment: ibeji", "only one document"},
		"syntax":              {"weights:", "weights: [", "y.yaml:"},
		"anchor":              {"environment: ibeji", "environment: &a ibeji", "anchors and aliases"},
		"duplicate field":     {"environment: ibeji", "environment: ibeji\nenvironment: ibeji", "is given twice"},
		"null":                {"environment: ibeji", "environment:", "must be a string"},
		"not a number":        {"moves: 7", "moves: .nan", "finite"},
		"unquoted number":     {`version: "7.0"`, "version: 7.0", "put it in quotes"},
		"missing deadline":    {"deadline: 10h", "deadline: 0s", "needs a deadline"},
		"repeatable with key": {"path: /sends, key", "path: /sends, repeatable: true, key", "needs no idempotency key"},
		"parent segment":      {"path: /sends,", "path: /../orders,", "is not a valid path"},
		"engine pool":         {"pool: dispatch", "pool: drafting", "is a pool of engines"},
		"duplicate name":      {"name: draft-cocoa\n", "name: draft-cement\n", "declared twice"},
		"invalid key digest":  {"key_sha256: ", "key_sha256: A", "64 hexadecimal digits"},
	} {
		t.Run(name, func(t *testing.T) {
			require.Contains(t, whole, c.old)
			_, err := Decode("y.yaml", []byte(strings.Replace(whole, c.old, c.replacement, 1)))
			require.Equal(t, code.DocumentInvalid, code.Of(err))
			require.ErrorContains(t, err, c.want)
		})
	}
	_, err := Decode("big.yaml", make([]byte, MaxBytes+1))
	require.Equal(t, code.DocumentTooLarge, code.Of(err))
}

// TestLookupMatchesScan checks that Lookup returns the same with and without an
// index.
func TestLookupMatchesScan(t *testing.T) {
	doc, err := Decode("ibeji.yaml", example(t, "ibeji.yaml"))
	require.NoError(t, err)
	unindexed := *doc
	unindexed.index = nil
	var names []string
	for _, s := range doc.Slots() {
		names = append(names, s.Model, s.Adapter)
	}
	names = append(names, "nothing")
	rapid.Check(t, func(t *rapid.T) {
		name := rapid.SampledFrom(names).Draw(t, "name")
		m, a, ok := doc.Lookup(name)
		wantModel, wantAdapter, wantOK := unindexed.Lookup(name)
		require.Equal(t, wantOK, ok)
		require.Equal(t, wantModel, m)
		require.Equal(t, wantAdapter, a)
	})
}

// FuzzDecode checks that the position of each fault is at most one line past the end
// of the document, and that an accepted document satisfies rules that other packages
// rely on.
func FuzzDecode(f *testing.F) {
	f.Add(example(f, "andesoft.yaml"))
	f.Add(example(f, "ibeji.yaml"))
	f.Add([]byte("models: [{name: a, adapters: [{}]}]\nweights: 3\n? [a]\n: b"))
	f.Add([]byte("a: &a [*a]"))
	f.Fuzz(func(t *testing.T, body []byte) {
		doc, faults := Validate("f.yaml", body)
		require.Equal(t, doc == nil, len(faults) > 0)
		lines := len(splitLines(body))
		for _, f := range faults {
			require.GreaterOrEqual(t, f.Line, 1)
			require.LessOrEqual(t, f.Line, lines+1)
			require.GreaterOrEqual(t, f.Column, 1)
		}
		if doc == nil {
			return
		}
		for _, s := range doc.Slots() {
			m, _, ok := doc.Lookup(s.Model)
			require.True(t, ok)
			require.Positive(t, m.MemoryMB)
		}
	})
}
