package server

import (
	"context"
	"slices"
	"time"

	"github.com/turmericfield/turmericfield/internal/config"
	"github.com/turmericfield/turmericfield/internal/membership"
)

// vacancyDelay is how long a zone must have been without a live instance, or have
// had one again, before the configuration record is changed accordingly.
const vacancyDelay = 5 * time.Second

// vacancyTracker records since when the state of zones has differed from the list
// of vacant zones in the configuration record. A zone is vacant if it has no live
// instance.
type vacancyTracker struct {
	// differing holds, by availability zone, the zones whose state differs from the
	// list. A zone that agrees with it has no entry.
	differing map[string]difference
}

// difference says that a zone is listed as vacant but has a live instance
// (listedVacant), or is not listed but has none, and since when this has been so.
type difference struct {
	listedVacant bool
	since        time.Time
}

// nextVacantZones returns the zones that the record should list as vacant, sorted
// by name. These are the zones that it lists now, except that a zone whose state has
// differed from the list for vacancyDelay is added or removed. live tells whether a
// zone has a live instance now.
func (v *vacancyTracker) nextVacantZones(snapshot *config.Snapshot, live func(zone string) bool, now time.Time) []string {
	if v.differing == nil {
		v.differing = map[string]difference{}
	}
	var out []string
	for _, z := range snapshot.Document.AvailabilityZones {
		listed := slices.Contains(snapshot.VacantZones, z.Name)
		d, known := v.differing[z.Name]
		if listed != live(z.Name) {
			delete(v.differing, z.Name)
			known = false
		} else if !known || d.listedVacant != listed {
			d, known = difference{listed, now}, true
			v.differing[z.Name] = d
		}
		if vacant := listed != (known && now.Sub(d.since) >= vacancyDelay); vacant {
			out = append(out, z.Name)
		}
	}
	slices.Sort(out)
	return out
}

// reviewVacantZones lists the zones without a live instance in the configuration
// record. The seats of a listed zone own no part of any workspace's rate limit, so
// that every part belongs to a seat that some instance can hold.
func (s *Server) reviewVacantZones(ctx context.Context, v *vacancyTracker) error {
	snapshot := s.snapshot.Load()
	live := map[string]bool{}
	for _, m := range s.members() {
		if m.State == membership.Live || m.State == membership.Suspected {
			live[m.AvailabilityZone] = true
		}
	}
	wanted := v.nextVacantZones(snapshot, func(zone string) bool { return live[zone] }, time.Now())
	if snapshot.Version == 0 || slices.Equal(wanted, snapshot.VacantZones) {
		return nil
	}
	changed, err := s.operatorService.ReplaceVacantZones(ctx, wanted)
	if changed {
		s.logger("control").Info().Strs("zones", wanted).Msg("control: listed the zones without a live instance")
	}
	return err
}
