package admission

import (
	"fmt"
	"reflect"
	"testing"
	"time"
)

// equal fails the test if got is not want.
func equal(t *testing.T, got, want any, what string) {
	t.Helper()
	if !reflect.DeepEqual(got, want) {
		t.Fatalf("%s: got %v, want %v", what, got, want)
	}
}

const service = "s"

// fullFor returns the offer of a target that has room after a time, then once in 100 ms.
func fullFor(d time.Duration) Offer {
	return Offer{Target: "t", RoomIn: d, Interval: 100 * time.Millisecond}
}

// newCompetingLine returns a line for a service that requests of priority 0 and 1 ask for.
func newCompetingLine(maxWaiting int) *Line {
	l := NewLine(maxWaiting)
	for priority := range 2 {
		l.Asked(service, Request{Priority: priority, Route: "r", Objective: time.Hour}, 0)
	}
	return l
}

func request(priority int, work, left time.Duration) Request {
	return Request{Priority: priority, Route: "r", Work: work, Left: left}
}

func TestRequestIsSentAtOnceIfTheTargetHasRoomAndNobodyWaits(t *testing.T) {
	l := NewLine(10)
	equal(t, l.Decide(service, request(1, 0, time.Second), Offer{Target: "t", Granted: true}, 0).Send, true, "sent")
	equal(t, l.Len() == 0, true, "nobody waits")
}

func TestHigherPriorityGoesFirstThenLessWorkThenLessTime(t *testing.T) {
	l := newCompetingLine(10)
	var tickets []Ticket
	for _, r := range []Request{
		request(2, 100*time.Millisecond, 5*time.Second),
		request(1, 400*time.Millisecond, 5*time.Second),
		request(1, 100*time.Millisecond, 5*time.Second),
		request(1, 100*time.Millisecond, 4*time.Second),
		request(0, 900*time.Millisecond, 5*time.Second),
	} {
		d := l.Decide(service, r, fullFor(0), 0)
		equal(t, d.Ticket != 0, true, "has a ticket")
		tickets = append(tickets, d.Ticket)
	}
	for _, i := range []int{4, 3, 2, 1, 0} {
		equal(t, l.Next("t"), tickets[i], fmt.Sprint("next before request ", i))
		l.Leave(tickets[i])
	}
	equal(t, l.Next("t") == 0, true, "nobody is next")
	equal(t, len(l.byTarget), 0, "number left")
}

func TestRequestThatCannotBeInTimeIsRefusedAtOnce(t *testing.T) {
	l := newCompetingLine(10)
	for _, c := range []struct {
		name string
		r    Request
		o    Offer
	}{
		{"room comes too late", request(0, 100*time.Millisecond, 500*time.Millisecond), fullFor(401 * time.Millisecond)},
		{"more work than time", request(0, 600*time.Millisecond, 500*time.Millisecond), fullFor(0)},
		{"wait in the target's queue", request(0, 100*time.Millisecond, 500*time.Millisecond), Offer{Target: "t", RoomIn: 200 * time.Millisecond, QueueWait: 201 * time.Millisecond}},
		{"no objective", request(0, 0, 0), fullFor(0)},
		{"no target to wait for", request(0, 0, time.Second), Offer{}},
	} {
		d := l.Decide(service, c.r, c.o, 0)
		equal(t, d, Decision{}, c.name)
		equal(t, l.Len() == 0, true, c.name)
	}
}

func TestLowestIsDisplacedWhenOnesBeforeItLeaveItNoTime(t *testing.T) {
	l := newCompetingLine(10)
	low := l.Decide(service, request(2, 0, 250*time.Millisecond), fullFor(0), 0).Ticket
	middle := l.Decide(service, request(1, 0, 250*time.Millisecond), fullFor(0), 0).Ticket
	equal(t, len(l.Decide(service, request(0, 0, 150*time.Millisecond), fullFor(0), 0).Displaced), 0, "number left")
	d := l.Decide(service, request(0, 0, 100*time.Millisecond), fullFor(0), 0)
	equal(t, d.Ticket != 0, true, "has a ticket")
	equal(t, d.Displaced, []Ticket{low}, "displaced")
	equal(t, l.waiting[low] == nil, true, "the displaced request has left")
	equal(t, l.byTarget["t"][2].ticket, middle, "last one")
}

