package tlsconfig

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

// Authority is a certificate authority (CA) for tests and demonstrations. It is not
// meant for production and not safe for concurrent use.
type Authority struct {
	// CertificatePEM is the CA's own certificate, in PEM.
	CertificatePEM string

	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	serial      int64 // of the certificate issued last
}

// certificateLifetime is how long the CA's certificate and those that it issues are
// valid from when they are issued.
const certificateLifetime = 24 * time.Hour

// NewAuthority returns a CA with a new key.
func NewAuthority() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	a := &Authority{key: key, serial: 1}
	a.certificate = &x509.Certificate{
		SerialNumber: big.NewInt(a.serial), Subject: pkix.Name{CommonName: "turmericfield test CA"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(certificateLifetime),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, a.certificate, a.certificate, &key.PublicKey, key)
	a.CertificatePEM = encodePEM("CERTIFICATE", der)
	return a, err
}

// Issue returns a new certificate and its private key, both in PEM, for servers and
// clients with the given IP addresses and the name PeerServerName.
func (a *Authority) Issue(addresses ...string) (certificate, key string, err error) {
	issuedKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return "", "", err
	}
	a.serial++
	template := &x509.Certificate{
		SerialNumber: big.NewInt(a.serial), Subject: pkix.Name{CommonName: "turmericfield"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(certificateLifetime),
		DNSNames:    []string{PeerServerName},
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	for _, address := range addresses {
		template.IPAddresses = append(template.IPAddresses, net.ParseIP(address))
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &issuedKey.PublicKey, a.key)
	if err != nil {
		return "", "", err
	}
	keyDER, err := x509.MarshalECPrivateKey(issuedKey)
	return encodePEM("CERTIFICATE", der), encodePEM("EC PRIVATE KEY", keyDER), err
}

func encodePEM(blockType string, der []byte) string {
	return string(pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der}))
}
