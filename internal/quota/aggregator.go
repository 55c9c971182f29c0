package quota

import (
	"time"

	"github.com/turmericfield/turmericfield/internal/config"
)

// minUsageShare is the least fraction of recent usage assumed for a zone when pending
// estimates the whole fleet from it. It bounds the error if the zone admits little.
const minUsageShare = 0.25

// Aggregator stands between the instances of an availability zone and the hub of a
// large fleet. It reports to the hub what the instances have admitted together, and
// passes the hub's levels on to them. Logs name the instance that runs it under the key
// "sum". It is not safe for concurrent use.
type Aggregator struct {
	name       string
	started    uint64
	workspaces map[string]*config.Workspace
	reporters  reporters
	admitted   map[string]uint64 // by workspace: requests of all reporters since the start

	levels    Levels        // the hub's last response
	levelsAt  time.Duration // when the report that they respond to was sent, less their age
	hasLevels bool
	reported  map[string]uint64 // by workspace: admitted requests that the levels account for
	held      *Levels           // the latest levels that include the zone's shares
	offered   *Levels           // the same of its instances, while it has none itself
	heldAt    time.Duration
	leaving   bool
}

// NewAggregator returns an aggregator that reports to the hub under a name. started is
// the start of its process, in Unix nanoseconds.
func NewAggregator(name string, started uint64) *Aggregator {
	return &Aggregator{name: name, started: started, reporters: reporters{}, admitted: map[string]uint64{}, reported: map[string]uint64{}}
}

// SetWorkspaces sets the workspaces, by name, whose quotas are in force.
func (s *Aggregator) SetWorkspaces(workspaces map[string]*config.Workspace) {
	s.workspaces = workspaces
}

// SetLeaving says whether the aggregator is about to stop. It then hands back the shares of its
// reporters, each at its next report.
func (s *Aggregator) SetLeaving(leaving bool) { s.leaving = leaving }

// HasReporters reports whether any instance has reported within reporterTTL.
func (s *Aggregator) HasReporters(now time.Duration) bool { return s.reporters.heard(now) > 0 }

// Report returns the next report to the hub.
func (s *Aggregator) Report(now time.Duration) Report {
	r := Report{
		Instance: s.name, Started: s.started, Members: s.reporters.members(now), Usages: make([]Usage, 0, len(s.admitted)),
		Carries: true, Held: s.held, HeldAt: s.heldAt,
	}
	r.Guest = r.Members == 0
	r.Fleet = s.reporters.fleet(0, now)
	if r.Held == nil {
		r.Held = s.offered
	}
	for name, n := range s.admitted {
		r.Usages = append(r.Usages, Usage{name, n, min(s.reported[name], n)})
	}
	return r
}

// SetLevels stores the hub's response to the report r, which was sent at sentAt.
func (s *Aggregator) SetLevels(r Report, l Levels, sentAt time.Duration) {
	for _, u := range r.Usages {
		s.reported[u.Workspace] = u.Admitted
	}
	if l.Joined || l.Released {
		s.held, s.heldAt = &l, sentAt-l.Age
	} else if l.Share < completeShare && s.hasLevels && sentAt-s.levelsAt < levelTTL {
		return
	}
	s.levels, s.levelsAt, s.hasLevels = l, sentAt-l.Age, true
}

// Handle adds an instance's report to the zone's total and returns the hub's levels,
// less an estimate of what the fleet has admitted since the hub counted them. The
// second result is false if the hub has not responded within levelTTL.
func (s *Aggregator) Handle(r Report, now time.Duration) (Levels, bool) {
	had := s.reporters.membersOf(r.Instance, now)
	from, _ := s.reporters.record(r, now)
	if had == 0 && s.leaving {
		from.members = 0
	}
	newRequests := 0.0
	for _, u := range r.Usages {
		n := from.admitted(u)
		s.admitted[u.Workspace] += uint64(n)
		newRequests += n
	}
	from.addUsage(newRequests, now)
	age := now - s.levelsAt
	if s.held == nil && r.Held != nil && r.HeldAt > s.heldAt {
		s.offered, s.heldAt = r.Held, r.HeldAt
	}
	if !s.hasLevels || age >= levelTTL {
		return Levels{NoLevels: true, Joined: from.members > 0, SentAt: now}, false
	}
	out := Levels{Share: s.levels.Share, Part: s.levels.Part * s.reporters.usageShare(from, now), Age: age, Members: s.levels.Members, Joined: from.members > 0, SentAt: now, Fleet: s.levels.Fleet, Generation: s.levels.Generation}
	if r.Release || s.leaving {
		out.Joined, out.Released, from.members = false, from.members > 0, 0
		out.SentAt = now + 1 // see Hub.Handle
		from.releasedAt = out.SentAt
	}
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

// pending estimates the number of the workspace's requests that the whole fleet has
// admitted and the levels do not account for. It divides the number for this zone by
// the zone's fraction of recent usage.
func (s *Aggregator) pending(workspace string) float64 {
	here := s.admitted[workspace] - min(s.reported[workspace], s.admitted[workspace])
	return float64(here) / max(s.levels.Part, minUsageShare)
}
