package main

import (
	"fmt"
	"net/http"
	"time"
)

// Times of the case, from its begin.
const (
	stabilityWindow = 3 * time.Second
	drainBound      = 2500 * time.Millisecond // drainS
	// lostFor is the length of platform_lost, at whose end one heartbeat is not answered.
	lostFor = 2 * time.Second
	// lateBy is how much later the store carries it out.
	lateBy = 5800 * time.Millisecond
)

// lateHeartbeat plays a heartbeat that the store carries out late, after the backend has
// reported that it leaves. The rule is DRAIN: no request reaches the backend later than
// drainS after an instance in touch has acknowledged that it is draining.
func lateHeartbeat(f *fleet, trouble bool) (bool, error) {
	f.store.Put("op/config", configuration(1, usualQuota))
	leaver, err := f.addBackend("i-leaver", service, "sierra-a", 6, 50*time.Millisecond)
	if err != nil {
		return false, err
	}
	if _, err := f.addBackend("i-other", service, "sierra-a", 6, 50*time.Millisecond); err != nil {
		return false, err
	}
	i, err := f.addInstance("front-sierra-a-1", "sierra-a")
	if err != nil {
		return false, err
	}
	time.Sleep(stabilityWindow)
	object, err := objectOf(i, "/browse/1", leaver)
	if err != nil {
		return false, err
	}
	f.record.logf("object %s is served by %s; the store loses answers from now on for %v", object, leaver.id, lostFor)
	time.Sleep(lostFor - 100*time.Millisecond)
	lost := leaver.next()
	f.record.logf("backend %s sends state %v, sequence %v, which the store does not answer", leaver.id, lost["state"], lost["sequence"])
	if trouble {
		time.AfterFunc(lateBy, func() {
			f.record.logf("the store carries out the call that it did not answer:")
			leaver.write(lost)
		})
	} else {
		leaver.write(lost)
	}
	time.Sleep(100*time.Millisecond + stabilityWindow + 50*time.Millisecond)
	leaver.drain()
	acknowledged := time.Now()
	f.record.logf("the store has acknowledged that %s drains, and is stable", leaver.id)
	time.Sleep(drainBound + 100*time.Millisecond)
	var sent []request
	for end := acknowledged.Add(drainBound + 2*time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		q := newRequest(http.MethodGet, "/browse/1", object)
		sent = append(sent, q)
		if a := once(f.record, i.front(), q); a.err != nil {
			return false, a.err
		}
	}
	bad := 0
	for _, a := range leaver.ran() {
		if a.at.Sub(acknowledged) > drainBound {
			bad++
			f.record.logf("DRAIN: request %s reached %s %.3f s after the acknowledgement", a.id, leaver.id, a.at.Sub(acknowledged).Seconds())
		}
	}
	f.record.logf("%d requests sent later than drainS, %d reached the leaving backend", len(sent), bad)
	return bad > 0, nil
}

// objectOf returns an object whose requests for a path go to the backend.
func objectOf(i *instance, path string, b *backend) (string, error) {
	for n := range 40 {
		q := newRequest(http.MethodGet, path, fmt.Sprint(n))
		if a := once(i.fleet.record, i.front(), q); a.err != nil || a.status != http.StatusOK {
			return "", fmt.Errorf("status %d, %w", a.status, a.err)
		}
		for _, r := range b.ran() {
			if r.id == q.id {
				return q.object, nil
			}
		}
	}
	return "", fmt.Errorf("no object is served by %s", b.id)
}
