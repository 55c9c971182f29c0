package server

import (
	"crypto/tls"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc/credentials"

	"github.com/turmericfield/turmericfield/internal/tlsconfig"
)

// security holds the TLS configurations of an instance; nil means plain text.
type security struct {
	public     *tls.Config // callers and operators
	peerServer credentials.TransportCredentials
	peerClient credentials.TransportCredentials
	platform   credentials.TransportCredentials
}

// newSecurity reads the certificates that the options name. Its errors are
// marked with ErrSettings.
func newSecurity(o Options) (security, error) {
	s, err := readSecurity(o)
	return s, errors.Mark(err, ErrSettings)
}

func readSecurity(o Options) (security, error) {
	var s security
	public, err := tlsconfig.Server(o.TLSCertificate, o.TLSKey)
	if err != nil {
		return s, errors.Wrap(err, "--tls-cert, --tls-key")
	}
	s.public = public
	server, client, err := tlsconfig.Peer(o.TLSCertificate, o.TLSKey, o.PeerCA)
	if err != nil {
		return s, errors.Wrap(err, "--peer-ca")
	}
	if server != nil {
		s.peerServer = credentials.NewTLS(server)
		s.peerClient = credentials.NewTLS(client)
	}
	platform, err := tlsconfig.Client(o.PlatformCA)
	if platform != nil {
		s.platform = credentials.NewTLS(platform)
	}
	return s, errors.Wrap(err, "--platform-ca")
}
