// Package soak runs instances as real processes between clients, targets and a store
// in the test process, and injects faults: signals, cut connections to the store,
// failing and leaving targets, withdrawn keys. It checks the guarantees by what
// clients and targets see.
package soak

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/turmericfield/turmericfield/internal/command"
)

const (
	processEnv         = "SOAK_PROCESS"          // environment variable that makes this binary run an instance
	defectEnv          = "SOAK_BROKEN"           // environment variable with the name of the instance's defect
	keyBound           = 3 * time.Second         // the instances' setting revokeS
	configurationBound = 2500 * time.Millisecond // the instances' setting configApplyS
	drainBound         = time.Second             // the platform's drainS
	routeTimeout       = 2 * time.Second
	firstInstanceIP    = 10             // last number of the first instance's IP
	seedCount          = 3              // instances whose addresses each instance's settings name
	firstTargetIP      = 100            // last number of the first target's IP
	host               = "host.example" // hostname of all routes
	// pipeliningClients is the number of clients of which one sends requests ahead.
	pipeliningClients = 4
	// slowClients is the number of clients of which one gets long answers at times, and
	// reads these slowly, late or not at all.
	slowClients = 5
	// maxStall is the longest time for which such a client puts off reading an answer.
	maxStall = 4 * time.Second
	// quietPeriod is the time without faults at the end of a run. In its second half
	// nearly every request must be served again.
	quietPeriod = 6 * time.Second
	// minServedShare is the fraction of the requests sent in the second half of
	// quietPeriod that must be served.
	minServedShare = 0.95
)

var (
	seed          = flag.Uint64("soak.seed", 1, "first seed")
	seeds         = flag.Int("soak.seeds", 1, "number of seeds")
	duration      = flag.Duration("soak.duration", 6*time.Second, "time with faults for each seed")
	instanceCount = flag.Int("soak.instances", 4, "instances of each seed")
	clientCount   = flag.Int("soak.clients", 12, "clients of each seed")
	fillerRoutes  = flag.Int("soak.routes", 0, "further routes of the first configuration; 4000 are about 1 MB")
	logDirectory  = flag.String("soak.logs", "", "directory for the instances' logs of failed seeds")
)

// TestMain runs an instance instead of the tests if the environment asks for it.
func TestMain(m *testing.M) {
	switch {
	case os.Getenv(defectEnv) != "":
		runWithDefect(os.Getenv(defectEnv))
		return
	case os.Getenv(processEnv) != "":
		os.Exit(command.Main())
	}
	flag.Parse()
	os.Exit(m.Run())
}

// runSeed runs one seed, with these faults or, if there are none, all, and reports the first violations and the trace.
func runSeed(t *testing.T, seed uint64, list ...fault) {
	dir := t.TempDir()
	f := runFleet(t, seed, dir, defect{faults: list})
	if len(f.checks.violations) > 0 {
		if *logDirectory != "" {
			copyLogs(t, dir, filepath.Join(*logDirectory, fmt.Sprint("seed-", seed)))
		}
		t.Errorf("seed %d: %s\n%s", seed, strings.Join(f.checks.violations[:min(len(f.checks.violations), 10)], "\n"), strings.Join(f.trace, "\n"))
	}
}

// runFleet runs clients and random faults for *duration and then a quiet period. It
// returns the fleet with the violations in its checker. With a defect it ends as soon as
// that is caught.
func runFleet(t *testing.T, seed uint64, dir string, d defect) *fleet {
	f := newFleet(t, seed, dir, d.name)
	var sending sync.WaitGroup
	for n := range *clientCount {
		random := rand.New(rand.NewPCG(uint64(n), f.random.Uint64()))
		if n%pipeliningClients == 0 {
			sending.Go(func() { f.runPipeliningClient(n, random) })
		} else {
			sending.Go(func() { f.runClient(n, random) })
		}
	}
	for _, in := range f.instances {
		sending.Go(func() { f.probeVersion(in) })
	}
	time.Sleep(time.Second)
	j := &injector{fleet: f, list: faults, shuffle: true}
	if len(d.faults) > 0 {
		j.list, j.shuffle = d.faults, d.name == ""
	}
	for end := time.Now().Add(*duration); time.Now().Before(end) && d.caught(f.checks) == ""; {
		j.inject()
		time.Sleep(time.Duration(50+f.random.IntN(500)) * time.Millisecond)
	}
	j.pending.Wait()
	f.note("no more faults")
	f.quiet.Store(true)
	for i := range f.keys {
		// Clients know only these first keys, so the withdrawn ones become valid again.
		f.keys[i] = fmt.Sprint("key-", i)
	}
	f.checks.mu.Lock()
	f.checks.withdrawnAt = map[string]time.Time{}
	f.checks.mu.Unlock()
	f.writeConfiguration()
	if d.caught(f.checks) == "" {
		time.Sleep(quietPeriod / 2)
		f.checks.resetCounts()
		time.Sleep(quietPeriod / 2)
	}
	close(f.stop)
	sending.Wait()
	for _, in := range f.instances {
		text := in.logText()
		if err := in.cmd.Process.Signal(syscall.Signal(0)); err != nil || strings.Contains(text, "turmericfield: ") || strings.Contains(text, "DATA RACE") {
			f.checks.fail("%s ended without a signal, or reported an error", in.name)
		}
		in.terminate(syscall.SIGKILL)
		_ = in.logFile.Close()
	}
	f.checks.mu.Lock()
	defer f.checks.mu.Unlock()
	if f.checks.sentCount == 0 || float64(f.checks.servedCount) < minServedShare*float64(f.checks.sentCount) {
		f.checks.fail("served %d of %d requests after the faults", f.checks.servedCount, f.checks.sentCount)
	}
	return f
}

