package main

import (
	"fmt"
	"net/http"
	"sort"
	"sync"
	"time"
)

const (
	// quotaWindow, quotaExcess and quotaSlack are the bounds of those names.
	quotaWindow = 5 * time.Second
	quotaExcess = 0.1
	quotaSlack  = 20
	// crowdInstances is the number of instances of the larger sites.
	crowdInstances = 26
	// crowdRequests are sent at one moment and none for a window before and after: 14 a
	// second, which is 7.5 times the usual traffic of a tenant whose rate is 1.6 times that.
	crowdRequests = 70
	// usualInterval is the time between two requests without the disruption.
	usualInterval = 533 * time.Millisecond
)

// crowdQuota is that of a small tenant.
var crowdQuota = quota{3, 3}

// limit returns how many requests of the tenant may run in a window.
func (q quota) limit() float64 {
	return (q.rate*quotaWindow.Seconds()+q.burst)*(1+quotaExcess) + quotaSlack
}

// sender sends requests of the tenant and remembers when.
type sender struct {
	record *record
	mu     sync.Mutex
	sentAt map[string]time.Time
	failed []string // ids of requests that got no success
	wait   sync.WaitGroup
}

func newSender(r *record) *sender { return &sender{record: r, sentAt: map[string]time.Time{}} }

// send sends a request on a connection of its own and reads its answer, without waiting.
func (s *sender) send(address string, q request) {
	s.wait.Go(func() {
		c, err := dial(s.record, address)
		if err != nil {
			s.record.logf("client cannot connect for %s: %v", q.id, err)
			return
		}
		defer func() { _ = c.Close() }()
		s.mu.Lock()
		s.sentAt[q.id] = time.Now()
		s.mu.Unlock()
		if c.send(q) != nil {
			return
		}
		a := c.receive(q, q.deadline)
		if a.err == nil && a.status == http.StatusOK {
			return
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.failed = append(s.failed, q.id)
	})
}

// mostInWindow returns the largest number of requests that were both sent and run in one
// window, and when that begins.
func (s *sender) mostInWindow(runs []arrival, window time.Duration) (most int, from time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sort.Slice(runs, func(i, j int) bool { return runs[i].at.Before(runs[j].at) })
	for last := range runs {
		begin, n := runs[last].at.Add(-window), 0
		for _, r := range runs[:last+1] {
			if r.at.After(begin) && s.sentAt[r.id].After(begin) {
				n++
			}
		}
		if n > most {
			most, from = n, begin
		}
	}
	return most, from
}

// quotaCrowd plays a small tenant that sends many times its usual, at all instances at one
// moment. The rule is QUOTA: its rate and burst hold over all instances together.
func quotaCrowd(f *fleet, trouble bool) (bool, error) {
	f.store.Put("op/config", configuration(1, crowdQuota))
	var backends []*backend
	for n := range 4 {
		b, err := f.addBackend(fmt.Sprintf("i-%d", n), service, "sierra-a", 20, 5*time.Millisecond)
		if err != nil {
			return false, err
		}
		backends = append(backends, b)
	}
	zoneNames := []string{"sierra-a", "sierra-b", "costa-a"}
	for n := range crowdInstances {
		zone := zoneNames[n%len(zoneNames)]
		if _, err := f.addInstance(fmt.Sprintf("front-%s-%d", zone, n/len(zoneNames)+1), zone); err != nil {
			return false, err
		}
	}
	time.Sleep(3*stabilityWindow + quotaWindow) // until all share the quota and the bucket is full
	s := newSender(f.record)
	for n := range crowdRequests {
		s.send(f.instances[n%len(f.instances)].front(), newRequest(http.MethodPost, "/reserve/1", fmt.Sprint(n)))
		if !trouble {
			time.Sleep(usualInterval)
		}
	}
	time.Sleep(quotaWindow)
	s.wait.Wait()
	var runs []arrival
	for _, b := range backends {
		runs = append(runs, b.ran()...)
	}
	n, from := s.mostInWindow(runs, quotaWindow)
	f.record.logf("QUOTA: %d requests of the tenant ran in %v from %.3f on; the rule allows %.1f", n, quotaWindow, from.Sub(f.record.begin).Seconds(), crowdQuota.limit())
	return float64(n) > crowdQuota.limit(), nil
}
