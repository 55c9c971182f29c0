package quota

import (
	"math"
	"time"
)

const (
	// heardFor is how long an instance counts as served by a hub after its last
	// report. Later it admits by its equal share.
	heardFor = time.Second
	// forgetAfter is how long the counts of a silent instance are kept.
	forgetAfter = 30 * time.Second
	// usedMemory is the time after which an instance's use counts for a third in
	// its part of all use.
	usedMemory = 3 * time.Second
)

// reporters are those that report to a hub, by name.
type reporters map[string]*reporter

type reporter struct {
	started uint64
	members int
	at      time.Duration
	counts  map[string]uint64
	used    float64 // requests lately, of all workspaces
	usedAt  time.Duration
}

// use adds requests to what the instance used lately.
func (r *reporter) use(n float64, now time.Duration) {
	r.used = r.used*math.Exp(-float64(now-r.usedAt)/float64(usedMemory)) + n
	r.usedAt = now
}

// hear notes a report. It tells whether it is the first one, or the first after a
// silence: what was admitted meanwhile came out of an equal share, which the hub did
// not give out.
func (rs reporters) hear(r Report, now time.Duration) (from *reporter, first bool) {
	from = rs[r.Instance]
	first = from == nil || from.started != r.Started || now-from.at > heardFor
	if first {
		from = &reporter{started: r.Started, counts: map[string]uint64{}}
		rs[r.Instance] = from
	}
	from.at, from.members = now, max(r.Members, 1)
	return from, first
}

// members returns for how many instances the reports of late speak, and forgets
// those that have long been silent.
func (rs reporters) members(now time.Duration) int {
	heard := 0
	for name, r := range rs {
		switch {
		case now-r.at <= heardFor:
			heard += r.members
		case now-r.at > forgetAfter:
			delete(rs, name)
		}
	}
	return heard
}

// part returns the part that one has in what all used lately.
func (rs reporters) part(from *reporter, now time.Duration) float64 {
	all := 0.0
	for _, r := range rs {
		r.use(0, now)
		all += r.used
	}
	return from.used / max(all, 1)
}

// admitted returns how many more requests of a workspace were admitted than the last
// report said.
func (r *reporter) admitted(u Usage) float64 {
	n := u.Admitted - min(r.counts[u.Workspace], u.Admitted)
	r.counts[u.Workspace] = u.Admitted
	return float64(n)
}
