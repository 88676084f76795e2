// Package keys holds the certificates and keys of a daemon: TLS towards callers
// and operators, and mutual TLS between daemons and to the platform.
//
// Certificates and keys come from files, or as PEM text from the environment.
// Files are read again at a period, and new connections use what was read last;
// a faulty file leaves what is in use and is logged. Neither keys nor their
// values are ever logged. A daemon accepts a peer whose certificate is signed by
// the peer authority and carries the DNS name PeerName, so that a caller's
// certificate from the same authority is no pass.
//
// # Usage
//
//	duty, err := keys.New(ctx, keys.Config{Certificate: "peer.pem", Key: "peer-key.pem", Authority: "ca.pem"}, keys.Deps{Log: log})
//	server := grpc.NewServer(grpc.Creds(credentials.NewTLS(duty.PeerServer())))
package keys

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"os"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"gopkg.in/tomb.v2"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/life"
)

// PeerName is the DNS name in the certificate of a daemon.
const PeerName = "limpetd"

// DefaultPeriod is the time between two reads of the files.
const DefaultPeriod = 10 * time.Second

// Secret is PEM text, or the name of a file that holds it. It prints as a
// placeholder.
type Secret string

// String hides the text.
func (s Secret) String() string {
	if s.inline() {
		return "(PEM text)"
	}
	return string(s)
}

// GoString hides the text.
func (s Secret) GoString() string {
	return s.String()
}

// MarshalText hides the text.
func (s Secret) MarshalText() ([]byte, error) {
	return []byte(s.String()), nil
}

// inline tells whether the secret is PEM text.
func (s Secret) inline() bool {
	return strings.HasPrefix(strings.TrimSpace(string(s)), "-----BEGIN ")
}

// read returns the PEM text.
func (s Secret) read() ([]byte, error) {
	if s.inline() {
		return []byte(s), nil
	}
	return os.ReadFile(string(s))
}

// Config states where certificates and keys are. Each may be a file or PEM text.
type Config struct {
	Certificate Secret
	Key         Secret
	// Authority signs the certificates of the other side; it is not needed
	// towards callers.
	Authority Secret
	// Plain allows connections without TLS; nothing is read then.
	Plain bool
}

// Deps are what the duty works with; both may be nil.
type Deps struct {
	Log   *zap.Logger
	Scope tally.Scope
}

// Option changes a Duty.
type Option func(*Duty)

// WithPeriod sets the time between two reads of the files.
func WithPeriod(d time.Duration) Option {
	return func(u *Duty) { u.period = d }
}

// material is what was read last.
type material struct {
	certificate *tls.Certificate
	roots       *x509.CertPool
}

// Duty keeps certificates and keys fresh. It is safe for concurrent use.
type Duty struct {
	config  Config
	deps    Deps
	period  time.Duration
	tomb    *tomb.Tomb
	current atomic.Pointer[material]
}

// New reads the certificates and starts to renew them. The error has code
// BadSetting.
func New(ctx context.Context, config Config, deps Deps, opts ...Option) (*Duty, error) {
	u := &Duty{config: config, deps: deps, period: DefaultPeriod}
	if u.deps.Log == nil {
		u.deps.Log = zap.NewNop()
	}
	if u.deps.Scope == nil {
		u.deps.Scope = tally.NoopScope
	}
	for _, o := range opts {
		o(u)
	}
	var inner context.Context
	u.tomb, inner = life.WithContext(ctx)
	if !config.Plain {
		m, err := u.read()
		if err != nil {
			u.tomb.Kill(err)
			return nil, err
		}
		u.current.Store(m)
	}
	u.tomb.Go(func() error { return u.renew(inner) })
	return u, nil
}

// Wait returns when the duty has ended.
func (u *Duty) Wait() error {
	if err := u.tomb.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// renew reads the files again at each period.
func (u *Duty) renew(ctx context.Context) error {
	ticker := time.NewTicker(u.period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			u.reload()
		}
	}
}

// reload puts new certificates into use.
func (u *Duty) reload() {
	if u.config.Plain {
		return
	}
	m, err := u.read()
	if err != nil {
		u.deps.Scope.Counter("keys_reload_failed").Inc(1)
		u.deps.Log.Warn("keys_reload_failed", zap.Error(err))
		return
	}
	if !slices.EqualFunc(m.certificate.Certificate, u.current.Load().certificate.Certificate, slices.Equal) {
		u.deps.Log.Info("keys_reloaded", zap.Time("not_after", m.certificate.Leaf.NotAfter))
	}
	u.current.Store(m)
}

// read reads and checks the certificates and keys.
func (u *Duty) read() (*material, error) {
	certificate, err := u.config.Certificate.read()
	if err != nil {
		return nil, code.Errorf(code.BadSetting, "certificate: %w", err)
	}
	key, err := u.config.Key.read()
	if err != nil {
		return nil, code.Errorf(code.BadSetting, "key: %w", err)
	}
	pair, err := tls.X509KeyPair(certificate, key)
	if err != nil {
		return nil, code.Errorf(code.BadSetting, "certificate %s and key %s: %w", u.config.Certificate, u.config.Key, err)
	}
	m := &material{certificate: &pair, roots: x509.NewCertPool()}
	if u.config.Authority == "" {
		return m, nil
	}
	authority, err := u.config.Authority.read()
	if err != nil {
		return nil, code.Errorf(code.BadSetting, "authority: %w", err)
	}
	if !m.roots.AppendCertsFromPEM(authority) {
		return nil, code.Errorf(code.BadSetting, "authority %s holds no certificate", u.config.Authority)
	}
	return m, nil
}
