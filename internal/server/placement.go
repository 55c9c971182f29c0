package server

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/turmericfield/turmericfield/api/peerpb"
	"github.com/turmericfield/turmericfield/internal/config"
	"github.com/turmericfield/turmericfield/internal/entry"
	"github.com/turmericfield/turmericfield/internal/membership"
	"github.com/turmericfield/turmericfield/internal/notice"
	"github.com/turmericfield/turmericfield/internal/placement"
	"github.com/turmericfield/turmericfield/internal/responsehead"
	"github.com/turmericfield/turmericfield/internal/seat"
)

const (
	// placementLoopPeriod is the time between two passes of runPlacementLoop and of
	// runTargetPollLoop. It must be well below placement's maxObservationGap.
	placementLoopPeriod = 50 * time.Millisecond
	// pollTimeout bounds each of the two HTTP requests of one poll of a target.
	pollTimeout = 500 * time.Millisecond
	// announceAttempts is how often one instance is sent the message that a target
	// is leaving until it acknowledges it, and announceRetryDelay is the time
	// between two attempts.
	announceAttempts   = 3
	announceRetryDelay = 500 * time.Millisecond
	// maxConcurrentPolls bounds the polls that run at the same time.
	maxConcurrentPolls = 16
	// maxPollAnswerBytes bounds the part of a target's answer to a poll that is read.
	maxPollAnswerBytes = 1 << 16
	// maxPollHeaderBytes bounds the header of such an answer.
	maxPollHeaderBytes = 1 << 16

	// Paths that targets answer to polls.
	targetHealthPath = "/-/health"
	targetLoadPath   = "/-/load"
)

// newPlacer returns the placer of this instance. It may use those slots of targets
// and units of regions and links that belong to the instance's seat, which it learns
// from seats (see package placement).
func (s *Server) newPlacer(seats seat.Provider) *placement.Placer {
	return placement.New(placement.Options{
		AvailabilityZone: s.options.AvailabilityZone, Seats: seats,
		MaxFleetLayoutLag: s.options.KeyFreshness, MaxZoneLayoutLag: s.options.ReserveBound,
		FirstLoanID: rand.Uint64(), Invariants: s.invariants,
	})
}

// targetLoad is the answer of a target's load endpoint.
type targetLoad struct {
	// InFlight is the number of requests that the target runs, and Slots the number
	// that it can run at once.
	InFlight int `json:"in_flight"`
	Slots    int `json:"slots"`
	// Draining says that the target wants no new requests.
	Draining bool `json:"draining"`
}

// runPlacementLoop lets the placer observe the seat at short intervals, so that
// the seat counts as held without a gap, and sends the messages about loans of
// slots.
func (s *Server) runPlacementLoop(ctx context.Context) {
	for ctx.Err() == nil {
		s.entry.WithLock(s.placer.Tick)
		s.sendLoanMessages(ctx)
		sleep(ctx, placementLoopPeriod)
	}
}

// runTargetPollLoop polls those targets that this instance has to poll.
func (s *Server) runTargetPollLoop(ctx context.Context) {
	client := newPollClient()
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		zone := s.liveZoneInstances()
		var due []string
		s.entry.WithLock(func(now time.Time) { due = s.placer.DuePolls(s.options.Name, zone, now) })
		s.pollTargets(ctx, client, due)
		sleep(ctx, placementLoopPeriod)
	}
}

// newPollClient returns the client that polls targets.
func newPollClient() *http.Client {
	return &http.Client{Timeout: pollTimeout, Transport: responsehead.Transport{Base: &http.Transport{
		MaxIdleConnsPerHost: 1, IdleConnTimeout: 5 * time.Second, MaxResponseHeaderBytes: maxPollHeaderBytes,
	}}}
}

// liveZoneInstances returns the names of the live instances of this instance's own
// availability zone.
func (s *Server) liveZoneInstances() []string {
	var names []string
	for _, m := range s.members() {
		if m.AvailabilityZone == s.options.AvailabilityZone && m.State == membership.Live {
			names = append(names, m.Name)
		}
	}
	return names
}

// pollTargets polls targets concurrently and applies their reports. It returns when
// all polls have ended.
func (s *Server) pollTargets(ctx context.Context, client *http.Client, names []string) {
	addresses := targetAddresses(s.snapshot.Load())
	semaphore := make(chan struct{}, maxConcurrentPolls)
	var group sync.WaitGroup
	for _, name := range names {
		semaphore <- struct{}{}
		group.Go(func() {
			defer func() { <-semaphore }()
			sent := time.Now()
			report, err := pollTarget(ctx, client, addresses[name])
			if err != nil {
				s.logger("placement").Debug().Str("target", name).Err(err).Msg("placement: a target did not answer a poll")
				return
			}
			report.Target = name
			s.applyReport(ctx, report, sent)
		})
	}
	group.Wait()
}

