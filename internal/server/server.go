// Package server assembles one instance of the fleet from its parts, starts it
// and shuts it down.
//
// The parts are packages of their own, most of which do no I/O. This package
// calls them at regular intervals, passes their messages on between instances,
// reads and writes the platform's store for them, and gives them the
// configuration. Terms that it takes from them:
//
//   - The platform is the environment of the fleet. It offers a key-value store
//     and a list of the running instances, which lags behind (package platform).
//   - The control records, in the store, are the configuration record and one
//     seat table for each availability zone.
//   - Freshness evidence says up to which moment an instance knows all changes
//     of the control records (package freshness).
//   - A watcher reads the control records from the store. The other instances of
//     its zone pull them from their peers (package dissemination).
//   - A writer is a process that the configuration record lists as allowed to
//     write control records. An incarnation number distinguishes the process from
//     others of the same instance name.
//   - A seat is a numbered share of what all instances share, such as rate limits
//     and the targets' slots. At most one process may use it at a time (package
//     seat).
package server

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"
	"golang.org/x/sync/errgroup"

	"github.com/turmericfield/turmericfield/api/peerpb"
	"github.com/turmericfield/turmericfield/internal/buildversion"
	"github.com/turmericfield/turmericfield/internal/config"
	"github.com/turmericfield/turmericfield/internal/dissemination"
	"github.com/turmericfield/turmericfield/internal/entry"
	"github.com/turmericfield/turmericfield/internal/freshness"
	"github.com/turmericfield/turmericfield/internal/invariant"
	"github.com/turmericfield/turmericfield/internal/logging"
	"github.com/turmericfield/turmericfield/internal/membership"
	"github.com/turmericfield/turmericfield/internal/metrics"
	"github.com/turmericfield/turmericfield/internal/operator"
	"github.com/turmericfield/turmericfield/internal/peer"
	"github.com/turmericfield/turmericfield/internal/placement"
	"github.com/turmericfield/turmericfield/internal/platform"
	"github.com/turmericfield/turmericfield/internal/statechart"
)

// Server is one instance. It implements seat.Provider and operator.Fleet.
type Server struct {
	options    Options
	security   security
	metrics    *metrics.Set
	log        *logging.Log
	platform   *platform.Client
	network    *peer.Network
	invariants *invariant.Recorder
	entry      *entry.Handler
	steering   *directoryBuilder
	limiter    *limiterAdapter // guarded by entry.WithLock
	seats      seatState
	placer     *placement.Placer // guarded by entry.WithLock

	snapshot atomic.Pointer[config.Snapshot] // the configuration in force

	applyMu sync.Mutex // held while a record is put in force

	mu           sync.Mutex // guards the fields up to the next blank line, and most of seats
	view         *membership.View
	disseminator *dissemination.Core
	freshness    freshness.Tracker
	heldRecord   config.HeldRecord
	// viewVersion is the version of the view that disseminator was last given.
	viewVersion  uint64
	platformList instanceList
	nextListRead time.Time // when platformList is to be read again

	sendSemaphore    chan struct{} // holds one element for each message being sent by sendAsync
	supersededLogged atomic.Bool   // whether it was logged that another process has this name

	// incarnation is a random number that distinguishes this process from earlier
	// ones of the same instance name.
	incarnation     uint64
	operatorService *operator.Service
	lifecycle       *statechart.Machine

	callerListener, peerListener, operatorListener net.Listener
}

// Provision builds an instance from validated options and writes its log to
// logs. It binds the instance's addresses but serves nothing yet.
func Provision(o Options, logs io.Writer) (*Server, error) {
	security, err := newSecurity(o)
	if err != nil {
		return nil, err
	}
	client, err := platform.Dial(o.Platform, security.platform)
	if err != nil {
		return nil, err
	}
	s := &Server{
		options: o, security: security, metrics: metrics.New(), log: logging.New(logs, o.LogLevel), platform: client,
	}
	s.snapshot.Store(config.Compile(0, &config.Document{}))
	s.incarnation = rand.Uint64()
	s.freshness = freshness.Tracker{Zone: o.AvailabilityZone, LocalWriter: freshness.LocalWriter{ID: freshness.WriterID(localWriter{s}.Self())}}
	s.operatorService = &operator.Service{Store: client, Fleet: s, LocalWriter: localWriter{s}, Now: time.Now}
	if err := s.loadCharts(); err != nil {
		return nil, err
	}
	s.invariants = &invariant.Recorder{OnViolation: s.reportViolation}
	s.placer = s.newPlacer(s.seatProvider())
	s.sendSemaphore = make(chan struct{}, maxOutgoingMessages)
	s.initFleet()
	s.seats, s.limiter = s.newSeatState(), s.newLimiterAdapter()
	s.steering = newDirectoryBuilder(s.logger("steering"))
	s.network = peer.New(o.Name, security.peerClient, peer.Handlers{Receive: s.receive, Status: s.peerStatus, Sync: s.answerSync, Confirm: s.confirmForPeer})
	s.entry = entry.NewHandler(entry.Options{
		Snapshot: s.snapshot.Load, Lookup: s.steering.lookup, KeysFresh: s.keysFresh,
		Limiter: s.limiter, AwaitDecision: s.awaitToken, Placer: s.placer, Claimer: s.newClaimStore(), ConnectionShare: s.connectionShare,
		Invariants: s.invariants, Metrics: s.metrics,
		Log: s.log.Part("entry"), Now: time.Now,
	})
	s.registerGauges()
	return s, s.bind()
}

