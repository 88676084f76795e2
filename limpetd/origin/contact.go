package origin

import "time"

// settleTime is how long contact must last after a gap until what was received counts as current: a process that
// stood still first receives what was sent to it meanwhile.
const settleTime = 300 * time.Millisecond

// Contact records how recently a daemon received the versions and streams of the others. Its times must include those in
// which the VM was suspended. It is not safe for concurrent use.
type Contact struct {
	// MaxAge is the age up to which what was received counts as current.
	MaxAge time.Duration

	// confirmedAt is when something was last received, zero after a loss; resumedAt is when contact
	// began after a gap.
	confirmedAt, resumedAt time.Time
	known                  bool
}

// Confirm records that the daemon has received the current state.
func (c *Contact) Confirm(now time.Time) {
	switch {
	case !c.known:
		// The first state is complete.
		c.resumedAt = now.Add(-settleTime)
	case now.Sub(c.confirmedAt) >= c.MaxAge:
		c.resumedAt = now
	}
	c.confirmedAt, c.known = now, true
}

// Lose records that the current state can't be received.
func (c *Contact) Lose() { c.confirmedAt = time.Time{} }

// Fresh reports whether the state that the daemon received is current.
func (c *Contact) Fresh(now time.Time) bool {
	return c.known && now.Sub(c.confirmedAt) < c.MaxAge && now.Sub(c.resumedAt) >= settleTime
}
