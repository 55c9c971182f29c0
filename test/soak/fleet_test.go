package soak

import (
	"bufio"
	"bytes"
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

	"github.com/cockroachdb/errors"

	"github.com/turmericfield/turmericfield/platform/standin"
)

// storeProxy stands between an instance and the store and forwards the connections.
// It can be given a fault by its mode:
//   - "": none.
//   - "silent": drops what both sides send.
//   - "deaf": drops what the store sends.
//   - "slow": waits 200 ms before it forwards what it has read.
//   - "reset": resets a connection when one side sends something.
//   - "busy": answers each request with status 503 in place of the store.
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
		case mode == "busy" && !fromStore && n > 0:
			n = 0
			_, _ = io.WriteString(from, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n") // fails if the instance has given up
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
	targets      []*target
	instances    []*instance
	version      int           // of the configuration
	homes        int           // how often the home regions have moved
	fillers      int           // further routes of the next version, which no request uses; 0 if it is to stay small
	keys         []string      // valid key of each workspace
	stop         chan struct{} // closed to end the clients
	quiet        atomic.Bool   // set once there are no more faults
	requestCount atomic.Int64
	ipPrefix     string // first three numbers of all addresses, with a dot
	defect       string // name of the defect of all instances; "" for none
	traceMu      sync.Mutex
	trace        []string // injected faults, with their time
}

// note adds an event to the trace.
func (f *fleet) note(format string, args ...any) {
	f.traceMu.Lock()
	defer f.traceMu.Unlock()
	f.trace = append(f.trace, time.Now().Format("05.000 ")+fmt.Sprintf(format, args...))
}

// newFleet starts a store, targets and instances. The seed decides the addresses and
// the faults.
func newFleet(t *testing.T, seed uint64, dir, defect string) *fleet {
	f := &fleet{
		t: t, defect: defect, random: rand.New(rand.NewPCG(seed, 7)), checks: newChecker(bounds{keyBound, configurationBound, drainBound}), store: standin.NewStore(),
		stop: make(chan struct{}), ipPrefix: fmt.Sprintf("127.92.%d.", seed%250), keys: []string{"key-0", "key-1", "key-2"},
	}
	l, err := net.Listen("tcp4", f.ipPrefix+"1:17000")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() { _ = f.store.Serve(l) }() // ends with its listener
	for i := range targetZones {
		f.targets = append(f.targets, f.newTarget(i))
	}
	f.fillers = *fillerRoutes
	f.writeConfiguration()
	for i := range *instanceCount {
		f.instances = append(f.instances, f.newInstance(i, dir))
		f.checks.recordWay(f.instances[i].name, true, time.Now())
		f.instances[i].start(f)
	}
	return f
}

// homeRegions returns the home regions of the routes and workspaces that have some.
func (f *fleet) homeRegions() map[string][]string {
	first, second := regions[f.homes%len(regions)], regions[(f.homes+1)%len(regions)]
	return map[string][]string{"archive": {first}, "book": {first}, "w2": {first, second}}
}

// writeConfiguration writes the next version of the configuration, with the keys and the
// home regions that are valid now, to the store. The routes browse and archive are safe to
// repeat, reserve and book are not; archive, book and workspace w2 have home regions.
func (f *fleet) writeConfiguration() {
	f.version++
	homes := f.homeRegions()
	resources := []map[string]any{
		{"resourceKind": "services", "metadata": map[string]any{"name": service}, "spec": map[string]any{"maxConnections": 100}},
	}
	for _, name := range routes {
		kind := "unsafe"
		if repeatable(name) {
			kind = "safe"
		}
		resources = append(resources, map[string]any{"resourceKind": "routes", "metadata": map[string]any{"name": name}, "spec": map[string]any{
			"hostname": host, "prefix": "/" + name + "/", "routeType": kind, "service": service, "timeoutS": routeTimeout.Seconds(),
			"targetLatencyS": 0.5, "maxAttempts": 2, "sessionAffinity": true, "homeRegions": homes[name]}})
	}
	for i, key := range f.keys {
		name := fmt.Sprint("w", i)
		resources = append(resources, map[string]any{"resourceKind": "tenants", "metadata": map[string]any{"name": name}, "spec": map[string]any{
			"apiKeys": []string{key}, "homeRegions": homes[name]}})
	}
	// Each version has a route of its own, which shows whether that version is in force.
	resources = append(resources, map[string]any{"resourceKind": "routes", "metadata": map[string]any{"name": versionRoute}, "spec": map[string]any{
		"hostname": host, "prefix": fmt.Sprintf("/version-%d/", f.version), "routeType": "safe", "service": service, "timeoutS": routeTimeout.Seconds(),
		"targetLatencyS": 0.5, "maxAttempts": 2, "allowAnonymous": true}})
	for i := range f.fillers {
		resources = append(resources, map[string]any{"resourceKind": "routes", "metadata": map[string]any{"name": fmt.Sprint("filler-", i)}, "spec": map[string]any{
			"hostname": host, "prefix": fmt.Sprintf("/filler-%d/%x/", i, i*2654435761), "routeType": "safe", "service": service, "timeoutS": routeTimeout.Seconds(),
			"targetLatencyS": 0.5, "maxAttempts": 2, "sessionAffinity": true}})
	}
	if f.fillers > 0 {
		f.fillers += fillersPerVersion
	}
	f.checks.recordConfiguration(homes, func() {
		f.store.Put("op/config", map[string]any{"version": fmt.Sprintf("%08x", f.version), "resources": resources})
	})
}

