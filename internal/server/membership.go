package server

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/turmericfield/turmericfield/api/peerpb"
	"github.com/turmericfield/turmericfield/internal/dissemination"
	"github.com/turmericfield/turmericfield/internal/membership"
)

const (
	fleetLoopPeriod = 100 * time.Millisecond
	listReadPeriod  = 5 * time.Second
	storeTimeout    = 2 * time.Second
	// listMaxAge is how long a read of the platform's list tells which
	// instances are not in it.
	listMaxAge = 3 * listReadPeriod
	// maxOutgoingMessages bounds the messages to other instances that wait for their
	// acknowledgement; more are dropped, as a network may drop them.
	maxOutgoingMessages = 64
)

// instanceList is the platform's list of instances as last read.
type instanceList struct {
	readAt time.Time
	names  map[string]bool
}

// initFleet makes the cores of membership and dissemination.
func (s *Server) initFleet() {
	now := time.Now()
	self := membership.Member{
		Name: s.options.Name, AvailabilityZone: s.options.AvailabilityZone,
		Address: s.options.Listen, PeerAddress: s.options.PeerListen,
	}
	s.view = membership.New(membership.Options{
		Self: self, Incarnation: uint64(now.Unix()), Seeds: s.options.Seeds, Now: now,
		Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})
	s.syncer = dissemination.New(dissemination.Options{
		Self: self, Tracker: &s.freshness, Invariants: s.invariants, Seeds: s.options.Seeds, Now: now,
		Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})
}

// inForceReport sums up the versions in force at the instances that pull from here.
func (s *Server) inForceReport() *peerpb.InForceReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.syncer.Report(time.Now())
}

// runFleetLoop runs the cores of membership and dissemination.
func (s *Server) runFleetLoop(ctx context.Context) {
	for ctx.Err() == nil {
		s.mu.Lock()
		now := time.Now()
		outputs := s.view.Tick(now)
		if s.view.Version() != s.viewVersion {
			s.viewVersion = s.view.Version()
			s.syncer.SetMembers(s.view.Members())
		}
		readList := !now.Before(s.nextListRead) && (s.syncer.IsWatcher() || !s.view.PlatformListKnown())
		if readList {
			s.nextListRead = now.Add(listReadPeriod)
		}
		superseded := s.view.Superseded()
		actions := s.syncer.Tick(now)
		s.mu.Unlock()
		if superseded && s.supersededLogged.CompareAndSwap(false, true) {
			s.logger("membership").Error().Msg("membership: another process has taken this instance's name")
		}
		s.sendMembershipMessages(ctx, outputs)
		s.performActions(ctx, actions)
		if readList {
			go s.readList(ctx)
		}
		sleep(ctx, fleetLoopPeriod)
	}
}

// readList merges the platform's list into the view.
func (s *Server) readList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	sent := time.Now()
	list, err := s.platform.ListInstances(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.nextListRead = sent.Add(storeTimeout)
		return
	}
	s.platformList = instanceList{readAt: sent, names: map[string]bool{}}
	for _, instance := range list {
		s.platformList.names[instance.Name] = true
	}
	s.view.ApplyPlatformList(time.Now(), list)
}

// mayBeRunning tells whether an instance is a member or may be in the platform's
// list. Only a recent list can tell that it is not.
func (s *Server) mayBeRunning(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	recent := time.Since(s.platformList.readAt) < listMaxAge
	return s.view.State(name) != membership.Gone || !recent || s.platformList.names[name]
}

// possiblyRunning returns the members and those that cannot be reached although they may
// still run.
func (s *Server) possiblyRunning() []membership.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.PossiblyRunning()
}

// sendMembershipMessages sends the messages of the membership core.
func (s *Server) sendMembershipMessages(ctx context.Context, outputs []membership.OutgoingMessage) {
	for _, o := range outputs {
		s.sendAsync(ctx, o.PeerAddress, &peerpb.Envelope{Message: &peerpb.Envelope_Membership{Membership: o.Message}})
	}
}

// sendAsync sends a message that may be lost.
func (s *Server) sendAsync(ctx context.Context, address string, e *peerpb.Envelope) {
	select {
	case s.sendSemaphore <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-s.sendSemaphore }()
		if err := s.network.Send(ctx, address, e); err != nil {
			s.logger("membership").Debug().Err(err).Msg("membership: message not acknowledged")
		}
	}()
}

func (s *Server) receiveMembership(_ string, m *peerpb.MembershipMessage) {
	s.mu.Lock()
	outputs := s.view.HandleMessage(time.Now(), m)
	s.mu.Unlock()
	s.sendMembershipMessages(context.Background(), outputs)
}

// announceShutdown tells the other instances that this one leaves.
func (s *Server) announceShutdown(ctx context.Context) {
	s.mu.Lock()
	outputs := s.view.SetLeaving(time.Now())
	s.mu.Unlock()
	s.sendMembershipMessages(ctx, outputs)
}

// performActions does what the dissemination core asks for.
func (s *Server) performActions(ctx context.Context, a dissemination.Actions) {
	if a.ReadStore {
		go s.readConfiguration(ctx)
	}
	for _, p := range a.Pulls {
		go s.pull(ctx, p)
	}
	for _, address := range a.Hints {
		s.sendAsync(ctx, address, &peerpb.Envelope{Message: &peerpb.Envelope_Hint{Hint: a.Hint}})
	}
}
