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

// Authority issues certificates for tests and demonstrations. It is not meant
// for production.
type Authority struct {
	// CertificatePEM is the CA's own certificate.
	CertificatePEM string

	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	serial      int64
}

const certificateLifetime = 24 * time.Hour

// NewAuthority creates a CA with a fresh key.
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

// Issue returns a certificate and its key, in PEM, for the given IP addresses
// and for PeerServerName.
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
