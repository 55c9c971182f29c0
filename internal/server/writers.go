package server

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/turmericfield/turmericfield/api/peerpb"
	"github.com/turmericfield/turmericfield/internal/config"
	"github.com/turmericfield/turmericfield/internal/freshness"
	"github.com/turmericfield/turmericfield/internal/operator"
	"github.com/turmericfield/turmericfield/internal/platform"
)

const (
	// writerReviewPeriod is the time between two passes of runWriterLoop.
	writerReviewPeriod = 2 * time.Second
	// retireTimeout bounds the call in retireAsWriter that takes this process off
	// the list of writers.
	retireTimeout = 2 * time.Second
	// takeOverAfter is how long every listed writer must have ended before an
	// instance that is not listed replaces the list.
	takeOverAfter = 30 * time.Second
	// maxCandidatesAsked bounds the calls to find one region's writer.
	maxCandidatesAsked = 3
)

// localWriter implements operator.LocalWriter. It reports the begin and the outcome of
// this process's writes of the configuration record to the freshness tracker, which
// needs them for this process's voucher (see freshness.Voucher).
type localWriter struct{ s *Server }

// Self returns this process as a writer.
func (w localWriter) Self() config.Writer {
	return config.Writer{Instance: w.s.options.Name, Incarnation: w.s.incarnation}
}

// BeginWrite is called before a write of the configuration record.
func (w localWriter) BeginWrite() error {
	w.s.mu.Lock()
	defer w.s.mu.Unlock()
	return w.s.freshness.LocalWriter.BeginConfigWrite()
}

// EndWrite is called after a write on top of the revision base.
func (w localWriter) EndWrite(base uint64, outcome freshness.Outcome) {
	w.s.mu.Lock()
	defer w.s.mu.Unlock()
	w.s.freshness.LocalWriter.EndConfigWrite(base, outcome)
}

// runWriterLoop keeps one reachable instance of each region listed as a writer
// and, while this process is a listed writer itself, keeps the list of vacant zones
// up to date.
func (s *Server) runWriterLoop(ctx context.Context) {
	gone := &goneWriters{since: map[config.Writer]time.Time{}}
	vacant := &vacancyTracker{}
	for ctx.Err() == nil {
		sleep(ctx, writerReviewPeriod)
		callCtx, cancel := context.WithTimeout(ctx, 2*storeTimeout)
		if err := s.reviewWriters(callCtx, gone); err != nil && ctx.Err() == nil {
			s.logger("control").Debug().Err(err).Msg("control: could not review the writers")
		}
		if s.isListedWriter() {
			if err := s.reviewVacantZones(callCtx, vacant); err != nil && ctx.Err() == nil {
				s.logger("control").Debug().Err(err).Msg("control: could not review vacant zones")
			}
		}
		cancel()
	}
}

// reviewWriters replaces the list of writers if it is this instance's turn and
// the list is not the wanted one.
func (s *Server) reviewWriters(ctx context.Context, gone *goneWriters) error {
	listed := s.listedWriters()
	if len(listed) == 0 {
		return nil
	}
	self := localWriter{s}.Self()
	if !s.shouldReviewWriters(ctx, listed, gone) {
		return nil
	}
	wanted := s.wantedWriters(ctx)
	if len(wanted) == 0 || sameWriters(wanted, listed) {
		return nil
	}
	changed, err := s.operatorService.ReplaceWriters(ctx, func(r config.Record) ([]config.Writer, bool) {
		return wanted, sameWriters(r.Writers, listed)
	})
	if changed {
		s.logger("control").Info().Int("writers", len(wanted)).Str("by", self.Instance).Msg("control: listed other writers")
	}
	return err
}

// shouldReviewWriters tells whether it is this instance's turn to review the list
// of writers: it is the first listed writer that can be reached, or all listed
// writers have ended at least takeOverAfter ago. A writer has ended if another
// process has its instance name, or if it can't be running any more.
func (s *Server) shouldReviewWriters(ctx context.Context, listed []config.Writer, gone *goneWriters) bool {
	self := localWriter{s}.Self()
	allGone := true
	for _, w := range listed {
		if w == self {
			return true
		}
		incarnation, ok := s.incarnationOf(ctx, w.Instance)
		if ok && incarnation == w.Incarnation {
			return false
		}
		ended := (ok && incarnation != w.Incarnation) || !s.mayBeRunning(w.Instance)
		allGone = gone.observe(w, ended, time.Now()) && allGone
	}
	return allGone
}

// goneWriters records when listed writers were first found to have ended.
type goneWriters struct{ since map[config.Writer]time.Time }

// observe records whether a writer has ended now. It tells whether the writer has
// been found to have ended for at least takeOverAfter.
func (g *goneWriters) observe(w config.Writer, ended bool, now time.Time) bool {
	if !ended {
		delete(g.since, w)
		return false
	}
	if _, ok := g.since[w]; !ok {
		g.since[w] = now
	}
	return now.Sub(g.since[w]) >= takeOverAfter
}

