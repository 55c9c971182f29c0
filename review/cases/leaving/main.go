// Command leaving lets a target say in its answers that it leaves, has another writer
// overwrite its registration once by an entry without some fields, and checks whether the
// target gets requests again.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/turmericfield/turmericfield/platform/standin"
	"github.com/turmericfield/turmericfield/review/harness"
)

const (
	host  = "listings.example"
	key   = "review-key"
	drain = 2500 * time.Millisecond
	beat  = 1500 * time.Millisecond
)

type object = map[string]any

func configuration() string {
	text, err := json.Marshal(object{"version": "00000001", "resources": []object{
		{"resourceKind": "routes", "metadata": object{"name": "r-browse"}, "spec": object{
			"hostname": host, "prefix": "/browse/", "routeType": "unsafe", "timeoutS": 2.5, "targetLatencyS": 0.6, "priority": 2,
			"service": "listings", "maxAttempts": 2, "allowAnonymous": false, "sessionAffinity": true, "homeRegions": []string{}}},
		{"resourceKind": "services", "metadata": object{"name": "listings"}, "spec": object{"healthPath": "/health", "maxConnections": 390, "coldStartS": 3.0, "coldPerS": 5.3}},
		{"resourceKind": "tenants", "metadata": object{"name": "quito"}, "spec": object{"apiKeys": []string{key}, "priority": 1, "ratePerS": 145, "burst": 145, "homeRegions": []string{}}},
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
	var targets []*standin.Target
	for _, id := range []string{"t1", "t2"} {
		t, err := f.AddTarget(id, "listings", "sierra-a")
		if err != nil {
			fmt.Println(err)
			return harness.CannotRun
		}
		targets = append(targets, t)
	}
	leaving := targets[0]
	register := func(sequence int) {
		entry := leaving.Registration("listings", "sierra-a", "ready")
		entry["sequence"] = sequence
		f.Store.Put("servers/t1", entry)
	}
	i, err := f.AddInstance("front-sierra-a-1", "sierra-a", "sierra", f.Address)
	if err == nil {
		err = f.AwaitReady()
	}
	if err != nil {
		fmt.Println(err)
		return harness.CannotRun
	}
	time.Sleep(4 * time.Second)
	n := 0
	send := func() {
		n++
		status, header, _ := f.Do(i, harness.Request{Method: "POST", Host: host, Path: "/browse/1", Key: key, ID: fmt.Sprintf("%016x", n), Object: fmt.Sprint(n), Timeout: 4 * time.Second})
		f.Note("request %016x: %d, Server-Leaving %q", n, status, header.Get("Server-Leaving"))
	}
	for range 10 {
		send()
	}
	leaving.SetLeaving(standin.Always)
	f.Note("t1 says from now on that it leaves; its registration stays ready")
	for range 20 {
		send()
	}
	passedOn := time.Now()
	before := len(leaving.Requests())
	f.Note("t1 has got %d requests", before)
	sequence := 2
	nextBeat := passedOn.Add(beat)
	odd := passedOn.Add(drain + beat/2)
	for time.Since(passedOn) < 10*time.Second {
		send()
		time.Sleep(50 * time.Millisecond)
		if trouble && !odd.IsZero() && time.Now().After(odd) {
			odd = time.Time{}
			entry := leaving.Registration("listings", "sierra-a", "ready")
			delete(entry, "born")
			delete(entry, "sequence")
			delete(entry, "version")
			f.Store.Put("servers/t1", entry)
			f.Note("another writer has written servers/t1 without born, sequence and version")
		}
		if time.Now().After(nextBeat) {
			register(sequence)
			sequence, nextBeat = sequence+1, nextBeat.Add(beat)
		}
	}
	late := 0
	for _, r := range leaving.Requests()[before:] {
		if r.At.Sub(passedOn) > drain {
			late++
			f.Note("BROKEN: request %s reached t1 %.3f s after the instance had passed on that it leaves", r.ID, r.At.Sub(passedOn).Seconds())
		}
	}
	fmt.Printf("%d requests reached the leaving target later than drainS; it got %d after it had said so\n", late, len(leaving.Requests())-before)
	if late > 0 {
		return harness.Broken
	}
	return harness.Held
}
