package main

import (
	"math"

	"github.com/limpetlb/limpetlb/limpetlab/bound"
	"github.com/limpetlb/limpetlb/limpetlab/scale"
)

const (
	// maxFirstPlanMillis and maxReplanMillis bound the processor time of a plan
	// for scale.TargetModels models, in milliseconds.
	maxFirstPlanMillis = 250.0
	maxReplanMillis    = 10.0
	// baseModels is the number of models relative to which growth is measured.
	baseModels = 100
)

// addPlanBounds adds bounds for the processor time of a first plan and of a replan
// at the target size, and for the growth of both from baseModels, which must not
// exceed the n log n growth of sorting.
func addPlanBounds(l *bound.List) {
	base, target := float64(baseModels), float64(scale.TargetModels)
	growth := target * math.Log(target) / (base * math.Log(base))
	first, replan := scale.FirstPlanMillis(scale.TargetModels), scale.ReplanMillis(scale.TargetModels)
	l.AtMost("first plan in ms", maxFirstPlanMillis, first)
	l.AtMost("replan in ms", maxReplanMillis, replan)
	l.AtMost("growth of first plan", growth, first/scale.FirstPlanMillis(baseModels))
	l.AtMost("growth of replan", growth, replan/scale.ReplanMillis(baseModels))
}
