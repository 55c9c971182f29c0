// Package soak runs instances as processes of their own, disturbs them from
// outside and checks the promises on what clients and targets see.
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
	processVariable = "SOAK_PROCESS" // set in the processes that run instances
	brokenVariable  = "SOAK_BROKEN"  // set to how the instances are broken
	keyBound        = 3 * time.Second
	targets         = 4
	host            = "host.example"
	// calmTime is how long the fleet is left alone at the end; in its second half
	// it has to serve well again.
	calmTime = 6 * time.Second
	// leastServed is the part of requests that a calm fleet serves.
	leastServed = 0.95
)

var (
	seed     = flag.Uint64("soak.seed", 1, "first seed")
	seeds    = flag.Int("soak.seeds", 1, "number of seeds")
	duration = flag.Duration("soak.duration", 6*time.Second, "time with faults for each seed")
	size     = flag.Int("soak.instances", 4, "instances of each seed")
	clients  = flag.Int("soak.clients", 12, "clients of each seed")
	logs     = flag.String("soak.logs", "", "directory for the instances' logs of failed seeds")
)

func TestMain(m *testing.M) {
	switch {
	case os.Getenv(brokenVariable) != "":
		runBroken(os.Getenv(brokenVariable))
		return
	case os.Getenv(processVariable) != "":
		os.Exit(command.Main())
	}
	flag.Parse()
	os.Exit(m.Run())
}

// proxy carries connections to the store, or does not.
type proxy struct {
	listener net.Listener
	to       string
	mode     atomic.Value // string: "", "silent", "reset", "deaf", "slow"
}

func newProxy(t *testing.T, address, to string) *proxy {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	p := &proxy{listener: l, to: to}
	p.mode.Store("")
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.carry(c)
		}
	}()
	return p
}

func (p *proxy) carry(c net.Conn) {
	defer func() { _ = c.Close() }()
	up, err := net.Dial("tcp4", p.to)
	if err != nil {
		return
	}
	defer func() { _ = up.Close() }()
	go p.copy(up, c, false)
	p.copy(c, up, true)
}

// copy carries one direction. A silent proxy swallows both, a deaf one only
// answers.
func (p *proxy) copy(to, from net.Conn, answers bool) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		switch mode := p.mode.Load().(string); {
		case mode == "reset":
			_ = to.(*net.TCPConn).SetLinger(0)
			_ = to.Close()
			_ = from.Close()
			return
		case mode == "silent", mode == "deaf" && answers:
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

// instance is a process.
type instance struct {
	name, address, file string
	broken              string
	proxy               *proxy
	log                 *os.File
	mu                  sync.Mutex // held while the process is replaced
	cmd                 *exec.Cmd
}

// fleet is one run.
type fleet struct {
	t         *testing.T
	random    *rand.Rand
	check     *checker
	store     *standin.Store
	targets   []*standin.Target
	instances []*instance
	version   int
	keys      []string
	stop      chan struct{}
	ids       atomic.Int64
	ip        string
	trace     []string
	broken    string // how the instances are broken; "" for not
}

func (f *fleet) note(format string, args ...any) {
	f.trace = append(f.trace, time.Now().Format("05.000 ")+fmt.Sprintf(format, args...))
}

func newFleet(t *testing.T, seed uint64, dir, broken string) *fleet {
	f := &fleet{
		t: t, broken: broken, random: rand.New(rand.NewPCG(seed, 7)), check: newChecker(keyBound), store: standin.NewStore(),
		stop: make(chan struct{}), ip: fmt.Sprintf("127.92.%d.", seed%250), keys: []string{"key-0", "key-1", "key-2"},
	}
	l, err := net.Listen("tcp4", f.ip+"1:17000")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() { _ = f.store.Serve(l) }() // ends with its listener
	for i := range targets {
		l, err := net.Listen("tcp4", fmt.Sprintf("%s%d:17000", f.ip, 100+i))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = l.Close() })
		target := standin.NewTarget(fmt.Sprint("t", i), l)
		target.SetReply(f.reply(0))
		f.targets = append(f.targets, target)
		f.store.Put("servers/"+target.ID(), target.Registration("listings", zone(i), "ready"))
	}
	f.configure()
	for i := range *size {
		f.instances = append(f.instances, f.newInstance(i, dir))
		f.instances[i].start(t)
	}
	return f
}

