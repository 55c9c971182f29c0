// Package soak runs instances as real processes between clients, targets and a store
// in the test process, and injects faults: signals, cut connections to the store,
// failing and leaving targets, withdrawn keys. It checks the guarantees by what
// clients and targets see.
package soak

import (
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/turmericfield/turmericfield/internal/command"
	"github.com/turmericfield/turmericfield/platform/standin"
)

const (
	processEnv  = "SOAK_PROCESS"  // environment variable that makes this binary run an instance
	defectEnv   = "SOAK_BROKEN"   // environment variable with the name of the instance's defect
	keyBound    = 3 * time.Second // the instances' setting revokeS
	targetCount = 4
	host        = "host.example" // hostname of all routes
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

// storeProxy stands between an instance and the store and forwards the connections.
// It can be given a fault by its mode:
//   - "": none.
//   - "silent": drops what both sides send.
//   - "deaf": drops what the store sends.
//   - "slow": waits 200 ms before it forwards what it has read.
//   - "reset": resets a connection when one side sends something.
type storeProxy struct {
	listener     net.Listener
	storeAddress string
	mode         atomic.Value // string
}

func newStoreProxy(t *testing.T, address, storeAddress string) *storeProxy {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	p := &storeProxy{listener: l, storeAddress: storeAddress}
	p.mode.Store("")
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.forward(c)
		}
	}()
	return p
}

// forward connects an instance's connection to the store.
func (p *storeProxy) forward(c net.Conn) {
	defer func() { _ = c.Close() }()
	store, err := net.Dial("tcp4", p.storeAddress)
	if err != nil {
		return
	}
	defer func() { _ = store.Close() }()
	go p.copy(store, c, false)
	p.copy(c, store, true)
}

// copy forwards what one side sends to the other until either closes.
// fromStore says that from is the store's side.
func (p *storeProxy) copy(to, from net.Conn, fromStore bool) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		switch mode := p.mode.Load().(string); {
		case mode == "reset":
			_ = to.(*net.TCPConn).SetLinger(0)
			_ = to.Close()
			_ = from.Close()
			return
		case mode == "silent", mode == "deaf" && fromStore:
			n = 0
		case mode == "slow":
			time.Sleep(200 * time.Millisecond)
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			_ = to.Close()
			return
		}
	}
}

// instance is an instance of the fleet. Its process may be replaced during the run.
type instance struct {
	name, address, settingsFile string
	defect                      string      // name of its defect; "" for none
	proxy                       *storeProxy // its only way to the store
	logFile                     *os.File    // output of all its processes
	mu                          sync.Mutex  // held while the process is replaced
	cmd                         *exec.Cmd
}

// fleet is the instances, targets and store of one run.
type fleet struct {
	t            *testing.T
	random       *rand.Rand
	checks       *checker
	store        *standin.Store
	targets      []*standin.Target
	instances    []*instance
	version      int           // of the configuration
	keys         []string      // valid key of each workspace
	stop         chan struct{} // closed to end the clients
	requestCount atomic.Int64
	ipPrefix     string   // first three numbers of all addresses, with a dot
	trace        []string // injected faults, with their time
	defect       string   // name of the defect of all instances; "" for none
}

// note adds an event to the trace.
func (f *fleet) note(format string, args ...any) {
	f.trace = append(f.trace, time.Now().Format("05.000 ")+fmt.Sprintf(format, args...))
}

// newFleet starts a store, targets and instances. The seed decides the addresses and
// the faults.
func newFleet(t *testing.T, seed uint64, dir, defect string) *fleet {
	f := &fleet{
		t: t, defect: defect, random: rand.New(rand.NewPCG(seed, 7)), checks: newChecker(keyBound), store: standin.NewStore(),
		stop: make(chan struct{}), ipPrefix: fmt.Sprintf("127.92.%d.", seed%250), keys: []string{"key-0", "key-1", "key-2"},
	}
	l, err := net.Listen("tcp4", f.ipPrefix+"1:17000")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() { _ = f.store.Serve(l) }() // ends with its listener
	for i := range targetCount {
		l, err := net.Listen("tcp4", fmt.Sprintf("%s%d:17000", f.ipPrefix, 100+i))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = l.Close() })
		target := standin.NewTarget(fmt.Sprint("t", i), l)
		target.SetReply(f.reply(0))
		f.targets = append(f.targets, target)
		f.store.Put("servers/"+target.ID(), target.Registration("listings", zone(i), "ready"))
	}
	f.writeConfiguration()
	for i := range *instanceCount {
		f.instances = append(f.instances, f.newInstance(i, dir))
		f.instances[i].start(t)
	}
	return f
}

// zone returns the availability zone of the instance or target with an index.
func zone(i int) string { return []string{"sierra-a", "costa-a"}[i%2] }

