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

// Shape of the bench of processes.
const (
	// processModels and processAdapters are declared in the document.
	processModels   = 900
	processAdapters = 2700
	// processEngines is the number of engines of a data centre.
	processEngines = 8
	// processSpeed has the engines filled within seconds.
	processSpeed = 1000
	// settleFor is the time without a load before the measurement, measureFor
	// that of it.
	settleFor  = 15 * time.Second
	measureFor = 20 * time.Second
	// ticksPerSecond is the unit of processor time in /proc.
	ticksPerSecond = 100
)

// BenchmarkProcesses runs idle daemons as processes, with the document of the size
// to design for in force, and reports the processor time and memory of one.
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

// measureProcesses runs a number of daemons in each data centre.
func measureProcesses(b *testing.B, program string, centres, daemons int) {
	d := deploy.Andesoft().Faster(processSpeed)
	d.DataCentres = nil
	for i := range centres {
		d.DataCentres = append(d.DataCentres, fmt.Sprintf("centre-%d", i+1))
	}
	d.Daemons, d.Engines, d.ServiceVMs = daemons, processEngines, 1
	d.Models, d.Adapters, d.EngineMB = processModels, processAdapters, 100_000_000
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
	settle(w)

	before := make(map[string]float64)
	for _, m := range f.Live() {
		before[m.VM] = processorTime(b, m)
	}
	time.Sleep(measureFor)
	var time, memory, mostTime, mostMemory float64
	for _, m := range f.Live() {
		used := (processorTime(b, m) - before[m.VM]) * 1000 / measureFor.Seconds()
		peak := peakMemory(b, m)
		time, mostTime = time+used, max(mostTime, used)
		memory, mostMemory = memory+peak, max(mostMemory, peak)
	}
	n := float64(len(f.Live()))
	loads, _ := w.Books().Loads()
	b.ReportMetric(time/n, "ms/s")
	b.ReportMetric(mostTime, "most-ms/s")
	b.ReportMetric(memory/n, "MB")
	b.ReportMetric(mostMemory, "most-MB")
	b.ReportMetric(float64(loads), "loads")
	b.ReportMetric(0, "ns/op")
}

// settle returns when nothing was loaded for a while.
func settle(w *world.World) {
	const look = time.Second
	last, _ := w.Books().Loads()
	for quiet := time.Duration(0); quiet < settleFor || last == 0; quiet += look {
		time.Sleep(look)
		loads, _ := w.Books().Loads()
		if loads != last {
			quiet = 0
		}
		last = loads
	}
}

// processorTime returns the seconds of processor time that a daemon has used.
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

// peakMemory returns the largest resident size of a daemon in MB.
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
	require.Fail(b, "no peak memory")
	return 0
}