func TestGrantedRequestGivesWayOnceToAWaitingOneThatOutranksIt(t *testing.T) {
	l := newCompetingLine(10)
	waiting := l.Decide(service, request(0, 0, time.Second), fullFor(100*time.Millisecond), 0).Ticket
	decide := func(target string, r Request) Decision {
		d := l.Decide(service, r, Offer{Target: target, Granted: true, Interval: 50 * time.Millisecond}, 0)
		l.Leave(d.Ticket)
		d.Ticket = min(d.Ticket, 1)
		return d
	}
	hasWaited := request(1, 0, time.Second)
	hasWaited.HasWaited = true
	for _, c := range []struct {
		name   string
		target string
		r      Request
		want   Decision
	}{
		{"lower priority", "t", request(1, 0, time.Second), Decision{Ticket: 1, RetryIn: 100 * time.Millisecond, First: waiting}},
		{"lower priority that has waited", "t", hasWaited, Decision{Send: true, First: waiting}},
		{"lower priority without time to wait", "t", request(1, 0, 60*time.Millisecond), Decision{Send: true, First: waiting}},
		{"higher priority", "t", request(-1, 0, time.Second), Decision{Send: true}},
		{"another target", "other", request(1, 0, time.Second), Decision{Send: true}},
	} {
		equal(t, decide(c.target, c.r), c.want, c.name)
	}
}

func TestFullLineDisplacesTheLowestOfAllTargets(t *testing.T) {
	l := newCompetingLine(3)
	wait := func(priority int, target string) Decision {
		return l.Decide(service, request(priority, 0, time.Hour), Offer{Target: target}, 0)
	}
	first, second, lowest := wait(1, "t").Ticket, wait(2, "t").Ticket, wait(3, "other").Ticket
	equal(t, wait(3, "t"), Decision{}, "not before any of those that wait")
	d := wait(0, "t")
	equal(t, d.Ticket != 0, true, "the highest waits")
	equal(t, d.Displaced, []Ticket{lowest}, "displaced by the highest")
	equal(t, wait(0, "third").Displaced, []Ticket{second}, "displaced next")
	equal(t, l.Len(), 3, "number of waiting requests")
	equal(t, l.Next("other"), Ticket(0), "next at the target of the displaced one")
	equal(t, l.waiting[first] != nil, true, "the one between is left")
}

func TestNobodyWaitsWhereOnlyOnePriorityAsks(t *testing.T) {
	l := NewLine(10)
	for range 100 {
		l.Asked(service, request(1, 0, 0), 0)
	}
	equal(t, l.Decide(service, request(1, 0, time.Second), fullFor(0), 0), Decision{}, "one priority")
	for range 100 {
		l.Asked("other service", request(0, 0, 0), 0)
	}
	equal(t, l.Decide(service, request(1, 0, time.Second), fullFor(0), 0), Decision{}, "another priority at another service")
	for range 10 {
		l.Asked(service, request(0, 0, 0), 0)
	}
	equal(t, l.Decide(service, request(1, 0, time.Second), fullFor(0), 0).Ticket != 0, true, "two priorities")
}

func TestPriorityIsProtectedOnlyWhileItGetsLessThanALowerOne(t *testing.T) {
	l := NewLine(10)
	high, low := Request{Priority: 0, Route: "a", Objective: time.Second}, Request{Priority: 1, Route: "b"}
	share := func(from, to time.Duration, sent bool) float64 {
		for now := from; now < to; now += 50 * time.Millisecond {
			for _, r := range []Request{high, low} {
				l.Asked(service, r, now)
			}
			l.Sent(service, low, now)
			if sent {
				l.Sent(service, high, now)
			}
		}
		return l.Yield(service, low, to).Share
	}
	equal(t, share(0, 20*time.Second, true), 0.0, "share while both are sent")
	equal(t, share(20*time.Second, 30*time.Second, false), 1.0, "share while only the lower one is sent")
	equal(t, share(30*time.Second, 90*time.Second, true), 0.0, "share once both are sent again")
}

func TestPrioritiesThatAskRarelyCompeteToo(t *testing.T) {
	l := NewLine(10)
	high, low := Request{Priority: 0, Route: "a", Objective: time.Second}, Request{Priority: 1, Route: "b"}
	now := time.Duration(0)
	for i := range 20 {
		now += 2 * time.Second
		if i%5 == 0 {
			l.Asked(service, high, now)
		}
		l.Asked(service, low, now)
	}
	equal(t, l.Yield(service, low, now), Yield{Objective: time.Second, Share: 1}, "yields as far as the higher one waits itself")
	equal(t, l.Decide(service, request(1, 0, time.Second), fullFor(0), now).Ticket != 0, true, "waits")
	for range 15 {
		now += 2 * time.Second
		l.Asked(service, low, now)
	}
	equal(t, l.Yield(service, low, now), Yield{}, "once it has not asked for long")
}

