// Package placement chooses the target that runs a request. It is a
// deterministic core without I/O.
package placement

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/turmericfield/turmericfield/internal/config"
)

// Errors of a choice. Either way the request was not run.
var (
	ErrNoTarget   = errors.New("no target can serve this route")
	ErrOverloaded = errors.New("every target of this route is at its limit")
)

// Request describes what is to be placed.
type Request struct {
	Route     *config.Route
	Workspace string
	// Exclude names targets that were tried already.
	Exclude []string
}

// Grant is the right to run one request on a target. It is given back with
// Done.
type Grant struct {
	Target config.Target
	// Region of the target.
	Region string
}

// Outcome is how the use of a grant ended.
type Outcome int

// Outcomes of a grant.
const (
	Answered Outcome = iota
	NotRun
	Unknown
)

// Placer places requests on behalf of one instance. It is not safe for
// concurrent use.
type Placer struct {
	zone     string
	snapshot *config.Snapshot
	inFlight map[string]int
}

// New returns a placer for an instance in an availability zone.
func New(zone string) *Placer {
	return &Placer{zone: zone, inFlight: map[string]int{}}
}

// Update takes over a configuration.
func (p *Placer) Update(snapshot *config.Snapshot, _ time.Time) { p.snapshot = snapshot }

// Choose picks the target with the fewest requests in flight from here: in the
// own availability zone, else in the own region, else anywhere.
func (p *Placer) Choose(r Request, _ time.Time) (Grant, error) {
	if p.snapshot == nil {
		return Grant{}, ErrNoTarget
	}
	service := p.snapshot.Services[r.Route.Service]
	var best *config.Target
	bestDistance, usable := 0, false
	for i := range service.Targets {
		t := &service.Targets[i]
		if p.snapshot.Drained(t.Name) || contains(r.Exclude, t.Name) {
			continue
		}
		usable = true
		if p.inFlight[t.Name] >= service.Slots {
			continue
		}
		d := p.distance(t)
		if best == nil || d < bestDistance || d == bestDistance && p.inFlight[t.Name] < p.inFlight[best.Name] {
			best, bestDistance = t, d
		}
	}
	if best == nil && usable {
		return Grant{}, ErrOverloaded
	}
	if best == nil {
		return Grant{}, ErrNoTarget
	}
	p.inFlight[best.Name]++
	return Grant{Target: *best, Region: p.snapshot.RegionOf(best.AvailabilityZone)}, nil
}

// Done gives a grant back.
func (p *Placer) Done(g Grant, _ Outcome, _ time.Time) {
	if p.inFlight[g.Target.Name]--; p.inFlight[g.Target.Name] <= 0 {
		delete(p.inFlight, g.Target.Name)
	}
}

func (p *Placer) distance(t *config.Target) int {
	switch {
	case t.AvailabilityZone == p.zone:
		return 0
	case p.snapshot.RegionOf(t.AvailabilityZone) == p.snapshot.RegionOf(p.zone):
		return 1
	}
	return 2
}

func contains(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}
