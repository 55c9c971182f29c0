package server

import (
	"crypto/tls"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc/credentials"

	"github.com/turmericfield/turmericfield/internal/tlsconfig"
)

// security holds the TLS settings of an instance's connections. A nil field
// means plain text.
type security struct {
	public     *tls.Config                      // from callers and operators
	peerServer credentials.TransportCredentials // from other instances
	peerClient credentials.TransportCredentials // to other instances
	platform   credentials.TransportCredentials // to the platform
}

// newSecurity reads the certificates that the options name. Its errors are
// marked with ErrSettings.
func newSecurity(o Options) (security, error) {
	s, err := readSecurity(o)
	return s, errors.Mark(err, ErrSettings)
}

// readSecurity is newSecurity without the mark. Its errors name the flags.
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
