package fleetsim

import (
	"fmt"
	"slices"
	"time"
)

const (
	faultKinds      = 28 // numbers drawn in injectFault; those without a case do nothing
	minProcesses    = 5  // processes are not ended below this number
	maxProcesses    = 14 // none is added above this number
	maxStepDuration = 3 * time.Second
	maxPause        = 40 * time.Second
	leaveDuration   = 2 * time.Second // from the announcement of a shutdown to its end
	// sendBursts sends burstCount bursts, each of fewer than burstSizeRange requests.
	burstSizeRange = 30
	burstCount     = 20
	burstInterval  = 10 * time.Millisecond
)

// Soak runs a number of steps, or fewer if a guarantee is violated, and returns how
// many it ran. Each step draws a fault, a recovery or bursts of requests, and lets
// a random span of virtual time pass. Most faults last until a recovery is drawn,
// so that several often overlap.
func (fleet *FullFleet) Soak(steps int) int {
	for i := range steps {
		fleet.injectFault()
		fleet.Bus.Run(time.Duration(fleet.rand.Int64N(int64(maxStepDuration))))
		fleet.countVouched()
		if len(fleet.Violations) > 0 {
			return i + 1
		}
	}
	return steps
}

// Counts returns what the run has covered.
func (fleet *FullFleet) Counts() SoakCounts { return fleet.counts }

// injectFault draws a fault or recovery and brings it about.
func (fleet *FullFleet) injectFault() {
	n := fleet.Nodes[fleet.rand.IntN(len(fleet.Nodes))]
	name := n.Member.Name
	switch fleet.rand.IntN(faultKinds) {
	case 0:
		fleet.note("zone %d is cut off", n.Location.Zone)
		fleet.Partition(isolateZone(n.Location.Zone))
	case 1:
		fleet.note("zone %d is cut off from the store", n.Location.Zone)
		fleet.cutOffStore(n.Location)
	case 2, 3:
		fleet.note("the partition and the cuts from the store end")
		fleet.Heal()
		clear(fleet.storeCutUntil)
	case 4:
		d := time.Duration(fleet.rand.Int64N(int64(maxPause)))
		fleet.note("%s pauses for %s", name, d)
		fleet.Pause(n, d)
	case 5:
		fleet.note("%s is killed and restarted", name)
		fleet.Kill(n)
		fleet.Start(name, n.Location)
	case 6:
		if len(fleet.Nodes) > minProcesses {
			fleet.note("%s is killed", name)
			fleet.Kill(n)
		}
	case 7:
		if len(fleet.Nodes) < maxProcesses {
			fleet.Start(fmt.Sprintf("late-%d", fleet.addressCount), n.Location)
			fleet.note("an instance starts in zone %d", n.Location.Zone)
		}
	case 8:
		fleet.note("%s is replaced while it pauses", name)
		fleet.Pause(n, time.Duration(fleet.rand.Int64N(int64(maxPause))))
		fleet.Start(name, n.Location)
		fleet.Bus.After(maxPause+leaveDuration, func() { fleet.endProcess(n) })
	case 9:
		fleet.leaveGracefully(n)
	case 10, 11:
		fleet.Store.Down = !fleet.Store.Down
		fleet.note("the store is down: %t", fleet.Store.Down)
	case 12:
		fleet.Store.AnswerLoss = []float64{0, 0.5}[fleet.rand.IntN(2)]
		fleet.note("the store loses answers with probability %g", fleet.Store.AnswerLoss)
	case 13:
		fleet.Bus.Faults.Loss = []float64{0, 0.02, 0.2}[fleet.rand.IntN(3)]
		fleet.Bus.Faults.Jitter = []time.Duration{time.Millisecond, 10 * time.Millisecond, 150 * time.Millisecond}[fleet.rand.IntN(3)]
		fleet.note("faults of the network: %+v", fleet.Bus.Faults)
	case 14:
		fleet.Store.listLag = time.Duration(fleet.rand.Int64N(int64(maxPause)))
		fleet.note("the platform's list lags by %s", fleet.Store.listLag)
	case 15, 16, 17:
		fleet.sendBursts()
	case 18:
		fleet.note("network and store recover")
		fleet.Heal()
		clear(fleet.storeCutUntil)
		fleet.Bus.Faults = Faults{Jitter: time.Millisecond}
		fleet.Store.Down, fleet.Store.AnswerLoss, fleet.Store.listLag = false, 0, time.Second
	}
}

