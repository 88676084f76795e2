package keys

import (
	"crypto/tls"
	"crypto/x509"

	"github.com/limpetlb/limpetlb/limpetd/code"
)

// CallerServer returns the TLS configuration of the servers for callers and operators; nil if
// TLS is disabled.
func (u *Reloader) CallerServer() *tls.Config {
	if u.config.Plain {
		return nil
	}
	return &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: u.serverCertificate}
}

// PeerServer returns the TLS configuration of the server for other daemons; nil if TLS
// is disabled. The client must present the certificate of a daemon.
func (u *Reloader) PeerServer() *tls.Config {
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

// PeerClient returns the TLS configuration of calls to other daemons; nil if TLS is
// disabled. A daemon is identified by the DNS name PeerName in its certificate, not by
// its address.
func (u *Reloader) PeerClient() *tls.Config {
	return u.client(PeerName)
}

// PlatformClient returns the TLS configuration of calls to the platform at host, a DNS name
// or an IP address; nil if TLS is disabled.
func (u *Reloader) PlatformClient(host string) *tls.Config {
	return u.client(host)
}

// client returns the TLS configuration of calls to servers whose certificate must have
// the given name. The function from verify checks the certificate chain against the
// authority that was read last. InsecureSkipVerify disables the standard check, which
// would use the authority from the start.
func (u *Reloader) client(name string) *tls.Config {
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

// serverCertificate returns the current certificate.
func (u *Reloader) serverCertificate(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	return u.current.Load().certificate, nil
}

// clientCertificate returns the current certificate.
func (u *Reloader) clientCertificate(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
	return u.current.Load().certificate, nil
}

// verify returns the function that checks the certificate of the other side for name and
// usage. The check also runs on resumed connections.
func (u *Reloader) verify(name string, usage x509.ExtKeyUsage) func(tls.ConnectionState) error {
	return func(s tls.ConnectionState) error {
		if len(s.PeerCertificates) == 0 {
			return code.Errorf(code.PeerUntrusted, "the other side presented no certificate")
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
			return code.Errorf(code.PeerUntrusted, "verify certificate: %w", err)
		}
		return nil
	}
}
