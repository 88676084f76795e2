package batch

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/fakes"
	_ "github.com/limpetlb/limpetlb/limpetd/seeds"
	"github.com/limpetlb/limpetlb/limpetd/store"
)

func TestBatchIsDurableBeforeItIsAccepted(t *testing.T) {
	cases := []struct {
		name    string
		faults  []fakes.Fault
		objects fakes.Fault
		code    code.Code
		run     code.Run
	}{
		{"no fault", nil, fakes.None, code.OK, code.RunYes},
		{"answer lost", []fakes.Fault{fakes.LostAnswer}, fakes.None, code.OK, code.RunYes},
		{"transaction lost", []fakes.Fault{fakes.LostCall}, fakes.None, code.OK, code.RunYes},
		{"transaction late", []fakes.Fault{fakes.LateEffect}, fakes.None, code.OK, code.RunYes},
		{"table down", []fakes.Fault{fakes.Down}, fakes.None, code.BatchStoreDown, code.RunNo},
		{"not known", []fakes.Fault{fakes.LostCall, fakes.LostCall, fakes.LostCall, fakes.LostCall}, fakes.None, code.BatchStoreDown, code.RunUnknown},
		{"objects down", nil, fakes.Down, code.BatchStoreDown, code.RunNo},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := &fakes.Table{Fault: func(n int) fakes.Fault {
				if n < len(c.faults) {
					return c.faults[n]
				}
				return fakes.None
			}}
			inWorld(t, table, func(t *testing.T, w *world) {
				d, stop := w.daemon(t, w.table)
				defer stop()
				w.objects.Fault = func() fakes.Fault { return c.objects }
				j, err := d.Submit(t.Context(), submission(1))
				require.Equal(t, c.code, code.Of(err))
				require.Equal(t, c.run, code.RunOf(err))
				_, err = d.Get(t.Context(), "app", j.ID)
				require.Equal(t, c.code == code.OK, err == nil)
			})
		})
	}
}

func TestDeathOfTheHolderRepeatsOnlyWhatWasNotSaved(t *testing.T) {
	inWorld(t, &fakes.Table{}, func(t *testing.T, w *world) {
		first, die := w.mortal(t)
		j, err := first.Submit(t.Context(), submission(items))
		require.NoError(t, err)
		for w.answerer.done() == 0 {
			time.Sleep(time.Second)
		}
		time.Sleep(itemTime + itemTime/2)
		second, stop := w.daemon(t, w.table)
		defer stop()
		die()
		got := ended(t, second, j.ID)
		require.Equal(t, StateDone, got.State)
		requireWhole(t, second, j.ID, items)
		repeats := 0
		for _, n := range w.answerer.ended {
			repeats += n - 1
		}
		require.LessOrEqual(t, repeats, DefaultRequestsAtOnce)
	})
}

// cutTable is a table that a daemon loses the connection to.
type cutTable struct {
	store.Table
	mu  sync.Mutex
	cut bool
}

func (c *cutTable) set(cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut = cut
}

func (c *cutTable) down() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cut {
		return code.Errorf(code.StoreDown, "cut off")
	}
	return nil
}

func (c *cutTable) Apply(ctx context.Context, tx store.Tx) error {
	if err := c.down(); err != nil {
		return err
	}
	return c.Table.Apply(ctx, tx)
}

func (c *cutTable) Get(ctx context.Context, keys ...string) ([]store.Row, error) {
	if err := c.down(); err != nil {
		return nil, err
	}
	return c.Table.Get(ctx, keys...)
}

// Scan returns rows by prefix.
func (c *cutTable) Scan(ctx context.Context, prefix, after string, limit int) ([]store.Row, error) {
	if err := c.down(); err != nil {
		return nil, err
	}
	return c.Table.Scan(ctx, prefix, after, limit)
}

// mortal starts a daemon that dies without a last word to the table.
func (w *world) mortal(t *testing.T) (d *Duty, die func()) {
	cut := &cutTable{Table: w.table}
	d, stop := w.daemon(t, cut)
	return d, func() {
		cut.set(true)
		stop()
	}
}

