package docs

import (
	"bytes"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"gopkg.in/yaml.v3"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/envdoc"
	"github.com/limpetlb/limpetlb/limpetd/member"
)

// feature is a field of a later release that this one does not know.
const feature = "models_per_engine: 3\n"

func withFeature(body []byte) []byte {
	return append(bytes.Clone(body), feature...)
}

// newer is the decoder of the later release.
func newer(file string, body []byte) (*envdoc.Document, int, error) {
	known := bytes.Replace(body, []byte(feature), nil, 1)
	doc, err := envdoc.Decode(file, known)
	level := 1
	if len(known) < len(body) {
		level = 2
	}
	return doc, level, err
}

// lenient is a decoder that leaves out what it does not know.
func lenient(_ string, body []byte) (*envdoc.Document, int, error) {
	doc := &envdoc.Document{}
	return doc, 1, yaml.Unmarshal(body, doc)
}

// TestMixedVersions measures what becomes of 40 documents, half of them with a
// feature that only newer daemons know, where half the daemons are older: fields
// dropped while a document is in force, and documents that are accepted but not
// in force at a daemon 4 s later.
func TestMixedVersions(t *testing.T) {
	for _, c := range []struct {
		name string
		// level is what the older daemons are taken for and take themselves for.
		level int
		older decodeFunc
		// Each is the number expected for a document with the feature.
		dropped, behind, refused int
	}{
		{"lenient, no levels", 2, lenient, 1, 0, 0},
		{"strict, no levels", 2, decodeDocument, 0, 1, 0},
		{"strict, levels", 1, decodeDocument, 0, 0, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx := t.Context()
				random := rand.New(rand.NewPCG(1, 2))
				platform := newTable()
				peers := newFriends()
				peers.peers = []member.Peer{{VM: "old", Level: c.level}}
				deps := Deps{Table: platform, Objects: objects{platform}, Peers: peers}
				current := startWith(ctx, deps, Trial, "new", withDecoder(2, newer))
				old := start(ctx, platform, Trial, "old", withDecoder(c.level, c.older))
				used, dropped, behind, refused := 0, 0, 0, 0
				revision := int64(0)
				for range 40 {
					s := submission("s"+time.Now().Format("150405"), revision+1)
					uses := random.IntN(2) == 0
					if uses {
						used++
						s.Body = withFeature(s.Body)
					}
					accepted, err := current.Apply(ctx, s)
					time.Sleep(4 * time.Second)
					if code.Of(err) == code.DocumentLevel {
						refused++
						continue
					}
					require.NoError(t, err)
					revision = accepted.Revision
					inForce, _, _ := old.InForce()
					switch {
					case inForce != revision:
						behind++
					case uses:
						dropped++
					}
				}
				require.Greater(t, used, 10)
				t.Logf("of %d documents with the feature: dropped at the older daemon %d, not in force there %d, refused at once %d", used, dropped, behind, refused)
				require.Equal(t, []int{c.dropped * used, c.behind * used, c.refused * used}, []int{dropped, behind, refused})
			})
		})
	}
}

// TestOlderDaemonIsUnready lets an older daemon that nobody saw meet a document
// that it cannot honour: it must not serve by the one before, nor by any copy
// of it, until a document comes that it can honour.
func TestOlderDaemonIsUnready(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		platform := newTable()
		current := start(ctx, platform, Trial, "new", withDecoder(2, newer))
		old := start(ctx, platform, Trial, "old")
		_, err := current.Apply(ctx, submission("one", 1))
		require.NoError(t, err)
		time.Sleep(4 * time.Second)
		require.NoError(t, old.Unready())
		s := submission("two", 2)
		s.Body = withFeature(s.Body)
		_, err = current.Apply(ctx, s)
		require.NoError(t, err)
		time.Sleep(4 * time.Second)
		_, ok := old.Document()
		require.False(t, ok)
		require.Equal(t, code.DocumentLevel, code.Of(old.Unready()))
		require.ErrorContains(t, old.Unready(), "revision 2 needs feature level 2, this daemon has 1")
		_, err = old.Copy(old.scope())
		require.Equal(t, code.DocumentLevel, code.Of(err), "an older document is not handed on")
		old.Take(1, envdoc.Digest(document(1, "one")), document(1, "one"))
		require.Error(t, old.Unready())
		_, err = current.Apply(ctx, submission("three", 3))
		require.NoError(t, err)
		time.Sleep(4 * time.Second)
		require.NoError(t, old.Unready())
	})
}
