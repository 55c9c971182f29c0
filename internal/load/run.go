package load

import (
	"context"
	"crypto/tls"
	"encoding/binary"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/turmericfield/turmericfield/internal/responsehead"
)

// errConnect marks a connection that could not be made: nothing was sent.
var errConnect = errors.New("cannot connect")

const (
	maxInFlight             = 4096 // requests that wait for their answers at once; further ones are left out
	connectTimeout          = time.Second
	maxIdleConnsPerInstance = 64
)

// Options describe one run of load.
type Options struct {
	Mix *Mix
	// Instances are the IP:port of the instances that callers send their first look-up
	// to.
	Instances []string
	// Rate is the mean number of requests per second. They arrive as a Poisson process.
	Rate float64
	// Duration is how long new requests are sent.
	Duration time.Duration
	// Callers is the number of callers. Each has its own client address, which it states
	// in look-ups.
	Callers int
	// Timeout bounds one request of a caller, from its scheduled time on and with all
	// its sends.
	Timeout time.Duration
	// Seed is the seed of the random schedule.
	Seed uint64
	// TLS, if set, makes callers use HTTPS.
	TLS *tls.Config
}

// arrival is one request of the schedule.
type arrival struct {
	offset    time.Duration // since the start
	request   int           // index in Mix.Requests
	workspace int           // index in Mix.Workspaces
	caller    int           // index of the caller that sends it
}

// schedule returns the arrivals of a run in the order of time. The same options always
// give the same arrivals.
func schedule(o Options) []arrival {
	rng := rand.New(rand.NewPCG(o.Seed, 1))
	requestShares := make([][]float64, len(o.Mix.Workspaces))
	for i, w := range o.Mix.Workspaces {
		requestShares[i] = cumulativeShares(len(o.Mix.Requests), func(j int) float64 { return w.weightOf(o.Mix.Requests[j]) })
	}
	workspaceShares := cumulativeShares(len(o.Mix.Workspaces), func(i int) float64 { return o.Mix.Workspaces[i].Weight })
	var arrivals []arrival
	seconds := 0.0
	for {
		seconds += rng.ExpFloat64() / o.Rate
		if seconds >= o.Duration.Seconds() {
			return arrivals
		}
		workspace := pickIndex(workspaceShares, rng.Float64())
		arrivals = append(arrivals, arrival{
			offset: time.Duration(seconds * float64(time.Second)), workspace: workspace,
			request: pickIndex(requestShares[workspace], rng.Float64()), caller: rng.IntN(max(o.Callers, 1)),
		})
	}
}

// weightOf returns the weight of a request among those of the workspace; 0 if the
// workspace does not send it.
func (w Workspace) weightOf(r Request) float64 {
	if len(w.Requests) > 0 && !slices.Contains(w.Requests, r.Name) {
		return 0
	}
	return r.Weight
}

// cumulativeShares divides n weights by their sum, and returns the sum of the first, the
// first two and so on; the last is 1.
func cumulativeShares(n int, weight func(int) float64) []float64 {
	out := make([]float64, n)
	total := 0.0
	for i := range out {
		total += weight(i)
		out[i] = total
	}
	for i := range out {
		out[i] /= total
	}
	return out
}

// pickIndex returns the index that a uniformly distributed number, 0 to 1, chooses by
// cumulative shares.
func pickIndex(cumulative []float64, uniform float64) int {
	for i, c := range cumulative {
		if uniform < c {
			return i
		}
	}
	return len(cumulative) - 1
}

// Run sends the load, waits for all answers and returns the report. If the context ends,
// no further requests are sent. Every latency counts from the scheduled time of the
// request and not from when it was sent, so that a slow system cannot hide its latency
// by delaying the load.
func Run(ctx context.Context, o Options) *Report {
	callers := newCallers(o)
	report := newReport(o)
	inFlight := make(chan struct{}, maxInFlight)
	var wait sync.WaitGroup
	start := time.Now()
	for _, a := range schedule(o) {
		if !sleepUntil(ctx, start.Add(a.offset)) {
			break
		}
		select {
		case inFlight <- struct{}{}:
		default:
			report.countUnsent()
			continue
		}
		wait.Go(func() {
			defer func() { <-inFlight }()
			scheduled := start.Add(a.offset)
			request, workspace := o.Mix.Requests[a.request], o.Mix.Workspaces[a.workspace]
			callCtx, cancel := context.WithDeadline(ctx, scheduled.Add(o.Timeout))
			defer cancel()
			r := callers[a.caller].sendWithRetries(callCtx, request, workspace.Key)
			report.record(request, workspace, r, time.Since(scheduled))
		})
	}
	wait.Wait()
	return report.finish(time.Since(start))
}

// sleepUntil waits until a time. It returns false if the context ends before.
func sleepUntil(ctx context.Context, t time.Time) bool {
	timer := time.NewTimer(time.Until(t))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// newCallers returns the callers of a run, which share their connections.
func newCallers(o Options) []*caller {
	dialer := &net.Dialer{Timeout: connectTimeout}
	client := &http.Client{Transport: responsehead.Transport{Base: &http.Transport{
		TLSClientConfig:     o.TLS,
		MaxIdleConnsPerHost: maxIdleConnsPerInstance,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, errors.Mark(err, errConnect)
			}
			return conn, nil
		},
	}}}
	scheme := "http"
	if o.TLS != nil {
		scheme = "https"
	}
	callers := make([]*caller, max(o.Callers, 1))
	for i := range callers {
		callers[i] = &caller{client: client, scheme: scheme, bootstrapAddresses: o.Instances, address: callerAddress(i)}
	}
	return callers
}

// callerAddress returns the client address of the i-th caller: each caller has its own
// /24 block, from 10.0.0.0 on, so that instances can be assigned to it independently.
func callerAddress(i int) netip.Addr {
	const firstBlock = 10 << 24 // 10.0.0.0
	var octets [4]byte
	binary.BigEndian.PutUint32(octets[:], uint32(firstBlock+i<<8+1))
	return netip.AddrFrom4(octets)
}
