package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	coldStart = 3 * time.Second // coldStartS
	// coldLimit is coldPerS x coldExcess + coldSlack, in requests per second.
	coldLimit = 5.3*1.5 + 5
	// coldAgainAfter is when the backend becomes cold again after its start, just before its
	// next heartbeat.
	coldAgainAfter = heartbeat - 100*time.Millisecond
	// reserveInterval is the time between two requests.
	reserveInterval = 20 * time.Millisecond
)

// coldAgain plays a backend that joins, cold as usual, and becomes cold again before its
// second heartbeat. The rule is FAILBACK: a cold backend gets few requests in one second.
func coldAgain(f *fleet, trouble bool) (bool, error) {
	f.store.Put("op/config", configuration(1, usualQuota))
	if _, err := f.addBackend("i-old", service, "sierra-a", 6, 50*time.Millisecond); err != nil {
		return false, err
	}
	i, err := f.addInstance("front-sierra-a-1", "sierra-a")
	if err != nil {
		return false, err
	}
	time.Sleep(3 * stabilityWindow) // until the instance may send to cold backends
	s, end := newSender(f.record), time.Now().Add(8*time.Second)
	joined := make(chan *backend, 1)
	time.AfterFunc(time.Second, func() {
		b, err := f.addColdBackend("i-new", trouble)
		if err != nil {
			f.record.logf("backend: %v", err)
		}
		joined <- b
	})
	for n := 0; time.Now().Before(end); n++ {
		s.send(i.front(), newRequest(http.MethodPost, "/reserve/1", fmt.Sprint(n%40)))
		time.Sleep(reserveInterval)
	}
	s.wait.Wait()
	b := <-joined
	if b == nil {
		return false, fmt.Errorf("the backend did not join")
	}
	b.mu.Lock()
	ends := b.coldEnds
	b.mu.Unlock()
	var runs []arrival
	for _, a := range b.ran() {
		if a.at.Before(ends) {
			runs = append(runs, a)
		}
	}
	n, from := s.mostInWindow(runs, time.Second)
	f.record.logf("FAILBACK: the cold backend got %d requests in the second from %.3f on; the rule allows %.1f", n, from.Sub(f.record.begin).Seconds(), coldLimit)
	return float64(n) > coldLimit, nil
}

// addColdBackend starts a backend that is cold, and becomes cold again if again is set.
func (f *fleet) addColdBackend(id string, again bool) (*backend, error) {
	b, err := f.newBackend(id, service, "sierra-a", 6, 50*time.Millisecond)
	if err != nil {
		return nil, err
	}
	b.becomeCold(coldStart)
	b.start()
	if again {
		time.AfterFunc(coldAgainAfter, func() { b.becomeCold(coldStart) })
	}
	return b, nil
}

// becomeCold makes the backend cold from now on.
func (b *backend) becomeCold(d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.coldEnds = time.Now().Add(d)
	b.fleet.record.logf("backend %s is cold until %.3f", b.id, b.coldEnds.Sub(b.fleet.record.begin).Seconds())
}
