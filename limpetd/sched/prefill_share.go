package sched

const (
	// initialShare is the prefill share of a service before any of its streams ended.
	// minShare and maxShare limit the share. With a maximum of 1, one stream in twelve paused for too long under
	// lasting shortage, and the share then fell to its minimum for seconds.
	initialShare = 0.9
	minShare     = 0.7
	// The lower maximum applies where calls are ordered by value.
	maxShare        = 1.0
	maxOrderedShare = 0.9
	// minEngineShare is the least share of a slow engine.
	minEngineShare = 0.25
	// shareDown and shareUp are the steps for a stream that paused too long and for a
	// stream that did not: the share is stable if one stream in twelve pauses too long.
	shareDown = 0.0055
	shareUp   = 0.0005
)

// prefillShares holds, by service, the part of an engine's time that is reserved for
// prefill. Without gaps between prefills, every event of the running streams would wait
// for several prompts. How long an event waits depends on how much of a prompt the engine
// prefills in one step, which engines don't report, so the share adapts to how many streams
// paused for too long.
type prefillShares map[string]float64

// of returns the prefill share of a service.
func (v prefillShares) of(service string) float64 {
	if share, ok := v[service]; ok {
		return share
	}
	return initialShare
}

// ofEngine returns the prefill share of an engine with a pace: on a slow engine, an event waits for longer for the same
// prompts, and on a quick one for less.
func (v prefillShares) ofEngine(service string, pace float64) float64 {
	if pace == 1 {
		return v.of(service)
	}
	return min(max(v.of(service)/pace, minEngineShare), 1)
}

// add adjusts the prefill share of a service to streams that ended. paused is the number
// of them that paused for too long.
func (v prefillShares) add(service string, ordered bool, streams, paused int) {
	share := v.of(service) + shareUp*float64(streams-paused) - shareDown*float64(paused)
	most := maxShare
	if ordered {
		most = maxOrderedShare
	}
	v[service] = min(max(share, minShare), most)
}
