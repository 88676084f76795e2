package front_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/conns"
	"github.com/limpetlb/limpetlb/limpetd/front"
	"github.com/limpetlb/limpetlb/limpetd/layout"
	"github.com/limpetlb/limpetlb/limpetd/sched"
)

// leaseHolder is a Reserver that answers as another Front. down makes it unreachable, older that of a build without
// quotas.
type leaseHolder struct {
	*reserver
	front       *front.Front
	mu          sync.Mutex
	down, older bool
	charged     float64
	asked       int
}

func (l *leaseHolder) Reserve(_ context.Context, a sched.ReservationRequest) (sched.Reservation, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.asked++
	if l.down {
		return sched.Reservation{}, errors.New("no answer")
	}
	if l.older {
		a.Organisation, a.Charge, a.Unconditional = "", 0, false
	}
	g := l.front.Reserve(a)
	if g.Charged {
		l.charged += a.Charge
	}
	return g, nil
}

// newQuotaFixture returns a fixture with the organisations "big" with a quota of a hundred calls, "small" with one of
// two calls, "single" with one of one call, and "free" without one, and its lease holder.
func newQuotaFixture(t *testing.T, route layout.Route, handlers ...http.HandlerFunc) (*fixture, *leaseHolder) {
	t.Helper()
	l := &leaseHolder{reserver: &reserver{}, front: front.New(t.Context(), front.Deps{Dialect: dialect{}, Pool: conns.New(t.Context()), Log: zap.NewNop(), Scope: tally.NoopScope})}
	fx := newFixtureWithReserver(t, l, route, handlers...)
	c := *fx.front.Config()
	c.Version++
	c.Keys = layout.NewKeyIndex(4)
	for name, calls := range map[string]float64{"big": 100, "small": 2, "single": 1, "free": 0} {
		o := &layout.Organisation{Name: name, Quota: layout.Quota{PerSecond: calls, Burst: calls}}
		c.Organisations = append(c.Organisations, o)
		require.True(t, c.Keys.Add(name, o))
	}
	require.True(t, fx.front.Apply(&c))
	require.True(t, l.front.Apply(&c))
	l.front.SetServers([]*layout.Server{{ID: "i0", Service: "s", Slots: 8, Models: map[string]layout.HeldModel{"m": {}}}})
	// Buckets fill for at most a part of a second at a time.
	for range 3 {
		l.front.SetConnected(1)
		time.Sleep(400 * time.Millisecond)
	}
	return fx, l
}

// call sends a call of an organisation.
func (fx *fixture) call(t *testing.T, organisation, model string) responseHead {
	t.Helper()
	a, _, err := fx.post(t, "/r/1", map[string]string{"Api-Key": organisation, "Model": model})
	require.NoError(t, err)
	return a
}

// TestQuotaBoundsCalls guards against calls beyond the quota, and against requests to the lease holder for
// organisations without one.
func TestQuotaBoundsCalls(t *testing.T) {
	for model, route := range map[string]layout.Route{"": plainRoute, "m": streamRoute} {
		fx, l := newQuotaFixture(t, route, sendEvent)
		for range 2 {
			require.Equal(t, http.StatusOK, fx.call(t, "small", model).StatusCode)
		}
		a := fx.call(t, "small", model)
		require.Equal(t, http.StatusTooManyRequests, a.StatusCode)
		require.Equal(t, strconv.Itoa(int(code.OverQuota)), a.Header.Get("limpet-code"))
		wait, err := strconv.ParseFloat(a.Header.Get("Retry-After"), 64)
		require.NoError(t, err)
		require.InDelta(t, 0.45, wait, 0.1)
		require.Equal(t, 3, l.asked)
		require.Equal(t, http.StatusOK, fx.call(t, "free", model).StatusCode)
		if model == "" {
			require.Equal(t, 3, l.asked)
		}
		require.InDelta(t, 2, l.charged, 0)
	}
}

// TestShareIsUsedWithoutLeaseHolder guards against calls that are sent without a charge, and against 429 from a daemon
// that does not know the use of the others.
func TestShareIsUsedWithoutLeaseHolder(t *testing.T) {
	for _, x := range []struct {
		model string
		route layout.Route
		older bool
	}{{"", plainRoute, false}, {"", plainRoute, true}, {"m", streamRoute, false}, {"m", streamRoute, true}} {
		fx, l := newQuotaFixture(t, x.route, sendEvent)
		l.down, l.older = !x.older, x.older
		a := fx.call(t, "big", x.model)
		require.Equal(t, http.StatusServiceUnavailable, a.StatusCode)
		require.Equal(t, strconv.Itoa(int(code.QuotaUnknown)), a.Header.Get("limpet-code"))
		require.Equal(t, "0.100", a.Header.Get("Retry-After"))
		require.Equal(t, http.StatusOK, fx.call(t, "free", x.model).StatusCode)
		fx.front.SetQuotaDaemons(1)
		require.Eventually(t, func() bool { return fx.call(t, "big", x.model).StatusCode == http.StatusOK }, 10*time.Second, 50*time.Millisecond)
		require.Equal(t, map[string]float64{"big": 1}, fx.front.TakeQuotaUse())
		require.Zero(t, l.charged)
	}
}