// wantedWriters returns the writers that should be listed: of each region, the
// first reachable instance in the order of freshness.RankWriters.
func (s *Server) wantedWriters(ctx context.Context) []config.Writer {
	snapshot := s.snapshot.Load()
	var candidates []freshness.Candidate
	for _, m := range s.members() {
		candidates = append(candidates, freshness.Candidate{Instance: m.Name, Region: snapshot.RegionOf(m.AvailabilityZone)})
	}
	regions := freshness.RankWriters(candidates)
	found := make([]*config.Writer, len(regions))
	var wait sync.WaitGroup
	for i, region := range regions {
		wait.Go(func() { found[i] = s.firstReachable(ctx, region) })
	}
	wait.Wait()
	var out []config.Writer
	for _, w := range found {
		if w != nil {
			out = append(out, *w)
		}
	}
	return out
}

// firstReachable returns the first candidate that can be reached and may become a
// writer, or nil. It asks no more than maxCandidatesAsked.
func (s *Server) firstReachable(ctx context.Context, region []freshness.Candidate) *config.Writer {
	for _, c := range region[:min(len(region), maxCandidatesAsked)] {
		if incarnation, ok := s.incarnationOf(ctx, c.Instance); ok {
			return &config.Writer{Instance: c.Instance, Incarnation: incarnation}
		}
	}
	return nil
}

// incarnationOf asks the instance with the given name for the incarnation of its
// process. It returns the incarnation and true, or false if the instance cannot be
// reached or has stopped being a writer for good.
func (s *Server) incarnationOf(ctx context.Context, name string) (uint64, bool) {
	if name == s.options.Name {
		incarnation := s.writerIncarnation()
		return incarnation, incarnation != 0
	}
	address, ok := s.peerAddressOf(name)
	if !ok {
		return 0, false
	}
	status, err := s.network.StatusOf(ctx, address)
	return status.GetIncarnation(), err == nil && status.GetName() == name && status.GetIncarnation() != 0
}

// writerIncarnation returns this process's incarnation, or 0 once it has stopped
// being a writer for good.
func (s *Server) writerIncarnation() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.freshness.LocalWriter.Retired() {
		return 0
	}
	return s.incarnation
}

// peerAddressOf returns the IP:port at which a member receives its peers.
func (s *Server) peerAddressOf(name string) (string, bool) {
	for _, m := range s.members() {
		if m.Name == name {
			return m.PeerAddress, true
		}
	}
	return "", false
}

// listedWriters returns the writers in the newest configuration record that this
// instance holds.
func (s *Server) listedWriters() []config.Writer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.heldRecord.Manifest().Writers)
}

// retireAsWriter takes this process off the list of writers, unless it is the only
// one, and ends its writing for good. A writer's voucher is its statement that it has
// begun no write of a control record beyond certain versions (see freshness.Voucher).
// Since this process will not write again, its voucher becomes final, which means that
// it does not age. So the other instances can rely on it even after this process has
// ended, and even if the list could not be changed.
func (s *Server) retireAsWriter(kill context.Context) {
	ctx, cancel := context.WithTimeout(kill, retireTimeout)
	defer cancel()
	self := localWriter{s}.Self()
	_, err := s.operatorService.ReplaceWriters(ctx, func(r config.Record) ([]config.Writer, bool) {
		rest := slices.DeleteFunc(slices.Clone(r.Writers), func(w config.Writer) bool { return w == self })
		return rest, len(rest) > 0 && len(rest) < len(r.Writers)
	})
	if err != nil {
		s.logger("control").Warn().Err(err).Msg("control: could not leave the list of writers")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.freshness.LocalWriter.Retire()
}

// ConfirmAt implements operator.Fleet. Nothing was confirmed if the error is
// ErrNoWriter: the writer could not be reached, or another process has its name.
func (s *Server) ConfirmAt(ctx context.Context, w config.Writer, planID string) (operator.Confirmation, error) {
	address, ok := s.peerAddressOf(w.Instance)
	if !ok {
		return operator.Confirmation{}, operator.ErrNoWriter
	}
	if incarnation, ok := s.incarnationOf(ctx, w.Instance); !ok || incarnation != w.Incarnation {
		return operator.Confirmation{}, operator.ErrNoWriter
	}
	answer, err := s.network.ConfirmAt(ctx, address, planID)
	if err != nil {
		return operator.Confirmation{}, errors.Mark(err, platform.ErrUnknownOutcome)
	}
	if answer.GetCode() != "" {
		return operator.Confirmation{}, operator.ErrorFromCode(answer.GetCode(), answer.GetError())
	}
	return operator.Confirmation{PlanID: planID, Version: answer.GetVersion(), AlreadyConfirmed: answer.GetAlready()}, nil
}

// confirmForPeer confirms a plan for another instance, which is not a writer.
func (s *Server) confirmForPeer(ctx context.Context, r *peerpb.ConfirmRequest) *peerpb.ConfirmResponse {
	c, err := s.operatorService.ConfirmLocally(ctx, r.GetPlanId())
	if err != nil {
		return &peerpb.ConfirmResponse{Code: operator.ErrorCode(err), Error: err.Error()}
	}
	return &peerpb.ConfirmResponse{Version: c.Version, Already: c.AlreadyConfirmed}
}

// sameWriters tells whether two lists have the same writers, in any order.
func sameWriters(a, b []config.Writer) bool {
	if len(a) != len(b) {
		return false
	}
	for _, w := range a {
		if !slices.Contains(b, w) {
			return false
		}
	}
	return true
}

func writerIDs(writers []config.Writer) []freshness.WriterID {
	out := make([]freshness.WriterID, len(writers))
	for i, w := range writers {
		out[i] = freshness.WriterID(w)
	}
	return out
}
