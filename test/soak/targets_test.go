package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/turmericfield/turmericfield/platform/standin"
)

const service = "listings" // of all targets

// targetZones are the availability zones of the targets, two of each region.
var targetZones = []string{"sierra-a", "costa-a", "oriente-a", "sierra-b", "costa-b", "oriente-b"}

// regions are the regions of targetZones, in the same order.
var regions = []string{"sierra", "costa", "oriente"}

// refusals is how a target turns requests away.
type refusals struct {
	share      float64       // of the requests of these instances
	instance   string        // the only instance whose requests are turned away; "" for all
	pause      time.Duration // for which it wants no requests; 0 if it does not say so
	notRun     bool          // it says that the requests were not run
	runPercent int           // requests that it runs all the same, if it does not say so
}

// connState is what a target has written to a connection.
type connState struct {
	responses int
	refusal   *standin.RecordedRequest // the last request that it said was not run
	disturbed bool                     // an instance may close it without reading the next response
}

// target is a target of the run. Its process may be replaced.
type target struct {
	*standin.Target
	fleet        *fleet
	index        int
	zone, region string

	mu           sync.Mutex // guards the fields below
	random       *rand.Rand
	conns        map[net.Conn]*connState
	failureShare float64
	refusals     refusals
	processes    int  // started so far
	leaving      bool // its process announces to some instance that it leaves, and must end
	// sameID says that its process has the id of the one before. Instances that do not
	// know that take its responses for those of the earlier one, so that it gives no
	// notices.
	sameID bool
}

// newTarget starts the target with an index and registers it.
func (f *fleet) newTarget(i int) *target {
	l, err := net.Listen("tcp4", fmt.Sprintf("%s%d:17000", f.ipPrefix, firstTargetIP+i))
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = l.Close() })
	t := &target{
		Target: standin.NewTarget(targetID(i), l), fleet: f, index: i, zone: targetZones[i], region: regions[i%len(regions)],
		random: rand.New(rand.NewPCG(f.random.Uint64(), 1)), conns: map[net.Conn]*connState{}, processes: 1,
	}
	t.SetReply(t.reply)
	t.register("ready")
	return t
}

// targetID returns the id of the first process of the target with an index.
func targetID(i int) string { return fmt.Sprint("t", i) }

// register writes the registration of the target's present process to the store.
func (t *target) register(state string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fleet.store.Put("servers/"+t.ID(), t.Registration(service, t.zone, state))
}

// restart ends the target's process and starts another.
func (t *target) restart(sameID bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	id := t.ID()
	t.processes++
	if !sameID {
		t.fleet.store.Remove("servers/" + id)
		id = fmt.Sprint(targetID(t.index), "-", t.processes)
	}
	t.leaving, t.sameID, t.refusals = false, sameID, refusals{}
	t.Restart(id)
	t.fleet.store.Put("servers/"+id, t.Registration(service, t.zone, "ready"))
}

// leave makes the target announce that it leaves, to one instance or, if that is "", to
// all. It reports whether it does: not if it has done so before or may give no notices.
func (t *target) leave(instance string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.leaving || t.sameID {
		return false
	}
	t.leaving = true
	t.SetLeaving(func(r standin.RecordedRequest) bool {
		return instance == "" || instance == t.fleet.checks.instanceOf(r.ID)
	})
	return true
}

// setFailureShare sets the share of requests that the target fails.
func (t *target) setFailureShare(share float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failureShare = share
}

// setRefusals sets which requests the target turns away. It asks for no pauses if it may
// give no notices.
func (t *target) setRefusals(r refusals) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.sameID {
		r.pause = 0
	}
	t.refusals = r
}

// behaviour is what a target does with one request.
type behaviour struct {
	refused  bool
	runs     bool
	failure  failure
	refusals refusals
	work     time.Duration
	conn     *connState
}

// failure is a way in which a target fails a request.
type failure int

