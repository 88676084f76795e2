package keys

import (
	"bytes"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/keys/certs"
)

// files holds the names of the certificate, key and authority files of a daemon.
type files struct{ certificate, key, authority string }

// writeFiles issues a certificate for names and writes the certificate, its key and the
// authority to f.
func writeFiles(t *testing.T, a *certs.Authority, f files, names ...string) {
	certificate, key, err := a.Issue(names...)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(f.certificate, certificate, 0o600))
	require.NoError(t, os.WriteFile(f.key, key, 0o600))
	require.NoError(t, os.WriteFile(f.authority, a.PEM, 0o600))
}

// newReloader returns a reloader that reads a new certificate for names from new files, and the
// files.
func newReloader(t *testing.T, a *certs.Authority, names ...string) (*Reloader, files) {
	dir := t.TempDir()
	f := files{filepath.Join(dir, "c.pem"), filepath.Join(dir, "k.pem"), filepath.Join(dir, "a.pem")}
	writeFiles(t, a, f, names...)
	u, err := New(t.Context(), Config{Certificate: Secret(f.certificate), Key: Secret(f.key), Authority: Secret(f.authority)}, Deps{})
	require.NoError(t, err)
	return u, f
}

// handshake performs a TLS handshake and sends a byte from the server to the client, so
// that both sides finish verification.
func handshake(t *testing.T, server, client *tls.Config) (serverErr, clientErr error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	done := make(chan error, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			done <- err
			return
		}
		defer func() { _ = conn.Close() }()
		tlsConn := tls.Server(conn, server)
		if err := tlsConn.Handshake(); err != nil {
			done <- err
			return
		}
		_, err = tlsConn.Write([]byte{1})
		done <- err
	}()
	conn, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	tlsConn := tls.Client(conn, client)
	defer func() { _ = tlsConn.Close() }()
	if clientErr = tlsConn.Handshake(); clientErr == nil {
		_, clientErr = tlsConn.Read(make([]byte, 1))
	} else {
		_ = conn.Close()
	}
	return <-done, clientErr
}

func newAuthority(t *testing.T) *certs.Authority {
	a, err := certs.NewAuthority()
	require.NoError(t, err)
	return a
}

func TestPeersVerifyCertificates(t *testing.T) {
	trusted, untrusted := newAuthority(t), newAuthority(t)
	server, _ := newReloader(t, trusted, PeerName)
	peer, _ := newReloader(t, trusted, PeerName)
	caller, _ := newReloader(t, trusted, "caller")
	impostor, _ := newReloader(t, untrusted, PeerName)
	serverErr, clientErr := handshake(t, server.PeerServer(), peer.PeerClient())
	require.NoError(t, serverErr)
	require.NoError(t, clientErr)
	serverErr, _ = handshake(t, server.PeerServer(), caller.PeerClient())
	require.Equal(t, code.PeerUntrusted, code.Of(serverErr))
	serverErr, clientErr = handshake(t, server.PeerServer(), impostor.PeerClient())
	require.Error(t, serverErr)
	require.Equal(t, code.PeerUntrusted, code.Of(clientErr))
	serverErr, _ = handshake(t, server.PeerServer(), &tls.Config{InsecureSkipVerify: true})
	require.Error(t, serverErr, "a client without a certificate")
	_, clientErr = handshake(t, caller.CallerServer(), peer.PeerClient())
	require.Equal(t, code.PeerUntrusted, code.Of(clientErr), "a server without the name of a daemon")
}

func TestPlatformCertificateMatchesHost(t *testing.T) {
	a := newAuthority(t)
	platform, _ := newReloader(t, a, "platform.example", "127.0.0.1")
	daemon, _ := newReloader(t, a, PeerName)
	for host, ok := range map[string]bool{"platform.example": true, "127.0.0.1": true, "10.0.0.1": false, "other.example": false} {
		_, err := handshake(t, platform.CallerServer(), daemon.PlatformClient(host))
		require.Equal(t, ok, err == nil, "%s: %v", host, err)
	}
}

// TestReload replaces the certificates and the authority of running reloaders. After an
// invalid file the previous certificates must stay in use.
func TestReload(t *testing.T) {
	first, second := newAuthority(t), newAuthority(t)
	server, serverFiles := newReloader(t, first, PeerName)
	client, clientFiles := newReloader(t, first, PeerName)
	serverTLS, clientTLS := server.PeerServer(), client.PeerClient()
	writeFiles(t, second, serverFiles, PeerName)
	server.reload()
	serverErr, clientErr := handshake(t, serverTLS, clientTLS)
	require.Error(t, serverErr)
	require.Error(t, clientErr)
	writeFiles(t, second, clientFiles, PeerName)
	client.reload()
	serverErr, clientErr = handshake(t, serverTLS, clientTLS)
	require.NoError(t, serverErr)
	require.NoError(t, clientErr)
	require.NoError(t, os.WriteFile(clientFiles.key, []byte("half a file"), 0o600))
	client.reload()
	serverErr, clientErr = handshake(t, serverTLS, clientTLS)
	require.NoError(t, serverErr)
	require.NoError(t, clientErr)
}

// TestKeysAreNotLogged passes a key as PEM text where a certificate is expected, which is
// the most likely way for a key to get into a message.
func TestKeysAreNotLogged(t *testing.T) {
	certificate, key, err := newAuthority(t).Issue(PeerName)
	require.NoError(t, err)
	secret := string(key[40:80])
	var out bytes.Buffer
	log := zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), zapcore.AddSync(&out), zap.DebugLevel))
	config := Config{Certificate: Secret(certificate), Key: Secret(key), Authority: Secret(key)}
	_, err = New(t.Context(), config, Deps{Log: log})
	require.Equal(t, code.BadSetting, code.Of(err))
	log.Info("config", zap.Any("config", config), zap.Error(err))
	text, err := json.Marshal(config)
	require.NoError(t, err)
	out.Write(text)
	_, _ = fmt.Fprintf(&out, "%v %+v %#v %s", config, config, config, config.Key)
	require.NotContains(t, out.String(), secret)
}

func TestTLSIsRequiredUnlessPlain(t *testing.T) {
	_, err := New(t.Context(), Config{}, Deps{})
	require.Equal(t, code.BadSetting, code.Of(err))
	u, err := New(t.Context(), Config{Plain: true}, Deps{})
	require.NoError(t, err)
	require.Nil(t, u.CallerServer())
	require.Nil(t, u.PeerServer())
	require.Nil(t, u.PeerClient())
}
