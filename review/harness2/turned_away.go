package main

import (
	"cmp"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// turnedAwayFor is how long the store turns one of the instances away.
	turnedAwayFor = 9 * time.Second
	// leaseExpiry is the time after which the others no longer see its entry.
	leaseExpiry = 3500 * time.Millisecond
	// hotClients is the number of clients of the tenant at each instance, and hotInterval the
	// time between two requests of one.
	hotClients  = 12
	hotInterval = 100 * time.Millisecond
)

// hotQuota is that of a tenant of the sites.
var hotQuota = quota{82, 82}

// turnedAway plays a store that turns one of three instances away and serves the others,
// while a tenant sends many times its usual. The rule is QUOTA.
func turnedAway(f *fleet, trouble bool) (bool, error) {
	f.store.Put("op/config", configuration(1, hotQuota))
	var backends []*backend
	for n := range 4 {
		b, err := f.addBackend(fmt.Sprintf("i-%d", n), service, "sierra-a", 20, 5*time.Millisecond)
		if err != nil {
			return false, err
		}
		backends = append(backends, b)
	}
	for _, zone := range []string{"sierra-a", "sierra-b", "costa-a"} {
		if _, err := f.addInstance("front-"+zone+"-1", zone); err != nil {
			return false, err
		}
	}
	time.Sleep(3*stabilityWindow + quotaWindow) // until all share the quota and the bucket is full
	// The hub of the quotas is the instance whose name has the least hash.
	away := slices.MinFunc(f.instances, func(a, b *instance) int {
		return cmp.Compare(xxhash.Sum64String(a.name), xxhash.Sum64String(b.name))
	})
	f.record.logf("the store turns %s away for %v: %t", away.name, turnedAwayFor, trouble)
	begin := time.Now()
	away.turnedAway.Store(trouble)
	time.AfterFunc(turnedAwayFor, func() { away.turnedAway.Store(false) })
	time.Sleep(leaseExpiry)
	s := newSender(f.record)
	errs := make(chan error, 3*hotClients)
	var clients sync.WaitGroup
	for _, i := range f.instances {
		for range hotClients {
			clients.Go(func() { errs <- s.sendOften(i.front(), begin.Add(turnedAwayFor)) })
		}
	}
	clients.Wait()
	close(errs)
	for err := range errs {
		if err != nil {
			return false, err
		}
	}
	var runs []arrival
	for _, b := range backends {
		runs = append(runs, b.ran()...)
	}
	n, from := s.mostInWindow(runs, quotaWindow)
	f.record.logf("QUOTA: %d requests of the tenant ran in %v from %.3f on; the rule allows %.1f", n, quotaWindow, from.Sub(f.record.begin).Seconds(), hotQuota.limit())
	return float64(n) > hotQuota.limit(), nil
}

// sendOften sends requests on one connection until the end.
func (s *sender) sendOften(address string, end time.Time) error {
	c, err := dial(s.record, address)
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	for n := 0; time.Now().Before(end); n++ {
		next := time.Now().Add(hotInterval)
		q := newRequest(http.MethodPost, "/reserve/1", fmt.Sprint(n))
		s.mu.Lock()
		s.sentAt[q.id] = time.Now()
		s.mu.Unlock()
		if err := c.send(q); err != nil {
			return err
		}
		a := c.receive(q, q.deadline)
		if a.err != nil && !errors.Is(a.err, net.ErrClosed) {
			return a.err
		}
		time.Sleep(time.Until(next))
	}
	return nil
}