// fillersPerVersion is how many further routes each version adds to a large configuration.
const fillersPerVersion = 200

// routes are the names of the routes.
var routes = []string{"browse", "reserve", "archive", "book"}

// versionRoute is the name of a route that no random request uses.
const versionRoute = "version"

// repeatable reports whether the requests of a route are safe to repeat.
func repeatable(route string) bool { return route == "browse" || route == "archive" }

// newInstance writes the settings of an instance, without starting it.
func (f *fleet) newInstance(i int, dir string) *instance {
	ip := fmt.Sprintf("%s%d", f.ipPrefix, firstInstanceIP+i)
	in := &instance{defect: f.defect, name: fmt.Sprint("i", i), address: ip + ":17000", settingsFile: filepath.Join(dir, fmt.Sprint("i", i, ".toml"))}
	in.proxy = newStoreProxy(f.t, ip+":17003", f.ipPrefix+"1:17000")
	var zones strings.Builder
	for j, zone := range targetZones {
		fmt.Fprintf(&zones, "%s = %q\n", zone, regions[j%len(regions)])
	}
	var seeds []string
	for j := range min(*instanceCount, seedCount) {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s%d:17004", f.ipPrefix, firstInstanceIP+j)))
	}
	text := fmt.Sprintf(`node = %q
zone = %q
region = %q
ip = %q
internalPortRange = [17010, 17019]
seeds = [%s]
bounds = ["revokeS=%g", "configApplyS=%g", "graceS=3"]
[zones]
%s[listen]
front = "%s:17000"
ready = "%s:17001"
directory = "%s:17002"
control = "%s:17004"
[platform]
address = %q
`, in.name, targetZones[i%len(targetZones)], regions[i%len(regions)], ip, strings.Join(seeds, ", "), keyBound.Seconds(), configurationBound.Seconds(), zones.String(), ip, ip, ip, ip, in.proxy.listener.Addr())
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
func (in *instance) start(f *fleet) {
	f.checks.recordDisruption(in.name)
	in.cmd = exec.Command(os.Args[0], "edge")
	in.cmd.Env = append(os.Environ(), processEnv+"=1", defectEnv+"="+in.defect, "TURMERICFIELD_NODE_FILE="+in.settingsFile)
	in.cmd.Stdout, in.cmd.Stderr = in.logFile, in.logFile
	if err := in.cmd.Start(); err != nil {
		f.t.Error(err)
	}
}

// terminate sends a signal that ends the process, and waits for its end.
func (in *instance) terminate(s syscall.Signal) {
	_ = in.cmd.Process.Signal(s) // it may have ended
	_ = in.cmd.Wait()            // its status is the signal's
}

// restart ends the process and starts another. The lock keeps restarts of the same
// instance apart.
func (in *instance) restart(f *fleet, s syscall.Signal) {
	in.mu.Lock()
	defer in.mu.Unlock()
	f.checks.recordDisruption(in.name)
	in.signal(syscall.SIGCONT)
	in.terminate(s)
	in.start(f)
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
func (f *fleet) runClient(n int, random *rand.Rand) {
	c := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableCompression: true}}
	if n%slowClients == 0 {
		c.Timeout += maxStall
	}
	for {
		select {
		case <-f.stop:
			return
		case <-time.After(time.Duration(random.IntN(60)) * time.Millisecond):
		}
		in := f.instances[(n+random.IntN(2))%len(f.instances)]
		f.send(c, in.address, f.randomRequest(n, in, random), random)
	}
}

// randomRequest returns a request of client n to the instance.
func (f *fleet) randomRequest(n int, in *instance, random *rand.Rand) request {
	w, route := random.IntN(len(f.keys)), routes[random.IntN(len(routes))]
	r := request{
		id: fmt.Sprintf("%016x", f.requestCount.Add(1)), method: http.MethodGet, uri: fmt.Sprintf("/%s/%d?n=%d", route, random.IntN(30), n),
		route: route, workspace: fmt.Sprint("w", w), key: fmt.Sprint("key-", w), instance: in.name, sent: time.Now(),
	}
	if n%slowClients == 0 && random.IntN(20) == 0 {
		r.id = longID + r.id[1:]
	}
	if !repeatable(route) {
		r.method, r.body = http.MethodPost, "body of "+r.id
	}
	return r
}

