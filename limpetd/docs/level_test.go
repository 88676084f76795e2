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

// newField is a document field of a later release that this release does not
// support.
const newField = "models_per_engine: 3\n"

// withNewField returns a document body that uses newField.
func withNewField(body []byte) []byte {
	return append(bytes.Clone(body), newField...)
}

// decodeNewer is the decoder of the later release. newField needs feature level 2.
func decodeNewer(file string, body []byte) (*envdoc.Document, int, error) {
	stripped := bytes.Replace(body, []byte(newField), nil, 1)
	doc, err := envdoc.Decode(file, stripped)
	level := 1
	if len(stripped) < len(body) {
		level = 2
	}
	return doc, level, err
}

// decodeLenient is a decoder that ignores unknown fields.
func decodeLenient(_ string, body []byte) (*envdoc.Document, int, error) {
	doc := &envdoc.Document{}
	return doc, 1, yaml.Unmarshal(body, doc)
}

// TestMixedVersions applies 40 documents, about half of them with a new field, to a
// fleet in which one of two daemons is of an older release. It counts the documents
// with the field that are rejected on submission, that are in force at the older
// daemon without the field, and that are accepted but not in force there after 4 s.
func TestMixedVersions(t *testing.T) {
	for _, c := range []struct {
		name string
		// level is the feature level that the older daemon reports and assumes.
		level int
		older decodeFunc
		// The expected counts for each document with the new field.
		dropped, behind, rejected int
	}{
		{"lenient, no levels", 2, decodeLenient, 1, 0, 0},
		{"strict, no levels", 2, decodeDocument, 0, 1, 0},
		{"strict, levels", 1, decodeDocument, 0, 0, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx := t.Context()
				random := rand.New(rand.NewPCG(1, 2))
				platform := newFakeTable()
				peers := newFakePeers()
				peers.peers = []member.Peer{{VM: "old", Level: c.level}}
				deps := Deps{Table: platform, Objects: fakeObjects{platform}, Peers: peers}
				current := startWith(ctx, deps, Trial, "new", withDecoder(2, decodeNewer))
				old := start(ctx, platform, Trial, "old", withDecoder(c.level, c.older))
				used, dropped, behind, rejected := 0, 0, 0, 0
				revision := int64(0)
				for range 40 {
					s := submission("s"+time.Now().Format("150405"), revision+1)
					uses := random.IntN(2) == 0
					if uses {
						used++
						s.Body = withNewField(s.Body)
					}
					accepted, err := current.Apply(ctx, s)
					time.Sleep(4 * time.Second)
					if code.Of(err) == code.DocumentLevel {
						rejected++
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
				t.Logf("of %d documents with the new field: %d in force at the older daemon without the field, %d not in force there, %d rejected on submission", used, dropped, behind, rejected)
				require.Equal(t, []int{c.dropped * used, c.behind * used, c.rejected * used}, []int{dropped, behind, rejected})
			})
		})
	}
}

// TestOlderDaemonIsUnready guards against an older daemon that keeps serving by an
// outdated document. The newer daemon has no peers, so it accepts a document that
// the older daemon does not support. The older daemon must then serve neither by the
// previous document nor by a copy of the previous document, until a supported
// document is accepted.
func TestOlderDaemonIsUnready(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		platform := newFakeTable()
		current := start(ctx, platform, Trial, "new", withDecoder(2, decodeNewer))
		old := start(ctx, platform, Trial, "old")
		_, err := current.Apply(ctx, submission("one", 1))
		require.NoError(t, err)
		time.Sleep(4 * time.Second)
		require.NoError(t, old.ReadyError())
		s := submission("two", 2)
		s.Body = withNewField(s.Body)
		_, err = current.Apply(ctx, s)
		require.NoError(t, err)
		time.Sleep(4 * time.Second)
		_, ok := old.Document()
		require.False(t, ok)
		require.Equal(t, code.DocumentLevel, code.Of(old.ReadyError()))
		require.ErrorContains(t, old.ReadyError(), "revision 2 needs feature level 2, this daemon has 1")
		_, err = old.Copy(old.scope())
		require.Equal(t, code.DocumentLevel, code.Of(err), "an outdated document must not be copied to peers")
		old.Install(1, envdoc.Digest(document(1, "one")), document(1, "one"))
		require.Error(t, old.ReadyError())
		_, err = current.Apply(ctx, submission("three", 3))
		require.NoError(t, err)
		time.Sleep(4 * time.Second)
		require.NoError(t, old.ReadyError())
	})
}
