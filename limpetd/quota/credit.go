package quota

import "time"

// creditTerm is how long credit is kept that was charged but not used.
const creditTerm = time.Second

// Credit is what was charged for calls of an organisation that were not sent or that their servers rejected. The
// zero value is empty.
type Credit struct {
	parts []creditPart
}

// creditPart is a part of a Credit.
type creditPart struct {
	units     float64
	expiresAt time.Time
}

// Add adds what was charged for a call. expiresAt is zero unless the call took it from the Credit: credit that is
// taken and returned does not last longer.
func (c *Credit) Add(units float64, expiresAt, now time.Time) {
	if expiresAt.IsZero() {
		expiresAt = now.Add(creditTerm)
	}
	c.expire(now)
	c.parts = append(c.parts, creditPart{units, expiresAt})
}

// Take removes the charge of a call if the Credit holds it. It returns when the credit would have expired.
func (c *Credit) Take(charge float64, now time.Time) (expiresAt time.Time, ok bool) {
	c.expire(now)
	sum := 0.0
	for _, p := range c.parts {
		sum += p.units
	}
	if sum < charge || len(c.parts) == 0 {
		return time.Time{}, false
	}
	expiresAt = c.parts[0].expiresAt
	for charge > 0 && len(c.parts) > 0 {
		p := &c.parts[0]
		used := min(p.units, charge)
		charge -= used
		if p.expiresAt.Before(expiresAt) {
			expiresAt = p.expiresAt
		}
		if p.units -= used; p.units <= 0 {
			c.parts = c.parts[1:]
		}
	}
	return expiresAt, true
}

// expire removes the parts that have expired.
func (c *Credit) expire(now time.Time) {
	kept := c.parts[:0]
	for _, p := range c.parts {
		if now.Before(p.expiresAt) {
			kept = append(kept, p)
		}
	}
	c.parts = kept
}
