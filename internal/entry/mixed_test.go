package entry

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/turmericfield/turmericfield/internal/attempt"
	"github.com/turmericfield/turmericfield/internal/standin/target"
)

const (
	mixedSeed        = 4      // of the requests' random choices and the targets' faults
	mixedRequests    = 20_000 // in TestMixedFaults
	mixedConcurrency = 128    // requests in flight
)

// report collects the outcomes that callers were told and the responses that
// wrongly looked successful.
type report struct {
	mu             sync.Mutex                         // guards the fields below
	outcomesByID   map[string]map[attempt.Outcome]int // number of each outcome by request id
	counts         map[attempt.Outcome]int
	wrongResponses []string
}

// add records one response; problem says what is wrong with it, if anything.
func (p *report) add(id string, outcome attempt.Outcome, problem string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.outcomesByID[id] == nil {
		p.outcomesByID[id] = map[attempt.Outcome]int{}
	}
	p.outcomesByID[id][outcome]++
	p.counts[outcome]++
	if problem != "" {
		p.wrongResponses = append(p.wrongResponses, problem)
	}
}

// check compares the outcomes with what the targets ran. It returns how many
// requests to writes ran more than once, and how many ran although their callers
// were only told not-run.
func (p *report) check(s *system) (doubleRuns, falseNotRun int) {
	writes, reads := executions(s.writes), executions(s.reads)
	for _, n := range writes {
		if n > 1 {
			doubleRuns++
		}
	}
	for id, outcomes := range p.outcomesByID {
		onlyNotRun := len(outcomes) == 1 && outcomes[attempt.NotRun] > 0
		if onlyNotRun && id != "" && reads[id]+writes[id] > 0 {
			falseNotRun++
			p.wrongResponses = append(p.wrongResponses, fmt.Sprintf("request %s ran %d times (%d reads) but its callers were told %v", id, reads[id]+writes[id], reads[id], outcomes))
		}
	}
	return doubleRuns, falseNotRun
}

// TestMixedFaults sends requests through two instances to targets that show every
// kind of fault, while the store at times loses responses or is down. No request
// to writes may run more than once, none that ran may be reported as not-run, and
// no broken response may look whole.
func TestMixedFaults(t *testing.T) {
	if testing.Short() {
		t.Skip("takes several seconds")
	}
	s := newSystem(t, mixedTargets, testDeadline)
	p := sendMixed(t, s, mixedRequests)
	doubleRuns, falseNotRun := p.check(s)
	t.Logf("%d requests, seed %d: %v", mixedRequests, mixedSeed, p.counts)
	if doubleRuns > 0 || falseNotRun > 0 || len(p.wrongResponses) > 0 || len(s.violations) > 0 {
		t.Errorf("%d requests ran more than once, %d wrongly reported as not run, wrong responses %q, invariant violations %q",
			doubleRuns, falseNotRun, firstFew(p.wrongResponses), firstFew(s.violations))
	}
	if n := serverPanics.Load(); n > 0 {
		t.Errorf("%d connections closed by a panic of a handler", n)
	}
	if p.counts[attempt.Answered] < mixedRequests/2 || p.counts[attempt.NotRun] == 0 || p.counts[attempt.Unknown] == 0 {
		t.Errorf("outcomes %v do not cover the faults", p.counts)
	}
}

// TestMixedFaultsNaive shows that report.check finds requests that ran more than
// once: in a system whose instances send everything over pooled connections, on
// which http.Transport resends requests, and in one without claims.
func TestMixedFaultsNaive(t *testing.T) {
	const requests = 3000
	pooled := newSystem(t, mixedTargets, testDeadline)
	for _, h := range pooled.handlers {
		h.transport.unpooled = h.transport.pooled
	}
	unclaimed := newSystem(t, mixedTargets, testDeadline)
	for _, h := range unclaimed.handlers {
		h.Claimer = nil
	}
	for name, s := range map[string]*system{"pooled": pooled, "unclaimed": unclaimed} {
		s.store.Faults.Down.Store(false)
		doubleRuns, _ := sendMixed(t, s, requests, target.ResetAfter, target.NoFault).check(s)
		t.Logf("%s: %d of %d requests ran more than once, %d invariant violations", name, doubleRuns, requests, len(s.violations))
		if doubleRuns == 0 {
			t.Errorf("%s: no request of %d ran more than once, or the check did not see it", name, requests)
		}
	}
}

// mixedTargets are the options of the targets in these tests.
var mixedTargets = target.Options{Slots: 1000, AnswerBytes: 100, FaultShare: 0.3}

