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

// files are the certificate, key and authority of a daemon.
type files struct{ certificate, key, authority string }

// write issues a certificate for names into files.
func write(t *testing.T, a *certs.Authority, f files, names ...string) {
	certificate, key, err := a.Issue(names...)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(f.certificate, certificate, 0o600))
	require.NoError(t, os.WriteFile(f.key, key, 0o600))
	require.NoError(t, os.WriteFile(f.authority, a.PEM, 0o600))
}

// begin returns a duty with files of its own.
func begin(t *testing.T, a *certs.Authority, names ...string) (*Duty, files) {
	dir := t.TempDir()
	f := files{filepath.Join(dir, "c.pem"), filepath.Join(dir, "k.pem"), filepath.Join(dir, "a.pem")}
	write(t, a, f, names...)
	u, err := New(t.Context(), Config{Certificate: Secret(f.certificate), Key: Secret(f.key), Authority: Secret(f.authority)}, Deps{})
	require.NoError(t, err)
	return u, f
}

// shake does a handshake, with a byte each way so that both sides verify.
func shake(t *testing.T, server, client *tls.Config) (serverErr, clientErr error) {
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
		side := tls.Server(conn, server)
		if err := side.Handshake(); err != nil {
			done <- err
			return
		}
		_, err = side.Write([]byte{1})
		done <- err
	}()
	conn, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	side := tls.Client(conn, client)
	defer func() { _ = side.Close() }()
	if clientErr = side.Handshake(); clientErr == nil {
		_, clientErr = side.Read(make([]byte, 1))
	} else {
		_ = conn.Close()
	}
	return <-done, clientErr
}

func authority(t *testing.T) *certs.Authority {
	a, err := certs.NewAuthority()
	require.NoError(t, err)
	return a
}

func TestPeersKnowEachOtherByCertificate(t *testing.T) {
	ours, other := authority(t), authority(t)
	server, _ := begin(t, ours, PeerName)
	peer, _ := begin(t, ours, PeerName)
	caller, _ := begin(t, ours, "caller")
	stranger, _ := begin(t, other, PeerName)
	serverErr, clientErr := shake(t, server.PeerServer(), peer.PeerClient())
	require.NoError(t, serverErr)
	require.NoError(t, clientErr)
	serverErr, _ = shake(t, server.PeerServer(), caller.PeerClient())
	require.Equal(t, code.PeerUntrusted, code.Of(serverErr))
	serverErr, clientErr = shake(t, server.PeerServer(), stranger.PeerClient())
	require.Error(t, serverErr)
	require.Equal(t, code.PeerUntrusted, code.Of(clientErr))
	serverErr, _ = shake(t, server.PeerServer(), &tls.Config{InsecureSkipVerify: true})
	require.Error(t, serverErr, "a client without a certificate")
	_, clientErr = shake(t, caller.Server(), peer.PeerClient())
	require.Equal(t, code.PeerUntrusted, code.Of(clientErr), "a server without the name of a daemon")
}

func TestPlatformIsKnownByHost(t *testing.T) {
	a := authority(t)
	platform, _ := begin(t, a, "platform.example", "127.0.0.1")
	daemon, _ := begin(t, a, PeerName)
	for host, ok := range map[string]bool{"platform.example": true, "127.0.0.1": true, "10.0.0.1": false, "other.example": false} {
		_, err := shake(t, platform.Server(), daemon.Platform(host))
		require.Equal(t, ok, err == nil, "%s: %v", host, err)
	}
}

// TestReload replaces certificates and the authority under a running duty; a
// faulty file leaves what is in use.
func TestReload(t *testing.T) {
	first, second := authority(t), authority(t)
	server, serverFiles := begin(t, first, PeerName)
	client, clientFiles := begin(t, first, PeerName)
	serverTLS, clientTLS := server.PeerServer(), client.PeerClient()
	write(t, second, serverFiles, PeerName)
	server.reload()
	serverErr, clientErr := shake(t, serverTLS, clientTLS)
	require.Error(t, serverErr)
	require.Error(t, clientErr)
	write(t, second, clientFiles, PeerName)
	client.reload()
	serverErr, clientErr = shake(t, serverTLS, clientTLS)
	require.NoError(t, serverErr)
	require.NoError(t, clientErr)
	require.NoError(t, os.WriteFile(clientFiles.key, []byte("half a file"), 0o600))
	client.reload()
	serverErr, clientErr = shake(t, serverTLS, clientTLS)
	require.NoError(t, serverErr)
	require.NoError(t, clientErr)
}

// TestKeysAreNotLogged gives a key as PEM text where a certificate belongs, the
// likeliest way for one to get into a message.
func TestKeysAreNotLogged(t *testing.T) {
	certificate, key, err := authority(t).Issue(PeerName)
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

func TestPlainNeedsASetting(t *testing.T) {
	_, err := New(t.Context(), Config{}, Deps{})
	require.Equal(t, code.BadSetting, code.Of(err))
	u, err := New(t.Context(), Config{Plain: true}, Deps{})
	require.NoError(t, err)
	require.Nil(t, u.Server())
	require.Nil(t, u.PeerServer())
	require.Nil(t, u.PeerClient())
}
