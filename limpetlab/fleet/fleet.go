// Package fleet runs a fleet of daemons on loopback sockets, as entry VMs behind a
// simulated balancer of the platform. Its StartFunc starts the daemons, in the same
// process or as processes of their own.
//
// # Usage
//
//	f := fleet.New(deployment, world, start)
//	m, err := f.Start(ctx, "lima-1")
//	err = f.Apply(ctx, doc)
//	m.Kill() // stops the daemon at once
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

// The fleet's operator.
const (
	operatorName  = "lab"
	operatorToken = "lab-operator-token"
)

// Settings of the daemons.
const (
	leaseTerm         = 3 * time.Second
	planPeriod        = 200 * time.Millisecond
	drainTimeout      = time.Minute
	maxBodyBytes      = 1 << 20
	bodyTimeout       = 10 * time.Second
	eventCapacity     = 1 << 14
	readyPollInterval = 50 * time.Millisecond
	loopback          = "127.0.0.1:0"
)

// Daemon is a running daemon.
type Daemon interface {
	CallerAddr() string
	PeerAddr() string
	OperatorAddr() string
	// Leave stops the daemon once its requests in flight have ended.
	Leave(ctx context.Context) error
}

// Freezer is a daemon whose process can be stopped and continued. The daemon
// does not notice how much time passed in between.
type Freezer interface {
	Freeze() error
	Thaw() error
}

// StartFunc starts a daemon. The daemon stops at once when ctx ends.
type StartFunc func(ctx context.Context, c conf.Config) (Daemon, error)

// Member is a daemon of a fleet.
type Member struct {
	VM         string
	DataCentre string
	Daemon     Daemon
	// Kill stops the daemon at once.
	Kill context.CancelFunc
}

// Fleet is a set of daemons and the list of those that the simulated balancer
// sends requests to. It is safe for concurrent use.
type Fleet struct {
	deployment deploy.Deployment
	world      *world.World
	startFunc  StartFunc

	mu      sync.Mutex
	members []*Member
	started int
}

// New returns a fleet without daemons for a deployment. Its stand-ins run in w.
func New(d deploy.Deployment, w *world.World, start StartFunc) *Fleet {
	return &Fleet{deployment: d, world: w, startFunc: start}
}

// StartAll starts the deployment's daemons in all data centres.
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

// Start starts a daemon on a new VM of dc. The balancer sends it requests at
// once.
func (f *Fleet) Start(ctx context.Context, dc string) (*Member, error) {
	m, err := f.launch(ctx, dc)
	if err == nil {
		f.addMember(m)
	}
	return m, err
}

// Join starts a daemon on a new VM of dc. The balancer sends it requests once
// it is ready.
func (f *Fleet) Join(ctx context.Context, dc string) (*Member, error) {
	m, err := f.launch(ctx, dc)
	if err == nil {
		go f.AddReady(ctx, m)
	}
	return m, err
}

// AddReady waits until a daemon is ready and then adds it to the balancer.
func (f *Fleet) AddReady(ctx context.Context, m *Member) {
	for ctx.Err() == nil {
		response, err := http.Get("http://" + m.Daemon.CallerAddr() + "/readyz")
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				f.addMember(m)
				return
			}
		}
		time.Sleep(readyPollInterval)
	}
}

// addMember adds a daemon to the balancer.
func (f *Fleet) addMember(m *Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.members = append(f.members, m)
}

// launch starts a daemon on a new VM of dc without adding it to the balancer.
func (f *Fleet) launch(ctx context.Context, dc string) (*Member, error) {
	f.mu.Lock()
	f.started++
	vm := fmt.Sprintf("entry-%d", f.started)
	f.mu.Unlock()
	ctx, kill := context.WithCancel(ctx)
	daemon, err := f.startFunc(ctx, f.daemonConfig(vm, dc))
	if err != nil {
		kill()
		return nil, fmt.Errorf("daemon %s: %w", vm, err)
	}
	m := &Member{VM: vm, DataCentre: dc, Daemon: daemon, Kill: kill}
	f.world.AddDaemon(vm, dc, daemon.PeerAddr())
	return m, nil
}

// daemonConfig returns the settings of a daemon.
func (f *Fleet) daemonConfig(vm, dc string) conf.Config {
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

// Scope returns the environment and stage of the daemons' rows in the table.
func (f *Fleet) Scope() string { return docs.Scope(f.deployment.Name, docs.Trial) }

// Live returns the daemons that the balancer sends requests to.
func (f *Fleet) Live() []*Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*Member(nil), f.members...)
}

// Pick returns a random daemon of the balancer, or nil if there is none. It
// returns excluded only if there is no other daemon.
func (f *Fleet) Pick(r *rand.Rand, excluded *Member) *Member {
	live := f.Live()
	if len(live) == 0 {
		return nil
	}
	m := live[r.IntN(len(live))]
	if m == excluded && len(live) > 1 {
		for m == excluded {
			m = live[r.IntN(len(live))]
		}
	}
	return m
}

// Drop removes a daemon from the balancer.
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

// Stop stops all daemons of the balancer at once.
func (f *Fleet) Stop() {
	for _, m := range f.Live() {
		m.Kill()
	}
}
