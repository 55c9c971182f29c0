package gateway

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/turmericfield/turmericfield/internal/affinity"
	"github.com/turmericfield/turmericfield/internal/clock"
	"github.com/turmericfield/turmericfield/internal/config"
	"github.com/turmericfield/turmericfield/internal/logging"
	"github.com/turmericfield/turmericfield/internal/metrics"
	"github.com/turmericfield/turmericfield/internal/quota"
)

// admittedCall returns a call for an open route that may be sent to its target.
func admittedCall(t *testing.T) *call {
	t.Helper()
	logs := logging.New(t.Output(), "error")
	g := New(Options{HeaderNames: testHeaders, Region: "r", RegionCount: 1, MaxKeyStaleness: time.Hour, Metrics: metrics.New(), Log: logs.Part("gateway")}, "self")
	g.SetTable(config.NewRoutingTable(config.RoutingTableSource{
		Version: 1, Routes: []config.Route{{Name: "a", Host: "h", PathPrefix: "/a/", Service: "s", TimeoutMillis: 1000}}, Services: []config.Service{{Name: "s"}},
	}))
	g.WithState(func(b *affinity.Balancer, _ *quota.Limiter, now time.Duration) {
		b.SetTargets([]affinity.Target{{ID: "t", Service: "s", Address: "127.0.0.1:1", Region: "r", Slots: 1, Started: 1}}, now)
	})
	g.SetCurrentAsOf(clock.SinceBoot())
	c := &call{Gateway: g, request: httptest.NewRequest("GET", "http://h/a/1", nil), start: time.Now(), startSinceBoot: clock.SinceBoot(), id: "1"}
	if refused := c.admit(); refused != nil {
		t.Fatalf("refused: %+v", refused)
	}
	c.service = "s"
	if refused := c.chooseTarget(""); refused != nil {
		t.Fatalf("no target: %+v", refused)
	}
	return c
}

func TestRequestIsNotSentAfterASuspensionBeyondItsDeadline(t *testing.T) {
	c := admittedCall(t)
	if !c.stillAllowed() {
		t.Fatal("a new request may not be sent")
	}
	c.startSinceBoot -= 2 * time.Second // a suspension after the arrival, which package time does not count
	if c.stillAllowed() {
		t.Error("the request is sent although its caller has stopped waiting")
	}
}

func TestProofOfANewerConfigurationDoesNotProveTheOneBefore(t *testing.T) {
	c := admittedCall(t)
	c.homeRegions = config.RegionSet{"r"}
	next := config.NewRoutingTable(config.RoutingTableSource{Version: 2})
	for range 100_000 {
		c.SetTable(c.table)
		c.SetCurrentAsOf(clock.SinceBoot() - 2*c.MaxKeyStaleness)
		allowed := make(chan bool)
		go func() {
			for c.Table() == c.table {
				if c.stillAllowed() {
					allowed <- true
					return
				}
			}
			allowed <- false
		}()
		c.SetTable(next)
		c.SetCurrentAsOf(clock.SinceBoot())
		if <-allowed {
			t.Fatal("a request is sent by an outdated configuration once the next one is known to be current")
		}
	}
}

func TestRequestIsNotSentByAConfigurationThatAnotherHasReplaced(t *testing.T) {
	c := admittedCall(t)
	c.SetTable(config.NewRoutingTable(config.RoutingTableSource{Version: 2}))
	if c.stillAllowed() {
		t.Error("the request is sent although its route is not in the configuration in force")
	}
}

func TestRequestWithHomeRegionsIsNotSentOnceTheyMayBeOutdated(t *testing.T) {
	c := admittedCall(t)
	c.SetCurrentAsOf(clock.SinceBoot() - 2*c.MaxKeyStaleness)
	if !c.stillAllowed() {
		t.Error("a request without home regions may not be sent")
	}
	c.homeRegions = config.RegionSet{"r"}
	if c.stillAllowed() {
		t.Error("the request is sent although its home regions may have moved")
	}
}
