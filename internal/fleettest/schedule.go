package fleettest

import (
	"fmt"
	"slices"
	"time"
)

const (
	faultKinds     = 28 // those without a case do nothing
	leastProcesses = 5
	mostProcesses  = 14
	longestStep    = 3 * time.Second
	longestPause   = 40 * time.Second
	leavingTime    = 2 * time.Second
	rushRequests   = 30
	rushRounds     = 20
	rushGap        = 10 * time.Millisecond
)

// Soak takes the fleet through steps of a fault, recovery or rush and a span
// of virtual time, until a guarantee is broken. Faults last until a recovery
// is drawn, so that two or more at once are ordinary. It returns the number of
// steps taken.
func (j *FullFleet) Soak(steps int) int {
	for i := range steps {
		j.disturb()
		j.Bus.Run(time.Duration(j.rand.Int64N(int64(longestStep))))
		j.countVouched()
		if len(j.Violations) > 0 {
			return i + 1
		}
	}
	return steps
}

// Counts tells what the run has met.
func (j *FullFleet) Counts() SoakCounts { return j.counts }

func (j *FullFleet) disturb() {
	n := j.Nodes[j.rand.IntN(len(j.Nodes))]
	name := n.Member.Name
	switch j.rand.IntN(faultKinds) {
	case 0:
		j.note("zone %d is cut off", n.Location.Zone)
		j.Partition(zoneOnly(n.Location.Zone))
	case 1:
		j.note("zone %d is cut off from the store", n.Location.Zone)
		j.cutStore(n.Location)
	case 2, 3:
		j.note("the network is whole")
		j.Heal()
		clear(j.storeCut)
	case 4:
		d := time.Duration(j.rand.Int64N(int64(longestPause)))
		j.note("%s pauses for %s", name, d)
		j.Pause(n, d)
	case 5:
		j.note("%s is killed and started anew", name)
		j.Kill(n)
		j.Start(name, n.Location)
	case 6:
		if len(j.Nodes) > leastProcesses {
			j.note("%s is killed", name)
			j.Kill(n)
		}
	case 7:
		if len(j.Nodes) < mostProcesses {
			j.Start(fmt.Sprintf("late-%d", j.addresses), n.Location)
			j.note("an instance starts in zone %d", n.Location.Zone)
		}
	case 8:
		j.note("%s is replaced while it pauses", name)
		j.Pause(n, time.Duration(j.rand.Int64N(int64(longestPause))))
		j.Start(name, n.Location)
		j.Bus.After(longestPause+leavingTime, func() { j.end(n) })
	case 9:
		j.leaveSoon(n)
	case 10, 11:
		j.Store.Down = !j.Store.Down
		j.note("the store is down: %t", j.Store.Down)
	case 12:
		j.Store.AnswerLoss = []float64{0, 0.5}[j.rand.IntN(2)]
		j.note("lost answers of the store: %g", j.Store.AnswerLoss)
	case 13:
		j.Bus.Faults.Loss = []float64{0, 0.02, 0.2}[j.rand.IntN(3)]
		j.Bus.Faults.Jitter = []time.Duration{time.Millisecond, 10 * time.Millisecond, 150 * time.Millisecond}[j.rand.IntN(3)]
		j.note("faults of the network: %+v", j.Bus.Faults)
	case 14:
		j.Store.lag = time.Duration(j.rand.Int64N(int64(longestPause)))
		j.note("the list lags by %s", j.Store.lag)
	case 15, 16, 17:
		j.rush()
	case 18:
		j.note("network and store recover")
		j.Heal()
		clear(j.storeCut)
		j.Bus.Faults = Faults{Jitter: time.Millisecond}
		j.Store.Down, j.Store.AnswerLoss, j.Store.lag = false, 0, time.Second
	}
}

func zoneOnly(zone int) func(Location) int {
	return func(s Location) int {
		if s.Zone == zone {
			return 1
		}
		return 0
	}
}

// cutStore cuts the store off from one zone, whose peers stay reachable.
func (j *FullFleet) cutStore(site Location) {
	j.storeCut[site] = j.Bus.Now.Add(time.Duration(j.rand.Int64N(int64(longestPause))))
}

func (j *FullFleet) cutOff(a, b Location) bool {
	if a == j.Store.Location && j.Bus.Now.Before(j.storeCut[b]) || b == j.Store.Location && j.Bus.Now.Before(j.storeCut[a]) {
		return true
	}
	return j.groups[a] != j.groups[b]
}

func (j *FullFleet) leaveSoon(n *Node) {
	if len(j.Nodes) <= leastProcesses || n.Leaving || j.Bus.Now.Before(n.pausedUntil) {
		return
	}
	j.note("%s leaves", n.Member.Name)
	j.processes[n].leave()
	j.Leave(n)
	j.Bus.After(leavingTime, func() { j.end(n) })
}

// end kills a process unless it has ended.
func (j *FullFleet) end(n *Node) {
	if slices.Contains(j.Nodes, n) && len(j.Nodes) > leastProcesses {
		j.note("%s ends", n.Member.Name)
		j.Kill(n)
	}
}

// rush sends many requests of one workspace to one process at a time.
func (j *FullFleet) rush() {
	w := joinedWorkspaces[j.rand.IntN(len(joinedWorkspaces))].Name
	for range rushRounds {
		n := j.Nodes[j.rand.IntN(len(j.Nodes))]
		n.at(func() {
			for range j.rand.IntN(rushRequests) {
				j.processes[n].request(w)
			}
			j.processes[n].drain()
		})
		j.Bus.Run(rushGap)
	}
}

// countVouched counts the processes that vouchers keep fresh without the store.
func (j *FullFleet) countVouched() {
	if !j.Store.Down {
		j.downSince = time.Time{}
		return
	}
	if j.downSince.IsZero() {
		j.downSince = j.Bus.Now
	}
	if j.Bus.Now.Sub(j.downSince) <= 2*KeyFreshness {
		return
	}
	for _, n := range j.Nodes {
		if !j.Bus.Now.Before(n.pausedUntil) && n.Freshness.Fresh(j.Bus.Now, KeyFreshness) {
			j.counts.Vouched++
		}
	}
}
