package main

import (
	"context"
	"net/http"
	"time"
)

const (
	stabilityWindow = 3 * time.Second
	configApply     = 2500 * time.Millisecond
)

// lateReturn: the store is down for some seconds, and the operator moves a route to another
// service as soon as it is back.
func lateReturn(rec *record, trouble bool) {
	const (
		downAt   = 5 * time.Second
		downFor  = 6500 * time.Millisecond
		changeIn = 100 * time.Millisecond // after the store is back
		interval = time.Second / 60
		playOn   = 8 * time.Second // after the change
	)
	f := newFleet(rec, 13, map[string]string{"sierra-a": "sierra", "costa-a": "costa", "oriente-a": "oriente"})
	config := func(version int, to string) map[string]any {
		r := route("browse", "/browse/", "safe", to, 2.5, 0.6, 2)
		r["spec"].(map[string]any)["allowAnonymous"] = true
		return configuration(version, service("listings"), service("records"), tenants(), limits(), r)
	}
	f.store.Put("op/config", config(7, "listings"))
	for i, name := range []string{"listings", "listings", "listings", "records", "records", "records"} {
		f.newBackend(1+i, name, []string{"sierra-a", "costa-a", "oriente-a"}[i%3], 6, 40*time.Millisecond)
	}
	f.startMachines("sierra-a", "costa-a", "oriente-a")
	c := newClients(rec)
	c.anonymous = true
	begin := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), downAt+downFor+changeIn+playOn)
	defer cancel()
	n := 0
	go every(ctx, interval, func() {
		c.send(f.machines[n%len(f.machines)], http.MethodGet, "/browse/1", c.object(42), 4*time.Second)
		n++
	})
	time.Sleep(time.Until(begin.Add(downAt)))
	if trouble {
		rec.note("the store is down")
		f.store.setDown(true)
	}
	time.Sleep(time.Until(begin.Add(downAt + downFor)))
	back := time.Now()
	if trouble {
		f.store.setDown(false)
		rec.note("the store is back")
	}
	time.Sleep(changeIn)
	f.store.Put("op/config", config(8, "records"))
	confirmed := time.Now()
	rec.note("version 8 is confirmed: /browse/ goes to records")
	<-ctx.Done()
	c.wg.Wait()
	from := confirmed.Add(configApply) // from then on only version 8 may be used
	if inTouch := back.Add(stabilityWindow); trouble && inTouch.After(from) {
		from = inTouch
	}
	rec.noteAt(from, "from here on all machines are in touch and must use version 8")
	ran, bad := map[string]string{}, map[string]int{}
	var last time.Time
	for _, b := range f.backends {
		for _, a := range b.allArrivals() {
			ran[a.id] += b.id + " (" + b.service + ") "
			if s := c.sent[a.id]; s != nil && b.service == "listings" && s.sentAt.After(from) {
				bad[s.to]++
				if s.sentAt.After(last) {
					last = s.sentAt
				}
			}
		}
	}
	c.noteAll(ran)
	for _, m := range f.machines {
		if bad[m.name] > 0 {
			rec.verdict("CONFIG: %s sent %d requests to the service of version 7, the last one %.2f s after version 8 was confirmed and %.2f s after the store was back", m.name, bad[m.name], last.Sub(confirmed).Seconds(), last.Sub(back).Seconds())
		}
	}
}
