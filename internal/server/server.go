// Package server assembles one instance from its parts and takes it through
// its life: provision, start, stop.
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

// Server is one instance.
type Server struct {
	options    Options
	security   security
	metrics    *metrics.Set
	log        *logging.Log
	platform   *platform.Client
	network    *peer.Network
	invariants *invariant.Recorder
	entry      *entry.Handler
	steering   *steerer
	limiter    *limits
	seats      seats
	placer     *placement.Placer

	snapshot atomic.Pointer[config.Snapshot]

	taking sync.Mutex // lets one record be put in force at a time

	mu        sync.Mutex // guards the fields below
	view      *membership.View
	syncer    *dissemination.Core
	freshness freshness.Tracker
	held      config.Held
	// viewVersion is the version of the view that syncer knows.
	viewVersion uint64
	list        listed
	nextList    time.Time

	outgoing       chan struct{} // one token for each message on its way
	supersededOnce atomic.Bool

	// incarnation tells this process from earlier ones of its name.
	incarnation uint64
	control     *operator.Service
	life        *statechart.Machine

	callers, peers, operators net.Listener
}

// Provision builds an instance from validated options. It binds its addresses
// but serves nothing yet.
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
	s.freshness = freshness.Tracker{Zone: o.AvailabilityZone, Author: freshness.Author{ID: freshness.WriterID(author{s}.Self())}}
	s.control = &operator.Service{Store: client, Fleet: s, Author: author{s}, Now: time.Now}
	if err := s.loadCharts(); err != nil {
		return nil, err
	}
	s.invariants = &invariant.Recorder{OnViolation: s.reportViolation}
	s.placer = s.newPlacer(s.holder())
	s.outgoing = make(chan struct{}, maxOutgoing)
	s.provisionFleet()
	s.seats, s.limiter = s.newSeats(), s.newLimits()
	s.steering = newSteerer(s.part("steering"))
	s.network = peer.New(o.Name, security.peerClient, peer.Handlers{Receive: s.receive, Status: s.peerStatus, Sync: s.answerSync, Confirm: s.confirmForPeer})
	s.entry = entry.NewHandler(entry.Options{
		Snapshot: s.snapshot.Load, Lookup: s.steering.lookup, KeysFresh: s.keysFresh,
		Limiter: s.limiter, AwaitDecision: s.awaitToken, Placer: s.placer, Claimer: s.claims(), ConnectionShare: s.connectionShare,
		Invariants: s.invariants, Metrics: s.metrics,
		Log: s.log.Part("entry"), Now: time.Now,
	})
	s.registerGauges()
	return s, s.bind()
}

func (s *Server) bind() error {
	for _, b := range []struct {
		flag, address string
		listener      *net.Listener
	}{
		{"listen", s.options.Listen, &s.callers},
		{"peer-listen", s.options.PeerListen, &s.peers},
		{"operator-listen", s.options.OperatorListen, &s.operators},
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
	for _, l := range []net.Listener{s.callers, s.peers, s.operators} {
		if l != nil {
			_ = l.Close()
		}
	}
}

// Run serves until stop is done, then leaves gracefully. kill ends everything
// at once.
func (s *Server) Run(stop, kill context.Context) error {
	work, cancel := context.WithCancel(kill)
	defer cancel()
	group, ctx := errgroup.WithContext(work)
	callers := entry.NewServer(s.entry)
	operators := &http.Server{Handler: s.operatorHandler(), ReadHeaderTimeout: 5 * time.Second}
	group.Go(func() error { return serveHTTP(callers, s.callers) })
	group.Go(func() error { return serveHTTP(operators, s.operators) })
	group.Go(func() error { return s.network.Serve(ctx, s.peers, s.security.peerServer) })
	group.Go(func() error { s.followFleet(ctx); return nil })
	group.Go(func() error { s.followSeat(ctx); return nil })
	group.Go(func() error { s.followSeats(ctx); return nil })
	group.Go(func() error { s.followLimits(ctx); return nil })
	group.Go(func() error { s.followTargets(ctx); return nil })
	group.Go(func() error { s.followSteering(ctx); return nil })
	group.Go(func() error { s.followWriters(ctx); return nil })
	group.Go(func() error {
		select {
		case <-stop.Done():
			s.leave(kill, callers)
		case <-ctx.Done():
		}
		cancel()
		_ = callers.Close()
		_ = operators.Close()
		return nil
	})
	s.move(eventStart)
	s.part("server").Info().Str("name", s.options.Name).Str("zone", s.options.AvailabilityZone).
		Str("listen", s.options.Listen).Str("version", buildversion.Read().Version).Msg("server: started")
	err := group.Wait()
	s.entry.Close()
	s.network.Close()
	_ = s.platform.Close()
	s.part("server").Info().Msg("server: stopped")
	return errors.CombineErrors(err, s.log.Close())
}

// leave stops being named in look-ups, waits for cached answers to run out,
// refuses new requests and finishes those in flight.
func (s *Server) leave(kill context.Context, callers *http.Server) {
	s.part("server").Info().Msg("server: leaving")
	s.move(eventStop)
	s.entry.DisableKeepAlives()
	s.announceLeaving(kill)
	s.rebuildSteering()
	s.resign(kill)
	select {
	case <-time.After(s.options.DrainDelay):
	case <-kill.Done():
	}
	s.move(eventAnswersExpired)
	s.finishRequests(kill, callers)
	s.move(eventFinished)
	s.releaseSeat(kill)
}

func serveHTTP(server *http.Server, listener net.Listener) error {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

func (s *Server) part(name string) *log.Logger { return s.log.Part(name) }

func (s *Server) reportViolation(name invariant.Name, detail string) {
	s.metrics.Add(metrics.Label("invariant_violations_total", "name", string(name)), 1)
	s.part("invariant").Error().Str("name", string(name)).Str("detail", detail).Msg("invariant: violated")
}

func (s *Server) peerStatus() *peerpb.StatusResponse {
	return &peerpb.StatusResponse{
		Name: s.options.Name, AvailabilityZone: s.options.AvailabilityZone,
		Version: s.snapshot.Load().Version, InFlight: s.entry.InFlight(), Incarnation: s.writingIncarnation(), Report: s.report(),
	}
}

func (s *Server) members() []membership.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.Members()
}

func (s *Server) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/v1/", operator.NewHandler(s.control, s.options.OperatorToken))
	mux.HandleFunc("GET /health", s.serveHealth)
	mux.Handle("GET /metrics", s.metrics)
	mux.HandleFunc("GET /version", serveVersion)
	return mux
}

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
