package soak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/conns"
	"github.com/limpetlb/limpetlb/platform/stand"
)

// A stream of endingEvents events takes longer than the grace period of endingGrace seconds.
const (
	endingGrace  = 2
	endingEvents = 25
	endingPeriod = 100 * time.Millisecond
)

// streamEnds counts how the streams of a daemon ended, and holds those that are wrong.
type streamEnds struct {
	mu                        sync.Mutex
	whole, brokenOff, refused int
	wrong                     []string
}

// read sends a stream in a version of HTTP, with additional header lines, and records how it ended. A stream has
// consecutive events, and all of them if it is complete by its framing.
func (s *streamEnds) read(daemon, id, protocol, headers string) {
	status, body, complete := readStream(daemon, id, protocol, headers)
	s.mu.Lock()
	defer s.mu.Unlock()
	whole := ""
	for i := range endingEvents {
		whole += fmt.Sprintf("id: %d\ndata: %s-%d\n\n", i, id, i)
	}
	switch {
	case status != http.StatusOK:
		s.refused++
	case !strings.HasPrefix(whole, body) || complete && body != whole:
		s.wrong = append(s.wrong, fmt.Sprintf("%s %s complete %t: %q", id, protocol, complete, body[max(len(body)-80, 0):]))
	case complete:
		s.whole++
	default:
		s.brokenOff++
	}
}

// readStream returns the status of a stream, 0 if there is none, its body, and whether it is complete by its framing.
func readStream(daemon, id, protocol, headers string) (status int, body string, complete bool) {
	c, err := net.Dial("tcp4", daemon)
	if err != nil {
		return 0, "", false
	}
	defer func() { _ = c.Close() }() // fails if the daemon has reset it
	head := strings.Replace(stand.CallHead(stand.EngineRoute, id, stand.Model(0), 1), "HTTP/1.1\r\n", protocol+"\r\n"+headers, 1)
	if _, err := io.WriteString(c, head+"x"); err != nil {
		return 0, "", false
	}
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, "", false
	}
	defer func() { _ = response.Body.Close() }()
	got, err := io.ReadAll(response.Body)
	return response.StatusCode, string(got), err == nil
}

// TestStreamsOfEndingProcessesAreNotComplete guards against streams that look complete because the process of their
// daemon leaves, is asked to leave twice, or is killed.
func TestStreamsOfEndingProcessesAreNotComplete(t *testing.T) {
	t.Parallel()
	r := startRunWith(t, 3, stand.Config{
		Engines: 6, GraceSeconds: endingGrace, EventPeriod: endingPeriod, EventCount: endingEvents,
	})
	for i, e := range r.platform.Engines {
		framing := []conns.Framing{conns.Length, conns.Chunked, conns.UntilClose}[i%3]
		e.SetFraming(func(*http.Request) conns.Framing { return framing })
	}
	require.True(t, r.awaitReady(t.Context()))
	ends := map[string]func(d *daemon) error{
		"leave": (*daemon).leave,
		"leave twice": func(d *daemon) error {
			if err := d.signal(syscall.SIGTERM, true); err != nil {
				return err
			}
			time.Sleep(300 * time.Millisecond)
			return d.leave()
		},
		"kill": (*daemon).kill,
	}
	var running sync.WaitGroup
	results := map[string]*streamEnds{}
	next := 0
	for name, end := range ends {
		d, s := r.daemons[next], &streamEnds{}
		results[name] = s
		next++
		running.Go(func() {
			var callers sync.WaitGroup
			ended := make(chan error, 1)
			for i := range 48 {
				if i == 24 {
					go func() { ended <- end(d) }()
				}
				protocol := []string{"HTTP/1.1", "HTTP/1.0"}[i%2]
				headers := []string{"", "Connection: close\r\n", "Connection: keep-alive\r\n"}[i%3]
				callers.Go(func() { s.read(d.callerAddress, fmt.Sprint(strings.ReplaceAll(name, " ", "-"), i), protocol, headers) })
				time.Sleep(endingPeriod)
			}
			callers.Wait()
			if err := <-ended; err != nil {
				s.wrong = append(s.wrong, err.Error())
			}
		})
	}
	running.Wait()
	for name, s := range results {
		t.Logf("%s: %d whole, %d broken off, %d without a response", name, s.whole, s.brokenOff, s.refused)
		require.Empty(t, s.wrong, name)
		require.Positive(t, s.brokenOff, name)
		if name != "kill" {
			require.Positive(t, s.whole, name)
		}
	}
	require.Empty(t, r.violations)
}
