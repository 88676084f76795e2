package sched

import "time"

// Sample is the time to the first event of a call at an engine that prefilled no other
// prompt, or the time to the answer of a call to a plain server. Older builds ignore the latter, because it has no tokens.
type Sample struct {
	_msgpack       struct{} `msgpack:",as_array"` //nolint:unused // The codec reads the tag.
	Service, Model string
	// Tokens is the size of the prompt.
	Tokens int
	// Took is the time from the send to the first event or, for a call without a model, to the answer; 0 for such a call
	// that the server has rejected.
	Took time.Duration
	// Server is the server that the call was sent to; empty from older builds.
	Server string
	// Pace is the pace that the server reported with the answer; 0 if it reported none.
	Pace int
}

const (
	// sampleDecay is the factor by which each new sample reduces the weight of older ones.
	sampleDecay = 0.96
	// priorWeight is the number of samples of a model that the speed of the whole service
	// counts as.
	priorWeight = 3
	// initialPerToken is the time to prefill a token that is assumed before any was
	// measured: that of an engine of usual size.
	initialPerToken = 60 * time.Microsecond
	// baseRise is the part of the difference to a longer sample by which the sample raises
	// base, the estimated time to a first event without a prompt.
	baseRise = 0.003
	// minSlope and maxSlope limit the slope, as factors of the mean. With a minimum of 0.5, the estimate fell to two
	// thirds of the truth under shortage, since prompts that engines prefill in one step take the same time.
	// The higher minimum applies where calls are ordered by value.
	minSlope        = 0.5
	minOrderedSlope = 0.85
	maxSlope        = 1.5
	// maxBaseShare limits the part of the mean size of prompts that the shortest sample may have had.
	maxBaseShare = 0.4
	// maxSample is the longest sample that is used: an engine that takes longer is unhealthy.
	maxSample = time.Second
	// maxSampleRatio is how many times as long as estimated a sample counts at the most.
	maxSampleRatio = 2.0
	// A sample of more than outlierRatio times the estimate is ignored, unless no sample was below soundRatio times the
	// estimate for outlierTerm: engines that are silent for a moment are not slow.
	outlierRatio = 2.5
	soundRatio   = 1.5
	outlierTerm  = 2500 * time.Millisecond
	// After maxLowSamples samples in a row of less than the estimate by outlierRatio, each further one reduces the weight
	// of older ones by lowDecay: the estimate is far too long, as after engines stood still.
	maxLowSamples = 3
	lowDecay      = 0.5
	// sampleInterval is the time between two samples of an engine whose time is always reserved.
	sampleInterval = 250 * time.Millisecond
)

// prefillFit estimates the time that engines take to prefill a token: the slope of a line
// fitted through the samples, which are weighted by age.
//
// The slope is limited to a range around the mean time per token above base, the shortest
// sample. If an engine receives prompts faster than it can prefill them, small prompts take
// long too, which flattens the line. The mean, the least slope that is used, then rises,
// prompts are sent at longer intervals, and the engine catches up.
type prefillFit struct {
	// base is the shortest sample, which rises slowly towards longer ones.
	base float64
	// baseTokens is the size of the prompt of that sample.
	baseTokens float64
	// ordered is whether calls of the service are ordered by value under a shortage.
	ordered bool
	// weight is the decayed number of samples.
	weight float64
	// tokens and took are decayed sums of the sizes and times of the samples, squares of
	// tokens*tokens, products of tokens*took.
	tokens, took, squares, products float64
	// outliersSince is when the first outlier arrived since the last sound sample; zero if there was none.
	outliersSince time.Time
	// low is the number of samples since the last one of at least the estimate divided by outlierRatio.
	low int
}

// limit returns the time with which a sample counts of which another time was expected. It returns false if the sample
// is to be ignored.
func (p *prefillFit) limit(took, expected float64, now time.Time) (float64, bool) {
	if p.low++; took*outlierRatio >= expected {
		p.low = 0
	}
	switch {
	case took <= soundRatio*expected:
		p.outliersSince = time.Time{}
	case took <= outlierRatio*expected:
	case p.outliersSince.IsZero():
		p.outliersSince = now
		return 0, false
	case now.Sub(p.outliersSince) < outlierTerm:
		return 0, false
	}
	return min(took, maxSampleRatio*expected), true
}

