package gateway

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/turmericfield/turmericfield/internal/admission"
	"github.com/turmericfield/turmericfield/internal/affinity"
	"github.com/turmericfield/turmericfield/internal/config"
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

// compete has requests of high priority seen lately.
func (c *caller) compete() {
	c.gateway.WithState(func(_ *affinity.Balancer, _ *quota.Limiter, now time.Duration) {
		for range 100 {
			c.gateway.waiting.line.Asked("s", admission.Request{Route: "high", Objective: 2 * time.Second}, now)
		}
	})
}

// occupy fills the target with requests of other callers until it has no room for those of
// low priority, and returns a function that ends them.
func (c *caller) occupy(objective, yieldTo time.Duration) (release func()) {
	var grants []affinity.Grant
	c.gateway.WithState(func(b *affinity.Balancer, _ *quota.Limiter, now time.Duration) {
		for {
			g, ok := b.Choose(affinity.Request{Service: "s", ID: "x", Route: "low", Objective: objective, YieldTo: yieldTo, YieldShare: 1}, now)
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
	c.compete()
	release := c.occupy(4*time.Second, time.Second)
	low := make(chan string)
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
	c.compete()
	release := c.occupy(4*time.Second, time.Second)
	ctx, leave := context.WithCancel(t.Context())
	left := make(chan error)
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
	c.occupy(4*time.Second, 0)
	began := time.Now()
	status, body, err := c.do("POST", "/low/1", "1")
	if status != 503 || err != nil {
		t.Errorf("got %d %q %v", status, body, err)
	}
	if held := time.Since(began); held > 4*time.Second {
		t.Errorf("refused after %v, later than the objective", held)
	}
	if n := target.requests.Load(); n != 0 {
		t.Errorf("the target got %d requests", n)
	}
}
