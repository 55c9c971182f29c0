package edge

import (
	"bytes"
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/turmericfield/turmericfield/internal/affinity"
	"github.com/turmericfield/turmericfield/internal/quota"
)

// newTestHubs returns instances that serve one another and are registered.
func newTestHubs(t *testing.T, names ...string) (map[string]*Edge, map[string]*bytes.Buffer) {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	edges, logs, list := map[string]*Edge{}, map[string]*bytes.Buffer{}, []member{}
	for _, name := range names {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		logs[name] = &bytes.Buffer{}
		e := Provision(Settings{Name: name, Listen: "127.0.0.1:1", PeerListen: l.Addr().String(), MaxRevocationDelay: 5 * time.Second, LogLevel: "info"}, plainAdapter{}, nil, logs[name])
		edges[name], list = e, append(list, e.members.self)
		go e.servePeers(ctx, l)
	}
	for _, e := range edges {
		names, _ := e.members.replace(list)
		e.gateway.SetInstances(names)
	}
	return edges, logs
}

// A hub that is about to stop hands the share back, and the instance lends it to the next one
// in the same round.
func TestPlannedStopOfAHubHandsSharesOver(t *testing.T) {
	edges, logs := newTestHubs(t, "a", "b", "c")
	first, next := edges["a"].members.hub(0).Name, edges["a"].members.hub(1).Name
	own := edges[edges["a"].members.hub(2).Name]
	r := &reporter{Edge: own, logKey: "hub", receiver: own.members.hub, pledge: &quota.Pledge{}, receivers: map[string]member{}}
	defer r.peer.close()
	var got []quota.Levels
	report := func() {
		r.reportTo(context.Background(), own.ownReport, func(_ quota.Report, l quota.Levels, _ time.Duration) { got = append(got, l) })
	}
	report()
	report()
	if l := got[len(got)-1]; !l.Joined || r.pledge.Holder("", now()) != "hub "+first {
		t.Fatalf("after two reports, the share is with %q", r.pledge.Holder("", now()))
	}
	edges[first].members.stopListingSelf()
	got = nil
	report()
	if len(got) != 2 || !got[0].Released || got[1].Joined {
		t.Fatalf("got %+v, want the release of the first hub and levels of the next one", got)
	}
	report()
	if l := got[len(got)-1]; !l.Joined || r.pledge.Holder("", now()) != "hub "+next {
		t.Errorf("after the next report, the share is with %q, want %q", r.pledge.Holder("", now()), next)
	}
	if err := own.logs.Close(); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(logs[own.Name].String(), "hub: handed over") {
		t.Error("no log line of the hand-over")
	}
}

// A hub that has just started reports to another one until others report to it.
func TestStartedHubLearnsFromAnotherOne(t *testing.T) {
	edges, _ := newTestHubs(t, "a", "b", "c")
	first, next := edges["a"].members.hub(0).Name, edges["a"].members.hub(1).Name
	own := edges[first]
	r := &reporter{Edge: own, logKey: "hub", receiver: own.members.hub, pledge: &quota.Pledge{}, receivers: map[string]member{}}
	if to := r.next(0).Name; to != first {
		t.Errorf("without seeds, the first instance reports to %q, want itself, %q", to, first)
	}
	own.gateway.WithState(func(_ *affinity.Balancer, q *quota.Limiter, now time.Duration) { q.Join(now) })
	if to := r.next(0).Name; to != next {
		t.Errorf("reports to %q, want %q", to, next)
	}
	if _, err := own.hub.handle(quota.Report{Instance: next, Started: 1}, false); err != nil {
		t.Fatal(err)
	}
	if to := r.next(0).Name; to != first {
		t.Errorf("reports to %q although others report to it, %q", to, first)
	}
}
