package origin

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1000, 0)

// TestManyStreamsOfOneVersionAreNotTold guards against messages for all streams of a large fleet, and against refused
// streams, while a service has one version.
func TestManyStreamsOfOneVersionAreNotTold(t *testing.T) {
	one := NewTable()
	one.SetComplete()
	one.SetVersions("s", []string{"v1"}, start)
	told, version := 0, int64(0)
	const perSecond = 2000
	for i := range 2 * 60 * perSecond {
		now := start.Add(time.Duration(i) * time.Second / perSecond)
		one.Record("s", uint64(i), "v1", now)
		if i%500 == 0 {
			var f Facts
			f, version = one.Since(version, false, now)
			require.Empty(t, f.Versions)
			require.Empty(t, f.Mixed().Streams, "nothing is saved in the store")
			for _, s := range f.Streams {
				told += len(s.IDs)
			}
		}
	}
	require.Positive(t, told)
	require.LessOrEqual(t, told, maxEarlyStreams+500)
	all, _ := one.Since(0, false, start.Add(2*time.Minute))
	require.Empty(t, all.Streams, "nor to a daemon with a new link")
	software, ok := one.Lookup("s", 1<<40, start)
	require.True(t, ok)
	require.Equal(t, "v1", software)
}

// TestStreamsOfADaemonThatStandsStillAreKnown guards against refusing streams that began, before a second version
// appeared, at a daemon that is not heard of since.
func TestStreamsOfADaemonThatStandsStillAreKnown(t *testing.T) {
	frozen, other := NewTable(), NewTable()
	for _, o := range []*Table{frozen, other} {
		o.SetComplete()
		o.SetVersions("s", []string{"v1"}, start)
	}
	frozen.Record("s", 1, "v1", start)
	f, _ := frozen.Since(0, true, start)
	other.Merge(f, start)
	other.SetVersions("s", []string{"v1", "v2"}, start.Add(time.Second))
	software, ok := other.Lookup("s", 1, start.Add(2*time.Second))
	require.True(t, ok)
	require.Equal(t, "v1", software)
	_, ok = other.Lookup("s", 2, start.Add(2*time.Second))
	require.False(t, ok)
}

// TestEarlierStreamsAreToldWhenVersionAppears guards against not knowing the streams that began before a second
// version did.
func TestEarlierStreamsAreToldWhenVersionAppears(t *testing.T) {
	one, two := NewTable(), NewTable()
	one.SetVersions("s", []string{"v1"}, start)
	one.Record("s", 1, "v1", start)
	_, told := one.Since(0, false, start)
	one.SetVersions("s", []string{"v1", "v2"}, start.Add(time.Second))
	one.Record("s", 2, "v2", start.Add(time.Second))
	f, _ := one.Since(told, false, start.Add(time.Second))
	two.Merge(f, start.Add(2*time.Second))
	for id, want := range map[uint64]string{1: "v1", 2: "v2"} {
		version, ok := two.Lookup("s", id, start.Add(2*time.Second))
		require.True(t, ok)
		require.Equal(t, want, version)
	}
	_, ok := two.Lookup("s", 3, start.Add(2*time.Second))
	require.False(t, ok, "not known")
	_, ok = two.Lookup("other", 1, start.Add(2*time.Second))
	require.False(t, ok, "a stream of another service")
}

// TestVersionThatLeftIsRemembered guards against going on at the remaining version with a stream that another one
// began, and against refusing streams for good after a version has left.
func TestVersionThatLeftIsRemembered(t *testing.T) {
	one := NewTable()
	one.SetVersions("s", []string{"v1", "v2"}, start)
	one.SetVersions("s", []string{"v2"}, start.Add(time.Second))
	_, ok := one.Lookup("s", 1, start.Add(term))
	require.False(t, ok)
	version, ok := one.Lookup("s", 1, start.Add(term+2*time.Second))
	require.True(t, ok)
	require.Equal(t, "v2", version)
}

