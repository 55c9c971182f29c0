package soak

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// startTime is the time in which an instance starts.
	startTime = time.Second
	// pauseNoticeTime is how long after a target asked for a pause requests may still
	// reach it from the instance that it asked.
	pauseNoticeTime = 500 * time.Millisecond
	// maxRequestsInPause is how many requests may reach a target from an instance after
	// pauseNoticeTime and before the end of the pause.
	maxRequestsInPause = 2
	// maxNoticeAge is the age of a request up to which its instance certainly waits for
	// the response; it is half of the routes' timeout.
	maxNoticeAge = routeTimeout / 2
)

// bounds are the times within which instances must follow a change.
type bounds struct {
	key time.Duration // from a key's withdrawal to the last request sent with it that runs
	// homes is the time from a configuration to the last request sent that runs by the
	// one before, and to its being in force wherever it can be known.
	homes time.Duration
	drain time.Duration // from a target's word that it leaves to the last request sent that reaches it
}

// request is a request as a client sent it.
type request struct {
	id, method, uri, body string // id is the Attempt-Id header
	route, workspace, key string
	instance              string // name of the instance to which it was sent
	sent                  time.Time
	disruptions           int // of the instance, when it was sent; set by recordSent
	version               int // of the configuration that has its route; 0 for all
}

// link is what a target's process knows an instance by.
type link struct {
	process, instance string
	disruptions       int // of the instance
}

// notice is what a target says in a response about the requests that it wants.
type notice struct {
	leaving        bool
	pause          time.Duration // 0 if it asked for none
	begun, written time.Time     // when the target began to write the response, and when it had
}

// pause is a time in which a target wants no requests from an instance.
type pause struct {
	from, to time.Time
	requests int // that have reached the target between
}

// configuration is the part of a configuration that says where requests may run.
type configuration struct {
	homes     map[string][]string // home regions of routes and workspaces that have some, by name
	begun     time.Time           // when the operator began to write it
	confirmed time.Time           // when the store had accepted it; zero before
}

// allows reports whether the configuration allows the request to run in a region.
func (c configuration) allows(r request, region string) bool {
	for _, name := range []string{r.route, r.workspace} {
		if homes, ok := c.homes[name]; ok && !slices.Contains(homes, region) {
			return false
		}
	}
	return true
}

// checker compares what clients sent and got with what reached targets and what they
// ran, and records each violated guarantee:
//   - A request runs unchanged and for its own workspace, and at most once if it is not
//     safe to repeat. One that was refused does not run.
//   - An answer belongs to its request.
//   - A withdrawn key stops working.
//   - A request runs in the home regions of its route and its workspace, at all
//     instances: one that cannot prove its configuration current must refuse it.
//   - A configuration comes into force in time at each instance that runs, if some
//     instance that runs has a way to the store: all reach one another.
//   - A target that said in a response that it leaves gets no further requests from that
//     instance, and one that asked for a pause at most maxRequestsInPause. A restart or
//     suspension of the instance excuses it.
type checker struct {
	bounds

	mu             sync.Mutex           // guards the fields below
	sent           map[string]request   // by id
	runs           map[string]int       // times that a target began a request, by id
	refusedStatus  map[string]int       // status of an answer that says the request was not run, by id
	withdrawnAt    map[string]time.Time // by key
	configurations []configuration      // in the order of their versions
	disruptions    map[string]int       // number of restarts and suspensions, by instance
	disruptedAt    map[string]time.Time // the last of them
	wayOpenSince   map[string]time.Time // way to the store, by instance; zero if it has none
	leavingSince   map[link]time.Time   // when the target first told the instance
	pauses         map[link][]*pause
	violations     []string
	servedCount    int // whole successful answers since resetCounts
	sentCount      int // requests since resetCounts
}

func newChecker(b bounds) *checker {
	return &checker{
		bounds: b, sent: map[string]request{}, runs: map[string]int{}, refusedStatus: map[string]int{}, withdrawnAt: map[string]time.Time{},
		disruptions: map[string]int{}, disruptedAt: map[string]time.Time{}, wayOpenSince: map[string]time.Time{}, leavingSince: map[link]time.Time{}, pauses: map[link][]*pause{},
	}
}

