// Package tlsconfig builds TLS configurations from settings. Each certificate, key
// or CA (certificates of certificate authorities) is given as the path of a PEM file
// or as the PEM text itself, since instances have no disks.
package tlsconfig

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
)

// PeerServerName is the DNS name in every instance's certificate that other
// instances verify. Instances have no fixed addresses, so the certificates name the
// system and not the address.
const PeerServerName = "peer.turmericfield.internal"

// pemPrefix is how PEM text starts, unlike a path.
const pemPrefix = "-----BEGIN"

// Server returns the configuration of a server that does not ask its clients for
// certificates, or nil if neither certificate nor key is set.
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

// Peer returns the configurations with which instances serve and call each other.
// Both sides present a certificate that the CA has signed (mutual TLS). Both
// configurations are nil if no CA is set.
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

// Client returns the configuration of a client that trusts the CA and has no
// certificate of its own, or nil if no CA is set.
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

// readPEM returns the PEM text of a setting, which is that text or the path of a
// file with it. The kind names the setting in errors.
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
