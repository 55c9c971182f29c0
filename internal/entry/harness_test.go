package entry

import (
	"bytes"
	"context"
	stdlog "log"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/phuslu/log"

	"github.com/turmericfield/turmericfield/internal/config"
	"github.com/turmericfield/turmericfield/internal/idempotency"
	"github.com/turmericfield/turmericfield/internal/invariant"
	"github.com/turmericfield/turmericfield/internal/metrics"
	"github.com/turmericfield/turmericfield/internal/placement"
	"github.com/turmericfield/turmericfield/internal/platform"
	"github.com/turmericfield/turmericfield/internal/ratelimit"
	standinplatform "github.com/turmericfield/turmericfield/internal/standin/platform"
	"github.com/turmericfield/turmericfield/internal/standin/target"
)

// The key of the workspace in newSystem, and the usual time limit of a route.
const (
	testKey      = "quito-1.quito-secret"
	testDeadline = 300 * time.Millisecond
)

// system is a test deployment: two instances in front of two services with two
// targets each. Requests to the service reads may be repeated, those to writes
// may not. The instances share a stand-in for the platform's store.
type system struct {
	reads, writes []*target.Target
	handlers      []*Handler // one for each instance
	addresses     []string   // host:port of each instance
	store         *standinplatform.Server
	storeClient   platform.Store // of the last instance

	mu         sync.Mutex // guards violations
	violations []string   // of invariants
}

// newSystem starts a system whose targets have the given options. Its routes have
// the deadline as their time limit.
func newSystem(t testing.TB, options target.Options, deadline time.Duration) *system {
	s := &system{store: standinplatform.New(nil)}
	doc := &config.Document{
		Regions:           []config.Region{{Name: "sierra", LinkMbps: 4000}},
		AvailabilityZones: []config.AvailabilityZone{{Name: "sierra-1", Region: "sierra"}},
		Workspaces: []config.Workspace{{
			Name: "quito", Rate: 1e9, Burst: 1e9, Routes: []string{"reads", "writes"},
			Keys: []config.Key{{ID: "quito-1", SHA256: config.HashSecret("quito-secret")}},
		}},
	}
	var reads, writes config.Service
	s.reads, reads = startTargets(t, "reads", options)
	s.writes, writes = startTargets(t, "writes", options)
	doc.Services = []config.Service{reads, writes}
	for _, name := range []string{"reads", "writes"} {
		doc.Routes = append(doc.Routes, config.Route{
			Name: name, Service: name, PathPrefix: "/" + name + "/", Methods: []string{"GET", "POST"},
			Repeatable: name == "reads", TimeoutMillis: int(deadline.Milliseconds()), Class: config.ClassInteractive,
		})
	}
	s.startInstances(t, config.Compile(1, doc))
	return s
}

// startTargets starts two targets and returns them with the configuration of
// their service.
func startTargets(t testing.TB, service string, options target.Options) ([]*target.Target, config.Service) {
	out := config.Service{Name: service, Slots: options.Slots, MaxConnections: options.Slots}
	var targets []*target.Target
	for i := range 2 {
		options.Name = service + "-" + strconv.Itoa(i)
		options.Seed = uint64(i)
		backend := target.New(options)
		targets = append(targets, backend)
		out.Targets = append(out.Targets, config.Target{
			Name: options.Name, AvailabilityZone: "sierra-1", Address: serve(t, target.NewServer(backend)),
		})
	}
	return targets, out
}

// startInstances starts the store and two instances that use the snapshot.
func (s *system) startInstances(t testing.TB, snapshot *config.Snapshot) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = s.store.Serve(ctx, listener) }()
	recorder := &invariant.Recorder{OnViolation: func(name invariant.Name, detail string) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.violations = append(s.violations, string(name)+": "+detail)
	}}
	for range 2 {
		client, err := platform.Dial(listener.Addr().String(), nil)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = client.Close() })
		s.storeClient = client
		limiter, placer := ratelimit.NewStaticShares(1), placement.New(placement.Options{AvailabilityZone: "sierra-1", Seats: &placement.StaticSeat{AvailabilityZone: "sierra-1", ZoneSeats: 1, FleetSeats: 1, Clean: true}})
		limiter.Update(snapshot, time.Now())
		placer.Update(snapshot, time.Now())
		h := NewHandler(Options{
			Snapshot:  func() *config.Snapshot { return snapshot },
			KeysFresh: func(time.Time) bool { return true }, Limiter: limiter, Placer: placer,
			Claimer: idempotency.NewClaimer(client, time.Now), Invariants: recorder, Metrics: metrics.New(),
			Log: &log.Logger{Level: log.PanicLevel}, Now: time.Now,
		})
		s.handlers = append(s.handlers, h)
		s.addresses = append(s.addresses, serve(t, NewServer(h)))
	}
}

// serverPanics counts the connections that an http.Server closed because a handler
// panicked, except by http.ErrAbortHandler.
var serverPanics atomic.Int64

// errorLog is the error log of an http.Server. It counts panics and drops the rest.
type errorLog struct{}

// Write implements io.Writer.
func (errorLog) Write(line []byte) (int, error) {
	if bytes.Contains(line, []byte("panic serving")) {
		serverPanics.Add(1)
	}
	return len(line), nil
}

// serve runs a server until the test ends and returns its host:port.
func serve(t testing.TB, server *http.Server) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server.ErrorLog = stdlog.New(errorLog{}, "", 0)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// executions returns how often the targets together ran each request, by id.
func executions(targets []*target.Target) map[string]int {
	sum := map[string]int{}
	for _, backend := range targets {
		for id, n := range backend.Executions() {
			sum[id] += n
		}
	}
	return sum
}
