package soak

import (
	"fmt"
	"sync"
	"time"
)

// request is a request as a client sent it.
type request struct {
	id, method, uri, body string // id is the Attempt-Id header
	workspace, key        string
	sent                  time.Time
}

// checker compares what clients sent and got with what targets ran, and records each
// violated guarantee: a request runs unchanged and for its own workspace, one that is
// not safe to repeat runs at most once, one that was refused does not run, an answer
// belongs to its request, and a withdrawn key stops working.
type checker struct {
	// keyBound is how long after a key's withdrawal a request may be sent with it and
	// still run.
	keyBound time.Duration

	mu            sync.Mutex           // guards the fields below
	sent          map[string]request   // by id
	runs          map[string]int       // times that a target began a request, by id
	refusedStatus map[string]int       // status of an answer that says the request was not run, by id
	withdrawnAt   map[string]time.Time // by key
	violations    []string
	servedCount   int // whole successful answers since resetCounts
	sentCount     int // requests since resetCounts
}

func newChecker(keyBound time.Duration) *checker {
	return &checker{
		keyBound: keyBound, sent: map[string]request{}, runs: map[string]int{},
		refusedStatus: map[string]int{}, withdrawnAt: map[string]time.Time{},
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
	c.sent[r.id] = r
	c.sentCount++
}

// recordWithdrawal records when the store accepted the withdrawal of a key.
func (c *checker) recordWithdrawal(key string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.withdrawnAt[key] = at
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
	if at, ok := c.withdrawnAt[r.key]; ok && r.sent.Sub(at) > c.keyBound {
		c.fail("%s ran with a key that was withdrawn %v before it was sent", id, r.sent.Sub(at))
	}
}

// recordAnswer records an answer. complete is false if its body was cut off. The seal
// is the Response-Seal header, by which a target marks its own answers.
func (c *checker) recordAnswer(id string, status int, body, seal string, complete bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
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

// answerBody returns the body with which targets answer a request.
func answerBody(id string) string { return "answer to " + id }
