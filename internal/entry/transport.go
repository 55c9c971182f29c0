package entry

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/turmericfield/turmericfield/internal/attempt"
)

const (
	connectTimeout = time.Second
	idleTimeout    = 5 * time.Second
	idlePerTarget  = 8
)

// errDial marks a failure to connect: the target got nothing.
var errDial = errors.New("connection to target failed")

// targetTransport sends requests to targets. A request that may not be
// repeated goes over a connection of its own: http.Transport silently replays
// requests only on connections that it has used before.
type targetTransport struct {
	pooled *http.Transport
	single *http.Transport
}

func newTargetTransport() *targetTransport {
	dialer := &net.Dialer{Timeout: connectTimeout}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, errors.Mark(err, errDial)
		}
		return conn, nil
	}
	pooled := &http.Transport{
		DialContext: dial, DisableCompression: true,
		IdleConnTimeout: idleTimeout, MaxIdleConnsPerHost: idlePerTarget,
	}
	single := pooled.Clone()
	single.DisableKeepAlives = true
	return &targetTransport{pooled: pooled, single: single}
}

func (t *targetTransport) roundTrip(r *http.Request, repeatable bool) (*http.Response, error) {
	if repeatable {
		return t.pooled.RoundTrip(r)
	}
	return t.single.RoundTrip(r)
}

// outcomeOfError tells whether a failed try may have run the request.
func outcomeOfError(err error) attempt.Outcome {
	if errors.Is(err, errDial) {
		return attempt.NotRun
	}
	return attempt.Unknown
}
