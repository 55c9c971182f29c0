package gateway

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/turmericfield/turmericfield/internal/admission"
	"github.com/turmericfield/turmericfield/internal/affinity"
	"github.com/turmericfield/turmericfield/internal/config"
	"github.com/turmericfield/turmericfield/internal/logging"
	"github.com/turmericfield/turmericfield/internal/quota"
)

// newCompetingCaller is newCaller with a route /high/ of priority 0 and a route /low/ of
// priority 2 to the same target.
func newCompetingCaller(t *testing.T, target *rawTarget) *caller {
	c := newCaller(t, target)
	c.gateway.SetTable(config.NewRoutingTable(config.RoutingTableSource{
		Version: 2, Services: []config.Service{{Name: "s"}},
		Routes: []config.Route{
			{Name: "high", Host: "h", PathPrefix: "/high/", Service: "s", MaxAttempts: 1, TimeoutMillis: 5000, LatencyObjective: 2 * time.Second},
			{Name: "low", Host: "h", PathPrefix: "/low/", Service: "s", MaxAttempts: 1, TimeoutMillis: 5000, LatencyObjective: 4 * time.Second, Priority: 2},
		},
	}))
	return c
}

// occupy has requests of both priorities compete lately, of which only the low ones were
// served, and fills the target with requests
// of other callers until it has no room for those of low priority. It returns a function
// that ends them.
func (c *caller) occupy() (release func()) {
	var grants []affinity.Grant
	c.gateway.WithState(func(b *affinity.Balancer, _ *quota.Limiter, now time.Duration) {
		line := c.gateway.waiting.line
		low := admission.Request{Priority: 2, Route: "low", Objective: 4 * time.Second}
		for i := range 100 {
			at := now - 2*time.Second + time.Duration(i)*20*time.Millisecond
			line.Asked("s", admission.Request{Route: "high", Objective: 2 * time.Second}, at)
			line.Asked("s", low, at)
			line.Sent("s", low, at)
		}
		for {
			yield := line.Yield("s", low, now)
			g, ok := b.Choose(affinity.Request{Service: "s", ID: "x", Route: "low", Objective: low.Objective, YieldTo: yield.Objective, YieldShare: yield.Share}, now)
			if !ok {
				return
			}
			grants = append(grants, g)
		}
	})
	return func() {
		c.gateway.WithState(func(b *affinity.Balancer, _ *quota.Limiter, now time.Duration) {
			for _, g := range grants {
				b.Done(g, affinity.Report{Outcome: affinity.Abandoned}, now)
			}
		})
	}
}

func TestLowPriorityWaitsAtTheInstanceWhileAHigherOneIsServed(t *testing.T) {
	arrived := make(chan string, 2)
	target := newRawTarget(t, func(c *net.TCPConn, r received) bool {
		arrived <- r.path
		return write(c, success(r.id, r.path))
	})
	c := newCompetingCaller(t, target)
	release := c.occupy()
	low := make(chan string, 1)
	go func() {
		status, body, err := c.do("POST", "/low/1", "1")
		low <- fmt.Sprint(status, body, err)
	}()
	eventually(t, "the request of low priority waits", func() bool { return c.gateway.waitingRequests() == 1 })
	if status, body, err := c.do("POST", "/high/1", "2"); status != 200 || err != nil {
		t.Errorf("high priority: %d %q %v", status, body, err)
	}
	if first := <-arrived; first != "/high/1" {
		t.Errorf("%s arrived first at the target", first)
	}
	release()
	if got := <-low; got != "200/low/1<nil>" {
		t.Errorf("low priority: %s", got)
	}
	if n := c.gateway.waitingRequests(); n != 0 {
		t.Errorf("%d requests still wait", n)
	}
}

