// Command config writes several large configurations one after another and checks which
// service runs the requests of a route that the first of them has moved.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/turmericfield/turmericfield/platform/standin"
	"github.com/turmericfield/turmericfield/review/harness"
)

const (
	configApply  = 2500 * time.Millisecond
	observeUntil = 14 * time.Second
	routes       = 3000
	// lastVersion is the version that moves the routes; the first is 1.
	lastVersion = 7
	// gap is the time between two versions, the shortest between two changes in the site file.
	gap = 100 * time.Millisecond
	// calmGap is the same without the disruption.
	calmGap = time.Second
)

func main() { os.Exit(run(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0")) }

func run(folder, program string, trouble bool) int {
	f, err := harness.New(folder, program)
	if err != nil {
		fmt.Println(err)
		return harness.CannotRun
	}
	defer f.Close()
	f.Store.Put("op/config", harness.Configuration(1, routes, "old"))
	for _, service := range []string{"old", "new"} {
		for _, zone := range []string{"sierra-a", "costa-a"} {
			t, err := f.AddTarget(service+"-"+zone, service, zone)
			if err != nil {
				fmt.Println(err)
				return harness.CannotRun
			}
			t.SetReply(standin.SignedReply(200, service))
		}
	}
	var instances []*harness.Instance
	for _, zone := range []string{"sierra", "costa"} {
		i, err := f.AddInstance("front-"+zone+"-a-1", zone+"-a", zone, f.Address)
		if err != nil {
			fmt.Println(err)
			return harness.CannotRun
		}
		instances = append(instances, i)
	}
	if err := f.AwaitReady(); err != nil {
		fmt.Println(err)
		return harness.CannotRun
	}
	time.Sleep(4 * time.Second)
	pause := gap
	if !trouble {
		pause = calmGap
	}
	var texts []string // built before, so that the versions come at the gap
	for v := 2; v <= lastVersion; v++ {
		service := "old"
		if v == lastVersion {
			service = "new"
		}
		texts = append(texts, harness.Configuration(v, routes, service))
	}
	tick := time.NewTicker(pause)
	defer tick.Stop()
	for n, text := range texts {
		<-tick.C
		f.Store.Put("op/config", text)
		f.Note("version %d confirmed, %d bytes", n+2, len(text))
	}
	f.Note("version %d moves the routes to the service new", lastVersion)
	moved := time.Now()
	broken, n := 0, 0
	for time.Since(moved) < observeUntil {
		for _, i := range instances {
			for _, path := range []string{"/open/1", "/keyed/1"} {
				n++
				sent := time.Since(moved)
				status, _, body := f.Do(i, harness.Request{Method: "GET", Host: harness.Host, Path: path, Key: harness.Key, ID: fmt.Sprintf("%016x", n), Timeout: 4 * time.Second})
				verdict := ""
				if status == 200 && body == "old" && sent > configApply {
					verdict, broken = "  BROKEN", broken+1
				}
				f.Note("%s %s sent %.3f s after the confirmation: %d, run by %q%s", i.Name, path, sent.Seconds(), status, body, verdict)
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	fmt.Printf("%d of %d requests were run by the old service later than configApplyS after the confirmation\n", broken, n)
	if broken > 0 {
		return harness.Broken
	}
	return harness.Held
}
