// Package fleettest joins the deterministic cores of a fleet by a seeded
// message queue in virtual time, with the faults of networks, processes and
// the platform. It serves tests and the measurement of costs.
package fleettest

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// Start is the first moment of virtual time.
var Start = time.Unix(1_000_000_000, 0)

// Faults are the faults of the network, as probabilities for each message.
type Faults struct {
	Loss, Duplicate float64
	// Jitter is added to the delay of each message, up to this time; it also
	// reorders messages.
	Jitter time.Duration
}

// Delays of one message, one way.
const (
	sameRegionDelay  = 500 * time.Microsecond
	crossRegionDelay = 20 * time.Millisecond
)

// Bus is the queue of events in virtual time.
type Bus struct {
	Now    time.Time
	Rand   *rand.Rand
	Faults Faults
	// CutOff tells whether two sites are cut off from each other.
	CutOff func(a, b Location) bool

	events     eventHeap
	eventCount uint64
}

// Location is where an instance or the store runs.
type Location struct {
	Region, Zone int
}

type event struct {
	at    time.Time
	order uint64
	run   func()
}

// NewBus returns an empty queue.
func NewBus(seed uint64) *Bus {
	return &Bus{Now: Start, Rand: rand.New(rand.NewPCG(seed, 1)), CutOff: func(Location, Location) bool { return false }}
}

// After runs f when a time has passed.
func (b *Bus) After(d time.Duration, f func()) {
	b.eventCount++
	heap.Push(&b.events, event{at: b.Now.Add(d), order: b.eventCount, run: f})
}

// Send delivers a message by calling f, unless a fault prevents it.
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

// Run handles all events of the next span of virtual time.
func (b *Bus) Run(d time.Duration) {
	end := b.Now.Add(d)
	for len(b.events) > 0 && !b.events[0].at.After(end) {
		e := heap.Pop(&b.events).(event)
		b.Now = e.at
		e.run()
	}
	b.Now = end
}

// RunUntil handles events until the condition holds, looking each step of
// virtual time. It returns the time that passed and whether the condition held
// within the limit.
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
