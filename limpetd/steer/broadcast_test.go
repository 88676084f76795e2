package steer

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/crash"
	"github.com/limpetlb/limpetlb/limpetd/origin"
)

// TestFullUpdateIsSentAfterFailedEncoding guards against a new link that never gets the full state
// because the first update could not be encoded.
func TestFullUpdateIsSentAfterFailedEncoding(t *testing.T) {
	b := newBroadcaster(nil)
	s := b.add(nil)
	now := time.Now()
	failFull := func(u stateUpdate) (encodedMessage, error) {
		if u.Full {
			return nil, errors.New("not encoded")
		}
		return encode(u)
	}
	require.Error(t, b.broadcast(nil, nil, noCrashes, noOrigins, failFull, now))
	require.Empty(t, s.queue)
	var sent []stateUpdate
	record := func(u stateUpdate) (encodedMessage, error) {
		sent = append(sent, u)
		return encode(u)
	}
	require.NoError(t, b.broadcast(nil, nil, noCrashes, noOrigins, record, now))
	require.Len(t, s.queue, 1)
	require.True(t, sent[len(sent)-1].Full)
}

// noCrashes is a crashSource without facts.
func noCrashes(int64) (*crash.Facts, int64) { return nil, 0 }

// noOrigins is an originSource without facts.
func noOrigins(int64) (*origin.Facts, int64) { return nil, 0 }
