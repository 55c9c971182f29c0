// Package tlsconfig builds TLS configurations from settings. Each certificate,
// key or CA is the path of a PEM file or the PEM text itself, since instances
// have no disks.
package tlsconfig

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
)

// PeerServerName is the DNS name that every instance's certificate carries for
// its peers. Instances have no fixed addresses, so their certificates name the
// system and not the address.
const PeerServerName = "peer.turmericfield.internal"

const pemPrefix = "-----BEGIN"

// Server returns the configuration of a listener, or nil if neither certificate
// nor key is set.
func Server(certificate, key string) (*tls.Config, error) {
	if certificate == "" && key == "" {
		return nil, nil
	}
	pair, err := keyPair(certificate, key)
	if err != nil {
		return nil, err
	}
	return &tls.Config{Certificates: []tls.Certificate{pair}, MinVersion: tls.VersionTLS12}, nil
}

// Peer returns the configurations with which instances serve and call each
// other: both sides present a certificate that the CA has signed. Nil without
// a CA.
func Peer(certificate, key, ca string) (server, client *tls.Config, err error) {
	if ca == "" {
		return nil, nil, nil
	}
	pool, err := certPool(ca)
	if err != nil {
		return nil, nil, err
	}
	pair, err := keyPair(certificate, key)
	if err != nil {
		return nil, nil, err
	}
	server = &tls.Config{
		Certificates: []tls.Certificate{pair}, ClientCAs: pool,
		ClientAuth: tls.RequireAndVerifyClientCert, MinVersion: tls.VersionTLS13,
	}
	client = &tls.Config{
		Certificates: []tls.Certificate{pair}, RootCAs: pool,
		ServerName: PeerServerName, MinVersion: tls.VersionTLS13,
	}
	return server, client, nil
}

// Client returns the configuration of a client that trusts a CA, or nil if
// none is set.
func Client(ca string) (*tls.Config, error) {
	if ca == "" {
		return nil, nil
	}
	pool, err := certPool(ca)
	if err != nil {
		return nil, err
	}
	return &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}, nil
}

func keyPair(certificate, key string) (tls.Certificate, error) {
	certificatePEM, err := readPEM("certificate", certificate)
	if err != nil {
		return tls.Certificate{}, err
	}
	keyPEM, err := readPEM("key", key)
	if err != nil {
		return tls.Certificate{}, err
	}
	pair, err := tls.X509KeyPair(certificatePEM, keyPEM)
	return pair, errors.Wrap(err, "TLS certificate and key")
}

func certPool(ca string) (*x509.CertPool, error) {
	caPEM, err := readPEM("CA", ca)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(caPEM) {
		return nil, errors.New("TLS CA holds no certificate")
	}
	return pool, nil
}

func readPEM(kind, pathOrPEM string) ([]byte, error) {
	if pathOrPEM == "" {
		return nil, errors.Newf("TLS %s is not set", kind)
	}
	if strings.HasPrefix(strings.TrimSpace(pathOrPEM), pemPrefix) {
		return []byte(pathOrPEM), nil
	}
	text, err := os.ReadFile(pathOrPEM)
	return text, errors.Wrapf(err, "TLS %s", kind)
}