func TestCallerThatLeavesWhileItsRequestWaitsCausesNoSend(t *testing.T) {
	target := newRawTarget(t, func(c *net.TCPConn, r received) bool { return write(c, success(r.id, "ok")) })
	c := newCompetingCaller(t, target)
	release := c.occupy()
	ctx, leave := context.WithCancel(t.Context())
	left := make(chan error, 1)
	go func() {
		r, err := http.NewRequestWithContext(ctx, "POST", "http://"+c.address+"/low/1", nil)
		if err == nil {
			r.Host = "h"
			var response *http.Response
			if response, err = c.client.Do(r); err == nil {
				_ = response.Body.Close()
			}
		}
		left <- err
	}()
	eventually(t, "the request waits", func() bool { return c.gateway.waitingRequests() == 1 })
	leave()
	if err := <-left; err == nil {
		t.Error("the caller got a response")
	}
	eventually(t, "the line is empty", func() bool { return c.gateway.waitingRequests() == 0 })
	release()
	time.Sleep(50 * time.Millisecond) // a request that is sent by mistake arrives meanwhile
	if n := target.requests.Load(); n != 0 {
		t.Errorf("the target got %d requests", n)
	}
}

func TestWaitingRequestThatCannotBeInTimeIsRefusedAsNotRun(t *testing.T) {
	target := newRawTarget(t, func(c *net.TCPConn, r received) bool { return write(c, success(r.id, "ok")) })
	c := newCompetingCaller(t, target)
	var out lineBuffer
	logs := logging.New(&out, "info")
	c.gateway.Log = logs.Part("gateway")
	c.occupy()
	began := time.Now()
	answer := make(chan string, 1)
	go func() {
		status, body, err := c.do("POST", "/low/1", "1")
		answer <- fmt.Sprint(status, body, err)
	}()
	eventually(t, "the request waits", func() bool { return c.gateway.waitingRequests() == 1 })
	if got := <-answer; got != "503full\n<nil>" {
		t.Errorf("got %q", got)
	}
	if held := time.Since(began); held > 4*time.Second {
		t.Errorf("refused after %v, later than the objective", held)
	}
	if n := target.requests.Load(); n != 0 {
		t.Errorf("the target got %d requests", n)
	}
	if err := logs.Close(); err != nil {
		t.Fatal(err)
	}
	if log := out.String(); !strings.Contains(log, `"yields_to_ms":1000`) {
		t.Errorf("the log does not say that the request gave way:\n%s", log)
	}
}

func TestAnswerOfATargetLetsTheNextWaitingRequestTry(t *testing.T) {
	hold, arrived := make(chan struct{}), make(chan struct{}, 1)
	target := newRawTarget(t, func(c *net.TCPConn, r received) bool {
		if r.path == "/high/1" {
			arrived <- struct{}{}
			<-hold
		}
		return write(c, success(r.id, "ok"))
	})
	c := newCompetingCaller(t, target)
	release := c.occupy()
	high := make(chan error, 1)
	go func() {
		_, _, err := c.do("POST", "/high/1", "1")
		high <- err
	}()
	select {
	case <-arrived:
	case err := <-high:
		t.Fatalf("the request of high priority ended: %v", err)
	}
	c.gateway.mu.Lock()
	d := c.gateway.waiting.line.Decide("s", admission.Request{Priority: 2, Route: "low", Left: time.Minute}, admission.Offer{Target: "t0", RoomIn: 30 * time.Second}, time.Hour)
	turns := c.gateway.waiting.enter(d, "t0").turns
	c.gateway.mu.Unlock()
	release()
	close(hold)
	if err := <-high; err != nil {
		t.Error(err)
	}
	select {
	case what := <-turns:
		if what != mayTry {
			t.Errorf("told %v", what)
		}
	case <-time.After(testTimeout):
		t.Error("the waiting request was not woken")
	}
}

