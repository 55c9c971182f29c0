package affinity

import (
	"cmp"
	"slices"
	"time"

	"github.com/turmericfield/turmericfield/internal/availability"
)

// maxUnregistered is the number of processes without a registration that are remembered.
// It is above the number of targets of a large fleet, whose registrations may all lapse
// together and come back.
const maxUnregistered = 8192

// process is what is known of a target's process whatever its registration says. A
// process is identified by the target's ID and its start, so this outlives changes of
// the address, zone or service, and the registration itself.
type process struct {
	*availability.Process
	id             string        // of the target
	service        string        // by the latest registration
	started        int64         // see Target.Started
	unregisteredAt time.Duration // 0 while registered
}

// processOf returns the process of a target, which replaces another one of that ID.
func (b *Balancer) processOf(t Target) *process {
	p := b.processes[t.ID]
	if p == nil || p.started != t.Started {
		p = &process{id: t.ID, service: t.Service, started: t.Started}
		p.Process = availability.New(func(c availability.Change) {
			b.changes = append(b.changes, AvailabilityChange{Target: p.id, Service: p.service, Change: c})
		})
		b.processes[t.ID] = p
	}
	return p
}

// registered reports whether the process is that of a registered target.
func (b *Balancer) registered(p *process) bool {
	s := b.targets[p.id]
	return s != nil && s.process == p
}

// rememberUnregistered keeps the processes that are no longer registered but have said
// in a response that they leave or pause: their registrations may come back. Beyond
// maxUnregistered of them, those that have been unregistered for the longest time are
// forgotten. If one of these is registered again, it gets requests until it repeats what
// it said.
func (b *Balancer) rememberUnregistered(now time.Duration) {
	var unregistered []*process
	for id, p := range b.processes {
		switch {
		case b.registered(p):
			p.unregisteredAt = 0
			continue
		case !p.Asked(now):
			delete(b.processes, id)
			continue
		case p.unregisteredAt == 0:
			p.unregisteredAt = now
		}
		unregistered = append(unregistered, p)
	}
	if len(unregistered) <= maxUnregistered {
		return
	}
	slices.SortFunc(unregistered, func(x, y *process) int {
		return cmp.Or(cmp.Compare(y.unregisteredAt, x.unregisteredAt), cmp.Compare(x.id, y.id))
	})
	for _, p := range unregistered[maxUnregistered:] {
		delete(b.processes, p.id)
	}
}

// Observe records what a target said in the head of its response to a granted request,
// before or after Done. The caller has made sure that the response is the target's. The
// notice concerns the process to which the request was granted, also if that has
// another address since then or none. It is ignored if the target has since restarted.
func (b *Balancer) Observe(g Grant, n availability.Notice, now time.Duration) {
	if !n.Leaving && n.Pause <= 0 {
		return
	}
	known, started := b.processes[g.Target.ID], g.Target.Started
	if known != nil && known.started != started && (b.registered(known) || known.started > started) {
		return
	}
	p := b.processOf(g.Target)
	before := p.State(now)
	p.Pause(n.Pause, now)
	if n.Leaving {
		p.Leave(now)
	}
	if m := b.regionMixes[p.service]; m != nil && p.State(now) != before {
		m.changed = true
	}
	if known != p {
		b.rememberUnregistered(now)
	}
}

// AvailabilityChange is a change of the availability of a target's process.
type AvailabilityChange struct {
	Target, Service string
	availability.Change
}

// AvailabilityChanges returns the changes of the targets' availability since the last
// call. What only the passing of time changes is noticed when a request or
// AvailabilityCounts next asks for the target.
func (b *Balancer) AvailabilityChanges() []AvailabilityChange {
	out := b.changes
	b.changes = nil
	return out
}

// AvailabilityCount is how many targets of a service get no requests.
type AvailabilityCount struct{ Leaving, Paused int }

// AvailabilityCounts returns, by service, how many of the registered targets leave and
// how many pause. It has an entry for each service with targets.
func (b *Balancer) AvailabilityCounts(now time.Duration) map[string]AvailabilityCount {
	counts := make(map[string]AvailabilityCount, len(b.services))
	for service, targets := range b.services {
		var n AvailabilityCount
		for _, s := range targets {
			switch s.process.State(now) {
			case availability.Leaving:
				n.Leaving++
			case availability.Paused:
				n.Paused++
			}
		}
		counts[service] = n
	}
	return counts
}

// Leaving reports whether the registered target with the given ID is leaving.
func (b *Balancer) Leaving(id string, now time.Duration) bool {
	s := b.targets[id]
	return s != nil && s.process.State(now) == availability.Leaving
}
