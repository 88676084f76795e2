package scale

import (
	"runtime"
	"syscall"
	"time"
)

const (
	// minBatchTime is the least processor time of a batch of calls.
	minBatchTime = 10 * time.Millisecond
	// batchCount is the number of batches of which the fastest counts: other
	// processes on the machine can only slow a batch down.
	batchCount = 4
)

// cpuTimePerCall returns the processor time that this process uses for one call
// of work, in microseconds. It doubles the number of calls until a batch takes at
// least minBatchTime.
func cpuTimePerCall(work func()) float64 {
	runtime.GC()
	n := 1
	shortest := cpuTimeOf(n, work)
	for shortest < minBatchTime {
		n *= 2
		shortest = cpuTimeOf(n, work)
	}
	for range batchCount - 1 {
		shortest = min(shortest, cpuTimeOf(n, work))
	}
	return float64(shortest) / float64(n) / float64(time.Microsecond)
}

// cpuTimeOf returns the processor time of n calls of work.
func cpuTimeOf(n int, work func()) time.Duration {
	before := processCPUTime()
	for range n {
		work()
	}
	return processCPUTime() - before
}

// processCPUTime returns the user and system time that this process has used, or
// 0 if the time cannot be read.
func processCPUTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// liveHeapBytes returns the size of the live heap objects after garbage collection.
func liveHeapBytes() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// retainedBytes returns the heap size of the value that build returns, without what build
// itself refers to.
func retainedBytes(build func() any) float64 {
	before := liveHeapBytes()
	value := build()
	after := liveHeapBytes()
	runtime.KeepAlive(value)
	runtime.KeepAlive(build)
	return after - before
}