// runPipeliningClient is runClient with several requests at a time on a connection. In one
// of ten times, but not in the quiet period, it leaves without reading the answers.
func (f *fleet) runPipeliningClient(n int, random *rand.Rand) {
	var conn net.Conn
	var reader *bufio.Reader
	drop := func() {
		if conn != nil {
			_ = conn.Close()
		}
		conn = nil
	}
	defer drop()
	in := f.instances[n%len(f.instances)]
	for {
		select {
		case <-f.stop:
			return
		case <-time.After(time.Duration(random.IntN(120)) * time.Millisecond):
		}
		if conn == nil {
			in = f.instances[(n+random.IntN(2))%len(f.instances)]
			c, err := net.DialTimeout("tcp", in.address, time.Second)
			if err != nil {
				continue
			}
			conn, reader = c, bufio.NewReader(c)
		}
		_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
		var batch []request
		var text bytes.Buffer
		for range 1 + random.IntN(4) {
			r := f.randomRequest(n, in, random)
			out := f.newRequest(in.address, r)
			f.checks.recordSent(r)
			if err := out.Write(&text); err != nil {
				panic(err)
			}
			batch = append(batch, r)
		}
		if _, err := conn.Write(text.Bytes()); err != nil || random.IntN(10) == 0 && !f.quiet.Load() {
			drop()
			continue
		}
		for _, r := range batch {
			_ = conn.SetDeadline(time.Now().Add(3*time.Second + maxStall))
			answer, err := http.ReadResponse(reader, nil)
			if err != nil {
				drop()
				break
			}
			body, err := f.readBody(r, answer.Body, random)
			f.checks.recordAnswer(r.id, answer.StatusCode, string(body), answer.Header.Get("Response-Seal"), err == nil)
			if err != nil || answer.Close {
				drop()
				break
			}
		}
	}
}

// probeVersion asks an instance again and again for the route of the newest version, until
// stop is closed.
func (f *fleet) probeVersion(in *instance) {
	c := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableCompression: true, DisableKeepAlives: true}}
	for {
		select {
		case <-f.stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
		version := f.checks.newestVersion()
		r := request{
			id: fmt.Sprintf("%016x", f.requestCount.Add(1)), method: http.MethodGet, uri: fmt.Sprintf("/version-%d/", version),
			route: versionRoute, instance: in.name, sent: time.Now(), version: version,
		}
		f.send(c, in.address, r, nil)
	}
}

// newRequest returns what is sent for a request. Headers that a caller must not be able
// to set, such as the workspace name, are forged.
func (f *fleet) newRequest(address string, r request) *http.Request {
	out, err := http.NewRequest(r.method, "http://"+address+r.uri, strings.NewReader(r.body))
	if err != nil {
		panic(err)
	}
	out.Host = host
	for name, value := range map[string]string{"Attempt-Id": r.id, "Affinity-Key": r.uri, "Deadline-Ms": "2500", "Api-Key": r.key, "Tenant-Name": "forged"} {
		out.Header.Set(name, value)
	}
	return out
}

// send sends a request and records the answer.
func (f *fleet) send(c *http.Client, address string, r request, random *rand.Rand) {
	f.checks.recordSent(r)
	answer, err := c.Do(f.newRequest(address, r))
	if err != nil {
		return // a closed connection does not say whether the request ran
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := f.readBody(r, answer.Body, random)
	f.checks.recordAnswer(r.id, answer.StatusCode, string(body), answer.Header.Get("Response-Seal"), err == nil)
}

// errNotRead says that a client has left in the middle of an answer.
var errNotRead = errors.New("answer not read")

// readBody reads an answer's body. Before the quiet period a long one is read in pieces,
// with waits before each, or not at all after such a wait.
func (f *fleet) readBody(r request, body io.Reader, random *rand.Rand) ([]byte, error) {
	if !strings.HasPrefix(r.id, longID) || f.quiet.Load() {
		return io.ReadAll(body)
	}
	var read bytes.Buffer
	pieces, stall := 1+random.IntN(5), time.Duration(random.Int64N(int64(maxStall)))
	leaves := random.IntN(4) == 0
	for range pieces {
		time.Sleep(stall / time.Duration(pieces))
		if leaves {
			return nil, errNotRead
		}
		if _, err := io.CopyN(&read, body, int64(longSize/pieces)); errors.Is(err, io.EOF) {
			return read.Bytes(), nil
		} else if err != nil {
			return nil, err
		}
	}
	_, err := io.Copy(&read, body)
	return read.Bytes(), err
}