// fail records a violation. The caller holds the lock, or nobody else uses the checker
// any more.
func (c *checker) fail(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// recordSent records a request. It is called before the request is sent.
func (c *checker) recordSent(r request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r.disruptions = c.disruptions[r.instance]
	c.sent[r.id] = r
	c.sentCount++
}

// instanceOf returns the name of the instance to which a request was sent.
func (c *checker) instanceOf(id string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sent[id].instance
}

// recordWithdrawal records when the store accepted the withdrawal of a key.
func (c *checker) recordWithdrawal(key string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.withdrawnAt[key] = at
}

// recordConfiguration records that the operator writes a configuration, and runs write.
func (c *checker) recordConfiguration(homes map[string][]string, write func()) {
	c.mu.Lock()
	c.configurations = append(c.configurations, configuration{homes: homes, begun: time.Now()})
	n := len(c.configurations)
	c.mu.Unlock()
	write()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.configurations[n-1].confirmed = time.Now()
}

// recordDisruption records that an instance is being ended, started, suspended or
// continued. It is called before an end, start or suspension, and after a suspension.
func (c *checker) recordDisruption(instance string) { c.recordDisruptionAt(instance, time.Now()) }

func (c *checker) recordDisruptionAt(instance string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.disruptions[instance]++
	c.disruptedAt[instance] = at
}

// recordWay records that an instance's way to the store opens or closes.
func (c *checker) recordWay(instance string, open bool, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.wayOpenSince[instance] = (time.Time{}); open {
		c.wayOpenSince[instance] = at
	}
}

// newestVersion returns the version of the newest configuration.
func (c *checker) newestVersion() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.configurations)
}

// checkVersion checks the answer to a request for the route of one version. The caller
// holds the lock.
func (c *checker) checkVersion(r request, status int, body string) {
	refused := status == 404 || strings.HasPrefix(body, "configuration-stale") || strings.HasPrefix(body, "no-configuration")
	if !refused || r.version < len(c.configurations) || !c.runsFor(r.instance, r.sent) {
		return
	}
	confirmed := c.configurations[r.version-1].confirmed
	if confirmed.IsZero() || r.sent.Sub(confirmed) <= c.homes {
		return
	}
	for instance, since := range c.wayOpenSince {
		if !since.IsZero() && !since.After(confirmed) && c.runsFor(instance, r.sent) {
			c.fail("%s: version %d is not in force at %s, status %d, %v after its confirmation, although %s has a way to the store", r.id, r.version, r.instance, status, r.sent.Sub(confirmed), instance)
			return
		}
	}
}

// runsFor reports whether an instance has run without disruption for long enough to
// have found a current source. The caller holds the lock.
func (c *checker) runsFor(instance string, at time.Time) bool {
	return at.Sub(c.disruptedAt[instance]) > c.homes+startTime
}

// link returns what the target's process knows the sender of a request by. The result
// is false if the instance was disrupted since the request was sent. The caller holds
// the lock.
func (c *checker) link(id, process string) (link, bool) {
	r, ok := c.sent[id]
	return link{process, r.instance, r.disruptions}, ok && r.disruptions == c.disruptions[r.instance]
}

// recordArrival records that a request has reached a target, which may run it or turn
// it away. The process is the target's.
func (c *checker) recordArrival(id, process, region string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.sent[id]
	if !c.mayRunIn(r, region, at) {
		c.fail("%s reached %s in region %s through %s, outside the home regions of route %s and workspace %s", id, process, region, r.instance, r.route, r.workspace)
	}
	l, ok := c.link(id, process)
	if !ok {
		return
	}
	if since, ok := c.leavingSince[l]; ok && r.sent.Sub(since) > c.drain {
		c.fail("%s reached %s through %s, sent %v after the target had told that instance that it leaves", id, process, l.instance, r.sent.Sub(since))
	}
	for _, p := range c.pauses[l] {
		if at.Before(p.from) || at.After(p.to) {
			continue
		}
		if p.requests++; p.requests == maxRequestsInPause+1 {
			c.fail("%s is request %d that reached %s through %s in a pause that the target had asked for, %v before its end", id, p.requests, process, l.instance, p.to.Sub(at))
		}
	}
}