func zone(i int) string { return []string{"sierra-a", "costa-a"}[i%2] }

// configure writes the next version with the keys in force.
func (f *fleet) configure() {
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

// reply answers as a target that fails a part of its requests.
func (f *fleet) reply(bad float64) func(c net.Conn, r *http.Request, ran standin.RecordedRequest) bool {
	random := rand.New(rand.NewPCG(f.random.Uint64(), 1))
	var mu sync.Mutex
	return func(c net.Conn, r *http.Request, ran standin.RecordedRequest) bool {
		mu.Lock()
		x, how := random.Float64(), random.IntN(5)
		work := time.Duration(5+random.IntN(40)) * time.Millisecond
		mu.Unlock()
		if x < bad && how == 0 {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 503 X\r\nAttempt-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", ran.ID)
			return true
		}
		f.check.ran(ran.ID, ran.Method, ran.URI, ran.Body, ran.Header.Get("Tenant-Name"), ran.Header.Get("Api-Key"))
		time.Sleep(work)
		switch {
		case x >= bad:
			return standin.SignedReply(200, answerTo(ran.ID))(c, r, ran)
		case how == 1: // the answer is lost
			_ = c.(*net.TCPConn).SetLinger(0)
			return false
		case how == 2: // cut
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: s\r\nContent-Length: 900\r\n\r\nans", ran.ID)
			return false
		case how == 3: // a second answer
			return standin.SignedReply(200, answerTo(ran.ID))(c, r, ran) && standin.SignedReply(200, "extra")(c, r, ran)
		}
		return standin.SignedReply(500, "failed")(c, r, ran)
	}
}

func (f *fleet) newInstance(i int, dir string) *instance {
	ip := fmt.Sprintf("%s%d", f.ip, 10+i)
	in := &instance{broken: f.broken, name: fmt.Sprint("i", i), address: ip + ":17000", file: filepath.Join(dir, fmt.Sprint("i", i, ".toml"))}
	in.proxy = newProxy(f.t, fmt.Sprintf("%s%d:17003", f.ip, 10+i), f.ip+"1:17000")
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
	if err := os.WriteFile(in.file, []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
	var err error
	if in.log, err = os.Create(filepath.Join(dir, in.name+".log")); err != nil {
		f.t.Fatal(err)
	}
	return in
}

// start starts the process; the caller holds the lock or is alone.
func (in *instance) start(t *testing.T) {
	in.cmd = exec.Command(os.Args[0], "edge")
	in.cmd.Env = append(os.Environ(), processVariable+"=1", brokenVariable+"="+in.broken, "TURMERICFIELD_NODE_FILE="+in.file)
	in.cmd.Stdout, in.cmd.Stderr = in.log, in.log
	if err := in.cmd.Start(); err != nil {
		t.Error(err)
	}
}

// end sends a signal that ends the process, and waits for it.
func (in *instance) end(s syscall.Signal) {
	_ = in.cmd.Process.Signal(s) // it may have ended
	_ = in.cmd.Wait()            // its status is the signal's
}

// restart ends the process and starts it again. Restarts of one instance follow
// one another.
func (in *instance) restart(t *testing.T, s syscall.Signal) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.signal(syscall.SIGCONT)
	in.end(s)
	in.start(t)
}

// output returns what the instance's processes wrote.
func (in *instance) output() string {
	text, err := os.ReadFile(in.log.Name())
	if err != nil {
		return err.Error()
	}
	return string(text)
}

func (in *instance) signal(s syscall.Signal) { _ = in.cmd.Process.Signal(s) }

// client sends requests over connections that it keeps as long as it can.
func (f *fleet) client(n int, done *sync.WaitGroup) {
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
			id: fmt.Sprintf("%016x", f.ids.Add(1)), method: http.MethodGet, uri: fmt.Sprintf("/browse/%d?n=%d", random.IntN(30), n),
			workspace: fmt.Sprint("w", w), key: fmt.Sprint("key-", w), sent: time.Now(),
		}
		if random.IntN(2) == 0 {
			r.method, r.uri, r.body = http.MethodPost, strings.Replace(r.uri, "browse", "reserve", 1), "body of "+r.id
		}
		f.send(c, f.instances[(n+random.IntN(2))%len(f.instances)].address, r)
	}
}

