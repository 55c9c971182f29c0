package quota

import (
	"math"
	"time"
)

const (
	// heardFor is how long an instance counts as served by a hub after its last
	// report. Later it admits by its equal share.
	reporterTTL = time.Second
	// forgetAfter is how long the counts of a silent instance are kept.
	forgetAfter = 30 * time.Second
	// usedMemory is the time after which an instance's use counts for a third in
	// its part of all use.
	usageDecayTime = 3 * time.Second
)

// reporters are those that report to a hub, by name.
type reporters map[string]*reporter

type reporter struct {
	started      uint64
	members      int
	lastReportAt time.Duration
	lastAdmitted map[string]uint64
	recentUsage  float64 // requests lately, of all workspaces
	usageAt      time.Duration
}

// use adds requests to what the instance used lately.
func (r *reporter) addUsage(n float64, now time.Duration) {
	r.recentUsage = r.recentUsage*math.Exp(-float64(now-r.usageAt)/float64(usageDecayTime)) + n
	r.usageAt = now
}

// hear notes a report. It tells whether it is the first one, or the first after a
// silence: what was admitted meanwhile came out of an equal share, which the hub did
// not give out.
func (rs reporters) record(r Report, now time.Duration) (from *reporter, first bool) {
	from = rs[r.Instance]
	first = from == nil || from.started != r.Started || now-from.lastReportAt > reporterTTL
	if first {
		from = &reporter{started: r.Started, lastAdmitted: map[string]uint64{}}
		rs[r.Instance] = from
	}
	from.lastReportAt, from.members = now, max(r.Members, 1)
	return from, first
}

// members returns for how many instances the reports of late speak, and forgets
// those that have long been silent.
func (rs reporters) members(now time.Duration) int {
	heard := 0
	for name, r := range rs {
		switch {
		case now-r.lastReportAt <= reporterTTL:
			heard += r.members
		case now-r.lastReportAt > forgetAfter:
			delete(rs, name)
		}
	}
	return heard
}

// part returns the part that one has in what all used lately.
func (rs reporters) usageShare(from *reporter, now time.Duration) float64 {
	all := 0.0
	for _, r := range rs {
		r.addUsage(0, now)
		all += r.recentUsage
	}
	return from.recentUsage / max(all, 1)
}

// admitted returns how many more requests of a workspace were admitted than the last
// report said.
func (r *reporter) admitted(u Usage) float64 {
	n := u.Admitted - min(r.lastAdmitted[u.Workspace], u.Admitted)
	r.lastAdmitted[u.Workspace] = u.Admitted
	return float64(n)
}