// copyLogs copies the logs of a failed seed to a directory that outlives the test.
func copyLogs(t *testing.T, from, to string) {
	if err := os.MkdirAll(to, 0o755); err != nil {
		t.Error(err)
		return
	}
	if err := os.CopyFS(to, os.DirFS(from)); err != nil {
		t.Error(err)
	}
}

// TestSoak checks the guarantees under random faults that overlap.
func TestSoak(t *testing.T) {
	for i := range *seeds {
		s := *seed + uint64(i)
		t.Run(fmt.Sprint("seed-", s), func(t *testing.T) {
			t.Parallel()
			runSeed(t, s)
		})
	}
}

// The store comes back as an older copy, alone and beside other faults.
func TestSoakRestoredStore(t *testing.T) {
	restored := (*injector).storeRestored
	for name, c := range map[string]struct {
		seed uint64
		list []fault
	}{
		"alone":                   {9070, []fault{restored}},
		"beside changes":          {9071, []fault{restored, (*injector).keyWithdrawn, (*injector).homesMoved, (*injector).targetLeaves, (*injector).zoneClosed, (*injector).historyLost}},
		"beside kills":            {9072, []fault{restored, (*injector).kill, (*injector).keyWithdrawn, (*injector).targetRestart}},
		"beside cuts":             {9073, []fault{restored, (*injector).storeConnection, (*injector).turnedAway, (*injector).keyWithdrawn, (*injector).silentDrain}},
		"beside planned restarts": {9074, []fault{restored, (*injector).termination, (*injector).homesMoved, (*injector).targetLeaves}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runSeed(t, c.seed, c.list...)
		})
	}
}

// Seeds that failed once, and the cause.
func TestSoakSeedsThatFailed(t *testing.T) {
	for s, cause := range map[uint64]string{
		9102: "an instance that started while the store turned it away knew no other instance",
		9109: "an instance with a silent store asked it again and again and did not follow the source that it had found",
		9112: "the same",
	} {
		t.Run(fmt.Sprint("seed-", s), func(t *testing.T) {
			t.Parallel()
			t.Log(cause)
			runSeed(t, s, faults[:len(faults)-1]...) // without storeRestored, which came later and would change their order
		})
	}
}