// writeConfiguration writes the next version of the configuration, with the keys that
// are valid now, to the store. The route browse is safe to repeat, reserve is not.
func (f *fleet) writeConfiguration() {
	f.version++
	route := func(name, kind string) map[string]any {
		return map[string]any{"resourceKind": "routes", "metadata": map[string]any{"name": name}, "spec": map[string]any{
			"hostname": host, "prefix": "/" + name + "/", "routeType": kind, "service": "listings", "timeoutS": 2,
			"targetLatencyS": 0.5, "maxAttempts": 2, "sessionAffinity": true}}
	}
	resources := []map[string]any{
		route("browse", "safe"), route("reserve", "unsafe"),
		{"resourceKind": "services", "metadata": map[string]any{"name": "listings"}, "spec": map[string]any{"maxConnections": 100}},
	}
	for i, key := range f.keys {
		resources = append(resources, map[string]any{"resourceKind": "tenants", "metadata": map[string]any{"name": fmt.Sprint("w", i)}, "spec": map[string]any{"apiKeys": []string{key}}})
	}
	f.store.Put("op/config", map[string]any{"version": fmt.Sprintf("%08x", f.version), "resources": resources})
}

// reply returns the behaviour of a target that fails a share of its requests in one of
// five ways: not run, run with the answer lost, cut or doubled, or run with status 500.
func (f *fleet) reply(failureShare float64) func(c net.Conn, r *http.Request, recorded standin.RecordedRequest) bool {
	random := rand.New(rand.NewPCG(f.random.Uint64(), 1))
	var mu sync.Mutex
	return func(c net.Conn, r *http.Request, recorded standin.RecordedRequest) bool {
		mu.Lock()
		draw, kind := random.Float64(), random.IntN(5)
		work := time.Duration(5+random.IntN(40)) * time.Millisecond
		mu.Unlock()
		if draw < failureShare && kind == 0 {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 503 X\r\nAttempt-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", recorded.ID)
			return true
		}
		f.checks.recordRun(recorded.ID, recorded.Method, recorded.URI, recorded.Body, recorded.Header.Get("Tenant-Name"), recorded.Header.Get("Api-Key"))
		time.Sleep(work)
		switch {
		case draw >= failureShare:
			return standin.SignedReply(200, answerBody(recorded.ID))(c, r, recorded)
		case kind == 1: // the answer is lost
			_ = c.(*net.TCPConn).SetLinger(0)
			return false
		case kind == 2: // cut
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: s\r\nContent-Length: 900\r\n\r\nans", recorded.ID)
			return false
		case kind == 3: // a second answer
			return standin.SignedReply(200, answerBody(recorded.ID))(c, r, recorded) && standin.SignedReply(200, "extra")(c, r, recorded)
		}
		return standin.SignedReply(500, "failed")(c, r, recorded)
	}
}

// newInstance writes the settings of an instance, without starting it.
func (f *fleet) newInstance(i int, dir string) *instance {
	ip := fmt.Sprintf("%s%d", f.ipPrefix, 10+i)
	in := &instance{defect: f.defect, name: fmt.Sprint("i", i), address: ip + ":17000", settingsFile: filepath.Join(dir, fmt.Sprint("i", i, ".toml"))}
	in.proxy = newStoreProxy(f.t, fmt.Sprintf("%s%d:17003", f.ipPrefix, 10+i), f.ipPrefix+"1:17000")
	text := fmt.Sprintf(`node = %q
zone = %q
region = "sierra"
ip = %q
internalPortRange = [17010, 17019]
bounds = ["revokeS=%g", "graceS=3"]
[zones]
sierra-a = "sierra"
costa-a = "sierra"
[listen]
front = "%s:17000"
ready = "%s:17001"
directory = "%s:17002"
[platform]
address = %q
`, in.name, zone(i), ip, keyBound.Seconds(), ip, ip, ip, in.proxy.listener.Addr())
	if err := os.WriteFile(in.settingsFile, []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
	var err error
	if in.logFile, err = os.Create(filepath.Join(dir, in.name+".log")); err != nil {
		f.t.Fatal(err)
	}
	return in
}

// start starts a process of the instance. The caller holds the lock, unless nothing
// else uses the instance yet.
func (in *instance) start(t *testing.T) {
	in.cmd = exec.Command(os.Args[0], "edge")
	in.cmd.Env = append(os.Environ(), processEnv+"=1", defectEnv+"="+in.defect, "TURMERICFIELD_NODE_FILE="+in.settingsFile)
	in.cmd.Stdout, in.cmd.Stderr = in.logFile, in.logFile
	if err := in.cmd.Start(); err != nil {
		t.Error(err)
	}
}

// terminate sends a signal that ends the process, and waits for its end.
func (in *instance) terminate(s syscall.Signal) {
	_ = in.cmd.Process.Signal(s) // it may have ended
	_ = in.cmd.Wait()            // its status is the signal's
}

// restart ends the process and starts another. The lock keeps restarts of the same
// instance apart.
func (in *instance) restart(t *testing.T, s syscall.Signal) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.signal(syscall.SIGCONT)
	in.terminate(s)
	in.start(t)
}

