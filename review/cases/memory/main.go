// Command memory writes one configuration after another while clients send requests. It
// ends a process that exceeds its memory limit, as the platform does, and counts the
// requests that were passed on to a target and got no answer.
package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/turmericfield/turmericfield/platform/standin"
	"github.com/turmericfield/turmericfield/review/harness"
)

const (
	// routes makes a configuration of a little less than the 1 MiB that a value may have.
	routes = 3500
	// interval is the least time between two versions.
	interval = 220 * time.Millisecond
	duration = 95 * time.Second
	// work is how long a target works on a request.
	work = 880 * time.Millisecond
	// targetsPerZone and clientsPerInstance leave half of the targets' slots free.
	targetsPerZone     = 6
	clientsPerInstance = 12
	restartDelay       = time.Second
	// tolerated is how many requests may be cut in all.
	tolerated = 3
)

// request is one request of a client.
type request struct {
	instance string
	sent     time.Duration
	status   int // 0 if there was no complete answer
	err      string
}

func main() { os.Exit(run(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0")) }

func run(folder, program string, trouble bool) int {
	f, err := harness.New(folder, program)
	if err != nil {
		fmt.Println(err)
		return harness.CannotRun
	}
	defer f.Close()
	f.Store.Put("op/config", harness.Configuration(1, routes, "old"))
	var instances []*harness.Instance
	var targets []*standin.Target
	for _, zone := range []string{"sierra", "costa"} {
		for n := range targetsPerZone {
			var t *standin.Target
			if t, err = f.AddTarget(fmt.Sprintf("t-%s-%d", zone, n), "old", zone+"-a"); err != nil {
				break
			}
			t.SetReply(func(c net.Conn, r *http.Request, recorded standin.RecordedRequest) bool {
				time.Sleep(work)
				return standin.SignedReply(200, "done")(c, r, recorded)
			})
			targets = append(targets, t)
		}
		var i *harness.Instance
		if err == nil {
			i, err = f.AddInstance("front-"+zone+"-a-1", zone+"-a", zone, f.Address)
		}
		if err != nil {
			break
		}
		instances = append(instances, i)
	}
	if err == nil {
		err = f.AwaitReady()
	}
	if err != nil {
		fmt.Println(err)
		return harness.CannotRun
	}
	begin := time.Now()
	var mu sync.Mutex
	requests := map[string]request{}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for n, i := range instances {
		for c := range clientsPerInstance {
			clients.Go(func() {
				for k := 0; ; k++ {
					select {
					case <-stop:
						return
					default:
					}
					id := fmt.Sprintf("%04x%04x%08x", n, c, k)
					r := request{instance: i.Name, sent: time.Since(begin)}
					r.status, _, r.err = f.Do(i, harness.Request{Method: "GET", Host: harness.Host, Path: "/keyed/1", Key: harness.Key, ID: id, Object: id, Timeout: 4 * time.Second})
					mu.Lock()
					requests[id] = r
					mu.Unlock()
					time.Sleep(100 * time.Millisecond)
				}
			})
		}
	}
	killed, most, next := 0, int64(0), 2
	reported := begin
	for time.Since(begin) < duration && killed < len(instances) {
		if trouble && time.Since(begin) > time.Duration(next)*interval {
			text := harness.Configuration(next, routes, "old")
			f.Store.Put("op/config", text)
			f.Note("version %d confirmed, %d bytes", next, len(text))
			next++
		}
		report := time.Since(reported) > 2*time.Second
		for _, i := range instances {
			size := i.ResidentBytes()
			most = max(most, size)
			if report {
				reported = time.Now()
				f.Note("%s uses %d MiB of %d MiB", i.Name, size>>20, harness.MemoryBytes>>20)
			}
			if size <= harness.MemoryBytes {
				continue
			}
			killed++
			f.Note("%s uses %d MiB, more than memoryMb = %d: the platform kills it", i.Name, size>>20, harness.MemoryBytes>>20)
			i.Kill()
			time.Sleep(restartDelay)
			if err := f.Start(i); err != nil {
				fmt.Println(err)
				return harness.CannotRun
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	close(stop)
	clients.Wait()
	reached := map[string]string{}
	for _, t := range targets {
		for _, r := range t.Requests() {
			reached[r.ID] = t.ID()
		}
	}
	served, cut, others := 0, 0, 0
	for id, r := range requests {
		switch {
		case r.status == http.StatusOK:
			served++
		case r.status == 0 && reached[id] != "":
			cut++
			f.Note("BROKEN: request %s, sent to %s at %.3f s, was run by %s and got no answer: %s", id, r.instance, r.sent.Seconds(), reached[id], r.err)
		default:
			others++
		}
	}
	fmt.Printf("%d versions, at most %d MiB of %d used, %d processes over their limit; %d requests served, %d run and not answered, %d others\n",
		next-1, most>>20, harness.MemoryBytes>>20, killed, served, cut, others)
	if killed > 0 && cut > tolerated {
		return harness.Broken
	}
	return harness.Held
}
