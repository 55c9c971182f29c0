package quota

import (
	"time"

	"github.com/turmericfield/turmericfield/internal/config"
)

// leastPart bounds the estimate of what others have admitted from little use here.
const minUsageShare = 0.25

// Aggregator stands between the instances of an availability zone and the hub of a large
// fleet: it reports what they admitted together and hands the hub's levels on. It is
// not safe for concurrent use.
type Aggregator struct {
	name       string
	started    uint64
	workspaces map[string]*config.Workspace
	reporters  reporters
	admitted   map[string]uint64 // since the start, by those that were heard

	levels    Levels
	levelsAt  time.Duration // when the request for them was sent, less their age
	hasLevels bool
	reported  map[string]uint64 // part of the levels
}

// NewAggregator returns a sum that reports under a name.
func NewAggregator(name string, started uint64) *Aggregator {
	return &Aggregator{name: name, started: started, reporters: reporters{}, admitted: map[string]uint64{}, reported: map[string]uint64{}}
}

// SetWorkspaces sets the quotas in force.
func (s *Aggregator) SetWorkspaces(workspaces map[string]*config.Workspace) {
	s.workspaces = workspaces
}

// HasReporters tells whether instances report to the sum.
func (s *Aggregator) HasReporters(now time.Duration) bool { return s.reporters.members(now) > 0 }

// Report returns what to tell the hub.
func (s *Aggregator) Report(now time.Duration) Report {
	r := Report{Instance: s.name, Started: s.started, Members: s.reporters.members(now), Usages: make([]Usage, 0, len(s.admitted))}
	for name, n := range s.admitted {
		r.Usages = append(r.Usages, Usage{name, n})
	}
	return r
}

// SetLevels takes the hub's answer to a report that was sent at a time.
func (s *Aggregator) SetLevels(r Report, l Levels, sentAt time.Duration) {
	s.levels, s.levelsAt, s.hasLevels = l, sentAt-l.Age, true
	clear(s.reported)
	for _, u := range r.Usages {
		s.reported[u.Workspace] = u.Admitted
	}
}

// Handle takes an instance's report and returns the levels after it. The last result
// is false if the hub has not answered lately.
func (s *Aggregator) Handle(r Report, now time.Duration) (Levels, bool) {
	from, first := s.reporters.record(r, now)
	newRequests := 0.0
	for _, u := range r.Usages {
		if n := from.admitted(u); !first {
			s.admitted[u.Workspace] += uint64(n)
			newRequests += n
		}
	}
	from.addUsage(newRequests, now)
	age := now - s.levelsAt
	if !s.hasLevels || age >= levelTTL {
		return Levels{}, false
	}
	out := Levels{Share: s.levels.Share, Part: s.levels.Part * s.reporters.usageShare(from, now), Age: age}
	listed := make(map[string]bool, len(s.levels.Levels))
	for _, l := range s.levels.Levels {
		listed[l.Workspace] = true
		out.Levels = append(out.Levels, Level{l.Workspace, l.Left - s.pending(l.Workspace)})
	}
	for name := range s.admitted {
		if w := s.workspaces[name]; w != nil && !listed[name] && s.pending(name) > 0 {
			out.Levels = append(out.Levels, Level{name, float64(w.Burst)*out.Share - s.pending(name)})
		}
	}
	return out, true
}

// pending estimates what the whole fleet has admitted since the report that the
// levels answer, by what was admitted here.
func (s *Aggregator) pending(workspace string) float64 {
	here := s.admitted[workspace] - min(s.reported[workspace], s.admitted[workspace])
	return float64(here) / max(s.levels.Part, minUsageShare)
}
