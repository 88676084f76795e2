package object

import (
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/store"
	"github.com/limpetlb/limpetlb/limpetlab/fault"
)

// TestDeleteOverHTTP deletes an object under each fault. A call that was dropped or
// refused must leave the object in place; a call with a lost answer must not.
func TestDeleteOverHTTP(t *testing.T) {
	faults := fault.NewSwitch()
	s := New(WithFaults(faults))
	server := httptest.NewServer(s.Handler())
	defer server.Close()
	client := store.NewClient(server.URL)
	defer client.Close()
	objects := client.Objects()
	const key = "batch/lab/input/1/2"
	require.NoError(t, objects.Put(t.Context(), key, []byte("body")))

	faults.Set(ServerName, fault.Action{Kind: fault.Drop})
	require.Equal(t, code.StoreUnknown, code.Of(objects.Delete(t.Context(), key)))
	faults.Set(ServerName, fault.Action{Kind: fault.Down})
	require.Equal(t, code.StoreDown, code.Of(objects.Delete(t.Context(), key)))
	require.Equal(t, 1, s.Stats().Objects)
	faults.Set(ServerName, fault.Action{Kind: fault.Lost})
	require.Equal(t, code.StoreUnknown, code.Of(objects.Delete(t.Context(), key)))
	faults.Clear(ServerName)

	require.NoError(t, objects.Delete(t.Context(), key), "deleting a missing object must succeed")
	_, err := objects.Get(t.Context(), key)
	require.Equal(t, code.StoreNotFound, code.Of(err))
	require.Equal(t, Stats{Puts: 1, Gets: 1, Deletes: 2}, s.Stats())
}