func (p *prefillFit) add(tokens, took float64) {
	switch {
	case p.weight == 0 || took < p.base:
		p.base, p.baseTokens = took, tokens
	default:
		p.base += baseRise * (took - p.base)
	}
	decay := sampleDecay
	if p.low > maxLowSamples {
		decay = lowDecay
	}
	p.weight = p.weight*decay + 1
	p.tokens = p.tokens*decay + tokens
	p.took = p.took*decay + took
	p.squares = p.squares*decay + tokens*tokens
	p.products = p.products*decay + tokens*took
}

// perToken returns the time to prefill a token, in nanoseconds: the fitted time, combined
// with the prior according to the number of samples.
func (p *prefillFit) perToken(prior float64) float64 {
	if p.weight == 0 {
		return prior
	}
	// The shortest sample includes the prefill of its own prompt.
	tokens, slope := p.tokens, minSlope
	if p.ordered {
		tokens -= min(p.baseTokens*p.weight, maxBaseShare*p.tokens)
		slope = minOrderedSlope
	}
	mean := max(p.took-p.base*p.weight, 0) / tokens
	fitted := mean
	if spread := p.weight*p.squares - p.tokens*p.tokens; spread > 0 {
		fitted = min(max((p.weight*p.products-p.tokens*p.took)/spread, slope*mean), maxSlope*mean)
	}
	return (prior*priorWeight + fitted*p.weight) / (priorWeight + p.weight)
}

// prefillSpeeds estimates from samples how fast engines prefill prompts, by service and by
// SERVICE/MODEL.
type prefillSpeeds struct {
	services, models map[string]*prefillFit
}

func newPrefillSpeeds() prefillSpeeds {
	return prefillSpeeds{services: map[string]*prefillFit{}, models: map[string]*prefillFit{}}
}

// setOrdered sets whether the calls of a sample's service are ordered by value.
func (v *prefillSpeeds) setOrdered(s Sample, ordered bool) {
	fitOf(v.services, s.Service).ordered = ordered
	fitOf(v.models, s.Service+"/"+s.Model).ordered = ordered
}

// add adds a sample to the fits of its service and its model, unless the sample is invalid, too long or an outlier.
func (v *prefillSpeeds) add(s Sample, now time.Time) {
	if s.Took <= 0 || s.Took > maxSample || s.Tokens <= 0 {
		return
	}
	service := fitOf(v.services, s.Service)
	known, base, prior := service.weight >= priorWeight, service.base, service.perToken(float64(initialPerToken))
	model := fitOf(v.models, s.Service+"/"+s.Model)
	modelBase := base
	if model.weight > 0 {
		modelBase = model.base
	}
	tokens := float64(s.Tokens)
	for _, target := range []struct {
		fit      *prefillFit
		expected float64
	}{{service, base + prior*tokens}, {model, modelBase + model.perToken(prior)*tokens}} {
		took, ok := float64(s.Took), true
		if known {
			took, ok = target.fit.limit(took, target.expected, now)
		}
		if ok {
			target.fit.add(tokens, took)
		}
	}
}

// fitOf returns the fit of a key. It creates a missing one.
func fitOf(fits map[string]*prefillFit, key string) *prefillFit {
	p := fits[key]
	if p == nil {
		p = &prefillFit{}
		fits[key] = p
	}
	return p
}

// perToken returns the time to prefill a token of a model's prompts, in nanoseconds. The
// estimate for the service is the prior of the estimate for the model.
func (v *prefillSpeeds) perToken(service, model string) float64 {
	prior := float64(initialPerToken)
	if p := v.services[service]; p != nil {
		prior = p.perToken(prior)
	}
	if p := v.models[service+"/"+model]; p != nil {
		return p.perToken(prior)
	}
	return prior
}

// prefillTime returns how long engines take to prefill a prompt.
func (v *prefillSpeeds) prefillTime(service, model string, tokens int) time.Duration {
	return time.Duration(v.perToken(service, model) * float64(tokens))
}
