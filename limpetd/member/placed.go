package member

// PlacedModels is a daemon's answer to a query for the models that engines of its data
// centre hold.
type PlacedModels struct {
	// SameDocument is false when the document in force at the daemon is not the one in
	// the query.
	SameDocument bool
	// Models has a bit for each model of the document, in document order, least
	// significant bit first.
	Models []byte
	// WithAdapters has a bit for each model that is held with all its adapters.
	WithAdapters []byte
	// Complete is false when the reports of some engines are missing.
	Complete bool
}
