package steer

import (
	"reflect"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/limpetlb/limpetlb/limpetd/crash"
	"github.com/limpetlb/limpetlb/limpetd/origin"
	"github.com/limpetlb/limpetlb/limpetd/sched"
)

// TestArraysKeepAllFieldsAndReadThoseOfOtherBuilds guards against a field without an element, and against messages that
// daemons of two builds can't read from each other.
func TestArraysKeepAllFieldsAndReadThoseOfOtherBuilds(t *testing.T) {
	for _, message := range []any{
		&sched.Brittleness{}, &sched.Limit{}, &sched.ReservationRequest{}, &sched.Reservation{}, &sched.Sample{}, &sched.ServerLoad{},
		&crash.Facts{}, &crash.EndFact{}, &crash.AnswerFact{}, &crash.StrikeFact{}, &crash.Suspect{},
		&origin.Facts{}, &origin.VersionFact{}, &origin.StreamFacts{},
		&serverStart{}, &streams{},
	} {
		kind := reflect.TypeOf(message).Elem()
		fill(reflect.ValueOf(message).Elem())
		raw, err := msgpack.Marshal(message)
		require.NoError(t, err, kind)
		var elements []any
		require.NoError(t, msgpack.Unmarshal(raw, &elements), kind)
		got := reflect.New(kind)
		require.NoError(t, msgpack.Unmarshal(raw, got.Interface()), kind)
		require.Equal(t, message, got.Interface())

		more, err := msgpack.Marshal(append(elements[:len(elements):len(elements)], "new"))
		require.NoError(t, err)
		got = reflect.New(kind)
		require.NoError(t, msgpack.Unmarshal(more, got.Interface()), kind)
		require.Equal(t, message, got.Interface())

		fewer, err := msgpack.Marshal(elements[:len(elements)-1])
		require.NoError(t, err)
		got = reflect.New(kind)
		require.NoError(t, msgpack.Unmarshal(fewer, got.Interface()), kind)
		require.Equal(t, reflect.ValueOf(message).Elem().Field(1).Interface(), got.Elem().Field(1).Interface())
	}
}

// TestMessagesWithoutQuotasAreThoseOfOlderBuilds guards against other bytes between daemons of deployments without quotas.
func TestMessagesWithoutQuotasAreThoseOfOlderBuilds(t *testing.T) {
	// These are the fields of builds without quotas.
	type request struct {
		_msgpack                                     struct{} `msgpack:",as_array"` //nolint:unused // The codec reads the tag.
		Service, Model, Adapter                      string
		Tokens                                       int
		Session                                      uint64
		MaxStartDelay, MaxPause, ShortestExpectation time.Duration
		IsTopPriority                                bool
		Excluded                                     []string
	}
	type reservation struct {
		_msgpack  struct{} `msgpack:",as_array"` //nolint:unused // The codec reads the tag.
		Verdict   sched.Verdict
		Server    string
		Delay     time.Duration
		Exclusive bool
	}
	for _, pair := range [][2]any{
		{sched.ReservationRequest{}, request{}},
		{
			&sched.ReservationRequest{Service: "s", Model: "m", Adapter: "a", Tokens: 1460, Session: 1 << 63, MaxStartDelay: time.Second, MaxPause: -1, IsTopPriority: true, Excluded: []string{"e1"}},
			&request{Service: "s", Model: "m", Adapter: "a", Tokens: 1460, Session: 1 << 63, MaxStartDelay: time.Second, MaxPause: -1, IsTopPriority: true, Excluded: []string{"e1"}},
		},
		{sched.Reservation{}, reservation{}},
		{&sched.Reservation{Verdict: sched.Full, Server: "e1", Delay: time.Minute}, &reservation{Verdict: sched.Full, Server: "e1", Delay: time.Minute}},
	} {
		got, err := msgpack.Marshal(pair[0])
		require.NoError(t, err)
		want, err := msgpack.Marshal(pair[1])
		require.NoError(t, err)
		require.Equal(t, want, got)
	}
}

// fill sets v and what it contains to values other than zero.
func fill(v reflect.Value) {
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Type().Field(i).Name != "_msgpack" {
				fill(v.Field(i))
			}
		}
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem())
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		fill(v.Index(0))
		fill(v.Index(1))
	case reflect.String:
		v.SetString("text")
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Float64:
		v.SetFloat(1.5)
	case reflect.Uint64:
		v.SetUint(1 << 63)
	default:
		v.SetInt(7)
	}
}
