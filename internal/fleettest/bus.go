// Package fleettest simulates a fleet of instances in one process and in virtual
// time. It runs the packages that decide without doing I/O (membership,
// dissemination and freshness, and in a FullFleet also seat and limit) and
// carries their messages over a simulated network. Network, processes and the
// platform's store can be given faults. A run depends only on its seed, so a
// failure can be replayed; only measured processor time varies.
//
// Tests use it, and package experiment measures the cost of the control traffic
// with it.
package fleettest

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// Start is the virtual time at which every run begins. The date has no meaning.
var Start = time.Unix(1_000_000_000, 0)

// Faults are the faults of the simulated network.
type Faults struct {
	// Loss is the probability that a message, or one copy of it, is lost, and
	// Duplicate the probability that a message is sent twice.
	Loss, Duplicate float64
	// Jitter bounds the random extra delay of each message. Messages overtake each
	// other because of it.
	Jitter time.Duration
}

// One-way delay of a message within a region and between regions.
const (
	sameRegionDelay  = 500 * time.Microsecond
	crossRegionDelay = 20 * time.Millisecond
)

// Bus is the simulation's event queue, virtual clock and network.
type Bus struct {
	Now    time.Time  // virtual time
	Rand   *rand.Rand // source of all randomness of the network
	Faults Faults
	// CutOff tells whether no message passes between two locations. It is asked
	// when a message is sent and again when it is due to arrive.
	CutOff func(a, b Location) bool

	events     eventHeap
	eventCount uint64 // events queued so far
}

// Location is where an instance or the store runs, by the indexes of its region
// and availability zone. Only the region affects the delay of messages.
type Location struct {
	Region, Zone int
}

type event struct {
	at    time.Time
	order uint64 // keeps events of the same time in the order in which they were queued
	run   func()
}

// NewBus returns a bus without events and faults, at the time Start.
func NewBus(seed uint64) *Bus {
	return &Bus{Now: Start, Rand: rand.New(rand.NewPCG(seed, 1)), CutOff: func(Location, Location) bool { return false }}
}

// After queues f to run when d of virtual time has passed.
func (b *Bus) After(d time.Duration, f func()) {
	b.eventCount++
	heap.Push(&b.events, event{at: b.Now.Add(d), order: b.eventCount, run: f})
}

// Send delivers a message by calling f after the network's delay. The message may
// be lost or delivered twice, as Faults and CutOff say.
func (b *Bus) Send(from, to Location, f func()) {
	if b.CutOff(from, to) {
		return
	}
	copies := 1
	if b.Faults.Duplicate > 0 && b.Rand.Float64() < b.Faults.Duplicate {
		copies = 2
	}
	for range copies {
		if b.Faults.Loss > 0 && b.Rand.Float64() < b.Faults.Loss {
			continue
		}
		b.After(b.delay(from, to), func() {
			if !b.CutOff(from, to) {
				f()
			}
		})
	}
}

func (b *Bus) delay(from, to Location) time.Duration {
	delay := sameRegionDelay
	if from.Region != to.Region {
		delay = crossRegionDelay
	}
	if b.Faults.Jitter > 0 {
		delay += time.Duration(b.Rand.Int64N(int64(b.Faults.Jitter)))
	}
	return delay
}

// Run advances the virtual time by d and runs the events that are due meanwhile.
func (b *Bus) Run(d time.Duration) {
	end := b.Now.Add(d)
	for len(b.events) > 0 && !b.events[0].at.After(end) {
		e := heap.Pop(&b.events).(event)
		b.Now = e.at
		e.run()
	}
	b.Now = end
}

// RunUntil runs events until done returns true or the limit has passed. It calls
// done once every step of virtual time, and returns the virtual time that passed
// and whether done returned true.
func (b *Bus) RunUntil(limit, step time.Duration, done func() bool) (time.Duration, bool) {
	begin := b.Now
	for b.Now.Sub(begin) < limit {
		if done() {
			return b.Now.Sub(begin), true
		}
		b.Run(step)
	}
	return b.Now.Sub(begin), done()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].order < h[j].order
	}
	return h[i].at.Before(h[j].at)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return e
}