func (f *fleet) send(c *http.Client, address string, r request) {
	out, err := http.NewRequest(r.method, "http://"+address+r.uri, strings.NewReader(r.body))
	if err != nil {
		panic(err)
	}
	out.Host = host
	for name, value := range map[string]string{"Attempt-Id": r.id, "Affinity-Key": r.uri, "Deadline-Ms": "2500", "Api-Key": r.key, "Tenant-Name": "forged"} {
		out.Header.Set(name, value)
	}
	f.check.sending(r)
	answer, err := c.Do(out)
	if err != nil {
		return // a closed connection promises nothing
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(answer.Body)
	f.check.answered(r.id, answer.StatusCode, string(body), answer.Header.Get("Response-Seal"), err == nil)
}

// disturb brings one fault about. Faults overlap: it does not wait for their end.
func (f *fleet) disturb(pending *sync.WaitGroup) {
	in := f.instances[f.random.IntN(len(f.instances))]
	last := time.Duration(200+f.random.IntN(2500)) * time.Millisecond
	later := func(do func()) {
		pending.Add(1)
		time.AfterFunc(last, func() { defer pending.Done(); do() })
	}
	switch k := f.random.IntN(9); k {
	case 0:
		mode := []string{"silent", "reset", "deaf", "slow"}[f.random.IntN(4)]
		f.note("%s: store %s for %v", in.name, mode, last)
		in.proxy.mode.Store(mode)
		later(func() { in.proxy.mode.Store("") })
	case 1:
		f.note("%s: paused for %v", in.name, last)
		if in.mu.TryLock() { // not while it is restarted
			in.signal(syscall.SIGSTOP)
			in.mu.Unlock()
		}
		later(func() { in.mu.Lock(); defer in.mu.Unlock(); in.signal(syscall.SIGCONT) })
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
		f.note("%s: fails for %v", target.ID(), last)
		target.SetReply(f.reply(0.5))
		later(func() { target.SetReply(f.reply(0)) })
	case 6:
		i := f.random.IntN(len(f.targets))
		target := f.targets[i]
		f.note("%s: leaves for %v", target.ID(), last)
		f.store.Put("servers/"+target.ID(), target.Registration("listings", zone(i), "draining"))
		later(func() { f.store.Put("servers/"+target.ID(), target.Registration("listings", zone(i), "ready")) })
	case 7:
		f.note("history dropped")
		f.store.DropHistory()
	case 8:
		i := f.random.IntN(len(f.keys))
		old := f.keys[i]
		f.keys[i] = "withdrawn-" + fmt.Sprint(f.version)
		f.note("%s withdrawn", old)
		f.configure()
		f.check.withdraw(old, time.Now())
	}
}

// play runs one seed.
func play(t *testing.T, seed uint64) {
	dir := t.TempDir()
	f := run(t, seed, dir, "")
	if len(f.check.broken) > 0 {
		if *logs != "" {
			keep(t, dir, filepath.Join(*logs, fmt.Sprint("seed-", seed)))
		}
		t.Errorf("seed %d: %s\n%s", seed, strings.Join(f.check.broken[:min(len(f.check.broken), 10)], "\n"), strings.Join(f.trace, "\n"))
	}
}

// run plays a seed to its end and returns the fleet with what was broken.
func run(t *testing.T, seed uint64, dir, broken string) *fleet {
	f := newFleet(t, seed, dir, broken)
	var sending, pending sync.WaitGroup
	for n := range *clients {
		sending.Add(1)
		go f.client(n, &sending)
	}
	time.Sleep(time.Second)
	for end := time.Now().Add(*duration); time.Now().Before(end); {
		f.disturb(&pending)
		time.Sleep(time.Duration(50+f.random.IntN(500)) * time.Millisecond)
	}
	pending.Wait()
	f.note("calm")
	for i := range f.keys {
		// Clients go on with the first keys; what was withdrawn stays withdrawn.
		f.keys[i] = fmt.Sprint("key-", i)
	}
	f.check.mu.Lock()
	f.check.withdrawn = map[string]time.Time{}
	f.check.mu.Unlock()
	f.configure()
	time.Sleep(calmTime / 2)
	f.check.reset()
	time.Sleep(calmTime / 2)
	close(f.stop)
	sending.Wait()
	for _, in := range f.instances {
		if err := in.cmd.Process.Signal(syscall.Signal(0)); err != nil || strings.Contains(in.output(), "turmericfield: ") {
			f.check.fail("%s ended by itself", in.name)
		}
		in.end(syscall.SIGKILL)
		_ = in.log.Close()
	}
	f.check.mu.Lock()
	defer f.check.mu.Unlock()
	if f.check.asked == 0 || float64(f.check.served) < leastServed*float64(f.check.asked) {
		f.check.fail("served %d of %d requests after the faults", f.check.served, f.check.asked)
	}
	return f
}

// keep copies the logs of a failed seed.
func keep(t *testing.T, from, to string) {
	if err := os.MkdirAll(to, 0o755); err != nil {
		t.Error(err)
		return
	}
	if err := os.CopyFS(to, os.DirFS(from)); err != nil {
		t.Error(err)
	}
}

func TestSoak(t *testing.T) {
	for i := range *seeds {
		s := *seed + uint64(i)
		t.Run(fmt.Sprint("seed-", s), func(t *testing.T) {
			t.Parallel()
			play(t, s)
		})
	}
}

// Each case breaks one promise, as a broken instance would.
func TestCheckerCatchesBrokenPromises(t *testing.T) {
	sent := request{id: "1", method: "POST", uri: "/reserve/1", body: "b", workspace: "w0", key: "k", sent: time.Now()}
	run := func(c *checker) { c.ran("1", "POST", "/reserve/1", "b", "w0", "") }
	for name, breakIt := range map[string]func(c *checker){
		"twice":           func(c *checker) { run(c); run(c) },
		"not sent":        func(c *checker) { c.ran("2", "POST", "/", "", "w0", "") },
		"changed":         func(c *checker) { c.ran("1", "POST", "/reserve/2", "b", "w0", "") },
		"other workspace": func(c *checker) { c.ran("1", "POST", "/reserve/1", "b", "forged", "") },
		"key passed on":   func(c *checker) { c.ran("1", "POST", "/reserve/1", "b", "w0", "k") },
		"refused, ran":    func(c *checker) { run(c); c.answered("1", 503, "", "", true) },
		"ran after 429":   func(c *checker) { c.answered("1", 429, "", "", true); run(c) },
		"mixed":           func(c *checker) { run(c); c.answered("1", 200, answerTo("9"), "s", true) },
		"no proof":        func(c *checker) { run(c); c.answered("1", 200, answerTo("1"), "", true) },
		"withdrawn":       func(c *checker) { c.withdraw("k", sent.sent.Add(-2*keyBound)); run(c) },
	} {
		c := newChecker(keyBound)
		c.sending(sent)
		breakIt(c)
		if len(c.broken) == 0 {
			t.Errorf("%s: not caught", name)
		}
	}
	c := newChecker(keyBound)
	c.sending(sent)
	run(c)
	c.answered("1", 200, answerTo("1"), "s", true)
	if len(c.broken) > 0 {
		t.Errorf("a sound run is reported: %v", c.broken)
	}
}