func TestRequestThatHigherOnesLeaveNoTimeIsRefusedAtOnce(t *testing.T) {
	target := newRawTarget(t, func(c *net.TCPConn, r received) bool { return write(c, success(r.id, "ok")) })
	c := newCompetingCaller(t, target)
	c.occupy()
	answer := make(chan string, 1)
	go func() {
		status, body, err := c.do("POST", "/low/1", "1")
		answer <- fmt.Sprint(status, body, err)
	}()
	eventually(t, "the request waits", func() bool { return c.gateway.waitingRequests() == 1 })
	c.gateway.WithState(func(_ *affinity.Balancer, _ *quota.Limiter, now time.Duration) {
		offer := admission.Offer{Target: "t0", Interval: time.Minute}
		d := c.gateway.waiting.line.Decide("s", admission.Request{Route: "high", Left: time.Hour}, offer, now)
		c.gateway.waiting.enter(d, "t0")
	})
	if got := <-answer; got != "503outranked\n<nil>" {
		t.Errorf("got %q", got)
	}
	c.gateway.mu.Lock()
	defer c.gateway.mu.Unlock()
	if n := len(c.gateway.waiting.turns); n != 1 {
		t.Errorf("%d requests can be told something, want the one that waits", n)
	}
}

func TestKeyThatIsWithdrawnWhileItsRequestWaitsCausesNoSend(t *testing.T) {
	target := newRawTarget(t, func(c *net.TCPConn, r received) bool { return write(c, success(r.id, "ok")) })
	c := newCompetingCaller(t, target)
	release := c.occupy()
	answer := make(chan int, 1)
	go func() {
		status, _, err := c.do("POST", "/low/1", "1")
		if err != nil {
			t.Error(err)
		}
		answer <- status
	}()
	eventually(t, "the request waits", func() bool { return c.gateway.waitingRequests() == 1 })
	c.gateway.SetTable(config.NewRoutingTable(config.RoutingTableSource{
		Version: 3, Services: []config.Service{{Name: "s"}}, Workspaces: []config.Workspace{{Name: "w"}}, Keys: map[string]string{"k": "w"},
		Routes: []config.Route{{Name: "low", Host: "h", PathPrefix: "/low/", Service: "s", MaxAttempts: 1, TimeoutMillis: 5000, LatencyObjective: 4 * time.Second, Priority: 2}},
	}))
	release()
	if status := <-answer; status == http.StatusOK {
		t.Errorf("got %d without a key", status)
	}
	if n := target.requests.Load(); n != 0 {
		t.Errorf("the target got %d requests", n)
	}
}

func TestStreamedRequestsAndRetriesDoNotWait(t *testing.T) {
	for name, change := range map[string]func(c *call){
		"first attempt": func(*call) {},
		"streamed body": func(c *call) { c.streamedBody = http.NoBody },
		"retry":         func(c *call) { c.attempts = 1 },
	} {
		c := admittedCall(t)
		c.route.LatencyObjective = time.Second
		change(c)
		if left := c.admissionRequest(false).Left; (left > 0) != (name == "first attempt") {
			t.Errorf("%s: may wait for %v", name, left)
		}
	}
}

// The first answer of a route took longer than the route may take since.
func TestRouteWhoseTimeoutBecomesShorterThanItsAnswersIsStillServed(t *testing.T) {
	target := newRawTarget(t, func(c *net.TCPConn, r received) bool { return write(c, success(r.id, "ok")) })
	c := newCaller(t, target)
	c.gateway.WithState(func(b *affinity.Balancer, _ *quota.Limiter, now time.Duration) {
		g, ok := b.Choose(affinity.Request{Service: "s", ID: "x", Route: "short"}, now)
		if !ok {
			t.Fatal("no target")
		}
		b.Done(g, affinity.Report{Outcome: affinity.Answered, Elapsed: 10 * time.Second}, now)
	})
	if status, body, err := c.do("POST", "/short/1", "1"); status != 200 || err != nil {
		t.Errorf("got %d %q %v", status, body, err)
	}
}
