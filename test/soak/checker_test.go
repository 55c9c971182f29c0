package soak

import (
	"fmt"
	"sync"
	"time"
)

// request is what a client sent.
type request struct {
	id, method, uri, body string
	workspace, key        string
	sent                  time.Time
}

// checker holds the promises against what clients and targets see.
type checker struct {
	// keyBound is how long after its withdrawal a key may still be used.
	keyBound time.Duration

	mu            sync.Mutex
	sent          map[string]request
	runs          map[string]int
	refusedStatus map[string]int // status that promised that the request is not run
	withdrawnAt   map[string]time.Time
	violations    []string
	servedCount   int
	sentCount     int
}

func newChecker(keyBound time.Duration) *checker {
	return &checker{
		keyBound: keyBound, sent: map[string]request{}, runs: map[string]int{},
		refusedStatus: map[string]int{}, withdrawnAt: map[string]time.Time{},
	}
}

func (c *checker) fail(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// sending notes a request before it is sent.
func (c *checker) recordSent(r request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent[r.id] = r
	c.sentCount++
}

// withdraw notes that the store has accepted a key's withdrawal.
func (c *checker) recordWithdrawal(key string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.withdrawnAt[key] = at
}

// ran notes that a target began a request.
func (c *checker) recordRun(id, method, uri, body, workspace, leakedKey string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r, ok := c.sent[id]
	if !ok {
		c.fail("%s ran but was never sent", id)
		return
	}
	c.runs[id]++
	if r.method != method || r.uri != uri || r.body != body {
		c.fail("%s ran as %s %s %q, sent as %s %s %q", id, method, uri, body, r.method, r.uri, r.body)
	}
	if workspace != r.workspace || leakedKey != "" {
		c.fail("%s ran for workspace %q with key %q, sent by %q", id, workspace, leakedKey, r.workspace)
	}
	if method == "POST" && c.runs[id] > 1 {
		c.fail("%s ran %d times", id, c.runs[id])
	}
	if status, ok := c.refusedStatus[id]; ok {
		c.fail("%s ran after %d said that it is not run", id, status)
	}
	if at, ok := c.withdrawnAt[r.key]; ok && r.sent.Sub(at) > c.keyBound {
		c.fail("%s ran with a key that was withdrawn %v before it was sent", id, r.sent.Sub(at))
	}
}

// answered notes what the client got; whole is false for a cut answer.
func (c *checker) recordAnswer(id string, status int, body, seal string, complete bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case status >= 200 && status < 300 && complete:
		c.servedCount++
		if body != answerBody(id) || seal == "" {
			c.fail("%s got the answer %.60q with proof %q", id, body, seal)
		}
	case status == 503 || status == 429 || status == 408 || status == 421:
		c.refusedStatus[id] = status
		if c.runs[id] > 0 && c.sent[id].method == "POST" {
			c.fail("%s got %d though it ran", id, status)
		}
	}
}

// reset begins a new count of served requests.
func (c *checker) resetCounts() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.servedCount, c.sentCount = 0, 0
}

func answerBody(id string) string { return "answer to " + id }