// TestWaitingCallIsCharged guards against sending a call without a charge that waits for its model, and to which this
// daemon assigns a server.
func TestWaitingCallIsCharged(t *testing.T) {
	route := streamRoute
	route.AbandonAfter, route.Timeout = time.Minute, time.Minute
	fx, l := newQuotaFixture(t, route)
	engine := httptest.NewServer(withStamp(sendEvent))
	defer engine.Close()
	servers := []*layout.Server{{ID: "i0", Service: "s", Slots: 8, Address: engine.Listener.Addr().String(), Models: map[string]layout.HeldModel{}}}
	fx.front.SetServers(servers)
	l.down = true
	go func() {
		for fx.loader.wantCount.Load() == 0 {
			time.Sleep(time.Millisecond)
		}
		l.mu.Lock()
		l.down = false
		l.mu.Unlock()
		loaded := *servers[0]
		loaded.Models = map[string]layout.HeldModel{"other": {}}
		l.front.SetServers([]*layout.Server{&loaded})
		fx.front.SetServers([]*layout.Server{&loaded})
	}()
	a, _, err := fx.post(t, "/r/1", map[string]string{"Api-Key": "small", "Model": "other", "Deadline": "60000"})
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, a.StatusCode, a.Header)
	require.InDelta(t, 1, l.charged, 0)
}

// TestUnusedChargeServesTheNextCall guards against quota that is lost with calls that no server ran.
func TestUnusedChargeServesTheNextCall(t *testing.T) {
	var rejects atomic.Bool
	fx, l := newQuotaFixture(t, plainRoute, func(w http.ResponseWriter, _ *http.Request) {
		if rejects.Load() {
			w.Header().Set("Unrun", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	rejects.Store(true)
	require.Equal(t, http.StatusServiceUnavailable, fx.call(t, "small", "").StatusCode)
	rejects.Store(false)
	time.Sleep(100 * time.Millisecond)
	require.Equal(t, http.StatusOK, fx.call(t, "small", "").StatusCode)
	require.InDelta(t, 1, l.charged, 0)
	require.Equal(t, http.StatusOK, fx.call(t, "small", "").StatusCode)
	require.InDelta(t, 2, l.charged, 0, "credit counts once")
}

// TestFurtherSendIsCharged guards against calls that count once although several servers ran them, and against
// ending such a call for lack of quota.
func TestFurtherSendIsCharged(t *testing.T) {
	breakOff := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	fx, l := newQuotaFixture(t, plainRoute, breakOff, breakOff)
	require.Equal(t, http.StatusBadGateway, fx.call(t, "small", "").StatusCode)
	require.Equal(t, map[string]float64{"small": 1}, fx.front.TakeQuotaUse(), "the lease holder learns of the second send")
	require.InDelta(t, 1, l.charged, 0)
	l.front.ChargeQuotas(map[string]float64{"small": 1})
	require.Equal(t, http.StatusTooManyRequests, fx.call(t, "small", "").StatusCode)
}

// TestResumedStreamIsCharged guards against ending a stream whose organisation has no quota left for a second engine.
func TestResumedStreamIsCharged(t *testing.T) {
	engine := func(id string) *layout.Server {
		return &layout.Server{ID: id, Service: "s", Slots: 8, Models: map[string]layout.HeldModel{"m": {}}}
	}
	var l *leaseHolder
	breakStream := func(w http.ResponseWriter, r *http.Request) {
		l.front.SetServers([]*layout.Server{engine("i0"), engine("i1")})
		sendEvent(w, r)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	sendRest := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = w.Write([]byte("id: 2\ndata: y\n\n"))
	}
	fx, holder := newQuotaFixture(t, streamRoute, breakStream, sendRest)
	l = holder
	require.Equal(t, http.StatusOK, fx.call(t, "single", "m").StatusCode)
	require.InDelta(t, 2, l.charged, 0)
}

// TestRefusedCallIsNotCharged guards against quota that is used by calls for which no engine has room.
func TestRefusedCallIsNotCharged(t *testing.T) {
	for model, route := range map[string]layout.Route{"": plainRoute, "m": streamRoute} {
		fx, l := newQuotaFixture(t, route, sendEvent)
		l.front.SetServers(nil)
		fx.front.SetServers(nil)
		require.Equal(t, http.StatusServiceUnavailable, fx.call(t, "small", model).StatusCode)
		require.Zero(t, l.charged)
	}
}

// TestRefusalsShowWhoseCreditDecided guards against log lines from which nobody can tell whether the quota was used up or
// the lease holder did not answer, and since when.
func TestRefusalsShowWhoseCreditDecided(t *testing.T) {
	fx, l := newQuotaFixture(t, plainRoute, sendEvent)
	refusal := func(status int) map[string]any {
		require.Eventually(t, func() bool { return fx.call(t, "single", "").StatusCode == status }, 5*time.Second, time.Millisecond)
		lines := fx.logs.FilterMessage("request_ended").All()
		return lines[len(lines)-1].ContextMap()
	}
	over := refusal(http.StatusTooManyRequests)
	require.Equal(t, "lease_holder", over["credit"])
	require.Less(t, over["credit_age"], time.Second)
	l.down = true
	time.Sleep(50 * time.Millisecond)
	unknown := refusal(http.StatusServiceUnavailable)
	require.Equal(t, "share", unknown["credit"])
	require.GreaterOrEqual(t, unknown["credit_age"], 50*time.Millisecond)
	require.EqualValues(t, 2, unknown["version"])
}
