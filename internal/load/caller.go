package load

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/turmericfield/turmericfield/internal/entry"
	"github.com/turmericfield/turmericfield/internal/responsehead"
)

// Outcome is how a caller's request ended.
type Outcome string

// Outcomes of a request.
const (
	// Answered means that the whole answer arrived.
	Answered Outcome = "answered"
	// Refused means that the request was certainly not run.
	Refused Outcome = "refused"
	// Unknown means that the request may have been run.
	Unknown Outcome = "unknown"
	// Broken means that the answer ended before it was whole.
	Broken Outcome = "broken"
)

// maxSends is how often a caller sends one request at most, the first time included.
const maxSends = 3

// caller is one client of the system. It looks up which instances to use, caches the
// answer for as long as it allows, and sends its requests to the first of them.
type caller struct {
	client             *http.Client
	scheme             string
	bootstrapAddresses []string // IP:port of instances to ask
	address            netip.Addr

	mu        sync.Mutex
	instances []string  // IP:port from the last look-up answer, best first
	expires   time.Time // end of the look-up answer's lifetime
}

// result says how one request ended.
type result struct {
	outcome  Outcome
	reason   string // why it was not answered
	instance string // IP:port that it was sent to last
	sends    int
}

// sendWithRetries sends a request until it is answered, may not be sent again, or was
// sent maxSends times. Before each further send it looks up the instances again, and
// it goes through them in their order.
func (c *caller) sendWithRetries(ctx context.Context, request Request, key string) result {
	last := result{outcome: Refused, reason: "no-instance"}
	for sends := 1; sends <= maxSends; sends++ {
		instances := c.lookup(ctx)
		if len(instances) == 0 {
			return last
		}
		instance := instances[(sends-1)%len(instances)]
		last = c.send(ctx, instance, request, key)
		last.instance, last.sends = instance, sends
		if last.outcome == Answered || ctx.Err() != nil || !mayResend(last, request) {
			return last
		}
		c.expireLookup()
	}
	return last
}

// mayResend reports whether a caller sends a request again. It does if no connection
// could be made, or after a refusal for which another instance may decide otherwise.
// If the request may have been run, it does only if the request is repeatable.
func mayResend(r result, request Request) bool {
	switch r.outcome {
	case Refused:
		switch r.reason {
		case "leaving", "connect", "no-target", "unavailable", "overloaded":
			return true
		}
		return false
	case Unknown, Broken:
		return request.Repeatable
	}
	return false
}

// lookup returns the instances to use, best first. While the cached answer has not
// expired, it returns that. Otherwise it asks the instances of the last answer and
// then the bootstrap ones, until one answers. If none does, the last answer remains.
func (c *caller) lookup(ctx context.Context) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().Before(c.expires) {
		return c.instances
	}
	candidates := append(append([]string(nil), c.instances...), c.bootstrapAddresses...)
	for _, instance := range candidates {
		answer, err := c.queryInstance(ctx, instance)
		if err != nil || len(answer.Instances) == 0 {
			continue
		}
		c.instances = c.instances[:0:0]
		for _, in := range answer.Instances {
			c.instances = append(c.instances, in.Address)
		}
		c.expires = time.Now().Add(time.Duration(answer.TTLMillis) * time.Millisecond)
		return c.instances
	}
	return c.instances
}

// queryInstance sends one look-up to an instance.
func (c *caller) queryInstance(ctx context.Context, instance string) (entry.LookupResponse, error) {
	var answer entry.LookupResponse
	lookupURL := c.scheme + "://" + instance + entry.LookupPath + "?client=" + url.QueryEscape(c.address.String())
	lookupRequest, err := http.NewRequestWithContext(ctx, http.MethodGet, lookupURL, nil)
	if err != nil {
		return answer, err
	}
	response, err := c.client.Do(lookupRequest)
	if err != nil {
		return answer, err
	}
	defer response.Body.Close()
	return answer, json.NewDecoder(http.MaxBytesReader(nil, response.Body, entry.MaxJSONBytes)).Decode(&answer)
}

// expireLookup makes the next send look up the instances again.
func (c *caller) expireLookup() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expires = time.Time{}
}

// send sends a request to an instance once.
func (c *caller) send(ctx context.Context, instance string, request Request, key string) result {
	requestURL := c.scheme + "://" + instance + request.Path
	if request.AnswerBytes > 0 {
		requestURL += "?bytes=" + strconv.Itoa(request.AnswerBytes)
	}
	httpRequest, err := http.NewRequestWithContext(ctx, request.Method, requestURL, strings.NewReader(strings.Repeat("x", request.BodyBytes)))
	if err != nil {
		return result{outcome: Refused, reason: "malformed"}
	}
	httpRequest.Header.Set(entry.KeyHeader, key)
	response, err := c.client.Do(httpRequest)
	if err != nil {
		if errors.Is(err, errConnect) {
			return result{outcome: Refused, reason: "connect"}
		}
		return result{outcome: Unknown, reason: "connection"}
	}
	defer response.Body.Close()
	return classify(response, request)
}

// classify returns how a request ended that got an HTTP answer. An instance that could
// not get an answer from a target says in a header whether the request may have run.
func classify(response *http.Response, request Request) result {
	if statedOutcome := response.Header.Get(entry.OutcomeHeader); statedOutcome != "" {
		var body entry.ErrorResponse
		_ = json.NewDecoder(http.MaxBytesReader(nil, response.Body, entry.MaxJSONBytes)).Decode(&body)
		if statedOutcome == "not-run" {
			return result{outcome: Refused, reason: body.Reason}
		}
		return result{outcome: Unknown, reason: body.Reason}
	}
	if !responsehead.HasDetectableEnd(response) {
		return result{outcome: Broken, reason: "no-length"}
	}
	bytesRead, err := io.Copy(io.Discard, response.Body)
	if err != nil || request.AnswerBytes > 0 && bytesRead < int64(request.AnswerBytes) {
		return result{outcome: Broken, reason: "cut-short"}
	}
	return result{outcome: Answered}
}
