package order

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// fakeVMAbsence is the fixed answer whether reads of the VM list confirm that a VM
// is gone.
type fakeVMAbsence bool

func (c fakeVMAbsence) IsGone(string, time.Duration) bool { return bool(c) }

// TestVMAbsenceRequiresConfirmation guards against treating a VM as gone only because the
// merged VM list lacks the VM. The merged list does not change while the platform's
// list can't be read.
func TestVMAbsenceRequiresConfirmation(t *testing.T) {
	now := time.Unix(1000, 0)
	longEnough := VMGoneTimeout + ConnectionLifetime
	tests := []struct {
		name      string
		missing   time.Duration
		confirmed fakeVMAbsence
		want      bool
	}{
		{"missing for long enough and confirmed by reads", longEnough, true, true},
		{"missing for long enough but not confirmed by reads", longEnough, false, false},
		{"not missing for long enough", longEnough - time.Second, true, false},
		{"not missing", -1, true, false},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			l := &loop{
				controller:   &Controller{connectionLifetime: ConnectionLifetime, deps: Deps{VMAbsence: c.confirmed}},
				missingSince: map[string]time.Time{},
			}
			if c.missing >= 0 {
				l.missingSince["vm-1"] = now.Add(-c.missing)
			}
			require.Equal(t, c.want, l.gone("vm-1", now))
		})
	}
}
