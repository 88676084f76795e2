package layout

// Unit is what the limit of an organisation counts.
type Unit int

// The units.
const (
	// Calls counts each call as one.
	Calls Unit = iota
	// Tokens counts a call as its prompt tokens plus its output tokens.
	Tokens
)

// Quota limits the calls of an organisation over all daemons.
type Quota struct {
	// PerSecond is the number of units a second, and Burst how many units may be used beyond it
	// after a pause; both in Unit. There is no limit if PerSecond is 0.
	PerSecond, Burst float64
	Unit             Unit
	// PlainTokens is the number of tokens of a call that states none.
	PlainTokens float64
	// Invalid is whether the configured values are out of range. PerSecond is then so low that no call is within
	// the quota.
	Invalid bool
}

// Limited reports whether the quota has a limit.
func (q Quota) Limited() bool { return q.PerSecond > 0 }

// Charge returns the number of units that a call counts as. promptTokens and outputTokens are 0 if the
// call states none.
func (q Quota) Charge(promptTokens, outputTokens int) float64 {
	switch {
	case q.Unit != Tokens:
		return 1
	case promptTokens+outputTokens == 0:
		return q.PlainTokens
	}
	return float64(promptTokens) + float64(outputTokens)
}

// Organisation is a group of callers that share keys, a priority and a quota.
type Organisation struct {
	Name string
	// Priority replaces the priority of the route if HasPriority is set.
	Priority    int
	HasPriority bool
	Quota       Quota
}
