// Package certs issues certificates for stand-ins and tests.
//
// # Usage
//
//	authority, err := certs.NewAuthority()
//	certificate, key, err := authority.Issue("limpetd", "127.0.0.1")
package certs

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"time"
)

// lifetime is how long a certificate is valid.
const lifetime = 24 * time.Hour

// Authority signs certificates.
type Authority struct {
	// PEM is the certificate of the authority.
	PEM         []byte
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// NewAuthority returns a new authority.
func NewAuthority() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	t := template("authority")
	t.IsCA, t.BasicConstraintsValid = true, true
	t.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, t, t, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, err
	}
	return &Authority{PEM: encode("CERTIFICATE", der), certificate: certificate, key: key}, nil
}

// Issue returns a certificate for DNS names and IP numbers, and its key, as PEM.
func (a *Authority) Issue(names ...string) (certificate, key []byte, err error) {
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, err
	}
	t := template(names[0])
	t.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	for _, n := range names {
		if ip := net.ParseIP(n); ip != nil {
			t.IPAddresses = append(t.IPAddresses, ip)
		} else {
			t.DNSNames = append(t.DNSNames, n)
		}
	}
	der, err := x509.CreateCertificate(rand.Reader, t, a.certificate, &private.PublicKey, a.key)
	if err != nil {
		return nil, nil, err
	}
	secret, err := x509.MarshalPKCS8PrivateKey(private)
	if err != nil {
		return nil, nil, err
	}
	return encode("CERTIFICATE", der), encode("PRIVATE KEY", secret), nil
}

// template returns a certificate to be signed.
func template(name string) *x509.Certificate {
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: big.NewInt(now.UnixNano()), Subject: pkix.Name{CommonName: name},
		NotBefore: now.Add(-time.Hour), NotAfter: now.Add(lifetime),
	}
}

// encode returns a PEM block.
func encode(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}