// targetAddresses returns the address (IP:port) of each target by its name.
func targetAddresses(snapshot *config.Snapshot) map[string]string {
	addresses := map[string]string{}
	for _, service := range snapshot.Document.Services {
		for _, t := range service.Targets {
			addresses[t.Name] = t.Address
		}
	}
	return addresses
}

// pollTarget asks a target for its load and its health. The target is draining if its
// load answer says so, or if either answer has the status 503 or says in its header
// that the target leaves.
func pollTarget(ctx context.Context, client *http.Client, address string) (placement.Report, error) {
	var load targetLoad
	loadDraining, err := getJSON(ctx, client, "http://"+address+targetLoadPath, &load)
	if err != nil {
		return placement.Report{}, err
	}
	healthDraining, err := getJSON(ctx, client, "http://"+address+targetHealthPath, nil)
	if err != nil {
		return placement.Report{}, err
	}
	return placement.Report{InFlight: load.InFlight, Slots: load.Slots, Draining: load.Draining || loadDraining || healthDraining}, nil
}

// getJSON sends a GET request to a target and returns whether the head of its answer says
// that the target is draining. If the status is 200 and into is not nil, it decodes the
// body into the value that into points to.
func getJSON(ctx context.Context, client *http.Client, url string, into any) (draining bool, err error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false, err
	}
	response, err := client.Do(request)
	if err != nil {
		return false, err
	}
	defer response.Body.Close()
	if into != nil && response.StatusCode == http.StatusOK {
		err = json.NewDecoder(http.MaxBytesReader(nil, response.Body, maxPollAnswerBytes)).Decode(into)
	}
	draining = response.StatusCode == http.StatusServiceUnavailable || notice.Parse(response.StatusCode, response.Header, entry.LeavingHeader).Leaving
	return draining, errors.Wrapf(err, "answer of %s", url)
}

// applyReport passes the report of a poll to the placer, and tells the other
// instances if it shows that a target has begun to leave. sent is when the poll was
// sent. The report's age counts from then, so that it never looks newer than it is.
func (s *Server) applyReport(ctx context.Context, r placement.Report, sent time.Time) {
	var change placement.LeavingChange
	s.entry.WithLock(func(now time.Time) {
		r.Age = now.Sub(sent)
		change = s.placer.ApplyReport(r, now)
	})
	s.logLeavingChange(r.Target, change, "poll")
	if change == placement.BeganLeaving {
		s.announceLeavingTarget(ctx, r)
	}
}

// logLeavingChange logs that a target has begun or stopped to leave. source is
// "poll" or the name of the instance that reported it.
func (s *Server) logLeavingChange(target string, change placement.LeavingChange, source string) {
	switch change {
	case placement.BeganLeaving:
		s.logger("placement").Info().Str("target", target).Str("source", source).Msg("placement: a target is leaving, it gets no new work")
	case placement.StoppedLeaving:
		s.logger("placement").Info().Str("target", target).Str("source", source).Msg("placement: a target has returned and starts slowly")
	}
}

// announceLeavingTarget tells the other instances that a target is leaving. It
// doesn't wait until they have got the message. A message that is not acknowledged
// is sent again, announceAttempts times in all.
func (s *Server) announceLeavingTarget(ctx context.Context, r placement.Report) {
	message := &peerpb.PlacementMessage{Reports: []*peerpb.TargetReport{{
		Target: r.Target, Draining: r.Draining, AgeMillis: r.Age.Milliseconds(),
	}}}
	for _, m := range s.members() {
		if m.Name != s.options.Name {
			go func() {
				for range announceAttempts {
					if s.sendPlacement(ctx, m, message) == nil {
						return
					}
					sleep(ctx, announceRetryDelay)
				}
			}()
		}
	}
}

// sendPlacement sends a message to another instance's placer. After an error it is
// not known whether the message has arrived.
func (s *Server) sendPlacement(ctx context.Context, to membership.Member, m *peerpb.PlacementMessage) error {
	envelope := &peerpb.Envelope{Message: &peerpb.Envelope_Placement{Placement: m}}
	err := s.network.Send(ctx, to.PeerAddress, envelope)
	if err != nil {
		s.logger("placement").Debug().Str("instance", to.Name).Err(err).Msg("placement: could not send to an instance")
	}
	return err
}

// receivePlacement handles a peer's message about loans and leaving targets.
func (s *Server) receivePlacement(from string, m *peerpb.PlacementMessage) {
	s.receiveLoans(from, m)
	for _, r := range m.GetReports() {
		report := placement.Report{Target: r.GetTarget(), Draining: r.GetDraining(), Age: time.Duration(r.GetAgeMillis()) * time.Millisecond}
		if !report.Draining || report.Age < 0 {
			continue // only a poll by this instance shows that a target has stopped leaving
		}
		var change placement.LeavingChange
		s.entry.WithLock(func(now time.Time) { change = s.placer.ApplyReport(report, now) })
		s.logLeavingChange(report.Target, change, from)
	}
}