// TestOwnRecordsAreReported guards against sending back to the lease holder what it has told, and against a new
// lease holder that does not learn it.
func TestOwnRecordsAreReported(t *testing.T) {
	one := NewTable()
	one.SetVersions("s", []string{"v1", "v2"}, start)
	one.Record("s", 1, "v1", start)
	one.Merge(Facts{Streams: []StreamFacts{{Service: "s", Software: "v2", IDs: []uint64{2}}}}, start)
	own, version := one.Since(0, true, start)
	require.Len(t, own.Streams, 1)
	require.Equal(t, []uint64{1}, own.Streams[0].IDs)
	all, _ := one.Since(0, false, start)
	require.Len(t, all.Streams, 2)
	later, _ := one.Since(version, false, start)
	require.Empty(t, later.Streams)
}

// TestMergedVersionMakesServiceMixed guards against taking the only listed version for that of all streams, while
// another daemon has seen a second one.
func TestMergedVersionMakesServiceMixed(t *testing.T) {
	one := NewTable()
	one.SetVersions("s", []string{"v1"}, start)
	one.Merge(Facts{Versions: []VersionFact{{Service: "s", Software: "v2", Age: term / 2}}}, start)
	_, ok := one.Lookup("s", 1, start)
	require.False(t, ok)
	_, ok = one.Lookup("s", 1, start.Add(term))
	require.True(t, ok, "its age counts")
}

// TestTableIsBounded guards against memory that grows with each stream, and against mixing up streams that are
// forgotten.
func TestTableIsBounded(t *testing.T) {
	one := NewTable()
	one.SetVersions("s", []string{"v1", "v2"}, start)
	for i := range uint64(maxStreams + 10) {
		one.Record("s", i, "v1", start)
	}
	require.Len(t, one.software, maxStreams)
	_, ok := one.Lookup("s", 0, start)
	require.False(t, ok)
	one.SetVersions("s", []string{"v1"}, start.Add(3*term))
	require.Empty(t, one.software)
}

// TestFirstVersionOfStreamCounts guards against a resumption of a resumption that changes the version.
func TestFirstVersionOfStreamCounts(t *testing.T) {
	one := NewTable()
	one.Record("s", 1, "v1", start)
	one.Record("s", 1, "v2", start)
	version, ok := one.Lookup("s", 1, start)
	require.True(t, ok)
	require.Equal(t, "v1", version)
}

// TestNewTableFindsOnlyRecordedStreams guards against taking the only version that is listed when a daemon starts for
// that of all streams: the servers of another one may just have left.
func TestNewTableFindsOnlyRecordedStreams(t *testing.T) {
	lookup := func(history *Facts, age time.Duration) (string, bool) {
		one := NewTable()
		one.SetVersions("s", []string{"v2"}, start)
		one.Record("s", 1, "v2", start)
		version, ok := one.Lookup("s", 1, start)
		require.True(t, ok)
		require.Equal(t, "v2", version)
		if history != nil {
			one.Merge(*history, start)
			one.SetComplete()
		}
		return one.Lookup("s", 2, start.Add(age))
	}
	_, ok := lookup(nil, term-1)
	require.False(t, ok, "not known what served before")
	_, ok = lookup(nil, term)
	require.True(t, ok)
	_, ok = lookup(&Facts{}, 0)
	require.True(t, ok, "no other version served before")
	_, ok = lookup(&Facts{Versions: []VersionFact{{Service: "s", Software: "v1", Age: term / 2}}}, 0)
	require.False(t, ok)
	_, ok = lookup(&Facts{Versions: []VersionFact{{Service: "s", Software: "v1", Age: term / 2}}}, term)
	require.True(t, ok)
}

// TestRecentStreamsOutliveOldOnesInFacts guards against forgetting a stream as early as the oldest one that another
// daemon told together with it.
func TestRecentStreamsOutliveOldOnesInFacts(t *testing.T) {
	one, two := NewTable(), NewTable()
	one.SetVersions("s", []string{"v1", "v2"}, start)
	for i := range uint64(60) {
		one.Record("s", i, "v1", start.Add(time.Duration(i)*time.Second))
	}
	at := start.Add(term - time.Second)
	f, _ := one.Since(0, false, at)
	two.SetVersions("s", []string{"v1", "v2"}, at)
	two.Merge(f, at)
	two.Merge(Facts{}, at.Add(term-2*factSpan))
	_, ok := two.Lookup("s", 59, at.Add(term-2*factSpan))
	require.True(t, ok)
	_, ok = two.Lookup("s", 1, at.Add(2*factSpan))
	require.False(t, ok, "it is over a minute old")
}
