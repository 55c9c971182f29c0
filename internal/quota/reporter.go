package quota

import (
	"math"
	"time"
)

const (
	// reporterTTL is how long a hub gives out a reporter's share after the response that
	// the last report names. After that, the share may be given out by another hub.
	reporterTTL = 800 * time.Millisecond
	// forgetAfter is how long the counts of a silent reporter are kept.
	forgetAfter = 30 * time.Second
	// usageDecayTime is the time constant of the exponential decay of recent usage:
	// after it, a request counts as 1/e.
	usageDecayTime = 3 * time.Second
)

// reporters holds the senders of reports to a hub or an aggregator, by name.
type reporters map[string]*reporter

// reporter is an instance or an aggregator that sends reports.
type reporter struct {
	started      uint64        // Report.Started
	members      int           // instances whose shares the hub gives out for it
	carries      bool          // Report.Carries
	fleet        int           // Report.Fleet
	lastReportAt time.Duration // Report.Echo, or when a report without one arrived
	releasedAt   time.Duration // when the share was handed back; reports from before don't count
	lastAdmitted map[string]uint64
	// owed are the requests, by workspace, of a reporter whose share and levels another hub
	// may still have. They are charged together with what it brings.
	owed        map[string]float64
	recentUsage float64 // requests of all workspaces, exponentially decayed up to usageAt (see usageDecayTime)
	usageAt     time.Duration
}

// addUsage adds n requests to the recent usage, after its decay up to now.
func (r *reporter) addUsage(n float64, now time.Duration) {
	r.recentUsage = r.recentUsage*math.Exp(-float64(now-r.usageAt)/float64(usageDecayTime)) + n
	r.usageAt = now
}

// record notes a report and returns its reporter. first is true for the first report of
// a process, and for the first one after a silence of more than reporterTTL. Counting then
// starts at Usage.Settled. A report without that only sets where counting starts.
func (rs reporters) record(r Report, now time.Duration) (from *reporter, first bool) {
	from = rs[r.Instance]
	first = from == nil || from.started != r.Started || now-from.lastReportAt >= reporterTTL
	if first {
		from = &reporter{started: r.Started, lastAdmitted: map[string]uint64{}, owed: map[string]float64{}}
		rs[r.Instance] = from
		for _, u := range r.Usages {
			from.lastAdmitted[u.Workspace] = u.Admitted
			if r.Carries {
				from.lastAdmitted[u.Workspace] = u.Settled
			}
		}
	}
	from.lastReportAt, from.members = now, max(r.Members, 1)
	if r.Echo > 0 {
		from.lastReportAt = min(r.Echo, now)
	}
	from.fleet, from.carries = r.Fleet, r.Carries
	lapsed := now-from.lastReportAt >= reporterTTL
	if r.Guest || r.Carries && (r.Echo == 0 || r.Echo < from.releasedAt || lapsed) {
		from.members = 0
	}
	return from, first
}

// members returns the number of instances covered by reports within reporterTTL, and
// removes the reporters that have been silent for longer than forgetAfter.
func (rs reporters) members(now time.Duration) int {
	heard := 0
	for name, r := range rs {
		switch {
		case now-r.lastReportAt < reporterTTL:
			heard += r.members
		case now-r.lastReportAt > forgetAfter:
			delete(rs, name)
		}
	}
	return heard
}

// carried returns the same of the reporters that bring their shares of the levels along.
func (rs reporters) carried(now time.Duration) (n int) {
	for _, r := range rs {
		if r.carries && now-r.lastReportAt < reporterTTL {
			n += r.members
		}
	}
	return n
}

// fleet returns the number of instances that share the quotas, if n are registered.
func (rs reporters) fleet(n int, now time.Duration) int {
	for _, r := range rs {
		if now-r.lastReportAt < reporterTTL {
			n = max(n, r.fleet)
		}
	}
	return n
}

// heard returns the number of reporters that have reported within reporterTTL.
func (rs reporters) heard(now time.Duration) (n int) {
	for _, r := range rs {
		if now-r.lastReportAt < reporterTTL {
			n++
		}
	}
	return n
}

// membersOf returns the number of instances whose shares are given out for a reporter.
func (rs reporters) membersOf(name string, now time.Duration) int {
	if r := rs[name]; r != nil && now-r.lastReportAt < reporterTTL {
		return r.members
	}
	return 0
}

// usageShare returns the reporter's fraction of the recent usage of all reporters, 0 to
// 1.
func (rs reporters) usageShare(from *reporter, now time.Duration) float64 {
	all := 0.0
	for _, r := range rs {
		r.addUsage(0, now)
		all += r.recentUsage
	}
	return from.recentUsage / max(all, 1)
}

// admitted returns the number of a workspace's requests admitted since the last report,
// and stores the new count.
func (r *reporter) admitted(u Usage) float64 {
	n := u.Admitted - min(r.lastAdmitted[u.Workspace], u.Admitted)
	r.lastAdmitted[u.Workspace] = u.Admitted
	return float64(n)
}