// bind opens the three listeners. If one fails it closes the others, and the
// error names the flag that sets the address.
func (s *Server) bind() error {
	for _, b := range []struct {
		flag, address string
		listener      *net.Listener
	}{
		{"listen", s.options.Listen, &s.callerListener},
		{"peer-listen", s.options.PeerListen, &s.peerListener},
		{"operator-listen", s.options.OperatorListen, &s.operatorListener},
	} {
		listener, err := net.Listen("tcp", b.address)
		if err != nil {
			s.closeListeners()
			return errors.Wrapf(err, "--%s", b.flag)
		}
		if b.flag != "peer-listen" && s.security.public != nil {
			listener = tls.NewListener(listener, s.security.public)
		}
		*b.listener = listener
	}
	return nil
}

func (s *Server) closeListeners() {
	for _, l := range []net.Listener{s.callerListener, s.peerListener, s.operatorListener} {
		if l != nil {
			_ = l.Close()
		}
	}
}

// Run serves until stop is done, then shuts down gracefully. When kill is done,
// it ends at once, with or without a shutdown in progress.
func (s *Server) Run(stop, kill context.Context) error {
	work, cancel := context.WithCancel(kill)
	defer cancel()
	group, ctx := errgroup.WithContext(work)
	callerServer := entry.NewServer(s.entry)
	operatorServer := &http.Server{Handler: s.operatorHandler(), ReadHeaderTimeout: 5 * time.Second}
	group.Go(func() error { return serveHTTP(callerServer, s.callerListener) })
	group.Go(func() error { return serveHTTP(operatorServer, s.operatorListener) })
	group.Go(func() error { return s.network.Serve(ctx, s.peerListener, s.security.peerServer) })
	group.Go(func() error { s.runFleetLoop(ctx); return nil })
	group.Go(func() error { s.runPlacementLoop(ctx); return nil })
	group.Go(func() error { s.runSeatLoop(ctx); return nil })
	group.Go(func() error { s.runLimiterLoop(ctx); return nil })
	group.Go(func() error { s.runTargetPollLoop(ctx); return nil })
	group.Go(func() error { s.runSteeringLoop(ctx); return nil })
	group.Go(func() error { s.runWriterLoop(ctx); return nil })
	group.Go(func() error {
		select {
		case <-stop.Done():
			s.shutDown(kill, callerServer)
		case <-ctx.Done():
		}
		cancel()
		_ = callerServer.Close()
		_ = operatorServer.Close()
		return nil
	})
	s.fireEvent(eventStart)
	s.logger("server").Info().Str("name", s.options.Name).Str("zone", s.options.AvailabilityZone).
		Str("listen", s.options.Listen).Str("version", buildversion.Read().Version).Msg("server: started")
	err := group.Wait()
	s.entry.Close()
	s.network.Close()
	_ = s.platform.Close()
	s.logger("server").Info().Msg("server: stopped")
	return errors.CombineErrors(err, s.log.Close())
}

// shutDown takes this instance out of the answers to look-ups and waits until
// the answers that clients hold have expired. Then it refuses new requests,
// finishes those in flight and gives up the seat. Before the wait it also stops
// being a writer.
func (s *Server) shutDown(kill context.Context, callerServer *http.Server) {
	s.logger("server").Info().Msg("server: leaving")
	s.fireEvent(eventStop)
	s.entry.DisableKeepAlives()
	s.announceShutdown(kill)
	s.rebuildSteering()
	s.retireAsWriter(kill)
	select {
	case <-time.After(s.options.DrainDelay):
	case <-kill.Done():
	}
	s.fireEvent(eventAnswersExpired)
	s.finishRequests(kill, callerServer)
	s.fireEvent(eventFinished)
	s.releaseSeat(kill)
}

// serveHTTP serves until the server is closed, which is not an error.
func serveHTTP(server *http.Server, listener net.Listener) error {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// logger returns the logger of a part of the instance.
func (s *Server) logger(name string) *log.Logger { return s.log.Part(name) }

func (s *Server) reportViolation(name invariant.Name, detail string) {
	s.metrics.Add(metrics.Label("invariant_violations_total", "name", string(name)), 1)
	s.logger("invariant").Error().Str("name", string(name)).Str("detail", detail).Msg("invariant: violated")
}

// peerStatus answers a peer that asks for this instance's status.
func (s *Server) peerStatus() *peerpb.StatusResponse {
	return &peerpb.StatusResponse{
		Name: s.options.Name, AvailabilityZone: s.options.AvailabilityZone,
		Version: s.snapshot.Load().Version, InFlight: s.entry.InFlight(), Incarnation: s.writerIncarnation(), Report: s.inForceReport(),
	}
}

// members returns the members of the fleet that are not gone, including this
// instance. The slice is shared and must not be modified.
func (s *Server) members() []membership.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.Members()
}

func (s *Server) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/v1/", operator.NewHandler(s.operatorService, s.options.OperatorToken))
	mux.HandleFunc("GET /health", s.serveHealth)
	mux.Handle("GET /metrics", s.metrics)
	mux.HandleFunc("GET /version", serveVersion)
	return mux
}

// serveHealth reports this instance as healthy once a configuration is in force.
func (s *Server) serveHealth(w http.ResponseWriter, _ *http.Request) {
	if s.snapshot.Load().Version == 0 {
		http.Error(w, "no configuration yet", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ok\n")
}

func serveVersion(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	_ = json.NewEncoder(w).Encode(buildversion.Read())
}