// A checker that overlooks a violation would let every soak run pass. Each case
// violates one guarantee as a faulty instance would.
func TestCheckerReportsEveryViolation(t *testing.T) {
	for name, violate := range map[string]func(c *checker){
		"twice":           func(c *checker) { runRequest(c); runRequest(c) },
		"not sent":        func(c *checker) { c.recordRun("2", "POST", "/", "", "w0", "") },
		"changed":         func(c *checker) { c.recordRun("1", "POST", "/reserve/2", "b", "w0", "") },
		"other workspace": func(c *checker) { c.recordRun("1", "POST", "/reserve/1", "b", "forged", "") },
		"key passed on":   func(c *checker) { c.recordRun("1", "POST", "/reserve/1", "b", "w0", "k") },
		"refused, ran":    func(c *checker) { runRequest(c); c.recordAnswer("1", 503, "", "", true) },
		"ran after 429":   func(c *checker) { c.recordAnswer("1", 429, "", "", true); runRequest(c) },
		"mixed":           func(c *checker) { runRequest(c); c.recordAnswer("1", 200, answerBody("9"), "s", true) },
		"long, a part missing": func(c *checker) {
			sendRequest(c, longID+"1", epoch)
			c.recordAnswer(longID+"1", 200, answerBody(longID + "1")[:longSize/2], "s", true)
		},
		"no seal":                              func(c *checker) { runRequest(c); c.recordAnswer("1", 200, answerBody("1"), "", true) },
		"withdrawn":                            func(c *checker) { c.recordWithdrawal("k", epoch.Add(-2*keyBound)); runRequest(c) },
		"outside the home region":              func(c *checker) { c.recordArrival("1", "t0/1", "oriente", epoch) },
		"outside the workspace's home regions": func(c *checker) { c.recordArrival("1", "t0/1", "costa", epoch) },
		"in the home region before": func(c *checker) {
			c.configurations = append(c.configurations, configuration{begun: epoch, confirmed: epoch, homes: map[string][]string{"reserve": {"oriente"}}})
			sendRequest(c, "2", epoch.Add(configurationBound+time.Millisecond))
			c.recordArrival("2", "t0/1", "sierra", epoch.Add(configurationBound+time.Millisecond))
		},
		"target leaves": func(c *checker) {
			c.recordNotice("1", "t0/1", notice{leaving: true, written: epoch})
			sendRequest(c, "2", epoch.Add(drainBound+time.Millisecond))
			c.recordArrival("2", "t0/1", "sierra", epoch.Add(drainBound+time.Millisecond))
		},
		"version not in force": func(c *checker) { versionRefused(c, 404, "no-route\n", configurationBound) },
		"version not in force, and not denied for good": func(c *checker) {
			versionRefused(c, 503, "configuration-stale\n", configurationBound)
		},
		"version not in force at an instance without a way to the store": func(c *checker) {
			c.recordWay("i0", false, epoch)
			versionRefused(c, 404, "no-route\n", configurationBound)
		},
		"target pauses": func(c *checker) {
			c.recordNotice("1", "t0/1", notice{pause: time.Second, begun: epoch, written: epoch})
			arrivals(c, "t0/1", 3, epoch.Add(600*time.Millisecond))
		},
	} {
		c := newRequestChecker()
		violate(c)
		if len(c.violations) == 0 {
			t.Errorf("%s: the checker recorded no violation", name)
		}
	}
}

