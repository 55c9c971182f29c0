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

// drainDelay is the DrainDelay of the instances under test.
const drainDelay = time.Second

// runningServer is a Server that runs, with one open route to a target. stop and
// kill end the contexts of Run, and done receives its result.
type runningServer struct {
	*Server
	stop, kill context.CancelFunc
	done       chan error
}

// startServer runs an instance with a platform and a target of its own. backend
// handles the target's requests except polls.
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

// rejectPolls answers the instance's polls of a target's health and load with 404,
// and passes all other requests on to a handler.
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

// putRouteInForce puts a configuration in force that has one open route, to a
// target at an IP:port.
func putRouteInForce(s *Server, target string) {
	snapshot := config.Compile(1, &config.Document{
		Regions:           []config.Region{{Name: "r", LinkMbps: 1000}},
		AvailabilityZones: []config.AvailabilityZone{{Name: "z", Region: "r"}},
		Services: []config.Service{{Name: "x", Slots: 1000, MaxConnections: 1000,
			Targets: []config.Target{{Name: "x-1", AvailabilityZone: "z", Address: target}}}},
		Routes: []config.Route{{Name: "x", Service: "x", PathPrefix: "/", Methods: []string{"GET", "POST"},
			Open: true, Class: config.ClassInteractive, TimeoutMillis: 60_000}},
	})
	s.entry.WithLock(func(now time.Time) {
		s.limiter.Update(snapshot, now)
		s.placer.Update(snapshot, now)
	})
	s.snapshot.Store(snapshot)
}

// echo answers with the body of the request while it still reads it.
func echo(w http.ResponseWriter, r *http.Request) {
	_ = http.NewResponseController(w).EnableFullDuplex()
	w.Header().Set(entry.RequestIDHeader, r.Header.Get(entry.RequestIDHeader))
	w.Header().Set(entry.TryHeader, r.Header.Get(entry.TryHeader))
	_, _ = io.Copy(w, r.Body)
}

// An instance that shuts down must answer every request that was sent before it said
// that it closes the connection. The callers send one request after the other over
// connections that they keep open, until an answer says so.
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

// sendUntilClosed sends requests with a body of the given length over one connection
// until an answer says that the instance closes it. It returns an error if any
// request does not get its whole body back.
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

// A request that runs for longer than the drain delay must still get its whole
// answer from an instance that is shutting down.
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

// An instance that waits for a request which never ends must end when it is killed.
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