func TestStarvingRequestsDoNotYield(t *testing.T) {
	l := NewLine(10)
	high, low := Request{Priority: 0, Route: "a", Objective: time.Second}, Request{Priority: 1, Route: "b"}
	for range 40 {
		l.Asked(service, high, 0)
		l.Sent(service, high, 0)
	}
	l.Asked(service, low, 0)
	equal(t, l.Yield(service, low, 0).Objective, 500*time.Millisecond, "objective before it starves")
	for range 20 {
		l.Asked(service, low, 0)
	}
	equal(t, l.Yield(service, low, 0), Yield{}, "a starving one")
}

func TestRouteOrWorkspaceWithLessThanAQuarterOfTheShareGoesFirst(t *testing.T) {
	l := newCompetingLine(10)
	high := Request{Priority: 0, Workspace: "large", Route: "a", Left: time.Minute}
	for _, low := range []Request{
		{Priority: 3, Workspace: "large", Route: "b", Left: time.Minute},
		{Priority: 3, Workspace: "small", Route: "a", Left: time.Minute},
	} {
		for range 40 {
			l.Asked(service, high, 0)
			l.Sent(service, high, 0)
		}
		for range 10 {
			l.Asked(service, low, 0)
		}
		l.Sent(service, low, 0)
		equal(t, l.Starving(service, low, 0), true, "starving")
		equal(t, l.Starving("other service", low, 0), false, "starving at another service")
		first := l.Decide(service, high, fullFor(0), 0).Ticket
		second := l.Decide(service, low, fullFor(0), 0).Ticket
		equal(t, l.Next("t"), second, "next")
		l.Leave(first)
		l.Leave(second)
		equal(t, l.Starving(service, low, time.Minute), false, "counts are forgotten")
	}
}

func TestCountersAreBounded(t *testing.T) {
	l := NewLine(1)
	for i := range 3 * maxCounters {
		l.Asked(service, Request{Route: "r", Workspace: fmt.Sprint("w", i)}, time.Duration(i)*time.Millisecond)
	}
	equal(t, len(l.shares.counters) <= maxCounters, true, "bounded")
}

func TestRequestsAreRefusedAtOnceWhileWaitingDoesNotHelp(t *testing.T) {
	l := newCompetingLine(10)
	waited := func(n int) (count int) {
		for range n {
			if d := l.Decide(service, request(0, 0, time.Second), fullFor(0), 0); d.Ticket != 0 {
				l.Leave(d.Ticket)
				count++
			}
		}
		return count
	}
	equal(t, waited(16), 16, "waiting requests at first")
	for range 20 {
		l.Ended(service, 0, false)
	}
	equal(t, waited(64), 4, "waiting requests while waiting does not help")
	for range 20 {
		l.Ended(service, 0, true)
	}
	equal(t, waited(16), 16, "waiting requests once waiting helps again")
}

func TestLowerPrioritiesYieldToThoseThatCompeteForTheService(t *testing.T) {
	l := NewLine(10)
	ask := func(priority, n int, objective time.Duration) {
		for range n {
			l.Asked(service, Request{Priority: priority, Route: fmt.Sprint(priority), Objective: objective}, 0)
		}
	}
	yieldTo := func(priority int, at time.Duration) time.Duration {
		return l.Yield(service, Request{Priority: priority, Route: "another"}, at).Objective
	}
	ask(2, 200, 4*time.Second)
	equal(t, yieldTo(2, 0), time.Duration(0), "alone")
	ask(0, 5, time.Second)
	equal(t, yieldTo(2, 0), time.Duration(0), "a few of higher priority")
	ask(0, 20, time.Second)
	equal(t, yieldTo(2, 0), 500*time.Millisecond, "below one")
	ask(1, 40, 4*time.Second)
	equal(t, yieldTo(1, 0), 500*time.Millisecond, "the next")
	equal(t, yieldTo(2, 0), 250*time.Millisecond, "below two")
	equal(t, yieldTo(0, 0), time.Duration(0), "the highest")
	equal(t, yieldTo(2, time.Minute), time.Duration(0), "once they ask no more")
}