// isolateZone returns a grouping for Partition that separates one availability zone
// from everything else.
func isolateZone(zone int) func(Location) int {
	return func(location Location) int {
		if location.Zone == zone {
			return 1
		}
		return 0
	}
}

// cutOffStore makes the store unreachable from one location for a random time. The
// location's instances still reach their peers.
func (fleet *FullFleet) cutOffStore(location Location) {
	fleet.storeCutUntil[location] = fleet.Bus.Now.Add(time.Duration(fleet.rand.Int64N(int64(maxPause))))
}

// isCutOff reports whether messages between locations a and b are lost: because the
// store, at one of them, is unreachable from the other (see cutOffStore), or because a
// partition separates them. It is the Bus.CutOff of a full fleet.
func (fleet *FullFleet) isCutOff(a, b Location) bool {
	if a == fleet.Store.Location && fleet.Bus.Now.Before(fleet.storeCutUntil[b]) || b == fleet.Store.Location && fleet.Bus.Now.Before(fleet.storeCutUntil[a]) {
		return true
	}
	return fleet.partitionGroup[a] != fleet.partitionGroup[b]
}

// leaveGracefully announces a process's end, gives up its seat, and ends it after
// leaveDuration.
func (fleet *FullFleet) leaveGracefully(n *Node) {
	if len(fleet.Nodes) <= minProcesses || n.Leaving || fleet.Bus.Now.Before(n.pausedUntil) {
		return
	}
	fleet.note("%s announces that it leaves", n.Member.Name)
	fleet.processes[n].retire()
	fleet.Leave(n)
	fleet.Bus.After(leaveDuration, func() { fleet.endProcess(n) })
}

// endProcess kills a process unless it has ended or few are left.
func (fleet *FullFleet) endProcess(n *Node) {
	if slices.Contains(fleet.Nodes, n) && len(fleet.Nodes) > minProcesses {
		fleet.note("%s ends", n.Member.Name)
		fleet.Kill(n)
	}
}

// sendBursts sends many requests of one workspace, each burst of them to one process.
func (fleet *FullFleet) sendBursts() {
	w := testWorkspaces[fleet.rand.IntN(len(testWorkspaces))].Name
	for range burstCount {
		n := fleet.Nodes[fleet.rand.IntN(len(fleet.Nodes))]
		n.whenRunning(func() {
			for range fleet.rand.IntN(burstSizeRange) {
				fleet.processes[n].handleRequest(w)
			}
			fleet.processes[n].drainLimiter()
		})
		fleet.Bus.Run(burstInterval)
	}
}

// countVouched counts the nodes whose freshness evidence is younger than KeyFreshness
// long after the store went down. Only the writers' vouchers can have kept the evidence
// so young.
func (fleet *FullFleet) countVouched() {
	if !fleet.Store.Down {
		fleet.storeDownSince = time.Time{}
		return
	}
	if fleet.storeDownSince.IsZero() {
		fleet.storeDownSince = fleet.Bus.Now
	}
	if fleet.Bus.Now.Sub(fleet.storeDownSince) <= 2*KeyFreshness {
		return
	}
	for _, n := range fleet.Nodes {
		if !fleet.Bus.Now.Before(n.pausedUntil) && n.Freshness.Fresh(fleet.Bus.Now, KeyFreshness) {
			fleet.counts.Vouched++
		}
	}
}