// logText returns the output of all processes of the instance so far.
func (in *instance) logText() string {
	text, err := os.ReadFile(in.logFile.Name())
	if err != nil {
		return err.Error()
	}
	return string(text)
}

func (in *instance) signal(s syscall.Signal) { _ = in.cmd.Process.Signal(s) }

// runClient sends random requests to two neighbouring instances until stop is closed.
// It keeps its connections as long as the instances do.
func (f *fleet) runClient(n int, done *sync.WaitGroup) {
	defer done.Done()
	random := rand.New(rand.NewPCG(uint64(n), f.random.Uint64()))
	c := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableCompression: true}}
	for {
		select {
		case <-f.stop:
			return
		case <-time.After(time.Duration(random.IntN(60)) * time.Millisecond):
		}
		w := random.IntN(len(f.keys))
		r := request{
			id: fmt.Sprintf("%016x", f.requestCount.Add(1)), method: http.MethodGet, uri: fmt.Sprintf("/browse/%d?n=%d", random.IntN(30), n),
			workspace: fmt.Sprint("w", w), key: fmt.Sprint("key-", w), sent: time.Now(),
		}
		if random.IntN(2) == 0 {
			r.method, r.uri, r.body = http.MethodPost, strings.Replace(r.uri, "browse", "reserve", 1), "body of "+r.id
		}
		f.send(c, f.instances[(n+random.IntN(2))%len(f.instances)].address, r)
	}
}

