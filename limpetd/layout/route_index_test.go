package layout_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/layout"
)

func TestRouteIndexMatchesLongestPrefix(t *testing.T) {
	p := layout.NewRouteIndex([]layout.Route{
		{Name: "root", Host: "a.example", Prefix: "/"},
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/x/"},
	})
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/y/1", "long"},
		{"a.example:80", "/x/1", "short"},
		{"a.example", "/x/z/y/1", "short"},
		{"a.example", "/xy/1", "root"},
		{"a.example", "/x", "root"},
		{"b.example", "/x/", "other"},
		{"b.example", "/x", ""},
		{"c.example", "/x/", ""},
	} {
		r, ok := p.Match(c.host, c.path)
		require.Equal(t, c.want != "", ok, c)
		if ok {
			require.Equal(t, c.want, r.Name, c)
		}
	}
}
