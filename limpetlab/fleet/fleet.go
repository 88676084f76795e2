// Package fleet runs daemons in one process over loopback sockets, as entry VMs
// behind the platform's balancer.
//
// # Usage
//
//	f := fleet.New(world, start)
//	m, err := f.Start(ctx, "lima-1")
//	err = f.Apply(ctx, doc)
//	m.Kill() // the daemon dies at once
package fleet

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/conf"
	"github.com/limpetlb/limpetlb/limpetd/docs"
	"github.com/limpetlb/limpetlb/limpetlab/deploy"
	"github.com/limpetlb/limpetlb/limpetlab/world"
)

// Operator of the fleet.
const (
	operatorName  = "lab"
	operatorToken = "lab-operator-token"
)

// Settings of the daemons.
const (
	leaseTerm     = 3 * time.Second
	planPeriod    = 200 * time.Millisecond
	drainTimeout  = time.Minute
	maxBodyBytes  = 1 << 20
	bodyTimeout   = 10 * time.Second
	eventCapacity = 1 << 14
	readyPause    = 50 * time.Millisecond
	loopback      = "127.0.0.1:0"
)

// Daemon is a running daemon.
type Daemon interface {
	CallerAddr() string
	PeerAddr() string
	OperatorAddr() string
	// Leave ends the daemon once its requests in flight have ended.
	Leave(ctx context.Context) error
}

// Freezer is a daemon that can be stopped and woken, unaware of the time between.
type Freezer interface {
	Freeze() error
	Thaw() error
}

// StartFunc starts a daemon, which dies at once when ctx ends.
type StartFunc func(ctx context.Context, c conf.Config) (Daemon, error)

// Member is a daemon of a fleet.
type Member struct {
	VM         string
	DataCentre string
	Daemon     Daemon
	// Kill ends the daemon at once.
	Kill context.CancelFunc
}

// Fleet is a set of daemons. It is safe for concurrent use.
type Fleet struct {
	deployment deploy.Deployment
	world      *world.World
	startFunc  StartFunc

	mu      sync.Mutex
	members []*Member
	started int
}

// New returns a fleet without daemons for a deployment whose stand-ins run.
func New(d deploy.Deployment, w *world.World, start StartFunc) *Fleet {
	return &Fleet{deployment: d, world: w, startFunc: start}
}

// StartAll starts the daemons of all data centres.
func (f *Fleet) StartAll(ctx context.Context) error {
	for range f.deployment.Daemons {
		for _, dc := range f.deployment.DataCentres {
			if _, err := f.Start(ctx, dc); err != nil {
				return err
			}
		}
	}
	return nil
}

// Start starts a daemon on a new VM of dc. It gets requests at once.
func (f *Fleet) Start(ctx context.Context, dc string) (*Member, error) {
	m, err := f.launch(ctx, dc)
	if err == nil {
		f.add(m)
	}
	return m, err
}

// Join starts a daemon on a new VM of dc. It gets requests once it is ready.
func (f *Fleet) Join(ctx context.Context, dc string) (*Member, error) {
	m, err := f.launch(ctx, dc)
	if err == nil {
		go f.AddReady(ctx, m)
	}
	return m, err
}

// AddReady waits until a daemon is ready and then lets it get requests.
func (f *Fleet) AddReady(ctx context.Context, m *Member) {
	for ctx.Err() == nil {
		response, err := http.Get("http://" + m.Daemon.CallerAddr() + "/readyz")
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				f.add(m)
				return
			}
		}
		time.Sleep(readyPause)
	}
}

// add lets a daemon get requests.
func (f *Fleet) add(m *Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.members = append(f.members, m)
}

// launch starts a daemon on a new VM of dc.
func (f *Fleet) launch(ctx context.Context, dc string) (*Member, error) {
	f.mu.Lock()
	f.started++
	vm := fmt.Sprintf("entry-%d", f.started)
	f.mu.Unlock()
	ctx, kill := context.WithCancel(ctx)
	daemon, err := f.startFunc(ctx, f.settings(vm, dc))
	if err != nil {
		kill()
		return nil, fmt.Errorf("daemon %s: %w", vm, err)
	}
	m := &Member{VM: vm, DataCentre: dc, Daemon: daemon, Kill: kill}
	f.world.AddDaemon(vm, dc, daemon.PeerAddr())
	return m, nil
}

// settings are the settings of a daemon.
func (f *Fleet) settings(vm, dc string) conf.Config {
	digest := sha256.Sum256([]byte(operatorToken))
	return conf.Config{
		VM:              vm,
		DataCentre:      dc,
		Region:          f.world.Region(),
		Environment:     f.deployment.Name,
		Stage:           string(docs.Trial),
		Platform:        f.world.PlatformURL(dc),
		PlatformPlain:   true,
		CallerAddress:   loopback,
		PeerAddress:     loopback,
		OperatorAddress: loopback,
		CallerPlain:     true,
		PeerPlain:       true,
		Operators:       []string{operatorName + ":" + hex.EncodeToString(digest[:])},
		LeaseTerm:       leaseTerm,
		PlanPeriod:      planPeriod,
		DrainTimeout:    drainTimeout,
		BatchKeep:       conf.MinBatchKeep,
		MaxBody:         maxBodyBytes,
		BodyTimeout:     bodyTimeout,
		EventCapacity:   eventCapacity,
		LogLevel:        "error",
	}
}

// Scope returns the environment and stage of the daemons' rows.
func (f *Fleet) Scope() string { return docs.Scope(f.deployment.Name, docs.Trial) }

// Live returns the daemons that get requests.
func (f *Fleet) Live() []*Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*Member(nil), f.members...)
}

// Pick returns a daemon at random, other than one when there is a choice.
func (f *Fleet) Pick(r *rand.Rand, other *Member) *Member {
	live := f.Live()
	if len(live) == 0 {
		return nil
	}
	m := live[r.IntN(len(live))]
	if m == other && len(live) > 1 {
		for m == other {
			m = live[r.IntN(len(live))]
		}
	}
	return m
}

// Drop takes a daemon out of the balancer.
func (f *Fleet) Drop(m *Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, o := range f.members {
		if o == m {
			f.members = append(f.members[:i], f.members[i+1:]...)
			return
		}
	}
}

// Stop ends all daemons at once.
func (f *Fleet) Stop() {
	for _, m := range f.Live() {
		m.Kill()
	}
}