// send sends a request and records the answer. Headers that a caller must not be able
// to set, such as the workspace name, are forged.
func (f *fleet) send(c *http.Client, address string, r request) {
	out, err := http.NewRequest(r.method, "http://"+address+r.uri, strings.NewReader(r.body))
	if err != nil {
		panic(err)
	}
	out.Host = host
	for name, value := range map[string]string{"Attempt-Id": r.id, "Affinity-Key": r.uri, "Deadline-Ms": "2500", "Api-Key": r.key, "Tenant-Name": "forged"} {
		out.Header.Set(name, value)
	}
	f.checks.recordSent(r)
	answer, err := c.Do(out)
	if err != nil {
		return // a closed connection does not say whether the request ran
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(answer.Body)
	f.checks.recordAnswer(r.id, answer.StatusCode, string(body), answer.Header.Get("Response-Seal"), err == nil)
}

// injectFault begins a random fault and does not wait for its end, so that faults
// overlap. pending counts the faults that have not ended.
func (f *fleet) injectFault(pending *sync.WaitGroup) {
	in := f.instances[f.random.IntN(len(f.instances))]
	faultTime := time.Duration(200+f.random.IntN(2500)) * time.Millisecond
	atEnd := func(undo func()) {
		pending.Add(1)
		time.AfterFunc(faultTime, func() { defer pending.Done(); undo() })
	}
	switch k := f.random.IntN(9); k {
	case 0:
		mode := []string{"silent", "reset", "deaf", "slow"}[f.random.IntN(4)]
		f.note("%s: store connection %s for %v", in.name, mode, faultTime)
		in.proxy.mode.Store(mode)
		atEnd(func() { in.proxy.mode.Store("") })
	case 1:
		f.note("%s: paused for %v", in.name, faultTime)
		if in.mu.TryLock() { // not while it is restarted
			in.signal(syscall.SIGSTOP)
			in.mu.Unlock()
		}
		atEnd(func() { in.mu.Lock(); defer in.mu.Unlock(); in.signal(syscall.SIGCONT) })
	case 2, 3:
		s := []syscall.Signal{syscall.SIGTERM, syscall.SIGKILL}[k-2]
		f.note("%s: %v", in.name, s)
		pending.Add(1)
		go func() {
			defer pending.Done()
			in.restart(f.t, s)
		}()
	case 4:
		f.note("%s: SIGHUP", in.name)
		if in.mu.TryLock() {
			in.signal(syscall.SIGHUP)
			in.mu.Unlock()
		}
	case 5:
		target := f.targets[f.random.IntN(len(f.targets))]
		f.note("%s: fails for %v", target.ID(), faultTime)
		target.SetReply(f.reply(0.5))
		atEnd(func() { target.SetReply(f.reply(0)) })
	case 6:
		i := f.random.IntN(len(f.targets))
		target := f.targets[i]
		f.note("%s: leaves for %v", target.ID(), faultTime)
		f.store.Put("servers/"+target.ID(), target.Registration("listings", zone(i), "draining"))
		atEnd(func() { f.store.Put("servers/"+target.ID(), target.Registration("listings", zone(i), "ready")) })
	case 7:
		f.note("the store drops its history of changes")
		f.store.DropHistory()
	case 8:
		i := f.random.IntN(len(f.keys))
		old := f.keys[i]
		f.keys[i] = "withdrawn-" + fmt.Sprint(f.version)
		f.note("key %s is withdrawn", old)
		f.writeConfiguration()
		f.checks.recordWithdrawal(old, time.Now())
	}
}

// runSeed runs one seed and reports the first violations and the trace.
func runSeed(t *testing.T, seed uint64) {
	dir := t.TempDir()
	f := runFleet(t, seed, dir, "")
	if len(f.checks.violations) > 0 {
		if *logDirectory != "" {
			copyLogs(t, dir, filepath.Join(*logDirectory, fmt.Sprint("seed-", seed)))
		}
		t.Errorf("seed %d: %s\n%s", seed, strings.Join(f.checks.violations[:min(len(f.checks.violations), 10)], "\n"), strings.Join(f.trace, "\n"))
	}
}

// runFleet runs clients and random faults for *duration and then a quiet period. It
// returns the fleet with the violations in its checker.
func runFleet(t *testing.T, seed uint64, dir, defect string) *fleet {
	f := newFleet(t, seed, dir, defect)
	var sending, pending sync.WaitGroup
	for n := range *clientCount {
		sending.Add(1)
		go f.runClient(n, &sending)
	}
	time.Sleep(time.Second)
	for end := time.Now().Add(*duration); time.Now().Before(end); {
		f.injectFault(&pending)
		time.Sleep(time.Duration(50+f.random.IntN(500)) * time.Millisecond)
	}
	pending.Wait()
	f.note("no more faults")
	for i := range f.keys {
		// Clients know only these first keys, so the withdrawn ones become valid again.
		f.keys[i] = fmt.Sprint("key-", i)
	}
	f.checks.mu.Lock()
	f.checks.withdrawnAt = map[string]time.Time{}
	f.checks.mu.Unlock()
	f.writeConfiguration()
	time.Sleep(quietPeriod / 2)
	f.checks.resetCounts()
	time.Sleep(quietPeriod / 2)
	close(f.stop)
	sending.Wait()
	for _, in := range f.instances {
		if err := in.cmd.Process.Signal(syscall.Signal(0)); err != nil || strings.Contains(in.logText(), "turmericfield: ") {
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

// A checker that overlooks a violation would let every soak run pass. Each case
// violates one guarantee as a faulty instance would; the last run violates none.
func TestCheckerReportsEveryViolation(t *testing.T) {
	sent := request{id: "1", method: "POST", uri: "/reserve/1", body: "b", workspace: "w0", key: "k", sent: time.Now()}
	runRequest := func(c *checker) { c.recordRun("1", "POST", "/reserve/1", "b", "w0", "") }
	for name, violate := range map[string]func(c *checker){
		"twice":           func(c *checker) { runRequest(c); runRequest(c) },
		"not sent":        func(c *checker) { c.recordRun("2", "POST", "/", "", "w0", "") },
		"changed":         func(c *checker) { c.recordRun("1", "POST", "/reserve/2", "b", "w0", "") },
		"other workspace": func(c *checker) { c.recordRun("1", "POST", "/reserve/1", "b", "forged", "") },
		"key passed on":   func(c *checker) { c.recordRun("1", "POST", "/reserve/1", "b", "w0", "k") },
		"refused, ran":    func(c *checker) { runRequest(c); c.recordAnswer("1", 503, "", "", true) },
		"ran after 429":   func(c *checker) { c.recordAnswer("1", 429, "", "", true); runRequest(c) },
		"mixed":           func(c *checker) { runRequest(c); c.recordAnswer("1", 200, answerBody("9"), "s", true) },
		"no seal":         func(c *checker) { runRequest(c); c.recordAnswer("1", 200, answerBody("1"), "", true) },
		"withdrawn":       func(c *checker) { c.recordWithdrawal("k", sent.sent.Add(-2*keyBound)); runRequest(c) },
	} {
		c := newChecker(keyBound)
		c.recordSent(sent)
		violate(c)
		if len(c.violations) == 0 {
			t.Errorf("%s: the checker recorded no violation", name)
		}
	}
	c := newChecker(keyBound)
	c.recordSent(sent)
	runRequest(c)
	c.recordAnswer("1", 200, answerBody("1"), "s", true)
	if len(c.violations) > 0 {
		t.Errorf("a correct run is recorded as a violation: %v", c.violations)
	}
}
