package gateway

import (
	"bufio"
	"bytes"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
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
	g := New(Options{HeaderNames: testHeaders, Region: "r", RegionCount: 1, MaxKeyStaleness: 2 * time.Hour, MaxConfigurationStaleness: time.Hour, Metrics: metrics.New(), Log: logs.Part("gateway")}, "self")
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
	c.SetCurrentAsOf(clock.SinceBoot() - c.MaxConfigurationStaleness)
	c.workspace = &config.Workspace{Name: "w"}
	if !c.stillAllowed() {
		t.Error("a request without home regions may not be sent")
	}
	c.homeRegions = config.RegionSet{"r"}
	if c.stillAllowed() {
		t.Error("the request is sent although its home regions may have moved")
	}
}

func TestTargetIsGivenNoMoreTimeThanASuspensionLeft(t *testing.T) {
	c := admittedCall(t)
	c.startSinceBoot -= 700 * time.Millisecond // of 1 s
	r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(c.head())))
	if err != nil {
		t.Fatal(err)
	}
	if left, err := strconv.Atoi(r.Header.Get(testHeaders.Deadline)); err != nil || left > 300 {
		t.Errorf("the target is given %d ms, %v; want 300 at most", left, err)
	}
}

func TestRequestThatExpiredInASuspensionIsRefusedWithoutAnAttempt(t *testing.T) {
	target := newRawTarget(t, func(c *net.TCPConn, r received) bool { return write(c, success(r.id, "ok")) })
	w := httptest.NewRecorder()
	c := &call{
		Gateway: newCaller(t, target).gateway, writer: w, request: httptest.NewRequest("GET", "http://h/safe/1", nil),
		ctx: t.Context(), start: time.Now(), startSinceBoot: clock.SinceBoot() - testTimeout, id: "1",
	}
	if refused := c.admit(); refused != nil {
		t.Fatalf("refused: %+v", refused)
	}
	c.dispatch()
	if w.Code != 503 || w.Body.String() != "deadline\n" || c.attempts != 0 || target.connections.Load() != 0 {
		t.Errorf("got %d %q after %d attempts and %d connections", w.Code, w.Body, c.attempts, target.connections.Load())
	}
}

func TestRequestThatExpiresInASuspensionBeforeItsSendIsNotRetried(t *testing.T) {
	c := admittedCall(t)
	if refused := c.classify(&exchange{}, errWithdrawn, &affinity.Report{}); refused.reason != "withdrawn" || !c.takeRetry(false) {
		t.Errorf("with time left: %+v", refused)
	}
	c.startSinceBoot -= 2 * time.Second
	if refused := c.classify(&exchange{}, errWithdrawn, &affinity.Report{}); refused.reason != "deadline" {
		t.Errorf("refused with %q", refused.reason)
	}
	if c.takeRetry(false) {
		t.Error("the request is tried again")
	}
}

// The key of a request that waits for its body or for another attempt gets another
// workspace, loses it, or its workspace gets home regions.
func TestRequestFollowsItsKeysWorkspaceWhileItWaits(t *testing.T) {
	quito, cuenca := config.Workspace{Name: "quito"}, config.Workspace{Name: "cuenca"}
	elsewhere := config.Workspace{Name: "quito", HomeRegions: config.RegionSet{"elsewhere"}}
	table := func(version uint64, owner string, workspaces ...config.Workspace) *config.RoutingTable {
		return config.NewRoutingTable(config.RoutingTableSource{
			Version: version, Routes: []config.Route{{Name: "a", Host: "h", PathPrefix: "/a/", Service: "s", TimeoutMillis: 1000}},
			Services: []config.Service{{Name: "s"}}, Workspaces: workspaces, Keys: map[string]string{"k": owner},
		})
	}
	for name, test := range map[string]struct {
		next *config.RoutingTable
		want string
	}{
		"unchanged":                {table(2, "quito", quito), ""},
		"its key moves":            {table(2, "cuenca", quito, cuenca), "withdrawn"},
		"its key goes":             {table(2, "", quito), "unknown-key"},
		"its workspace goes":       {table(2, "quito", cuenca), "unknown-key"},
		"all workspaces go":        {table(2, ""), "withdrawn"},
		"same version, key moves":  {table(1, "cuenca", quito, cuenca), "withdrawn"},
		"its workspace gets homes": {table(2, "quito", elsewhere), string(affinity.NoTarget)},
	} {
		t.Run(name, func(t *testing.T) {
			c := admittedCall(t)
			c.SetTable(table(1, "quito", quito))
			c.request.Header.Set(testHeaders.APIKey, "k")
			if refused := c.admit(); refused != nil {
				t.Fatalf("refused: %+v", refused)
			}
			c.SetTable(test.next)
			if c.stillAllowed() {
				t.Error("the request may be sent by the configuration before")
			}
			refused := c.followConfiguration("")
			if refused == nil {
				refused = c.chooseTarget("")
			}
			reason := ""
			if refused != nil {
				reason = refused.reason
			}
			if reason != test.want {
				t.Errorf("refused with %q, want %q", reason, test.want)
			}
		})
	}
}

// The proof of the configuration is required before a target is chosen, not only at the
// send, so that a refusal tells its reason and takes no target's slot or quota.
func TestRequestWithOutdatedHomeRegionsIsNotAdmitted(t *testing.T) {
	c := admittedCall(t)
	c.SetTable(config.NewRoutingTable(config.RoutingTableSource{
		Version: 1, Routes: []config.Route{{Name: "a", Host: "h", PathPrefix: "/a/", Service: "s", TimeoutMillis: 1000, HomeRegions: config.RegionSet{"r"}}},
	}))
	if refused := c.admit(); refused != nil {
		t.Fatalf("refused: %+v", refused)
	}
	c.SetCurrentAsOf(clock.SinceBoot() - c.MaxConfigurationStaleness)
	if refused := c.admit(); refused == nil || refused.reason != "homes-stale" {
		t.Errorf("got %+v, want homes-stale", refused)
	}
}
