package server

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/turmericfield/turmericfield/internal/config"
	"github.com/turmericfield/turmericfield/internal/entry"
	"github.com/turmericfield/turmericfield/internal/placement"
	standinplatform "github.com/turmericfield/turmericfield/internal/standin/platform"
)

const drainDelay = time.Second

// runningServer is a Server with one open route to a target.
type runningServer struct {
	*Server
	stop, kill context.CancelFunc
	done       chan error
}

func startServer(t *testing.T, backend http.Handler) *runningServer {
	t.Helper()
	platform := listen(t)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = standinplatform.New(nil).Serve(ctx, platform) }()
	target := listen(t)
	targetServer := &http.Server{Handler: rejectPolls(backend)}
	go func() { _ = targetServer.Serve(target) }()
	t.Cleanup(func() { _ = targetServer.Close() })
	s, err := Provision(Options{
		Name: "a", AvailabilityZone: "z", Listen: "127.0.0.1:0", PeerListen: "127.0.0.1:0", OperatorListen: "127.0.0.1:0",
		Platform: platform.Addr().String(), OperatorToken: "t", KeyFreshness: time.Second, ReserveBound: time.Hour, DrainDelay: drainDelay, LogLevel: "error",
		seatProvider: &placement.StaticSeat{AvailabilityZone: "z", ZoneSeats: 1, FleetSeats: 1, Clean: true},
	}, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	putRouteInForce(s, target.Addr().String())
	stop, cancelStop := context.WithCancel(context.Background())
	kill, cancelKill := context.WithCancel(context.Background())
	t.Cleanup(cancelKill)
	r := &runningServer{Server: s, stop: cancelStop, kill: cancelKill, done: make(chan error, 1)}
	go func() { r.done <- s.Run(stop, kill) }()
	return r
}

// rejectPolls keeps the placement's polls for health and load from a handler.
func rejectPolls(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/-/") {
			http.NotFound(w, r)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

// putRouteInForce puts a configuration with one open route in force.
func putRouteInForce(s *Server, target string) {
	snapshot := config.Compile(1, &config.Document{
		Regions:           []config.Region{{Name: "r", LinkMbps: 1000}},
		AvailabilityZones: []config.AvailabilityZone{{Name: "z", Region: "r"}},
		Services: []config.Service{{Name: "x", Slots: 1000, MaxConnections: 1000,
			Targets: []config.Target{{Name: "x-1", AvailabilityZone: "z", Address: target}}}},
		Routes: []config.Route{{Name: "x", Service: "x", PathPrefix: "/", Methods: []string{"GET", "POST"},
			Open: true, Class: config.ClassInteractive, TimeoutMillis: 60_000}},
	})
	s.entry.Update(func(now time.Time) {
		s.limiter.Update(snapshot, now)
		s.placer.Update(snapshot, now)
	})
	s.snapshot.Store(snapshot)
}

// echo answers while it reads the request.
func echo(w http.ResponseWriter, r *http.Request) {
	_ = http.NewResponseController(w).EnableFullDuplex()
	w.Header().Set(entry.RequestIDHeader, r.Header.Get(entry.RequestIDHeader))
	w.Header().Set(entry.TryHeader, r.Header.Get(entry.TryHeader))
	_, _ = io.Copy(w, r.Body)
}

// TestShutdownCutsNothing stops an instance while callers with connections
// that they keep send one request after the other, as long as the instance
// does not close their connection.
func TestShutdownCutsNothing(t *testing.T) {
	const callers, answerBytes = 64, 100_000
	var served atomic.Int64
	r := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(20 * time.Millisecond)
		echo(w, r)
		served.Add(1)
	}))
	url := "http://" + r.callerListener.Addr().String() + "/"
	var group errgroup.Group
	for range callers {
		group.Go(func() error { return sendUntilClosed(url, answerBytes) })
	}
	for served.Load() < 4*callers {
		time.Sleep(time.Millisecond)
	}
	r.stop()
	if err := group.Wait(); err != nil {
		t.Error(err)
	}
	if err := <-r.done; err != nil {
		t.Error(err)
	}
	if counts := r.invariants.Counts(); len(counts) > 0 {
		t.Error(counts)
	}
}

// sendUntilClosed sends requests over one connection until an answer says that
// the instance closes it.
func sendUntilClosed(url string, bytes int) error {
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for n := 0; ; n++ {
		response, err := client.Post(url, "text/plain", strings.NewReader(strings.Repeat("x", bytes)))
		if err != nil {
			return fmt.Errorf("request %d: %w", n, err)
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err != nil || response.StatusCode != http.StatusOK || len(body) != bytes {
			return fmt.Errorf("request %d: status %d, %d bytes, %v", n, response.StatusCode, len(body), err)
		}
		if response.Close {
			return nil
		}
	}
}

// TestShutdownWaitsForSlowRequest stops an instance while a request runs that
// takes longer than the drain delay, and expects its whole answer.
func TestShutdownWaitsForSlowRequest(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	r := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		close(started)
		<-release
		echo(w, r)
	}))
	answer := make(chan error, 1)
	go func() { answer <- sendUntilClosed("http://"+r.callerListener.Addr().String()+"/", 100_000) }()
	<-started
	r.stop()
	time.Sleep(2 * drainDelay)
	close(release)
	if err := <-answer; err != nil {
		t.Error(err)
	}
	if err := <-r.done; err != nil {
		t.Error(err)
	}
}

// TestKillEndsAtOnce stops and then kills an instance whose request never
// ends.
func TestKillEndsAtOnce(t *testing.T) {
	started := make(chan struct{})
	r := startServer(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		close(started)
		<-r.Context().Done()
	}))
	go func() { _ = sendUntilClosed("http://"+r.callerListener.Addr().String()+"/", 0) }()
	<-started
	r.stop()
	r.kill()
	<-r.done
}
