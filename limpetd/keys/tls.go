package keys

import (
	"crypto/tls"
	"crypto/x509"

	"github.com/limpetlb/limpetlb/limpetd/code"
)

// Server returns the TLS settings towards callers and operators; nil for plain.
func (u *Duty) Server() *tls.Config {
	if u.config.Plain {
		return nil
	}
	return &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: u.serverCertificate}
}

// PeerServer returns the TLS settings of the interface between daemons: the
// client shows the certificate of a daemon. It is nil for plain.
func (u *Duty) PeerServer() *tls.Config {
	if u.config.Plain {
		return nil
	}
	return &tls.Config{
		MinVersion:       tls.VersionTLS13,
		GetCertificate:   u.serverCertificate,
		ClientAuth:       tls.RequireAnyClientCert,
		VerifyConnection: u.verify(PeerName, x509.ExtKeyUsageClientAuth),
	}
}

// PeerClient returns the TLS settings of a call to another daemon; nil for
// plain. Daemons are known by their certificate, not by their address.
func (u *Duty) PeerClient() *tls.Config {
	return u.client(PeerName)
}

// Platform returns the TLS settings of a call to the platform at host, a name or
// IP number; nil for plain.
func (u *Duty) Platform(host string) *tls.Config {
	return u.client(host)
}

// client returns the settings of a call to a server that must have a name. The
// chain is checked by verify, against the authority that was read last, in place
// of the check that would use the authority of the start.
func (u *Duty) client(name string) *tls.Config {
	if u.config.Plain {
		return nil
	}
	return &tls.Config{
		MinVersion:           tls.VersionTLS12,
		ServerName:           name,
		InsecureSkipVerify:   true,
		VerifyConnection:     u.verify(name, x509.ExtKeyUsageServerAuth),
		GetClientCertificate: u.clientCertificate,
		ClientSessionCache:   tls.NewLRUClientSessionCache(0),
	}
}

// serverCertificate returns the certificate in use.
func (u *Duty) serverCertificate(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	return u.current.Load().certificate, nil
}

// clientCertificate returns the certificate in use.
func (u *Duty) clientCertificate(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
	return u.current.Load().certificate, nil
}

// verify returns the check of the other side's certificate. It also runs on
// resumed connections.
func (u *Duty) verify(name string, usage x509.ExtKeyUsage) func(tls.ConnectionState) error {
	return func(s tls.ConnectionState) error {
		if len(s.PeerCertificates) == 0 {
			return code.Errorf(code.PeerUntrusted, "no certificate was shown")
		}
		options := x509.VerifyOptions{
			Roots:         u.current.Load().roots,
			DNSName:       name,
			Intermediates: x509.NewCertPool(),
			KeyUsages:     []x509.ExtKeyUsage{usage},
		}
		for _, c := range s.PeerCertificates[1:] {
			options.Intermediates.AddCert(c)
		}
		if _, err := s.PeerCertificates[0].Verify(options); err != nil {
			return code.Errorf(code.PeerUntrusted, "certificate: %w", err)
		}
		return nil
	}
}
