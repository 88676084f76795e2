package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/conf"
	"github.com/limpetlb/limpetlb/limpetlab/deploy"
	"github.com/limpetlb/limpetlb/limpetlab/fleet"
	"github.com/limpetlb/limpetlb/limpetlab/world"
)

// Sizes and times of BenchmarkProcesses.
const (
	// processModels and processAdapters are the numbers of models and adapters
	// that the environment document declares.
	processModels   = 900
	processAdapters = 2700
	// processEngines is the number of engines in each data centre.
	processEngines = 8
	// processSpeed is the speed factor of the weight store, at which the engines are
	// filled within seconds.
	processSpeed = 1000
	// settleFor is how long no model or adapter may have been loaded before the
	// measurement begins. measureFor is the duration of the measurement.
	settleFor  = 15 * time.Second
	measureFor = 20 * time.Second
	// ticksPerSecond is the number of clock ticks per second in /proc/PID/stat.
	ticksPerSecond = 100
)

// BenchmarkProcesses runs idle daemons as processes under an environment document
// of the size that limpetlb is designed for, and reports the mean and the maximum
// processor time and memory of a daemon.
func BenchmarkProcesses(b *testing.B) {
	program := buildDaemon(b)
	for _, size := range []struct{ centres, daemons int }{{1, 13}, {1, 26}, {1, 52}, {3, 30}, {7, 13}} {
		b.Run(fmt.Sprintf("centres=%d/daemons=%d", size.centres, size.centres*size.daemons), func(b *testing.B) {
			for range b.N {
				measureProcesses(b, program, size.centres, size.daemons)
			}
		})
	}
}

// measureProcesses runs a number of daemons in each of several data centres and
// reports their processor time and memory.
func measureProcesses(b *testing.B, program string, centres, daemons int) {
	d := deploy.Andesoft().WithFasterStore(processSpeed)
	d.DataCentres = nil
	for i := range centres {
		d.DataCentres = append(d.DataCentres, fmt.Sprintf("centre-%d", i+1))
	}
	d.Daemons, d.Engines, d.ServiceVMs = daemons, processEngines, 1
	d.Models, d.Adapters, d.EngineMemoryMB = processModels, processAdapters, 100_000_000
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	w, err := world.Start(ctx, world.Config{Deployment: d})
	require.NoError(b, err)
	defer w.Stop()
	start := startProcess(program)
	f := fleet.New(d, w, func(ctx context.Context, c conf.Config) (fleet.Daemon, error) {
		c.LeaseTerm, c.PlanPeriod = 10*time.Second, time.Second
		return start(ctx, c)
	})
	defer f.Stop()
	require.NoError(b, f.StartAll(ctx))
	require.NoError(b, f.Apply(ctx, d.Document(1)))
	awaitNoLoads(w)

	before := make(map[string]float64)
	for _, m := range f.Live() {
		before[m.VM] = processorTime(b, m)
	}
	time.Sleep(measureFor)
	var usedTime, memory, maxTime, maxMemory float64
	for _, m := range f.Live() {
		used := (processorTime(b, m) - before[m.VM]) * 1000 / measureFor.Seconds()
		peak := peakMemory(b, m)
		usedTime, maxTime = usedTime+used, max(maxTime, used)
		memory, maxMemory = memory+peak, max(maxMemory, peak)
	}
	n := float64(len(f.Live()))
	loads, _ := w.Stats().LoadCounts()
	b.ReportMetric(usedTime/n, "ms/s")
	b.ReportMetric(maxTime, "most-ms/s")
	b.ReportMetric(memory/n, "MB")
	b.ReportMetric(maxMemory, "most-MB")
	b.ReportMetric(float64(loads), "loads")
	b.ReportMetric(0, "ns/op")
}

// awaitNoLoads returns once there was at least one load and then none for
// settleFor.
func awaitNoLoads(w *world.Environment) {
	const pollPeriod = time.Second
	last, _ := w.Stats().LoadCounts()
	for idle := time.Duration(0); idle < settleFor || last == 0; idle += pollPeriod {
		time.Sleep(pollPeriod)
		loads, _ := w.Stats().LoadCounts()
		if loads != last {
			idle = 0
		}
		last = loads
	}
}

// processorTime returns the user and system time of a daemon in seconds.
func processorTime(b *testing.B, m *fleet.Member) float64 {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", m.Daemon.(*process).command.Process.Pid))
	require.NoError(b, err)
	_, rest, ok := bytes.Cut(stat, []byte(") "))
	require.True(b, ok)
	fields := strings.Fields(string(rest))
	const user, system = 11, 12
	ticks := 0
	for _, i := range []int{user, system} {
		n, err := strconv.Atoi(fields[i])
		require.NoError(b, err)
		ticks += n
	}
	return float64(ticks) / ticksPerSecond
}

// peakMemory returns the peak resident set size of a daemon in MB.
func peakMemory(b *testing.B, m *fleet.Member) float64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.Daemon.(*process).command.Process.Pid))
	require.NoError(b, err)
	for line := range strings.Lines(string(status)) {
		if size, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, err := strconv.Atoi(strings.Fields(size)[0])
			require.NoError(b, err)
			return float64(kb) / 1024
		}
	}
	require.Fail(b, "no VmHWM line in /proc/PID/status")
	return 0
}
