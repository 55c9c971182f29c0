package fleetsim

import (
	"maps"
	"slices"
	"time"

	"github.com/turmericfield/turmericfield/internal/freshness"
	"github.com/turmericfield/turmericfield/internal/platform"
	"github.com/turmericfield/turmericfield/internal/ratelimit"
	"github.com/turmericfield/turmericfield/internal/seat"
)

const (
	// ticksPerConfigWrite is the mean number of ticks between two changes of the
	// configuration that one writer tries.
	ticksPerConfigWrite = 100
	// ticksPerWriterReview is the mean number of ticks until an instance replaces
	// listed writers that have ended.
	ticksPerWriterReview = 20
	// minLayoutInterval is the least time between two changes of the number of
	// seats: the time after which no instance uses an earlier number.
	minLayoutInterval = KeyFreshness + takeoverMargin
	// maxSeats is the largest number of seats of an availability zone.
	maxSeats = 4
	// maxWriters is the largest number of writers that are drawn at random.
	maxWriters = 3
	// One of lateWriteOdds writes is sent to the store late, after a random delay
	// below maxWriteDelay. That may be after the writer has stopped waiting for it.
	lateWriteOdds = 8
	maxWriteDelay = 8 * time.Second
)

// writeControlRecords does what falls to a listed writer: it replaces writers that
// have ended, changes the configuration now and then, and writes seat tables. An
// instance that is not listed makes itself the writer if all listed ones have
// ended.
func (p *process) writeControlRecords(now time.Time) {
	c := p.fleet.configs[p.node.InForceVersion]
	running := slices.DeleteFunc(slices.Clone(c.writers), p.fleet.hasEnded)
	switch {
	case p.node.Freshness.Listed(p.id) && len(running) < len(c.writers):
		if p.fleet.rand.IntN(ticksPerWriterReview) == 0 {
			p.writeConfig(c, running)
		}
		p.writeSeatTables(c)
	case p.node.Freshness.Listed(p.id):
		if p.fleet.rand.IntN(ticksPerConfigWrite) == 0 {
			p.writeConfig(c, p.fleet.pickWriters(p))
		}
		p.writeSeatTables(c)
	case len(running) == 0 && p.fleet.rand.IntN(ticksPerWriterReview) == 0:
		p.writeConfig(c, []freshness.WriterID{p.id})
	}
}

// hasEnded tells whether a writer's process has ended. A real instance concludes
// this from the platform's list, or from another process that answers under the
// same name.
func (fleet *FullFleet) hasEnded(w freshness.WriterID) bool {
	return !slices.ContainsFunc(fleet.Nodes, func(n *Node) bool { return fleet.processes[n].id == w })
}

// pickWriters returns random running processes as writers, with p added in half of
// the calls.
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

// writeConfig tries to write a configuration with these writers on top of the one
// in force, whose content is c. Half of the writes also change the number of seats
// of a zone, if the last such change is old enough.
func (p *process) writeConfig(c configContent, writers []freshness.WriterID) {
	if p.node.Freshness.LocalWriter.BeginConfigWrite() != nil {
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
		p.node.Freshness.LocalWriter.EndConfigWrite(base, o)
	})
}

// writeSeatTables updates the seat table of each zone from which claims or releases
// have arrived.
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

// updateSeatTable reads a zone's seat table from the store and writes the table that
// follows from it and the inputs. It writes only if the newest configuration lists
// this process as a writer.
func (p *process) updateSeatTable(z ratelimit.ZoneSeats, inputs seat.TableInputs) {
	done := false // the network may deliver the answer twice
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

// writeSeatTable writes a seat table on top of the version base. The store accepts
// it only if the given version of the configuration is still the newest.
func (p *process) writeSeatTable(zone string, config, base uint64, next seat.Table) {
	author := &p.node.Freshness.LocalWriter
	author.RecordSeatsRead(zone, base)
	if author.BeginSeatsWrite() != nil {
		return
	}
	p.compareAndSwap(func() bool { return p.fleet.acceptSeatTable(zone, config, base, next) }, func(o freshness.Outcome) {
		author.EndSeatsWrite(zone, base, o)
	})
}

// compareAndSwap sends a write to the store, sometimes late. write runs in the store
// and returns whether the write took effect. end gets the outcome as the process
// sees it, which is unknown if no answer arrives within storeTimeout.
func (p *process) compareAndSwap(write func() bool, end func(freshness.Outcome)) {
	// The network may deliver the call twice. Only the first copy writes and is
	// answered.
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
