package fleettest

import (
	"maps"
	"slices"
	"time"

	"github.com/turmericfield/turmericfield/internal/freshness"
	"github.com/turmericfield/turmericfield/internal/limit"
	"github.com/turmericfield/turmericfield/internal/platform"
	"github.com/turmericfield/turmericfield/internal/seat"
)

const (
	// configWork is the mean number of looks at the timers between two changes
	// that one writer makes.
	configWork = 100
	// reviewWork is the same for the replacement of writers that have ended.
	reviewWork = 20
	// layoutSpacing is the least time between two changes of a zone's seats.
	layoutSpacing = KeyFreshness + seatMargin
	maxSeats      = 4
	maxWriters    = 3
	// lateWrites is one of how many writes reach the store late, by at most
	// lateness.
	lateWrites = 8
	lateness   = 8 * time.Second
)

// control does a writer's duty, or takes over from writers that have all ended.
func (p *process) control(now time.Time) {
	c := p.j.contents[p.n.InForce]
	living := slices.DeleteFunc(slices.Clone(c.writers), p.j.ended)
	switch {
	case p.n.Tracker.Listed(p.id) && len(living) < len(c.writers):
		if p.j.rand.IntN(reviewWork) == 0 {
			p.writeConfig(c, living)
		}
		p.writeTables(c)
	case p.n.Tracker.Listed(p.id):
		if p.j.rand.IntN(configWork) == 0 {
			p.writeConfig(c, p.j.pickWriters(p))
		}
		p.writeTables(c)
	case len(living) == 0 && p.j.rand.IntN(reviewWork) == 0:
		p.writeConfig(c, []freshness.WriterID{p.id})
	}
}

// ended tells whether a process runs no more. A real one concludes it from the
// platform's list or from another process that answers in its name.
func (j *Joined) ended(w freshness.WriterID) bool {
	return !slices.ContainsFunc(j.Nodes, func(n *Node) bool { return j.processes[n].id == w })
}

// pickWriters lists the present writer and some other living processes.
func (j *Joined) pickWriters(p *process) []freshness.WriterID {
	var out []freshness.WriterID
	for range 1 + j.rand.IntN(maxWriters) {
		if w := j.processes[j.Nodes[j.rand.IntN(len(j.Nodes))]].id; !slices.Contains(out, w) {
			out = append(out, w)
		}
	}
	if j.rand.IntN(2) == 0 && !slices.Contains(out, p.id) {
		out = append(out, p.id)
	}
	return out
}

// writeConfig tries a change on top of the content in force.
func (p *process) writeConfig(c content, writers []freshness.WriterID) {
	if p.n.Tracker.LocalWriter.BeginConfigWrite() != nil {
		return
	}
	base, seats := p.n.InForce, map[string]int{}
	for _, z := range p.j.layout(c.snapshot) {
		seats[z.AvailabilityZone] = z.Seats
	}
	next := content{writers: writers, layoutAt: c.layoutAt}
	if p.j.Bus.Now.Sub(c.layoutAt) > layoutSpacing && p.j.rand.IntN(2) == 0 {
		seats[zoneName(p.j.rand.IntN(joinedZones))] = 1 + p.j.rand.IntN(maxSeats)
		next.layoutAt = time.Time{}
	}
	seats = maps.Clone(seats)
	p.swap(func() bool { return p.j.acceptConfig(base, next, seats) }, func(o freshness.Outcome) {
		p.n.Tracker.LocalWriter.EndConfigWrite(base, o)
	})
}

// writeTables writes the tables of all zones with wishes.
func (p *process) writeTables(c content) {
	for _, z := range p.j.layout(c.snapshot) {
		zone := z.AvailabilityZone
		d := seat.TableInputs{Seats: z.Seats, Claims: p.claims[zone], Releases: p.releases[zone]}
		if len(d.Claims)+len(d.Releases) == 0 {
			continue
		}
		delete(p.claims, zone)
		delete(p.releases, zone)
		p.readTable(z, d)
	}
}

// readTable reads a table from the store and writes the one that follows.
func (p *process) readTable(z limit.ZoneSeats, d seat.TableInputs) {
	done := false
	p.j.askStore(p.n, func() func() {
		table, list := p.j.table(z.AvailabilityZone), p.j.Store.listAt(p.j.Bus.Now)
		config := p.j.Store.newest().Version
		return func() {
			if done {
				return
			}
			done = true
			if p.j.variant != AnyoneWritesSeats && !slices.Contains(p.j.contents[config].writers, p.id) {
				return
			}
			d.Gone = func(name string) bool {
				return !slices.ContainsFunc(list, func(i platform.Instance) bool { return i.Name == name })
			}
			if next, changed := table.Next(d, p.id.Instance); changed {
				p.writeTable(z.AvailabilityZone, config, table.Version, next)
			}
		}
	})
}

// writeTable writes a table if the given configuration is still the newest one.
func (p *process) writeTable(zone string, config, base uint64, next seat.Table) {
	author := &p.n.Tracker.LocalWriter
	author.RecordSeatsRead(zone, base)
	if author.BeginSeatsWrite() != nil {
		return
	}
	p.swap(func() bool { return p.j.acceptTable(zone, config, base, next) }, func(o freshness.Outcome) {
		author.EndSeatsWrite(zone, base, o)
	})
}

// swap sends a compare-and-swap to the store, sometimes late, and ends with
// what the process learns of it within storeTimeout.
func (p *process) swap(write func() bool, end func(freshness.Outcome)) {
	handled, ended := false, false
	conclude := func(o freshness.Outcome) {
		if ended {
			return
		}
		ended = true
		if o == freshness.OutcomeUnknown {
			p.j.counts.Unknown++
			if p.j.variant == ForgetsUnknownWrites {
				o = freshness.OutcomeRejected
			}
		}
		end(o)
	}
	send := func() {
		p.j.askStore(p.n, func() func() {
			outcome := freshness.OutcomeRejected
			if !handled && write() {
				outcome = freshness.OutcomeAccepted
			}
			repeated := handled
			handled = true
			return func() {
				if !repeated {
					conclude(outcome)
				}
			}
		})
	}
	if p.j.rand.IntN(lateWrites) == 0 {
		p.j.Bus.After(time.Duration(p.j.rand.Int64N(int64(lateness))), send)
	} else {
		send()
	}
	p.j.Bus.After(storeTimeout, func() { p.n.at(func() { conclude(freshness.OutcomeUnknown) }) })
}
