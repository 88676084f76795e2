package scale

import (
	"runtime"
	"syscall"
	"time"
)

const (
	// leastTime is the least processor time of a batch of calls.
	leastTime = 10 * time.Millisecond
	// batches is the number of batches of which the quickest counts: other work
	// on the machine only makes them slower.
	batches = 4
)

// perCall returns the processor time of this process for one call of work, in
// microseconds.
func perCall(work func()) float64 {
	runtime.GC()
	n := 1
	best := timeOf(n, work)
	for best < leastTime {
		n *= 2
		best = timeOf(n, work)
	}
	for range batches - 1 {
		best = min(best, timeOf(n, work))
	}
	return float64(best) / float64(n) / float64(time.Microsecond)
}

// timeOf returns the processor time of n calls.
func timeOf(n int, work func()) time.Duration {
	before := processor()
	for range n {
		work()
	}
	return processor() - before
}

// processor returns the processor time of this process.
func processor() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// heap returns the bytes of live objects.
func heap() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// held returns the bytes of what build returns.
func held(build func() any) float64 {
	before := heap()
	kept := build()
	after := heap()
	runtime.KeepAlive(kept)
	return after - before
}
