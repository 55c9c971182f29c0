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
	"github.com/turmericfield/turmericfield/internal/membership"
	"github.com/turmericfield/turmericfield/internal/placement"
	"github.com/turmericfield/turmericfield/internal/seat"
)

const (
	// placementLoopPeriod is the time between two observations of the right to place.
	placementLoopPeriod = 50 * time.Millisecond
	// pollTimeout bounds one poll of a target.
	pollTimeout = 500 * time.Millisecond
	// announceAttempts and announcePause bound the messages to one instance that a
	// target is leaving.
	announceAttempts   = 3
	announceRetryDelay = 500 * time.Millisecond
	// maxConcurrentPolls bounds the polls that run at once.
	maxConcurrentPolls = 16
	// maxPollAnswerBytes bounds the part of a target's answer to a poll that is read.
	maxPollAnswerBytes = 1 << 16

	targetHealthPath = "/-/health"
	targetLoadPath   = "/-/load"
)

// newPlacer builds the placer of this instance over its seat.
func (s *Server) newPlacer(seats seat.Provider) *placement.Placer {
	return placement.New(placement.Options{
		AvailabilityZone: s.options.AvailabilityZone, Seats: seats,
		MaxFleetLayoutLag: s.options.KeyFreshness, MaxZoneLayoutLag: s.options.ReserveBound,
		FirstLoanID: rand.Uint64(), Invariants: s.invariants,
	})
}

// targetLoad is the answer of a target's load endpoint.
type targetLoad struct {
	InFlight int  `json:"in_flight"`
	Slots    int  `json:"slots"`
	Draining bool `json:"draining"`
}

// runPlacementLoop observes the right to place, so that it counts as continuous, and
// exchanges loans.
func (s *Server) runPlacementLoop(ctx context.Context) {
	for ctx.Err() == nil {
		s.entry.Update(s.placer.Tick)
		s.sendLoanMessages(ctx)
		sleep(ctx, placementLoopPeriod)
	}
}

// runTargetPollLoop polls targets.
func (s *Server) runTargetPollLoop(ctx context.Context) {
	client := &http.Client{Timeout: pollTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: 5 * time.Second}}
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		zone := s.liveZoneInstances()
		var due []string
		s.entry.Update(func(now time.Time) { due = s.placer.DuePolls(s.options.Name, zone, now) })
		s.pollTargets(ctx, client, due)
		sleep(ctx, placementLoopPeriod)
	}
}

// liveZoneInstances names the live instances of the own availability zone.
func (s *Server) liveZoneInstances() []string {
	var names []string
	for _, m := range s.members() {
		if m.AvailabilityZone == s.options.AvailabilityZone && m.State == membership.Live {
			names = append(names, m.Name)
		}
	}
	return names
}

// pollTargets polls targets at once and takes over their reports.
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

func targetAddresses(snapshot *config.Snapshot) map[string]string {
	addresses := map[string]string{}
	for _, service := range snapshot.Document.Services {
		for _, t := range service.Targets {
			addresses[t.Name] = t.Address
		}
	}
	return addresses
}

// pollTarget asks for a target's health and load. A target is draining if
// either says so.
func pollTarget(ctx context.Context, client *http.Client, address string) (placement.Report, error) {
	var load targetLoad
	status, err := getJSON(ctx, client, "http://"+address+targetLoadPath, &load)
	if err != nil {
		return placement.Report{}, err
	}
	health, err := getJSON(ctx, client, "http://"+address+targetHealthPath, nil)
	if err != nil {
		return placement.Report{}, err
	}
	draining := load.Draining || status == http.StatusServiceUnavailable || health == http.StatusServiceUnavailable
	return placement.Report{InFlight: load.InFlight, Slots: load.Slots, Draining: draining}, nil
}

// getJSON returns the status of an answer and decodes its body if it is OK.
func getJSON(ctx context.Context, client *http.Client, url string, into any) (int, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, err
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	if into != nil && response.StatusCode == http.StatusOK {
		err = json.NewDecoder(http.MaxBytesReader(nil, response.Body, maxPollAnswerBytes)).Decode(into)
	}
	return response.StatusCode, errors.Wrapf(err, "answer of %s", url)
}

// applyReport takes over a report that was asked for at a moment, and tells the
// other instances when a target begins to drain.
func (s *Server) applyReport(ctx context.Context, r placement.Report, sent time.Time) {
	var change placement.LeavingChange
	s.entry.Update(func(now time.Time) {
		r.Age = now.Sub(sent)
		change = s.placer.ApplyReport(r, now)
	})
	s.logLeavingChange(r.Target, change, "poll")
	if change == placement.BeganLeaving {
		s.announceLeavingTarget(ctx, r)
	}
}

func (s *Server) logLeavingChange(target string, change placement.LeavingChange, source string) {
	switch change {
	case placement.BeganLeaving:
		s.logger("placement").Info().Str("target", target).Str("source", source).Msg("placement: a target is leaving, it gets no new work")
	case placement.StoppedLeaving:
		s.logger("placement").Info().Str("target", target).Str("source", source).Msg("placement: a target has returned and starts slowly")
	}
}

// announceLeavingTarget tells the other instances that a target is leaving. A message
// without an acknowledgement is sent again.
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

func (s *Server) sendPlacement(ctx context.Context, to membership.Member, m *peerpb.PlacementMessage) error {
	envelope := &peerpb.Envelope{Message: &peerpb.Envelope_Placement{Placement: m}}
	err := s.network.Send(ctx, to.PeerAddress, envelope)
	if err != nil {
		s.logger("placement").Debug().Str("instance", to.Name).Err(err).Msg("placement: could not send to an instance")
	}
	return err
}

func (s *Server) receivePlacement(from string, m *peerpb.PlacementMessage) {
	s.receiveLoans(from, m)
	for _, r := range m.GetReports() {
		report := placement.Report{Target: r.GetTarget(), Draining: r.GetDraining(), Age: time.Duration(r.GetAgeMillis()) * time.Millisecond}
		if !report.Draining || report.Age < 0 {
			continue // a target's return is found out by polling it
		}
		var change placement.LeavingChange
		s.entry.Update(func(now time.Time) { change = s.placer.ApplyReport(report, now) })
		s.logLeavingChange(report.Target, change, from)
	}
}
