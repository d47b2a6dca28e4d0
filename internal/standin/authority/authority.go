// Package authority implements a certificate authority (RFC 5280) for tests: it issues short-lived certificates for
// the loopback address.
package authority

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"time"
)

// Authority is a certificate authority with a self-signed certificate.
type Authority struct {
	Cert   *x509.Certificate
	key    *ecdsa.PrivateKey
	serial int64 // of the latest certificate
}

// New creates an authority with a new key.
func New() (*Authority, error) {
	a := &Authority{}
	var err error
	a.Cert, a.key, err = a.issue(true)
	return a, err
}

// issue creates a key and a certificate that is valid for one hour, self-signed if isCA is set.
func (a *Authority) issue(isCA bool) (*x509.Certificate, *ecdsa.PrivateKey, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, err
	}
	a.serial++
	template := &x509.Certificate{SerialNumber: big.NewInt(a.serial), Subject: pkix.Name{CommonName: "test"}, NotBefore: time.Now().Add(-time.Hour),
		NotAfter: time.Now().Add(time.Hour), IsCA: isCA, BasicConstraintsValid: isCA, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		KeyUsage: x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign, ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}}
	parent, signer := a.Cert, a.key
	if isCA {
		parent, signer = template, key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	if err != nil {
		return nil, nil, err
	}
	cert, err := x509.ParseCertificate(der)
	return cert, key, err
}

// Pool returns a certificate pool that holds only the authority's certificate.
func (a *Authority) Pool() *x509.CertPool {
	p := x509.NewCertPool()
	p.AddCert(a.Cert)
	return p
}

// IssueKeyPair issues a certificate for servers and clients, with its key.
func (a *Authority) IssueKeyPair() (tls.Certificate, error) {
	cert, key, err := a.issue(false)
	if err != nil {
		return tls.Certificate{}, err
	}
	return tls.Certificate{Certificate: [][]byte{cert.Raw}, PrivateKey: key, Leaf: cert}, nil
}

// WriteKeyPair writes a certificate and its key to files in PEM format.
func WriteKeyPair(certificate tls.Certificate, certFile, keyFile string) error {
	der, err := x509.MarshalPKCS8PrivateKey(certificate.PrivateKey)
	if err != nil {
		return err
	}
	if err := os.WriteFile(certFile, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: certificate.Certificate[0]}), 0o600); err != nil {
		return err
	}
	return os.WriteFile(keyFile, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: der}), 0o600)
}
