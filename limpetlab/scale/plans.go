package scale

// FirstPlan returns the processor time of a planner's first plan, in milliseconds,
// for a number of models with AdaptersPerModel adapters each. The number of engines
// is proportional to the number of models.
func FirstPlan(models int) float64 { return firstPlanTime(models) / 1000 }

// Replan returns the processor time of a plan after a change of demand, in
// milliseconds, for the same models and engines as FirstPlan.
func Replan(models int) float64 { return replanTime(models) / 1000 }
