package scale

// FirstPlanMillis returns the processor time of a planner's first plan, in milliseconds,
// for a number of models with AdaptersPerModel adapters each. The number of engines
// is proportional to the number of models.
func FirstPlanMillis(models int) float64 { return firstPlanTime(models) / 1000 }

// ReplanMillis returns the processor time of a plan after a change of demand, in
// milliseconds, for the same models and engines as FirstPlanMillis.
func ReplanMillis(models int) float64 { return replanTime(models) / 1000 }
