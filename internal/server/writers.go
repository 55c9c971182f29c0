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
	writersPeriod = 2 * time.Second
	resignTimeout = 2 * time.Second
	// takeOverAfter is how long every listed writer must have ended before an
	// unlisted instance lists itself.
	takeOverAfter = 30 * time.Second
	// maxCandidatesAsked bounds the calls for one region's writer.
	maxCandidatesAsked = 3
)

// author accounts for this instance's writes in its freshness tracker.
type author struct{ s *Server }

func (a author) Self() config.Writer {
	return config.Writer{Instance: a.s.options.Name, Incarnation: a.s.incarnation}
}

func (a author) Begin() error {
	a.s.mu.Lock()
	defer a.s.mu.Unlock()
	return a.s.freshness.Author.BeginConfigWrite()
}

func (a author) End(base uint64, outcome freshness.Outcome) {
	a.s.mu.Lock()
	defer a.s.mu.Unlock()
	a.s.freshness.Author.EndConfigWrite(base, outcome)
}

// followWriters keeps one reachable writer listed for each region.
func (s *Server) followWriters(ctx context.Context) {
	gone := &goneWriters{since: map[config.Writer]time.Time{}}
	vacant := &vacancy{}
	for ctx.Err() == nil {
		sleep(ctx, writersPeriod)
		callCtx, cancel := context.WithTimeout(ctx, 2*storeTimeout)
		if err := s.reviewWriters(callCtx, gone); err != nil && ctx.Err() == nil {
			s.part("control").Debug().Err(err).Msg("control: could not review the writers")
		}
		if s.mayWriteSeats() {
			if err := s.reviewVacancy(callCtx, vacant); err != nil && ctx.Err() == nil {
				s.part("control").Debug().Err(err).Msg("control: could not review vacant zones")
			}
		}
		cancel()
	}
}

func (s *Server) reviewWriters(ctx context.Context, gone *goneWriters) error {
	listed := s.listedWriters()
	if len(listed) == 0 {
		return nil
	}
	self := author{s}.Self()
	if !s.reviews(ctx, listed, gone) {
		return nil
	}
	wanted := s.wantedWriters(ctx)
	if len(wanted) == 0 || sameWriters(wanted, listed) {
		return nil
	}
	changed, err := s.control.ReplaceWriters(ctx, func(r config.Record) ([]config.Writer, bool) {
		return wanted, sameWriters(r.Writers, listed)
	})
	if changed {
		s.part("control").Info().Int("writers", len(wanted)).Str("by", self.Instance).Msg("control: listed other writers")
	}
	return err
}

// reviews tells whether it is this instance's turn to review the writers: it
// is the first listed one that can be reached, or all listed ones have ended.
func (s *Server) reviews(ctx context.Context, listed []config.Writer, gone *goneWriters) bool {
	self := author{s}.Self()
	allGone := true
	for _, w := range listed {
		if w == self {
			return true
		}
		incarnation, ok := s.incarnationOf(ctx, w.Instance)
		if ok && incarnation == w.Incarnation {
			return false
		}
		ended := (ok && incarnation != w.Incarnation) || !s.isListed(w.Instance)
		allGone = gone.observe(w, ended, time.Now()) && allGone
	}
	return allGone
}

// goneWriters remembers since when listed writers have ended.
type goneWriters struct{ since map[config.Writer]time.Time }

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

// wantedWriters finds the first reachable candidate of each region.
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

func (s *Server) firstReachable(ctx context.Context, region []freshness.Candidate) *config.Writer {
	for _, c := range region[:min(len(region), maxCandidatesAsked)] {
		if incarnation, ok := s.incarnationOf(ctx, c.Instance); ok {
			return &config.Writer{Instance: c.Instance, Incarnation: incarnation}
		}
	}
	return nil
}

// incarnationOf asks a member which process of that name runs now.
func (s *Server) incarnationOf(ctx context.Context, name string) (uint64, bool) {
	if name == s.options.Name {
		incarnation := s.writingIncarnation()
		return incarnation, incarnation != 0
	}
	address, ok := s.peerAddressOf(name)
	if !ok {
		return 0, false
	}
	status, err := s.network.StatusOf(ctx, address)
	return status.GetIncarnation(), err == nil && status.GetName() == name && status.GetIncarnation() != 0
}

// writingIncarnation returns this process's incarnation, or 0 once it has given
// up writing.
func (s *Server) writingIncarnation() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.freshness.Author.Retired() {
		return 0
	}
	return s.incarnation
}

func (s *Server) peerAddressOf(name string) (string, bool) {
	for _, m := range s.members() {
		if m.Name == name {
			return m.PeerAddress, true
		}
	}
	return "", false
}

func (s *Server) listedWriters() []config.Writer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.held.Manifest().Writers)
}

// resign gives up writing, so that a final voucher stands for this instance
// after it has ended.
func (s *Server) resign(kill context.Context) {
	ctx, cancel := context.WithTimeout(kill, resignTimeout)
	defer cancel()
	self := author{s}.Self()
	_, err := s.control.ReplaceWriters(ctx, func(r config.Record) ([]config.Writer, bool) {
		rest := slices.DeleteFunc(slices.Clone(r.Writers), func(w config.Writer) bool { return w == self })
		return rest, len(rest) > 0 && len(rest) < len(r.Writers)
	})
	if err != nil {
		s.part("control").Warn().Err(err).Msg("control: could not leave the list of writers")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.freshness.Author.Retire()
}

// ConfirmAt implements operator.Fleet.
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
		return operator.Confirmation{}, operator.ErrorOf(answer.GetCode(), answer.GetError())
	}
	return operator.Confirmation{PlanID: planID, Version: answer.GetVersion(), Already: answer.GetAlready()}, nil
}

// confirmForPeer carries out a confirm that another instance passes on.
func (s *Server) confirmForPeer(ctx context.Context, r *peerpb.ConfirmRequest) *peerpb.ConfirmResponse {
	c, err := s.control.ConfirmHere(ctx, r.GetPlanId())
	if err != nil {
		return &peerpb.ConfirmResponse{Code: operator.Code(err), Error: err.Error()}
	}
	return &peerpb.ConfirmResponse{Version: c.Version, Already: c.Already}
}

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
