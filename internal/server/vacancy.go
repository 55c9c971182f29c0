package server

import (
	"context"
	"slices"
	"time"

	"github.com/turmericfield/turmericfield/internal/config"
	"github.com/turmericfield/turmericfield/internal/membership"
)

// vacantAfter is how long a zone must have been without a live instance, or
// have had one again, until the record says so.
const vacantAfter = 5 * time.Second

// vacancy remembers, at a writer, since when zones differ from what the record
// says of them.
type vacancy struct {
	differs map[string]difference
}

// difference is a zone that differs from what the record says of it.
type difference struct {
	listed bool // as vacant
	since  time.Time
}

// wanted returns the zones that the record should list as vacant: those it
// lists already, but for zones that have differed for long enough.
func (v *vacancy) wanted(snapshot *config.Snapshot, live func(zone string) bool, now time.Time) []string {
	if v.differs == nil {
		v.differs = map[string]difference{}
	}
	var out []string
	for _, z := range snapshot.Document.AvailabilityZones {
		listed := slices.Contains(snapshot.VacantZones, z.Name)
		d, known := v.differs[z.Name]
		if listed != live(z.Name) {
			delete(v.differs, z.Name)
			known = false
		} else if !known || d.listed != listed {
			d, known = difference{listed, now}, true
			v.differs[z.Name] = d
		}
		if vacant := listed != (known && now.Sub(d.since) >= vacantAfter); vacant {
			out = append(out, z.Name)
		}
	}
	slices.Sort(out)
	return out
}

// reviewVacancy lists the zones without a live instance in the record, so that
// rates are owned by seats that somebody holds.
func (s *Server) reviewVacancy(ctx context.Context, v *vacancy) error {
	snapshot := s.snapshot.Load()
	live := map[string]bool{}
	for _, m := range s.members() {
		if m.State == membership.Live || m.State == membership.Suspected {
			live[m.AvailabilityZone] = true
		}
	}
	wanted := v.wanted(snapshot, func(zone string) bool { return live[zone] }, time.Now())
	if snapshot.Version == 0 || slices.Equal(wanted, snapshot.VacantZones) {
		return nil
	}
	changed, err := s.control.ReplaceVacantZones(ctx, wanted)
	if changed {
		s.part("control").Info().Strs("zones", wanted).Msg("control: listed the zones without a live instance")
	}
	return err
}
