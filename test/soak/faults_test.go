package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// injector begins random faults, which last for some time and overlap.
type injector struct {
	*fleet
	pending sync.WaitGroup // faults that have not ended
	list    []fault        // to be injected again and again
	away    atomic.Bool    // the store is away, or what it lost is being written again
	shuffle bool           // in another order each time
	deck    []fault        // the rest of the list
}

// heartbeatInterval is the time between two writes of a target's registration.
const heartbeatInterval = time.Second

// fault begins a fault that lasts for some time, and does not wait for its end.
type fault func(j *injector, lasts time.Duration)

// faults are all faults. Those that few requests notice come twice.
var faults = []fault{
	(*injector).storeConnection, (*injector).suspension, (*injector).termination, (*injector).kill, (*injector).reload,
	(*injector).failingTarget, (*injector).silentDrain, (*injector).targetRestart,
	(*injector).targetLeaves, (*injector).targetLeaves, (*injector).targetPauses, (*injector).targetPauses,
	(*injector).historyLost, (*injector).keyWithdrawn, (*injector).homesMoved, (*injector).zoneClosed, (*injector).turnedAway,
	(*injector).storeRestored,
}

// inject begins the next fault.
func (j *injector) inject() {
	if len(j.deck) == 0 {
		j.deck = slices.Clone(j.list)
		if j.shuffle {
			j.random.Shuffle(len(j.deck), func(a, b int) { j.deck[a], j.deck[b] = j.deck[b], j.deck[a] })
		}
	}
	next := j.deck[0]
	j.deck = j.deck[1:]
	next(j, time.Duration(200+j.random.IntN(2500))*time.Millisecond)
}

// after runs a function when the fault ends.
func (j *injector) after(d time.Duration, f func()) {
	j.pending.Add(1)
	time.AfterFunc(d, func() { defer j.pending.Done(); f() })
}

func (j *injector) anyInstance() *instance { return j.instances[j.random.IntN(len(j.instances))] }
func (j *injector) anyTarget() *target     { return j.targets[j.random.IntN(len(j.targets))] }

// caller returns the name of an instance that sends requests to a target: one of its
// region, if there is one.
func (j *injector) caller(t *target) string {
	list := j.random.Perm(len(j.instances))
	for _, i := range list {
		if regions[i%len(regions)] == t.region {
			return j.instances[i].name
		}
	}
	return j.instances[list[0]].name
}

func (j *injector) storeConnection(lasts time.Duration) {
	j.closeWay(j.anyInstance(), []string{"silent", "reset", "deaf", "slow", "busy"}[j.random.IntN(5)], lasts)
}

func (j *injector) closeWay(in *instance, mode string, lasts time.Duration) {
	j.note("%s: store connection %s for %v", in.name, mode, lasts)
	in.proxy.mode.Store(mode)
	j.checks.recordWay(in.name, false, time.Now())
	j.after(lasts, func() {
		j.checks.recordWay(in.name, true, time.Now())
		in.proxy.mode.Store("")
	})
}

// turnedAway makes the store turn half of the instances away for long, while the
// configuration changes and the history is dropped.
func (j *injector) turnedAway(lasts time.Duration) {
	lasts *= 3
	for _, i := range j.random.Perm(len(j.instances))[:len(j.instances)/2] {
		j.closeWay(j.instances[i], []string{"busy", "silent", "reset"}[j.random.IntN(3)], lasts)
	}
	j.historyLost(0)
	j.homesMoved(0)
}

// storeRestored takes the store away for a moment and lets it come back as a copy some
// seconds old. The operator and the targets write theirs again within a second.
func (j *injector) storeRestored(lasts time.Duration) {
	if !j.away.CompareAndSwap(false, true) {
		return
	}
	const maxAge = 6000 // milliseconds
	age, endLeases, dropHistory := time.Duration(j.random.IntN(maxAge))*time.Millisecond, j.random.IntN(2) == 0, j.random.IntN(2) == 0
	delay, seed := lasts/3, j.random.Uint64()
	j.note("the store is away for %v and comes back as it was %v before; leases end: %v, without history: %v", delay, age, endLeases, dropHistory)
	for _, in := range j.instances {
		j.checks.recordWay(in.name, false, time.Now())
	}
	j.store.GoAway()
	j.after(delay, func() {
		lost := j.store.Restore(delay+age, endLeases)
		if dropHistory {
			j.store.DropHistory()
		}
		j.note("the store is back, %d entries are to be written again", len(lost))
		random := rand.New(rand.NewPCG(seed, 1))
		begin := time.Now()
		for _, i := range lost {
			if !strings.HasPrefix(i.Key, "op/") && !strings.HasPrefix(i.Key, "servers/") {
				continue
			}
			time.Sleep(time.Duration(random.Int64N(int64(time.Second - min(time.Since(begin), 999*time.Millisecond)))))
			j.store.WriteAgain(i)
		}
		for _, in := range j.instances {
			if in.proxy.mode.Load() == "" {
				j.checks.recordWay(in.name, true, time.Now())
			}
		}
		time.Sleep(heartbeatInterval)
		j.store.Touch("servers/")
		j.away.Store(false)
	})
}

