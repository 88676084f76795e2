// Package keys loads the certificates and keys of a daemon and provides TLS
// configurations: TLS for callers and operators, and mutual TLS between daemons and to
// the platform.
//
// Certificates and keys come from files, or as PEM text from the environment. Files are
// reread periodically, and new connections use the certificates that were read last. If
// a file is invalid, the error is logged and the previous certificates stay in use. Keys
// and their values are never logged. A daemon accepts a peer whose certificate is signed
// by the peer authority and has the DNS name PeerName, so a caller's certificate from the
// same authority is rejected.
//
// # Usage
//
//	reloader, err := keys.New(ctx, keys.Config{Certificate: "peer.pem", Key: "peer-key.pem", Authority: "ca.pem"}, keys.Deps{Log: log})
//	server := grpc.NewServer(grpc.Creds(credentials.NewTLS(reloader.PeerServer())))
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

// PeerName is the DNS name in the certificate of each daemon.
const PeerName = "limpetd"

// DefaultPeriod is the default time between two reads of the files.
const DefaultPeriod = 10 * time.Second

// Secret is PEM text, or the name of a file with PEM text. PEM text is printed as a
// placeholder.
type Secret string

// String returns the file name, or a placeholder for PEM text.
func (s Secret) String() string {
	if s.isPEM() {
		return "(PEM text)"
	}
	return string(s)
}

// GoString returns the same as String.
func (s Secret) GoString() string {
	return s.String()
}

// MarshalText returns the same as String.
func (s Secret) MarshalText() ([]byte, error) {
	return []byte(s.String()), nil
}

// isPEM reports whether the secret is PEM text.
func (s Secret) isPEM() bool {
	return strings.HasPrefix(strings.TrimSpace(string(s)), "-----BEGIN ")
}

// read returns the PEM text, from the file if the secret is a file name.
func (s Secret) read() ([]byte, error) {
	if s.isPEM() {
		return []byte(s), nil
	}
	return os.ReadFile(string(s))
}

// Config holds the certificates and keys, each as a file name or as PEM text.
type Config struct {
	Certificate Secret
	Key         Secret
	// Authority is the certificate of the authority that signs the certificates of
	// the other side. It is not needed for connections from callers.
	Authority Secret
	// Plain disables TLS. No certificates or keys are read then.
	Plain bool
}

// Deps holds the dependencies of a Reloader. Both may be nil.
type Deps struct {
	Log   *zap.Logger
	Scope tally.Scope
}

// Option configures a Reloader.
type Option func(*Reloader)

// WithPeriod sets the time between two reads of the files.
func WithPeriod(d time.Duration) Option {
	return func(u *Reloader) { u.period = d }
}

// credentials holds the certificate with its key and the authorities, as read at one time.
type credentials struct {
	certificate *tls.Certificate
	roots       *x509.CertPool
}

// Reloader rereads certificates and keys periodically and provides TLS configurations that use
// them. It is safe for concurrent use.
type Reloader struct {
	config  Config
	deps    Deps
	period  time.Duration
	tomb    *tomb.Tomb
	current atomic.Pointer[credentials]
}

// New reads the certificates and keys, and rereads them periodically until ctx ends. The
// error has code BadSetting.
func New(ctx context.Context, config Config, deps Deps, opts ...Option) (*Reloader, error) {
	u := &Reloader{config: config, deps: deps, period: DefaultPeriod}
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
	u.tomb.Go(func() error { return u.reloadPeriodically(inner) })
	return u, nil
}

// Wait blocks until the reloader has stopped.
func (u *Reloader) Wait() error {
	if err := u.tomb.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// reloadPeriodically calls reload once in each period until ctx ends.
func (u *Reloader) reloadPeriodically(ctx context.Context) error {
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

// reload rereads the certificates and keys. After an error the previous ones stay in use.
func (u *Reloader) reload() {
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
func (u *Reloader) read() (*credentials, error) {
	certificate, err := u.config.Certificate.read()
	if err != nil {
		return nil, code.Errorf(code.BadSetting, "read certificate: %w", err)
	}
	key, err := u.config.Key.read()
	if err != nil {
		return nil, code.Errorf(code.BadSetting, "read key: %w", err)
	}
	pair, err := tls.X509KeyPair(certificate, key)
	if err != nil {
		return nil, code.Errorf(code.BadSetting, "load certificate %s and key %s: %w", u.config.Certificate, u.config.Key, err)
	}
	m := &credentials{certificate: &pair, roots: x509.NewCertPool()}
	if u.config.Authority == "" {
		return m, nil
	}
	authority, err := u.config.Authority.read()
	if err != nil {
		return nil, code.Errorf(code.BadSetting, "read authority: %w", err)
	}
	if !m.roots.AppendCertsFromPEM(authority) {
		return nil, code.Errorf(code.BadSetting, "authority %s contains no valid certificate", u.config.Authority)
	}
	return m, nil
}
