// Command route has another writer overwrite a target's registration once by an entry that
// lacks fields and names another service, and checks which service runs that one's requests.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/turmericfield/turmericfield/platform/standin"
	"github.com/turmericfield/turmericfield/review/harness"
)

const (
	// beat is the interval at which a target writes its own entry.
	beat     = 1500 * time.Millisecond
	duration = 12 * time.Second
	// oddAt is when the other writer writes.
	oddAt = 3300 * time.Millisecond
	pause = 20 * time.Millisecond
)

type object = map[string]any

func route(name, prefix, service string) object {
	return object{"resourceKind": "routes", "metadata": object{"name": name}, "spec": object{
		"hostname": harness.Host, "prefix": prefix, "routeType": "unsafe", "timeoutS": 2.5, "targetLatencyS": 0.6, "priority": 2,
		"service": service, "maxAttempts": 2, "allowAnonymous": false, "sessionAffinity": true, "homeRegions": []string{},
	}}
}

func service(name string) object {
	return object{"resourceKind": "services", "metadata": object{"name": name}, "spec": object{"healthPath": "/health", "maxConnections": 390, "coldStartS": 3.0, "coldPerS": 5.3}}
}

func configuration() string {
	text, err := json.Marshal(object{"version": "00000001", "resources": []object{
		route("r-reserve", "/reserve/", "listings"), route("r-vaccine-log", "/vaccine-log/", "records"),
		service("listings"), service("records"),
		{"resourceKind": "tenants", "metadata": object{"name": harness.Tenant}, "spec": object{"apiKeys": []string{harness.Key}, "priority": 1, "ratePerS": 145, "burst": 145, "homeRegions": []string{}}},
		{"resourceKind": "limits", "metadata": object{}, "spec": object{"maxHeaderBytes": 16384, "maxBodyBytes": 1048576, "headerTimeoutS": 3, "idleTimeoutS": 15}},
	}})
	if err != nil {
		panic(err)
	}
	return string(text)
}

func main() { os.Exit(run(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0")) }

func run(folder, program string, trouble bool) int {
	f, err := harness.New(folder, program)
	if err != nil {
		fmt.Println(err)
		return harness.CannotRun
	}
	defer f.Close()
	f.Store.Put("op/config", configuration())
	services := map[string]string{"l1": "listings", "l2": "listings", "r1": "records", "r2": "records"}
	targets := map[string]*standin.Target{}
	for id, name := range services {
		if targets[id], err = f.AddTarget(id, name, "sierra-a"); err != nil {
			fmt.Println(err)
			return harness.CannotRun
		}
	}
	i, err := f.AddInstance("front-sierra-a-1", "sierra-a", "sierra", f.Address)
	if err == nil {
		err = f.AwaitReady()
	}
	if err != nil {
		fmt.Println(err)
		return harness.CannotRun
	}
	time.Sleep(time.Second)
	begin := time.Now()
	nextBeat, sequence, written := begin.Add(beat), 2, false
	for n := 0; time.Since(begin) < duration; n++ {
		path := "/vaccine-log/" + fmt.Sprint(n)
		if n%2 == 1 {
			path = "/reserve/" + fmt.Sprint(n)
		}
		id := fmt.Sprintf("%016x", n)
		status, _, _ := f.Do(i, harness.Request{Method: "POST", Host: harness.Host, Path: path, Key: harness.Key, ID: id, Object: id, Timeout: 4 * time.Second})
		f.Note("request %s %s: %d", id, path, status)
		time.Sleep(pause)
		if trouble && !written && time.Since(begin) > oddAt {
			written = true
			entry := object{"service": "records", "address": targets["l1"].Address(), "zone": "sierra-a", "slots": 6, "state": "ready"}
			f.Store.Put("servers/l1", entry)
			f.Note("another writer has written servers/l1 as a target of records, without version, coldRemainingS, sequence and born")
		}
		if time.Now().After(nextBeat) {
			for t, name := range services {
				entry := targets[t].Registration(name, "sierra-a", "ready")
				entry["sequence"] = sequence
				f.Store.Put("servers/"+t, entry)
			}
			f.Note("all targets have written their own entries")
			sequence, nextBeat = sequence+1, nextBeat.Add(beat)
		}
	}
	wrong := 0
	for id, t := range targets {
		for _, r := range t.Requests() {
			if strings.HasPrefix(r.URI, "/vaccine-log/") != (services[id] == "records") {
				wrong++
				f.Note("BROKEN: request %s %s was run by %s, a target of %s, at %.3f s", r.ID, r.URI, id, services[id], r.At.Sub(begin).Seconds())
			}
		}
	}
	fmt.Printf("%d requests were run by a service to which no configuration sends them\n", wrong)
	if wrong > 0 {
		return harness.Broken
	}
	return harness.Held
}