func (j *injector) suspension(lasts time.Duration) {
	in := j.anyInstance()
	j.note("%s: suspended for %v", in.name, lasts)
	if in.mu.TryLock() { // not while it is restarted
		j.checks.recordDisruption(in.name)
		in.signal(syscall.SIGSTOP)
		in.mu.Unlock()
	}
	j.after(lasts, func() {
		in.mu.Lock()
		defer in.mu.Unlock()
		in.signal(syscall.SIGCONT)
		j.checks.recordDisruption(in.name)
	})
}

func (j *injector) termination(time.Duration) { j.end(syscall.SIGTERM) }
func (j *injector) kill(time.Duration)        { j.end(syscall.SIGKILL) }

func (j *injector) end(s syscall.Signal) {
	in := j.anyInstance()
	j.note("%s: %v", in.name, s)
	j.pending.Go(func() { in.restart(j.fleet, s) })
}

func (j *injector) reload(time.Duration) {
	in := j.anyInstance()
	j.note("%s: SIGHUP", in.name)
	if in.mu.TryLock() {
		in.signal(syscall.SIGHUP)
		in.mu.Unlock()
	}
}

func (j *injector) failingTarget(lasts time.Duration) {
	t := j.anyTarget()
	j.note("%s: fails for %v", t.ID(), lasts)
	t.setFailureShare(0.5)
	j.after(lasts, func() { t.setFailureShare(0) })
}

// silentDrain registers a target as leaving that says nothing of it in its responses.
func (j *injector) silentDrain(lasts time.Duration) {
	t := j.anyTarget()
	j.note("%s: registered as leaving for %v", t.ID(), lasts)
	t.register("draining")
	j.after(lasts, func() { t.register("ready") })
}

// leavingForm is how a target that leaves goes about it.
type leavingForm int

const (
	staysReady        leavingForm = iota // its registration says that it is ready
	tellsOneInstance                     // the same, and it announces nothing to the others
	registersDraining                    // its registration says that it leaves, too
	lapses                               // its registration goes and comes back as ready
	leavingFormCount
)

// targetLeaves makes a target announce that it leaves, until its process ends.
func (j *injector) targetLeaves(lasts time.Duration) {
	only, form := "", leavingForm(j.random.IntN(int(leavingFormCount)))
	turnsAway, sameID := j.random.IntN(4) == 0, j.random.IntN(4) == 0
	lasts += 2 * j.checks.drain
	var t *target
	for _, i := range j.random.Perm(len(j.targets)) {
		if form == tellsOneInstance {
			only = j.caller(j.targets[i])
		}
		if j.targets[i].leave(only) {
			t = j.targets[i]
			break
		}
	}
	if t == nil {
		return
	}
	j.note("%s: announces that it leaves, form %d, for %v; to %q; turns requests away: %v", t.ID(), form, lasts, only, turnsAway)
	if turnsAway {
		t.setRefusals(refusals{share: 1, instance: only, notRun: true})
	}
	switch form {
	case registersDraining:
		t.register("draining")
	case lapses:
		j.store.Remove("servers/" + t.ID())
		j.after(lasts/4, func() { t.register("ready") })
	}
	j.after(lasts, func() {
		j.note("%s: its process ends", t.ID())
		t.restart(sameID)
	})
}

// targetPauses makes a target turn requests away that asks for pauses, of all instances or
// of one, all requests or a part, and not always with the statement that they did not run.
func (j *injector) targetPauses(lasts time.Duration) {
	r := refusals{
		share: []float64{1, 1, 0.5}[j.random.IntN(3)], pause: time.Duration(2+j.random.IntN(4)) * 500 * time.Millisecond,
		notRun: j.random.IntN(3) > 0, runPercent: 50,
	}
	t := j.anyTarget()
	if j.random.IntN(3) == 0 {
		r.instance = j.caller(t)
	}
	j.note("%s: asks for pauses for %v: %+v", t.ID(), lasts, r)
	t.setRefusals(r)
	j.after(lasts, func() { t.setRefusals(refusals{}) })
}

// targetRestart ends the process of a target and starts another, mostly under another id.
func (j *injector) targetRestart(time.Duration) {
	t, sameID := j.anyTarget(), j.random.IntN(4) == 0
	j.note("%s: restarts, with the same id: %v", t.ID(), sameID)
	t.restart(sameID)
}

func (j *injector) historyLost(time.Duration) {
	j.note("the store drops its history of changes")
	j.store.DropHistory()
}

func (j *injector) keyWithdrawn(time.Duration) {
	i := j.random.IntN(len(j.keys))
	old := j.keys[i]
	j.keys[i] = "withdrawn-" + fmt.Sprint(j.version)
	j.note("key %s is withdrawn", old)
	j.writeConfiguration()
	j.checks.recordWithdrawal(old, time.Now())
}

func (j *injector) homesMoved(time.Duration) {
	j.homes++
	j.note("home regions move")
	j.writeConfiguration()
}

func (j *injector) zoneClosed(lasts time.Duration) {
	zone := targetZones[j.random.IntN(len(targetZones))]
	j.note("zone %s is closed for %v", zone, lasts)
	j.store.Put("op/evacuate/"+zone, "{}")
	j.after(lasts, func() { j.store.Remove("op/evacuate/" + zone) })
}