const (
	none           failure = iota
	answerLost             // it runs, and the connection is reset
	answerCut              // it runs, and the connection ends in the body
	answerTwice            // it runs, and more bytes follow the answer
	status500              // it runs, with status 500
	refusalBefore          // it runs, and an earlier refusal precedes the answer
	refusalInstead         // it runs, and an earlier refusal stands for the answer
	failureCount
)

// decide draws what the target does with a request.
func (t *target) decide(c net.Conn, instance string) behaviour {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.conns[c]
	if state == nil {
		state = &connState{}
		t.conns[c] = state
	}
	b := behaviour{runs: true, conn: state, refusals: t.refusals, work: time.Duration(5+t.random.IntN(40)) * time.Millisecond}
	switch r := t.refusals; {
	case t.random.Float64() < r.share && (r.instance == "" || r.instance == instance):
		b.refused, b.runs = true, !r.notRun && t.random.IntN(100) < r.runPercent
	case t.random.Float64() < t.failureShare:
		b.failure = failure(t.random.IntN(int(failureCount)))
		if b.failure == none || b.failure >= refusalBefore && state.refusal == nil {
			b.refused, b.runs, b.refusals = true, false, refusals{notRun: true}
		}
	}
	return b
}

// reply is the target's standin.Reply.
func (t *target) reply(c net.Conn, r *http.Request, recorded standin.RecordedRequest) bool {
	checks, process := t.fleet.checks, fmt.Sprintf("%s/%d", targetID(t.index), recorded.Born)
	checks.recordArrival(recorded.ID, process, t.region, recorded.At)
	b := t.decide(c, checks.instanceOf(recorded.ID))
	if b.runs {
		checks.recordRun(recorded.ID, recorded.Method, recorded.URI, recorded.Body, recorded.Header.Get("Tenant-Name"), recorded.Header.Get("Api-Key"))
		time.Sleep(b.work)
	}
	begun := time.Now()
	kept := t.write(c, r, recorded, b)
	if kept && !b.conn.disturbed {
		checks.recordNotice(recorded.ID, process, notice{leaving: recorded.ExtraHeader != "", pause: b.pauseAsked(), begun: begun, written: time.Now()})
	}
	b.conn.responses++
	if !kept {
		t.mu.Lock()
		delete(t.conns, c)
		t.mu.Unlock()
	}
	return kept
}

// pauseAsked returns the pause that the response asks for.
func (b behaviour) pauseAsked() time.Duration {
	if b.refused {
		return b.refusals.pause
	}
	return 0
}

// write writes the response to a request, and returns false to have the connection
// closed.
func (t *target) write(c net.Conn, r *http.Request, recorded standin.RecordedRequest, b behaviour) bool {
	answer := standin.SignedReply(200, answerBody(recorded.ID))
	if b.refused {
		retryAfter := ""
		if b.refusals.pause > 0 {
			retryAfter = strconv.FormatFloat(b.refusals.pause.Seconds(), 'f', -1, 64)
		}
		if b.refusals.notRun {
			earlier := recorded
			if b.failure == refusalBefore && b.conn.responses == 0 {
				earlier.ID = "" // believed on a new connection only
			}
			b.conn.refusal, recorded = &earlier, earlier
		}
		return standin.Refusal(retryAfter, b.refusals.notRun)(c, r, recorded)
	}
	if b.failure != none && b.failure != status500 {
		b.conn.disturbed = true
	}
	switch b.failure {
	case answerLost:
		_ = c.(*net.TCPConn).SetLinger(0)
		return false
	case answerCut:
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: s\r\n%sContent-Length: 900\r\n\r\nans", recorded.ID, recorded.ExtraHeader)
		return false
	case answerTwice:
		return answer(c, r, recorded) && standin.SignedReply(200, "extra")(c, r, recorded)
	case status500:
		return standin.SignedReply(500, "failed")(c, r, recorded)
	case refusalBefore, refusalInstead:
		ok := standin.Refusal("", true)(c, r, *b.conn.refusal)
		if b.failure == refusalBefore {
			return ok && answer(c, r, recorded)
		}
		return ok
	}
	return answer(c, r, recorded)
}
