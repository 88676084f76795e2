package lint_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/layout"
	"github.com/limpetlb/limpetlb/limpetd/lint"
)

// TestDifferencesAreGroupedByEffect guards against differences that are not reported because one of two versions has no
// organisations or no limit, and against findings where a version serves more than the one before.
func TestDifferencesAreGroupedByEffect(t *testing.T) {
	config := func(withKeys, public bool, rate float64, body int64) *layout.Config {
		c := &layout.Config{
			Routes:   []layout.Route{{Name: "r", Host: "h", Prefix: "/r/", Public: public, Targets: []layout.Target{{Service: "s", Weight: 1}}}},
			Services: map[string]*layout.Service{"s": {Name: "s"}},
			Limits:   layout.Limits{MaxBodyBytes: body},
		}
		if withKeys {
			o := &layout.Organisation{Name: "o", Quota: layout.Quota{PerSecond: rate, Burst: 9}}
			c.Organisations, c.Keys = []*layout.Organisation{o}, layout.NewKeyIndex(1)
			c.Keys.Add("k", o)
		}
		return c
	}
	for name, d := range map[string]struct {
		before, after *layout.Config
		want          []code.Code
	}{
		"organisations are new":    {config(false, false, 0, 0), config(true, false, 0, 0), []code.Code{code.ConfigCallersRefused}},
		"organisations are gone":   {config(true, false, 0, 0), config(false, false, 0, 0), nil},
		"public, organisations":    {config(false, false, 0, 0), config(true, true, 0, 0), nil},
		"no longer public":         {config(true, true, 0, 0), config(true, false, 0, 0), []code.Code{code.ConfigCallersRefused}},
		"a first quota":            {config(true, false, 0, 0), config(true, false, 7, 0), []code.Code{code.ConfigLimitLowered}},
		"no quota any more":        {config(true, false, 7, 0), config(true, false, 0, 0), nil},
		"raised limits":            {config(true, false, 7, 5), config(true, false, 8, 6), nil},
		"lowered, and needs a key": {config(false, false, 0, 5), config(true, false, 0, 4), []code.Code{code.ConfigCallersRefused, code.ConfigLimitLowered}},
	} {
		var got []code.Code
		for _, f := range lint.Compare(d.before, d.after) {
			got = append(got, f.Code)
		}
		require.Equal(t, d.want, got, name)
	}
}
