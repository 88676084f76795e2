package array_test

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/limpetlb/limpetlb/limpetd/array"
)

type pair struct {
	ID    string
	Count int
}

func (p *pair) DecodeMsgpack(d *msgpack.Decoder) error { return array.Decode(d, &p.ID, &p.Count) }

func TestArraysOfOtherBuildsAreRead(t *testing.T) {
	for _, c := range []struct {
		elements any
		want     pair
	}{
		{[]any{"a", 7}, pair{"a", 7}},
		{[]any{"a", 7, map[string]any{"new": []int{1, 2}}, nil}, pair{"a", 7}},
		{[]any{"a"}, pair{"a", 0}},
		{[]any{}, pair{}},
		{nil, pair{}},
	} {
		raw, err := msgpack.Marshal([]any{c.elements, "end"})
		require.NoError(t, err)
		var got pair
		var end string
		require.NoError(t, array.Decode(msgpack.NewDecoder(bytes.NewReader(raw)), &got, &end))
		require.Equal(t, c.want, got)
		require.Equal(t, "end", end)
	}
}

func TestOtherValuesThanArraysAreRefused(t *testing.T) {
	for _, v := range []any{"text", 7, map[string]int{"id": 1}, []any{7, 7}} {
		raw, err := msgpack.Marshal(v)
		require.NoError(t, err)
		var got pair
		require.Error(t, msgpack.Unmarshal(raw, &got), v)
	}
}
