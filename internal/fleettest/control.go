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
	ticksPerConfigWrite = 100
	// reviewWork is the same for the replacement of writers that have ended.
	ticksPerWriterReview = 20
	// layoutSpacing is the least time between two changes of a zone's seats.
	minLayoutInterval = KeyFreshness + takeoverMargin
	maxSeats          = 4
	maxWriters        = 3
	// lateWrites is one of how many writes reach the store late, by at most
	// lateness.
	lateWriteOdds = 8
	maxWriteDelay = 8 * time.Second
)

// control does a writer's duty, or takes over from writers that have all ended.
func (p *process) writeControlRecords(now time.Time) {
	c := p.fleet.configs[p.node.InForceVersion]
	living := slices.DeleteFunc(slices.Clone(c.writers), p.fleet.hasEnded)
	switch {
	case p.node.Freshness.Listed(p.id) && len(living) < len(c.writers):
		if p.fleet.rand.IntN(ticksPerWriterReview) == 0 {
			p.writeConfig(c, living)
		}
		p.writeSeatTables(c)
	case p.node.Freshness.Listed(p.id):
		if p.fleet.rand.IntN(ticksPerConfigWrite) == 0 {
			p.writeConfig(c, p.fleet.pickWriters(p))
		}
		p.writeSeatTables(c)
	case len(living) == 0 && p.fleet.rand.IntN(ticksPerWriterReview) == 0:
		p.writeConfig(c, []freshness.WriterID{p.id})
	}
}

// ended tells whether a process runs no more. A real one concludes it from the
// platform's list or from another process that answers in its name.
func (fleet *FullFleet) hasEnded(w freshness.WriterID) bool {
	return !slices.ContainsFunc(fleet.Nodes, func(n *Node) bool { return fleet.processes[n].id == w })
}

// pickWriters lists the present writer and some other living processes.
func (fleet *FullFleet) pickWriters(p *process) []freshness.WriterID {
	var out []freshness.WriterID
	for range 1 + fleet.rand.IntN(maxWriters) {
		if w := fleet.processes[fleet.Nodes[fleet.rand.IntN(len(fleet.Nodes))]].id; !slices.Contains(out, w) {
			out = append(out, w)
		}
	}
	if fleet.rand.IntN(2) == 0 && !slices.Contains(out, p.id) {
		out = append(out, p.id)
	}
	return out
}

// writeConfig tries a change on top of the content in force.
func (p *process) writeConfig(c configContent, writers []freshness.WriterID) {
	if p.node.Freshness.Author.BeginConfigWrite() != nil {
		return
	}
	base, seats := p.node.InForceVersion, map[string]int{}
	for _, z := range p.fleet.zoneSeats(c.snapshot) {
		seats[z.AvailabilityZone] = z.Seats
	}
	next := configContent{writers: writers, layoutAcceptedAt: c.layoutAcceptedAt}
	if p.fleet.Bus.Now.Sub(c.layoutAcceptedAt) > minLayoutInterval && p.fleet.rand.IntN(2) == 0 {
		seats[zoneName(p.fleet.rand.IntN(fullFleetZones))] = 1 + p.fleet.rand.IntN(maxSeats)
		next.layoutAcceptedAt = time.Time{}
	}
	seats = maps.Clone(seats)
	p.compareAndSwap(func() bool { return p.fleet.acceptConfig(base, next, seats) }, func(o freshness.Outcome) {
		p.node.Freshness.Author.EndConfigWrite(base, o)
	})
}

// writeTables writes the tables of all zones with wishes.
func (p *process) writeSeatTables(c configContent) {
	for _, z := range p.fleet.zoneSeats(c.snapshot) {
		zone := z.AvailabilityZone
		inputs := seat.TableInputs{Seats: z.Seats, Claims: p.claims[zone], Releases: p.releases[zone]}
		if len(inputs.Claims)+len(inputs.Releases) == 0 {
			continue
		}
		delete(p.claims, zone)
		delete(p.releases, zone)
		p.updateSeatTable(z, inputs)
	}
}

// readTable reads a table from the store and writes the one that follows.
func (p *process) updateSeatTable(z limit.ZoneSeats, inputs seat.TableInputs) {
	done := false
	p.fleet.callStore(p.node, func() func() {
		table, list := p.fleet.newestSeatTable(z.AvailabilityZone), p.fleet.Store.listAt(p.fleet.Bus.Now)
		config := p.fleet.Store.newestRecord().Version
		return func() {
			if done {
				return
			}
			done = true
			if p.fleet.variant != SkipsWriterCheck && !slices.Contains(p.fleet.configs[config].writers, p.id) {
				return
			}
			inputs.Gone = func(name string) bool {
				return !slices.ContainsFunc(list, func(i platform.Instance) bool { return i.Name == name })
			}
			if next, changed := table.Next(inputs, p.id.Instance); changed {
				p.writeSeatTable(z.AvailabilityZone, config, table.Version, next)
			}
		}
	})
}

// writeTable writes a table if the given configuration is still the newest one.
func (p *process) writeSeatTable(zone string, config, base uint64, next seat.Table) {
	author := &p.node.Freshness.Author
	author.RecordSeatsRead(zone, base)
	if author.BeginSeatsWrite() != nil {
		return
	}
	p.compareAndSwap(func() bool { return p.fleet.acceptSeatTable(zone, config, base, next) }, func(o freshness.Outcome) {
		author.EndSeatsWrite(zone, base, o)
	})
}

// swap sends a compare-and-swap to the store, sometimes late, and ends with
// what the process learns of it within storeTimeout.
func (p *process) compareAndSwap(write func() bool, end func(freshness.Outcome)) {
	handled, ended := false, false
	conclude := func(o freshness.Outcome) {
		if ended {
			return
		}
		ended = true
		if o == freshness.OutcomeUnknown {
			p.fleet.counts.Unknown++
			if p.fleet.variant == ForgetsUnknownWrites {
				o = freshness.OutcomeRejected
			}
		}
		end(o)
	}
	send := func() {
		p.fleet.callStore(p.node, func() func() {
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
	if p.fleet.rand.IntN(lateWriteOdds) == 0 {
		p.fleet.Bus.After(time.Duration(p.fleet.rand.Int64N(int64(maxWriteDelay))), send)
	} else {
		send()
	}
	p.fleet.Bus.After(storeTimeout, func() { p.node.whenRunning(func() { conclude(freshness.OutcomeUnknown) }) })
}
