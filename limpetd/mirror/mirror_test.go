package mirror_test

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/life"
	"github.com/limpetlb/limpetlb/limpetd/mirror"
)

// source is a store with one table.
type source struct {
	mu      sync.Mutex
	rows    map[string]mirror.Row
	version int64
	calls   int
	down    bool
	// stale is subtracted from the version of full reads.
	stale int64
	// lost makes the next feed say that its history is gone.
	lost bool
}

func (s *source) set(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rows == nil {
		s.rows = map[string]mirror.Row{}
	}
	s.version++
	s.rows[key] = mirror.Row{Key: key, Value: []byte(value), Version: s.version}
}

func (s *source) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *source) Read(context.Context, string) ([]mirror.Row, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.down {
		return nil, 0, errors.New("down")
	}
	var list []mirror.Row
	for _, r := range s.rows {
		if r.Version <= s.version-s.stale {
			list = append(list, r)
		}
	}
	return list, s.version - s.stale, nil
}

func (s *source) Changes(ctx context.Context, _ string, after int64, wait time.Duration) ([]mirror.Row, int64, error) {
	s.mu.Lock()
	s.calls++
	s.mu.Unlock()
	for end := time.Now().Add(wait); ; {
		s.mu.Lock()
		if s.down || s.lost {
			err := errors.New("down")
			if s.lost {
				err, s.lost = mirror.ErrHistory, false
			}
			s.mu.Unlock()
			return nil, 0, err
		}
		var list []mirror.Row
		for _, r := range s.rows {
			if r.Version > after {
				list = append(list, r)
			}
		}
		version := s.version
		s.mu.Unlock()
		if len(list) > 0 || !time.Now().Before(end) {
			return list, version, ctx.Err()
		}
		if !life.Sleep(ctx, 10*time.Millisecond) {
			return nil, 0, ctx.Err()
		}
	}
}

func TestTableNeverGoesBack(t *testing.T) {
	var table mirror.Table
	require.True(t, table.Replace([]mirror.Row{{Key: "a", Version: 5, Value: []byte("new")}}, 5))
	table.Merge([]mirror.Row{{Key: "a", Version: 3, Value: []byte("old")}}, 3)
	require.Equal(t, "new", string(table.Rows()["a"].Value))
	require.False(t, table.Replace([]mirror.Row{{Key: "a", Version: 3, Value: []byte("old")}}, 4))
}

func TestSincePassesChangesAndDeletionsOn(t *testing.T) {
	var one, two mirror.Table
	require.True(t, one.Replace([]mirror.Row{{Key: "a", Version: 1}, {Key: "b", Version: 2}}, 2))
	require.True(t, two.Replace([]mirror.Row{{Key: "a", Version: 1}, {Key: "b", Version: 2}}, 2))
	one.Merge([]mirror.Row{{Key: "a", Version: 3, Deleted: true}, {Key: "c", Version: 4}}, 4)
	u, ok := one.Since(2)
	require.True(t, ok)
	two.Merge(u.Rows, u.To)
	require.Equal(t, one.Rows(), two.Rows())
	_, ok = one.Since(1)
	require.False(t, ok, "deletions before the first read are not known")
}

// follow runs a follower and returns the value of a key.
func follow(ctx context.Context, s *source, opts ...mirror.Option) (*mirror.Follower, func(string) string) {
	var mu sync.Mutex
	var rows map[string]mirror.Row
	f := mirror.NewFollower("t", s, func(r map[string]mirror.Row) {
		mu.Lock()
		rows = r
		mu.Unlock()
	}, opts...)
	go f.Run(ctx)
	return f, func(key string) string {
		mu.Lock()
		defer mu.Unlock()
		return string(rows[key].Value)
	}
}

func TestFollowsChangesThroughOutagesAndLostHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &source{}
		s.set("k", "1")
		_, value := follow(t.Context(), s)
		time.Sleep(time.Second)
		require.Equal(t, "1", value("k"))
		s.mu.Lock()
		s.down = true
		s.mu.Unlock()
		time.Sleep(3 * time.Second)
		require.Equal(t, "1", value("k"), "what is known stays")
		s.mu.Lock()
		s.down, s.lost, s.stale = false, true, 1
		s.mu.Unlock()
		s.set("k", "2")
		s.set("k", "3")
		time.Sleep(time.Second)
		s.mu.Lock()
		s.stale = 0
		s.mu.Unlock()
		time.Sleep(time.Second)
		require.Equal(t, "3", value("k"))
	})
}

func TestDaemonThatIsToldDoesNotAskTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &source{}
		s.set("k", "1")
		passing, _ := follow(t.Context(), s, mirror.WithPassing(func() bool { return true }))
		told := &source{}
		told.set("k", "1")
		f, value := follow(t.Context(), told)
		time.Sleep(time.Second)
		tell := func(period time.Duration) {
			for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(period) {
				if u, ok := passing.Since(f.Version(), time.Now()); ok {
					f.Offer(u, time.Now())
				}
			}
		}
		before := told.count()
		s.set("k", "2")
		tell(200 * time.Millisecond)
		require.Equal(t, "2", value("k"))
		require.LessOrEqual(t, told.count()-before, 1)
		before = told.count()
		time.Sleep(10 * time.Second)
		require.Greater(t, told.count()-before, 5, "without word it follows the store itself")
	})
}

func TestNothingIsPassedOnFromASilentStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &source{}
		s.set("k", "1")
		f, _ := follow(t.Context(), s, mirror.WithPassing(func() bool { return true }))
		time.Sleep(time.Second)
		_, ok := f.Since(1, time.Now())
		require.True(t, ok)
		s.mu.Lock()
		s.down = true
		s.mu.Unlock()
		time.Sleep(1500 * time.Millisecond)
		_, ok = f.Since(1, time.Now())
		require.False(t, ok)
	})
}

// TestDaemonsThatFollowForThemselvesAskSeldom: while engines registered at the start of a
// fleet, each of its daemons asked for the changes of each table eight times a second.
func TestDaemonsThatFollowForThemselvesAskSeldom(t *testing.T) {
	for _, c := range []struct {
		passing     bool
		least, most int
	}{{false, 10, 20}, {true, 60, 90}} {
		synctest.Test(t, func(t *testing.T) {
			s := &source{}
			s.set("k", "0")
			_, value := follow(t.Context(), s, mirror.WithPassing(func() bool { return c.passing }))
			time.Sleep(time.Second)
			before := s.count()
			last := ""
			for i := range 200 {
				last = strconv.Itoa(i)
				s.set("k", last)
				time.Sleep(50 * time.Millisecond)
			}
			require.LessOrEqual(t, s.count()-before, c.most)
			require.GreaterOrEqual(t, s.count()-before, c.least)
			time.Sleep(time.Second)
			require.Equal(t, last, value("k"), "a change is known within a second")
		})
	}
}
