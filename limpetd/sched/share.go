package sched

const (
	// firstShare is the part of an engine's time that is given to prompts before any
	// stream ended, leastShare and mostShare bound it.
	firstShare = 0.9
	leastShare = 0.7
	mostShare  = 1.0
	// shareDown and shareUp are the steps for a stream that paused too long and for one
	// that did not: the share stays where one in twelve does.
	shareDown = 0.0055
	shareUp   = 0.0005
)

// shares are the parts of an engine's time that are given to prompts, by service. Without
// a gap between prompts, every event of the streams that run waits for several of them; how
// long depends on how much of a prompt an engine reads at a time, which it does not tell.
type shares map[string]float64

func (v shares) of(service string) float64 {
	if share, ok := v[service]; ok {
		return share
	}
	return firstShare
}

func (v shares) add(service string, streams, paused int) {
	share := v.of(service) + shareUp*float64(streams-paused) - shareDown*float64(paused)
	v[service] = min(max(share, leastShare), mostShare)
}
