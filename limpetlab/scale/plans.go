package scale

// FirstPlan returns the processor time of a first plan, in milliseconds, for a
// number of models with AdaptersPerModel adapters each, and engines in proportion.
func FirstPlan(models int) float64 { return firstPlan(models) / 1000 }

// Replan returns that of a plan after a change of demand.
func Replan(models int) float64 { return replan(models) / 1000 }
