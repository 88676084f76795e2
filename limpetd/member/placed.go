package member

// Placed is a daemon's answer which models engines of its data centre hold.
type Placed struct {
	// Known is false when the daemon has another document in force than the
	// one asked for.
	Known bool
	// Models has a bit for each model of the document, in its order, the
	// lowest bit of a byte first.
	Models []byte
	// Whole has a bit for each model that is held with all its adapters.
	Whole []byte
	// Complete is false when the reports of some engines are missing.
	Complete bool
}
