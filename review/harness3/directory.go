package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"syscall"
	"time"
)

// lookupAnswer is an answer of the directory.
type lookupAnswer struct {
	from      *machine
	at        time.Time
	addresses []string
}

// deadMachine: a machine is killed for good while the store is down.
func deadMachine(rec *record, trouble bool) {
	const (
		downAt   = 5 * time.Second
		killAt   = 5*time.Second + 100*time.Millisecond
		downFor  = 6500 * time.Millisecond
		playOn   = 8 * time.Second // after the store is back
		interval = 200 * time.Millisecond
		goneFor  = stabilityWindow + 3*time.Second
	)
	f := newFleet(rec, 15, map[string]string{"sierra-a": "sierra", "sierra-b": "sierra", "costa-a": "costa", "oriente-a": "oriente"})
	f.store.Put("op/config", configuration(7, service("listings"), tenants(), limits(), route("browse", "/browse/", "safe", "listings", 2.5, 0.6, 2)))
	for i, zone := range []string{"sierra-a", "sierra-b", "costa-a", "oriente-a"} {
		f.newBackend(1+i, "listings", zone, 6, 40*time.Millisecond)
	}
	f.startMachines("sierra-a", "sierra-b", "costa-a", "oriente-a")
	dead, running := f.machines[1], []*machine{f.machines[0], f.machines[2], f.machines[3]}
	begin := time.Now()
	var mu sync.Mutex
	var answers []lookupAnswer
	ctx, cancel := context.WithTimeout(context.Background(), downAt+downFor+playOn)
	defer cancel()
	for _, m := range running {
		go every(ctx, interval, func() {
			client := http.Client{Timeout: time.Second}
			query := url.Values{"name": {host}, "region": {"sierra"}, "zone": {"sierra-a"}}
			r, err := client.Get("http://" + f.address(m.number, directoryPort) + "/resolve?" + query.Encode())
			if err != nil {
				return
			}
			defer func() { _ = r.Body.Close() }()
			var body struct {
				Addresses []string `json:"addresses"`
			}
			if json.NewDecoder(r.Body).Decode(&body) != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, lookupAnswer{m, time.Now(), body.Addresses})
		})
	}
	time.Sleep(time.Until(begin.Add(downAt)))
	if trouble {
		rec.note("the store is down")
		f.store.setDown(true)
	}
	time.Sleep(time.Until(begin.Add(killAt)))
	dead.signal(syscall.SIGKILL)
	killed := time.Now()
	rec.note("%s is killed and does not come back", dead.name)
	time.Sleep(time.Until(begin.Add(downAt + downFor)))
	back := time.Now()
	if trouble {
		f.store.setDown(false)
		rec.note("the store is back")
	}
	<-ctx.Done()
	from := killed.Add(goneFor)
	if inTouch := back.Add(stabilityWindow); trouble && inTouch.After(from) {
		from = inTouch
	}
	rec.noteAt(from, "from here on no answer of a machine in touch may name %s", dead.name)
	mu.Lock()
	defer mu.Unlock()
	bad := 0
	var last time.Time
	for _, a := range answers {
		rec.noteAt(a.at, "request to the directory of %s answered with %s", a.from.name, fmt.Sprint(a.addresses))
		names := func(m *machine) bool { return slices.Contains(a.addresses, m.front()) }
		if a.at.After(from) && names(dead) && slices.ContainsFunc(running, names) {
			bad++
			if a.at.After(last) {
				last = a.at
			}
		}
	}
	if bad > 3 {
		rec.verdict("DRAIN: %d answers of the directory name %s beside a running machine, the last one %.2f s after it was killed and %.2f s after the store was back; three are allowed", bad, dead.name, last.Sub(killed).Seconds(), last.Sub(back).Seconds())
	} else {
		rec.note("%d answers named it", bad)
	}
}
