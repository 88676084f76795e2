package main

import (
	"math"

	"github.com/limpetlb/limpetlb/limpetlab/bound"
	"github.com/limpetlb/limpetlb/limpetlab/scale"
)

const (
	// firstPlanTarget and replanTarget bound the processor time of a plan at
	// scale.TargetModels models, in milliseconds.
	firstPlanTarget = 250.0
	replanTarget    = 10.0
	// fewModels is the number of models from which growth is counted.
	fewModels = 100
)

// boundPlans adds the processor time of plans at the target size, and its growth,
// which is to be that of sorting at most.
func boundPlans(l *bound.List) {
	few, many := float64(fewModels), float64(scale.TargetModels)
	growth := many * math.Log(many) / (few * math.Log(few))
	first, replan := scale.FirstPlan(scale.TargetModels), scale.Replan(scale.TargetModels)
	l.AtMost("first plan in ms", firstPlanTarget, first)
	l.AtMost("replan in ms", replanTarget, replan)
	l.AtMost("growth of first plan", growth, first/scale.FirstPlan(fewModels))
	l.AtMost("growth of replan", growth, replan/scale.Replan(fewModels))
}