// A checker that reports what is allowed would make runs fail at random.
func TestCheckerAllowsWhatTheRulesAllow(t *testing.T) {
	leaves := func(c *checker) { c.recordNotice("1", "t0/1", notice{leaving: true, written: epoch}) }
	pauses := func(c *checker) {
		c.recordNotice("1", "t0/1", notice{pause: time.Second, begun: epoch, written: epoch})
	}
	for name, run := range map[string]func(c *checker){
		"one run, one answer": func(c *checker) { runRequest(c); c.recordAnswer("1", 200, answerBody("1"), "s", true) },
		"long": func(c *checker) {
			sendRequest(c, longID+"1", epoch)
			c.recordAnswer(longID+"1", 200, answerBody(longID+"1"), "s", true)
		},
		"long, cut visibly": func(c *checker) {
			sendRequest(c, longID+"1", epoch)
			c.recordAnswer(longID+"1", 200, answerBody(longID + "1")[:longSize/2], "s", false)
		},
		"the home region": func(c *checker) { c.recordArrival("1", "t0/1", "sierra", epoch) },
		"the home region before, sent soon after": func(c *checker) {
			c.configurations = append(c.configurations, configuration{begun: epoch, confirmed: epoch, homes: map[string][]string{"reserve": {"oriente"}}})
			sendRequest(c, "2", epoch.Add(configurationBound))
			c.recordArrival("2", "t0/1", "sierra", epoch.Add(2*configurationBound))
		},
		"the home region of a configuration that is being written": func(c *checker) {
			c.configurations = append(c.configurations, configuration{begun: epoch, homes: map[string][]string{"reserve": {"oriente"}}})
			c.recordArrival("1", "t0/1", "oriente", epoch)
			c.recordArrival("1", "t0/1", "sierra", epoch)
		},
		"version refused soon after it was confirmed": func(c *checker) { versionRefused(c, 404, "no-route\n", 0) },
		"version refused while no instance has a way to the store": func(c *checker) {
			c.recordWay("i0", false, epoch)
			c.recordWay("i1", false, epoch.Add(time.Millisecond))
			versionRefused(c, 404, "no-route\n", configurationBound)
		},
		"version refused by an instance that has just started": func(c *checker) {
			c.recordDisruptionAt("i0", epoch.Add(configurationBound))
			versionRefused(c, 404, "no-route\n", configurationBound)
		},
		"version refused after the next was written": func(c *checker) {
			versionRefused(c, 404, "no-route\n", configurationBound, configuration{begun: epoch.Add(time.Second)})
		},
		"version's route refused for want of a target": func(c *checker) { versionRefused(c, 503, "full\n", configurationBound) },
		"sent soon after the target left": func(c *checker) {
			leaves(c)
			sendRequest(c, "2", epoch.Add(drainBound))
			c.recordArrival("2", "t0/1", "sierra", epoch.Add(2*drainBound))
		},
		"the next process of the target": func(c *checker) { leaves(c); pauses(c); arrivals(c, "t0/2", 3, epoch.Add(2*drainBound)) },
		"through an instance that was restarted": func(c *checker) {
			leaves(c)
			pauses(c)
			c.recordDisruption("i0")
			arrivals(c, "t0/1", 3, epoch.Add(2*drainBound))
		},
		"sent before the instance was restarted": func(c *checker) {
			leaves(c)
			sendRequest(c, "2", epoch.Add(2*drainBound))
			c.recordDisruption("i0")
			c.recordArrival("2", "t0/1", "sierra", epoch.Add(2*drainBound))
		},
		"told to the instance before its restart": func(c *checker) {
			c.recordDisruption("i0")
			leaves(c)
			arrivals(c, "t0/1", 1, epoch.Add(2*drainBound))
		},
		"told too late to be read": func(c *checker) {
			c.recordNotice("1", "t0/1", notice{leaving: true, written: epoch.Add(2 * maxNoticeAge)})
			arrivals(c, "t0/1", 1, epoch.Add(2*maxNoticeAge+2*drainBound))
		},
		"two in a pause":              func(c *checker) { pauses(c); arrivals(c, "t0/1", 2, epoch.Add(600*time.Millisecond)) },
		"at the beginning of a pause": func(c *checker) { pauses(c); arrivals(c, "t0/1", 3, epoch.Add(400*time.Millisecond)) },
		"after a pause":               func(c *checker) { pauses(c); arrivals(c, "t0/1", 3, epoch.Add(1001*time.Millisecond)) },
	} {
		c := newRequestChecker()
		run(c)
		if len(c.violations) > 0 {
			t.Errorf("%s: recorded as a violation: %v", name, c.violations)
		}
	}
}

// epoch is when the first request of newRequestChecker is sent.
var epoch = time.Now()

// newRequestChecker returns a checker of a fleet with a configuration and one request.
func newRequestChecker() *checker {
	c := newChecker(bounds{keyBound, configurationBound, drainBound})
	before := epoch.Add(-time.Minute)
	c.configurations = []configuration{{begun: before, confirmed: before, homes: map[string][]string{"reserve": {"sierra", "costa"}, "w0": {"sierra", "oriente"}}}}
	sendRequest(c, "1", epoch)
	return c
}

func sendRequest(c *checker, id string, at time.Time) {
	c.recordSent(request{id: id, method: "POST", uri: "/reserve/1", body: "b", route: "reserve", workspace: "w0", key: "k", instance: "i0", sent: at})
}

// versionRefused records that an instance refused the route of a version that was confirmed
// at epoch, in a request sent some time later, after further configurations.
func versionRefused(c *checker, status int, body string, later time.Duration, further ...configuration) {
	if _, known := c.wayOpenSince["i1"]; !known {
		c.recordWay("i1", true, epoch.Add(-time.Minute))
	}
	c.configurations = append(c.configurations, configuration{begun: epoch, confirmed: epoch})
	c.recordSent(request{id: "probe", route: versionRoute, instance: "i0", sent: epoch.Add(later + time.Millisecond), version: len(c.configurations)})
	c.configurations = append(c.configurations, further...)
	c.recordAnswer("probe", status, body, "", true)
}

// runRequest records that the request of newRequestChecker ran.
func runRequest(c *checker) { c.recordRun("1", "POST", "/reserve/1", "b", "w0", "") }

// arrivals sends n requests, which reach a target's process at once.
func arrivals(c *checker, process string, n int, at time.Time) {
	for i := range n {
		id := fmt.Sprint("arrival-", i)
		sendRequest(c, id, at)
		c.recordArrival(id, process, "sierra", at)
	}
}
