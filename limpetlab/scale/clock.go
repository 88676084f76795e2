package scale

import (
	"runtime"
	"syscall"
	"time"
)

// leastTime is the least processor time of a measurement.
const leastTime = 20 * time.Millisecond

// perCall returns the processor time of this process for one call of work, in
// microseconds.
func perCall(work func()) float64 {
	work()
	for n := 1; ; n *= 2 {
		before := processor()
		for range n {
			work()
		}
		if spent := processor() - before; spent >= leastTime {
			return float64(spent) / float64(n) / float64(time.Microsecond)
		}
	}
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