// mayRunIn reports whether a configuration that may be in force allows a request that
// reaches a target now to run in a region. The caller holds the lock.
func (c *checker) mayRunIn(r request, region string, now time.Time) bool {
	for i, k := range c.configurations {
		replaced := i+1 < len(c.configurations) && !c.configurations[i+1].confirmed.IsZero() && r.sent.Sub(c.configurations[i+1].confirmed) > c.homes
		if !replaced && !now.Before(k.begun) && k.allows(r, region) {
			return true
		}
	}
	return len(c.configurations) == 0
}

// recordNotice records what a target has said in its response to a request. The response
// must be one that the instance reads: whole, and the first on its connection after the
// request.
func (c *checker) recordNotice(id, process string, n notice) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l, ok := c.link(id, process)
	if !ok || n.written.Sub(c.sent[id].sent) > maxNoticeAge {
		return
	}
	if _, ok := c.leavingSince[l]; n.leaving && !ok {
		c.leavingSince[l] = n.written
	}
	if n.pause > 0 {
		c.pauses[l] = append(c.pauses[l], &pause{from: n.written.Add(pauseNoticeTime), to: n.begun.Add(n.pause)})
	}
}

// recordRun records that a target began a request, with the workspace name and the
// caller's key that the target was sent. It must not be sent a key.
func (c *checker) recordRun(id, method, uri, body, workspace, leakedKey string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r, ok := c.sent[id]
	if !ok {
		c.fail("%s ran but was not sent by a client", id)
		return
	}
	c.runs[id]++
	if r.method != method || r.uri != uri || r.body != body {
		c.fail("%s ran as %s %s %q, sent as %s %s %q", id, method, uri, body, r.method, r.uri, r.body)
	}
	if workspace != r.workspace || leakedKey != "" {
		c.fail("%s ran for workspace %q with key %q passed on, sent by workspace %q", id, workspace, leakedKey, r.workspace)
	}
	if method == "POST" && c.runs[id] > 1 {
		c.fail("%s ran %d times", id, c.runs[id])
	}
	if status, ok := c.refusedStatus[id]; ok {
		c.fail("%s ran after an answer with status %d said that it was not run", id, status)
	}
	if at, ok := c.withdrawnAt[r.key]; ok && r.sent.Sub(at) > c.key {
		c.fail("%s ran with a key that was withdrawn %v before it was sent", id, r.sent.Sub(at))
	}
}

// recordAnswer records an answer. complete is false if its body was cut off. The seal
// is the Response-Seal header, by which a target marks its own answers.
func (c *checker) recordAnswer(id string, status int, body, seal string, complete bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.sent[id]; r.version > 0 {
		c.checkVersion(r, status, body)
	}
	switch {
	case status >= 200 && status < 300 && complete:
		c.servedCount++
		if body != answerBody(id) || seal == "" {
			c.fail("%s got the answer %.60q with seal %q", id, body, seal)
		}
	case status == 503 || status == 429 || status == 408 || status == 421:
		c.refusedStatus[id] = status
		if c.runs[id] > 0 && c.sent[id].method == "POST" {
			c.fail("%s got status %d, which says that it was not run, but it ran", id, status)
		}
	}
}

// resetCounts starts a new count of sent and served requests.
func (c *checker) resetCounts() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.servedCount, c.sentCount = 0, 0
}

// longID begins the ids of requests with long answers.
const longID = "f"

// longSize is the least length of a long answer, in bytes. It is more than the buffers of
// connections take.
const longSize = 8 << 20

// answerBody returns the body with which targets answer a request.
func answerBody(id string) string {
	body := "answer to " + id
	if strings.HasPrefix(id, longID) {
		return strings.Repeat(body, longSize/len(body)+1)
	}
	return body
}
