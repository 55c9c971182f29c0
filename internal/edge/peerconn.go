package edge

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/turmericfield/turmericfield/api/fleetpb"
	"github.com/turmericfield/turmericfield/internal/gateway"
)

// peerBuffer is the size in bytes of a peer connection's buffers; calls are small.
const peerBufferBytes = 4 << 10

// peerConn is a connection to one other instance at a time.
type peerConn struct {
	address string
	conn    *grpc.ClientConn
}

// client returns a client of the instance at an address. A connection that is not
// made within the timeout is tried again.
func (p *peerConn) client(address string, timeout time.Duration) (fleetpb.FleetClient, error) {
	if p.conn != nil && p.address == address {
		return fleetpb.NewFleetClient(p.conn), nil
	}
	p.close()
	dialer := gateway.Dialer(timeout)
	conn, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithDisableServiceConfig(), grpc.WithDisableRetry(),
		grpc.WithReadBufferSize(peerBufferBytes), grpc.WithWriteBufferSize(peerBufferBytes),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: backoff.Config{BaseDelay: 100 * time.Millisecond, Multiplier: 1.5, MaxDelay: 500 * time.Millisecond}}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxPeerResponseBytes)),
		grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp4", address)
		}))
	if err != nil {
		return nil, errors.Wrapf(err, "peer address %q", address)
	}
	p.conn, p.address = conn, address
	return fleetpb.NewFleetClient(conn), nil
}

// close ends the connection; the next call makes a new one.
func (p *peerConn) close() {
	if p.conn != nil {
		_ = p.conn.Close() // there is nobody to report to
		p.conn = nil
	}
}
