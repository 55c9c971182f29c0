package server

import (
	"crypto/tls"

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

func newSecurity(o Options) (security, error) {
	var s security
	public, err := tlsconfig.Server(o.TLSCertificate, o.TLSKey)
	if err != nil {
		return s, err
	}
	s.public = public
	server, client, err := tlsconfig.Peer(o.TLSCertificate, o.TLSKey, o.PeerCA)
	if err != nil {
		return s, err
	}
	if server != nil {
		s.peerServer = credentials.NewTLS(server)
		s.peerClient = credentials.NewTLS(client)
	}
	platform, err := tlsconfig.Client(o.PlatformCA)
	if platform != nil {
		s.platform = credentials.NewTLS(platform)
	}
	return s, err
}
