package cmds

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestCheckOfDocuments guards against findings in the examples, and against changes of a document that a check does not
// find or whose status scripts can't tell apart.
func TestCheckOfDocuments(t *testing.T) {
	folder := t.TempDir()
	example, err := os.ReadFile("../../examples/andesoft.yaml")
	require.NoError(t, err)
	write := func(name, text string) string {
		path := filepath.Join(folder, name)
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	clean := write("clean.yaml", string(example))
	line := func(prefix string) string {
		_, rest, _ := strings.Cut(string(example), prefix)
		value, _, _ := strings.Cut(rest, "\n")
		return prefix + value
	}
	key, rate := line("key_sha256: "), line("requests_per_second: ")
	for name, c := range map[string]struct {
		args   []string
		status int
		want   string
	}{
		"clean":       {[]string{clean}, 0, ""},
		"other":       {[]string{"../../examples/ibeji.yaml"}, 0, ""},
		"same":        {[]string{clean, "--against", clean}, 0, ""},
		"invalid":     {[]string{write("invalid.yaml", strings.Replace(string(example), "revision:", "revisoin:", 1))}, 1, "1600 document_invalid: "},
		"key":         {[]string{write("key.yaml", strings.Replace(string(example), key, "key_sha256: "+strings.Repeat("a", 64), 1)), "--against", clean}, 1, "2031 config_keys_withdrawn: callers: 1 keys"},
		"rate":        {[]string{write("rate.yaml", strings.Replace(string(example), rate, "requests_per_second: 0.5", 1)), "--against", clean}, 1, "2033 config_limit_lowered: "},
		"missing":     {[]string{"none.yaml"}, 2, ""},
		"against bad": {[]string{clean, "--against", write("bad.yaml", "{")}, 2, ""},
		"platform":    {[]string{write("platform.json", `{"version":1,"routes":[]}`)}, 2, ""},
	} {
		var out, errs bytes.Buffer
		status := Run(t.Context(), append([]string{"check"}, c.args...), Streams{Out: &out, Err: &errs})
		require.Equal(t, c.status, status, "%s: %s%s", name, out.String(), errs.String())
		require.Contains(t, out.String(), c.want, name)
		require.Equal(t, c.status == 2, errs.Len() > 0, name)
	}
}
