package edge

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/turmericfield/turmericfield/api/fleetpb"
	"github.com/turmericfield/turmericfield/internal/gateway"
	"github.com/turmericfield/turmericfield/internal/traffic"
)

// peerBufferBytes is the size of the read and write buffers of a connection between
// instances. It is small because most messages are.
const peerBufferBytes = 4 << 10

// peerConn is a gRPC connection to one other instance at a time.
type peerConn struct {
	address string
	conn    *grpc.ClientConn
	// refused says that the machine has refused the last connection: no process listens.
	refused *atomic.Bool
	use     traffic.Use // what its bytes and calls count for
}

// client returns a client of the instance at an address and reuses the connection if
// it has the same address. Each attempt to connect is bounded by the timeout, and gRPC
// retries it with a backoff. The next call and its bytes count in the meter.
func (p *peerConn) client(address string, timeout time.Duration, meter *traffic.Meter) (fleetpb.FleetClient, error) {
	p.use.Set(meter)
	p.use.AddCall()
	if p.conn != nil && p.address == address {
		return fleetpb.NewFleetClient(p.conn), nil
	}
	p.close()
	dialer, refused := gateway.Dialer(timeout), &atomic.Bool{}
	conn, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithDisableServiceConfig(), grpc.WithDisableRetry(),
		grpc.WithReadBufferSize(peerBufferBytes), grpc.WithWriteBufferSize(peerBufferBytes),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff: backoff.Config{BaseDelay: 100 * time.Millisecond, Multiplier: 1.5, MaxDelay: 500 * time.Millisecond},
			// Without it an attempt ends with the first backoff.
			MinConnectTimeout: timeout,
		}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxPeerResponseBytes)),
		grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, "tcp4", address)
			refused.Store(errors.Is(err, syscall.ECONNREFUSED))
			if err != nil {
				return nil, err
			}
			return p.use.Conn(c), nil
		}))
	if err != nil {
		return nil, errors.Wrapf(err, "peer address %q", address)
	}
	p.conn, p.address, p.refused = conn, address, refused
	return fleetpb.NewFleetClient(conn), nil
}

// close closes the connection; the next call of client makes a new one.
func (p *peerConn) close() {
	if p.conn != nil {
		_ = p.conn.Close() // nothing depends on the old connection
		p.conn = nil
	}
}
