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
)

// Outcome is what a caller got.
type Outcome string

// Outcomes of a request.
const (
	Answered Outcome = "answered"
	// Refused requests were not run.
	Refused Outcome = "refused"
	// Unknown requests may have run.
	Unknown Outcome = "unknown"
	// Broken answers ended before they were whole.
	Broken Outcome = "broken"
)

// maxSends bounds how often a caller sends one request.
const maxSends = 3

// caller is one app user: it asks which instances to use, keeps the answer for
// as long as that allows, and sends its requests to the best one.
type caller struct {
	client             *http.Client
	scheme             string
	bootstrapAddresses []string // IP:port of instances to ask
	address            netip.Addr

	mu        sync.Mutex
	instances []string
	expires   time.Time
}

// result is the end of one request.
type result struct {
	outcome  Outcome
	reason   string // of a refusal
	instance string
	sends    int
}

// sendWithRetries sends a request until it is answered or may not be sent again: after a
// refusal that says not run, or after a connection that could not be made, the
// caller tries the next instance; after an unknown outcome only a repeatable
// request is sent again.
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

func mayResend(r result, request Request) bool {
	switch r.outcome {
	case Refused:
		return r.reason == "leaving" || r.reason == "connect" || r.reason == "no-target" || r.reason == "overloaded"
	case Unknown, Broken:
		return request.Repeatable
	}
	return false
}

// lookup returns the instances to use, from the cached answer while it lasts.
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
	return answer, json.NewDecoder(response.Body).Decode(&answer)
}

func (c *caller) expireLookup() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expires = time.Time{}
}

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

func classify(response *http.Response, request Request) result {
	if statedOutcome := response.Header.Get(entry.OutcomeHeader); statedOutcome != "" {
		var body entry.ErrorResponse
		_ = json.NewDecoder(response.Body).Decode(&body)
		if statedOutcome == "not-run" {
			return result{outcome: Refused, reason: body.Reason}
		}
		return result{outcome: Unknown, reason: body.Reason}
	}
	bytesRead, err := io.Copy(io.Discard, response.Body)
	if err != nil || request.AnswerBytes > 0 && bytesRead < int64(request.AnswerBytes) {
		return result{outcome: Broken, reason: "cut-short"}
	}
	return result{outcome: Answered}
}