// TestResultIsWrittenOnceWhenAHolderWasCutOff cuts the holder off until another
// daemon has taken the job over and ended it.
func TestResultIsWrittenOnceWhenAHolderWasCutOff(t *testing.T) {
	inWorld(t, &fakes.Table{}, func(t *testing.T, w *world) {
		cut := &cutTable{Table: w.table}
		first, stopFirst := w.daemon(t, cut)
		defer stopFirst()
		j, err := first.Submit(t.Context(), submission(items))
		require.NoError(t, err)
		time.Sleep(itemTime)
		cut.set(true)
		second, stopSecond := w.daemon(t, w.table)
		defer stopSecond()
		got := ended(t, second, j.ID)
		require.Equal(t, 2, got.Holds)
		cut.set(false)
		time.Sleep(time.Minute)
		after, err := first.Get(t.Context(), "app", j.ID)
		require.NoError(t, err)
		require.Equal(t, got, after, "the first holder ended the job a second time")
		requireWhole(t, first, j.ID, items)
	})
}

func TestLeavingHandsTheJobOver(t *testing.T) {
	inWorld(t, &fakes.Table{}, func(t *testing.T, w *world) {
		w.saveEvery = time.Hour
		first, stop := w.daemon(t, w.table)
		defer stop()
		j, err := first.Submit(t.Context(), submission(items))
		require.NoError(t, err)
		for w.answerer.done() == 0 {
			time.Sleep(time.Second)
		}
		require.NoError(t, first.Leave(t.Context()))
		held, err := first.Get(t.Context(), "app", j.ID)
		require.NoError(t, err)
		require.True(t, held.Takeable(time.Now()))
		second, stopSecond := w.daemon(t, w.table)
		defer stopSecond()
		require.Equal(t, StateDone, ended(t, second, j.ID).State)
		requireWhole(t, second, j.ID, items)
		for prompt, n := range w.answerer.ended {
			require.Equal(t, 1, n, prompt)
		}
	})
}

// TestJobEndsOnceUnderAnyFaults lets daemons die and transactions fail.
func TestJobEndsOnceUnderAnyFaults(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		faults := rapid.SliceOfN(rapid.SampledFrom([]fakes.Fault{
			fakes.None, fakes.Down, fakes.LostAnswer, fakes.LostCall, fakes.LateEffect,
		}), 0, 40).Draw(r, "faults")
		lives := rapid.SliceOfN(rapid.IntRange(1, 300), 0, 4).Draw(r, "lives")
		table := &fakes.Table{Fault: func(n int) fakes.Fault {
			// The first transaction accepts the job.
			if n > 0 && n <= len(faults) {
				return faults[n-1]
			}
			return fakes.None
		}}
		inWorld(t, table, func(t *testing.T, w *world) {
			last, stop := w.mortal(t)
			j, err := last.Submit(t.Context(), submission(items))
			require.NoError(t, err)
			for _, seconds := range lives {
				time.Sleep(time.Duration(seconds) * time.Second)
				stop()
				last, stop = w.mortal(t)
			}
			defer func() { stop() }()
			got := ended(t, last, j.ID)
			require.Equal(t, StateDone, got.State)
			requireWhole(t, last, j.ID, items)
			time.Sleep(5 * time.Minute)
			after, err := last.Get(t.Context(), "app", j.ID)
			require.NoError(t, err)
			require.Equal(t, got, after)
			open, err := w.table.Scan(t.Context(), openPrefix("test"), "", 10)
			require.NoError(t, err)
			require.Empty(t, open)
		})
	})
}

// TestResultIsStoredBeforeTheJobEnds takes the object store away while the
// result is due, with the table there.
func TestResultIsStoredBeforeTheJobEnds(t *testing.T) {
	inWorld(t, &fakes.Table{}, func(t *testing.T, w *world) {
		var down atomic.Bool
		w.objects.Fault = func() fakes.Fault { return downIf(&down) }
		d, stop := w.daemon(t, w.table)
		defer stop()
		j, err := d.Submit(t.Context(), submission(1))
		require.NoError(t, err)
		for held := j; held.State == StateQueued; time.Sleep(time.Second) {
			held, err = d.Get(t.Context(), "app", j.ID)
			require.NoError(t, err)
		}
		down.Store(true)
		time.Sleep(2 * itemTime)
		got, err := d.Get(t.Context(), "app", j.ID)
		require.NoError(t, err)
		require.False(t, got.Final(), "the job ended without its result")
		down.Store(false)
		require.Equal(t, StateDone, ended(t, d, j.ID).State)
		requireWhole(t, d, j.ID, 1)
	})
}
