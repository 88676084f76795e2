package order

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// confirms answers whether reads of the VM list confirm that a VM is gone.
type confirms bool

func (c confirms) Gone(string, time.Duration) bool { return bool(c) }

// TestGoneNeedsReadsOfTheList has a VM missing from the merged list, which
// freezes while the platform's list can't be read.
func TestGoneNeedsReadsOfTheList(t *testing.T) {
	now := time.Unix(1000, 0)
	long := GoneAfter + ConnectionLifetime
	tests := []struct {
		name    string
		missing time.Duration
		reads   confirms
		want    bool
	}{
		{"missing long, reads confirm", long, true, true},
		{"missing long, the list can't be read", long, false, false},
		{"missing too short", long - time.Second, true, false},
		{"not missing", -1, true, false},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			l := &loop{
				duty:    &Duty{lifetime: ConnectionLifetime, deps: Deps{Gone: c.reads}},
				missing: map[string]time.Time{},
			}
			if c.missing >= 0 {
				l.missing["vm-1"] = now.Add(-c.missing)
			}
			require.Equal(t, c.want, l.gone("vm-1", now))
		})
	}
}
