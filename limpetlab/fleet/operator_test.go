package fleet

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/admin"
	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/conf"
	"github.com/limpetlb/limpetlb/limpetd/event"
	"github.com/limpetlb/limpetlb/limpetd/keys/certs"
	"github.com/limpetlb/limpetlb/limpetd/node"
)

// awaitStatus requests the status until done accepts it.
func awaitStatus(t *testing.T, c *admin.Client, done func(admin.Status) bool) admin.Status {
	for {
		s, err := c.Status(t.Context())
		if err == nil && done(s) {
			return s
		}
		require.NoError(t, t.Context().Err())
		time.Sleep(50 * time.Millisecond)
	}
}

// allReady returns a condition: the status lists exactly n daemons, all ready
// with revision 1.
func allReady(n int) func(admin.Status) bool {
	return func(s admin.Status) bool {
		ready := 0
		for _, d := range s.Daemons {
			if d.Ready && d.Revision == 1 {
				ready++
			}
		}
		return ready == n && len(s.Daemons) == n
	}
}

// engineInState returns a condition: the status lists the engine in the given state.
func engineInState(engine, state string) func(admin.Status) bool {
	return func(s admin.Status) bool {
		for _, e := range s.Engines {
			if e.VM == engine {
				return e.State == state
			}
		}
		return false
	}
}

// TestOperatorReadsAndDrainsWholeFleetThroughOneDaemon reads the events and the
// status of the whole fleet through one daemon, and drains an engine and the
// other daemon through it.
func TestOperatorReadsAndDrainsWholeFleetThroughOneDaemon(t *testing.T) {
	f, w := startFleet(t, nil)
	first, second := f.Live()[0], f.Live()[1]
	c := admin.NewClient("http://"+first.Daemon.OperatorAddr(), operatorToken)
	awaitStatus(t, c, allReady(2))

	ready := map[string]int{}
	for len(ready) < 2 {
		events, err := c.Events(t.Context(), event.Filter{}, false)
		require.NoError(t, err)
		require.Empty(t, events.Missing)
		clear(ready)
		for i, e := range events.Events {
			if e.Kind == event.DaemonReady {
				ready[e.Process]++
			}
			if i > 0 {
				require.False(t, e.At.Before(events.Events[i-1].At), "events must be in order of time")
			}
		}
	}
	require.Equal(t, map[string]int{first.VM: 1, second.VM: 1}, ready)

	_, err := admin.NewClient("http://"+first.Daemon.OperatorAddr(), "wrong").Status(t.Context())
	require.Equal(t, code.BadOperator, code.Of(err))

	engine := w.Engines[0].VM.ID
	require.NoError(t, c.Drain(t.Context(), admin.Drain{VM: engine}))
	awaitStatus(t, c, engineInState(engine, "leaving"))
	awaitStatus(t, admin.NewClient("http://"+second.Daemon.OperatorAddr(), operatorToken), engineInState(engine, "leaving"))
	require.NoError(t, c.Drain(t.Context(), admin.Drain{VM: engine, Stay: true}))
	awaitStatus(t, c, engineInState(engine, "live"))

	require.Equal(t, code.BadParameter, code.Of(c.Drain(t.Context(), admin.Drain{VM: "entry-9"})))
	require.NoError(t, c.Drain(t.Context(), admin.Drain{VM: second.VM}))
	<-second.Daemon.(*node.Node).Left()
	require.NoError(t, second.Daemon.Leave(t.Context()))
	_, err = admin.NewClient("http://"+second.Daemon.OperatorAddr(), operatorToken).Status(t.Context())
	require.Equal(t, code.PeerDown, code.Of(err))
	s := awaitStatus(t, c, func(s admin.Status) bool { return s.LeaseHolder == first.VM })
	require.Equal(t, first.VM, s.Daemon)
}

// withCertificates returns settings with certificates of an authority, so that
// all interfaces use TLS.
func withCertificates(t *testing.T, a *certs.Authority, c conf.Config) conf.Config {
	certificate, key, err := a.Issue("limpetd", "127.0.0.1")
	require.NoError(t, err)
	c.CallerPlain, c.PeerPlain = false, false
	c.CallerCertificate, c.CallerKey = string(certificate), string(key)
	c.PeerCertificate, c.PeerKey, c.PeerAuthority = string(certificate), string(key), string(a.PEM)
	return c
}

// TestDaemonsTrustOnlyTheirOwnAuthority runs two daemons with certificates of
// one authority and a third with a certificate of another authority. The two
// daemons must list each other and not the third, and a client that trusts the
// first authority must not connect to the third.
func TestDaemonsTrustOnlyTheirOwnAuthority(t *testing.T) {
	ours, err := certs.NewAuthority()
	require.NoError(t, err)
	other, err := certs.NewAuthority()
	require.NoError(t, err)
	f, _ := startFleet(t, nil)
	f.Stop()
	authority := ours
	f.startFunc = func(ctx context.Context, c conf.Config) (Daemon, error) {
		return node.New(ctx, withCertificates(t, authority, c))
	}
	dc := f.deployment.DataCentres[0]
	first, err := f.Start(t.Context(), dc)
	require.NoError(t, err)
	second, err := f.Start(t.Context(), dc)
	require.NoError(t, err)
	authority = other
	stranger, err := f.Start(t.Context(), dc)
	require.NoError(t, err)

	roots := x509.NewCertPool()
	require.True(t, roots.AppendCertsFromPEM(ours.PEM))
	tlsConfig := &tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS12}
	c := admin.NewClient("https://"+first.Daemon.OperatorAddr(), operatorToken, admin.WithTLS(tlsConfig))
	s := awaitStatus(t, c, func(s admin.Status) bool {
		ready := map[string]bool{}
		for _, d := range s.Daemons {
			ready[d.VM] = d.Ready
		}
		return ready[first.VM] && ready[second.VM]
	})
	for _, d := range s.Daemons {
		require.NotEqual(t, stranger.VM, d.VM, "a daemon with a certificate of another authority must not be listed")
	}
	caller := http.Client{Transport: &http.Transport{TLSClientConfig: tlsConfig}}
	answer, err := caller.Get("https://" + first.Daemon.CallerAddr() + "/readyz")
	require.NoError(t, err)
	require.NoError(t, answer.Body.Close())
	require.Equal(t, http.StatusOK, answer.StatusCode)
	_, err = caller.Get("https://" + stranger.Daemon.CallerAddr() + "/readyz") //nolint:bodyclose // the call fails
	require.Error(t, err)
}
