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
	// fleetLoopPeriod is the time between two passes of runFleetLoop.
	fleetLoopPeriod = 100 * time.Millisecond
	// listReadPeriod is the time between two reads of the platform's list of
	// instances.
	listReadPeriod = 5 * time.Second
	// storeTimeout bounds an operation on the platform that may take several calls,
	// and is the wait after a failed read of its list of instances.
	storeTimeout = 2 * time.Second
	// listMaxAge is the age from which a read of the platform's list no longer
	// shows that an instance is not in the list.
	listMaxAge = 3 * listReadPeriod
	// maxOutgoingMessages bounds the messages to other instances that wait for
	// their acknowledgement. Further messages are dropped; receivers must cope with
	// that because a network may drop messages too.
	maxOutgoingMessages = 64
)

// instanceList is the platform's list of instances as last read.
type instanceList struct {
	readAt time.Time // when the read was sent
	names  map[string]bool
}

// initFleet creates the membership view and the dissemination core, which both
// know only this instance at first.
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
	s.disseminator = dissemination.New(dissemination.Options{
		Self: self, Tracker: &s.freshness, Invariants: s.invariants, Seeds: s.options.Seeds, Now: now,
		Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})
}

// inForceReport counts the configuration versions in force at this instance and at
// those that pull from it, directly or through others.
func (s *Server) inForceReport() *peerpb.InForceReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.disseminator.Report(time.Now())
}

// runFleetLoop runs the membership view and the dissemination core. The platform's
// list of instances is read by watchers, and by any instance until it has got the
// list once.
func (s *Server) runFleetLoop(ctx context.Context) {
	for ctx.Err() == nil {
		s.mu.Lock()
		now := time.Now()
		outputs := s.view.Tick(now)
		if s.view.Version() != s.viewVersion {
			s.viewVersion = s.view.Version()
			s.disseminator.SetMembers(s.view.Members())
		}
		readList := !now.Before(s.nextListRead) && (s.disseminator.IsWatcher() || !s.view.PlatformListKnown())
		if readList {
			s.nextListRead = now.Add(listReadPeriod)
		}
		superseded := s.view.Superseded()
		actions := s.disseminator.Tick(now)
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

// readList reads the platform's list of instances and merges it into the
// membership view.
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

// mayBeRunning tells whether an instance is a member that is not gone, or may be in
// the platform's list. Only a recent list shows that an instance is not in it.
func (s *Server) mayBeRunning(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	recent := time.Since(s.platformList.readAt) < listMaxAge
	return s.view.State(name) != membership.Gone || !recent || s.platformList.names[name]
}

// possiblyRunning returns the members that are not gone, and those that are gone
// for this instance but may be running without being reachable from here.
func (s *Server) possiblyRunning() []membership.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.PossiblyRunning()
}

// sendMembershipMessages sends the messages that the membership view returned.
func (s *Server) sendMembershipMessages(ctx context.Context, outputs []membership.OutgoingMessage) {
	for _, o := range outputs {
		s.sendAsync(ctx, o.PeerAddress, &peerpb.Envelope{Message: &peerpb.Envelope_Membership{Membership: o.Message}})
	}
}

// sendAsync sends a message to an IP:port without waiting for the outcome. The
// message is lost if it cannot be delivered or if maxOutgoingMessages are being
// sent already.
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

// receiveMembership handles a peer's membership message and sends the responses.
func (s *Server) receiveMembership(_ string, m *peerpb.MembershipMessage) {
	s.mu.Lock()
	outputs := s.view.HandleMessage(time.Now(), m)
	s.mu.Unlock()
	s.sendMembershipMessages(context.Background(), outputs)
}

// announceShutdown marks this instance as leaving in its membership view and sends
// the messages that announce it to others.
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