// sendMixed sends random requests to the first instance, and some of them again to
// the second, while targets show the given faults, or every fault if none is
// given. It returns what the callers saw.
func sendMixed(t *testing.T, s *system, requests int, faults ...target.Fault) *report {
	for _, backend := range append(s.reads, s.writes...) {
		backend.SetSettings(target.Settings{FaultShare: mixedTargets.FaultShare, Seed: mixedSeed, Faults: faults, DelayMillis: 5, LoadFactor: 1})
	}
	p := &report{outcomesByID: map[string]map[attempt.Outcome]int{}, counts: map[attempt.Outcome]int{}}
	transport := &http.Transport{MaxIdleConnsPerHost: mixedConcurrency}
	t.Cleanup(transport.CloseIdleConnections)
	var group errgroup.Group
	group.SetLimit(mixedConcurrency)
	for i := range requests {
		s.injectStoreFaults(i)
		group.Go(func() error {
			random := rand.New(rand.NewPCG(mixedSeed, uint64(i)))
			m := newMixedRequest(random, i)
			m.send(transport, s.addresses[0], p)
			if m.resend {
				m.send(transport, s.addresses[1], p)
			}
			return nil
		})
	}
	_ = group.Wait()
	return p
}

// injectStoreFaults makes the store lose the responses of some writes, and takes
// it down during one in ten requests. i counts the requests.
func (s *system) injectStoreFaults(i int) {
	if i%40 == 0 {
		s.store.Faults.DropWriteResponses.Add(1)
	}
	s.store.Faults.Down.Store(i%1000 >= 900)
}

// mixedRequest is one caller's request.
type mixedRequest struct {
	method, path, id string
	idempotencyKey   bool // the id is sent as Idempotency-Key too
	resend           bool // the request is sent again to the second instance
	bodyBytes        int
	chunked          bool
	responseBytes    int // size of the response that the caller asks for
}

// newMixedRequest returns the i-th request, with random properties.
func newMixedRequest(random *rand.Rand, i int) mixedRequest {
	sizes := []int{0, 10, 5000, 100_000}
	m := mixedRequest{method: http.MethodPost, path: fmt.Sprintf("/writes/%d", i), bodyBytes: sizes[random.IntN(4)], responseBytes: sizes[random.IntN(4)]}
	m.chunked = random.IntN(4) == 0
	if random.IntN(10) < 4 {
		m.method, m.path, m.bodyBytes = http.MethodGet, fmt.Sprintf("/reads/%d", i), 0
	}
	if random.IntN(2) == 0 {
		m.id = fmt.Sprintf("caller-%d", i)
		m.idempotencyKey = random.IntN(2) == 0
		m.resend = random.IntN(3) == 0
	}
	return m
}

// send sends the request to an instance and records the outcome. A broken
// connection counts as unknown.
func (m mixedRequest) send(transport *http.Transport, address string, p *report) {
	var body io.Reader = http.NoBody
	if m.bodyBytes > 0 {
		body = bytes.NewReader(make([]byte, m.bodyBytes))
	}
	if m.chunked && m.bodyBytes > 0 {
		body = io.MultiReader(body)
	}
	r, _ := http.NewRequest(m.method, fmt.Sprintf("http://%s%s?bytes=%d", address, m.path, m.responseBytes), body)
	r.Header.Set(KeyHeader, testKey)
	if m.id != "" {
		r.Header.Set(RequestIDHeader, m.id)
	}
	if m.idempotencyKey {
		r.Header.Set("Idempotency-Key", m.id)
	}
	response, err := (&http.Client{Transport: transport, Timeout: 10 * time.Second}).Do(r)
	if err != nil {
		p.add(m.id, attempt.Unknown, "")
		return
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	id := m.id
	if id == "" {
		id = response.Header.Get(RequestIDHeader)
	}
	outcome := attempt.Outcome(response.Header.Get(OutcomeHeader))
	switch {
	case err != nil:
		p.add(id, attempt.Unknown, "")
	case outcome != "":
		p.add(id, outcome, "")
	default:
		p.add(id, attempt.Answered, m.checkResponse(response.StatusCode, string(text)))
	}
}

// checkResponse returns what is wrong with a response that looks successful, or
// "" if nothing is.
func (m mixedRequest) checkResponse(status int, text string) string {
	if status == http.StatusServiceUnavailable && text == "overloaded\n" {
		return "" // a target's own response, without an outcome
	}
	line, _, _ := strings.Cut(text, "\n")
	want := fmt.Sprintf("ran %s %s with %d bytes", m.method, m.path, m.bodyBytes)
	if status == http.StatusOK && strings.HasSuffix(line, want) && len(text) == max(m.responseBytes, len(line)+1) {
		return ""
	}
	return fmt.Sprintf("%s %s: status %d, %d bytes, %q", m.method, m.path, status, len(text), line)
}

// firstFew returns at most three findings, to keep a test's output short.
func firstFew(findings []string) []string { return findings[:min(len(findings), 3)] }
