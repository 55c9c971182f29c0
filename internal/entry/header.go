package entry

import (
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/turmericfield/turmericfield/internal/hopbyhop"
)

// Headers of the data path.
const (
	// KeyHeader carries a workspace's key as id.secret.
	KeyHeader = "Workspace-Key"
	// OutcomeHeader tells a caller what became of a request that has no answer
	// of a target: not-run or unknown. On a 503 of a target, not-run says that
	// the target did not run the request.
	OutcomeHeader = "Turmericfield-Outcome"
	// RequestIDHeader identifies a request on its way to a target and back.
	RequestIDHeader = "X-Request-Id"
	// TryHeader identifies one try of a request. A target that repeats it in
	// its answer is protected against callers that use the same request id.
	TryHeader = "Turmericfield-Try"
	// DeadlineHeader is the time that is left for a request, in milliseconds.
	DeadlineHeader = "Turmericfield-Deadline-Ms"
)

const (
	expectHeader        = "Expect"
	expectContinue      = "100-continue"
	maxRequestIDBytes   = 128
	minSearchedKeyBytes = 8 // shorter strings are not searched for
)

// requestHeader returns the header that a target gets for a caller's request:
// without hop-by-hop headers and without the workspace's key.
func requestHeader(from http.Header) http.Header {
	to := make(http.Header, len(from)+4)
	hopbyhop.CopyEndToEnd(to, from)
	to.Del(KeyHeader)
	to.Del(OutcomeHeader)
	to.Del(expectHeader)
	if to.Get("User-Agent") == "" {
		to["User-Agent"] = nil // keeps the transport from adding its own
	}
	return to
}

// copyResponseHeader copies a target's header without hop-by-hop headers.
func copyResponseHeader(to, from http.Header) {
	hopbyhop.CopyEndToEnd(to, from)
	to.Del(OutcomeHeader)
	to.Del(TryHeader)
}

// callerRequestID returns the caller's own id if it is a plausible one.
func callerRequestID(r *http.Request) string {
	id := r.Header.Get(RequestIDHeader)
	if len(id) > maxRequestIDBytes || strings.ContainsFunc(id, func(c rune) bool { return c <= ' ' || c > '~' }) {
		return ""
	}
	return id
}

// onceID returns what identifies a request that its caller may send again, or
// "" if the caller gave nothing.
func callerIdempotencyKey(r *http.Request) string {
	for _, name := range []string{"Idempotency-Key", "X-Idempotency-Key", RequestIDHeader} {
		if id := r.Header.Get(name); id != "" {
			return name + ":" + id
		}
	}
	return ""
}

// timeout returns the time for a request: the route's, or less if the caller
// says so.
func requestTimeout(r *http.Request, routeTimeout time.Duration) time.Duration {
	ms, err := strconv.ParseInt(r.Header.Get(DeadlineHeader), 10, 32)
	if err != nil || ms < 0 {
		return routeTimeout
	}
	return min(routeTimeout, time.Duration(ms)*time.Millisecond)
}

// exposesKey tells whether a URL or a header other than the key's own holds
// one of the keys.
func exposesKey(keys []string, u *url.URL, header http.Header) bool {
	for _, key := range keys {
		_, secret, _ := strings.Cut(key, ".")
		for _, substring := range []string{key, secret} {
			if len(substring) >= minSearchedKeyBytes && (urlContains(u, substring) || headerContains(header, substring)) {
				return true
			}
		}
	}
	return false
}

func urlContains(u *url.URL, substring string) bool {
	if strings.Contains(u.Path, substring) || strings.Contains(u.RawQuery, substring) {
		return true
	}
	query, err := url.QueryUnescape(u.RawQuery)
	return err == nil && strings.Contains(query, substring)
}

func headerContains(header http.Header, substring string) bool {
	for name, values := range header {
		if name == KeyHeader {
			continue
		}
		for _, value := range values {
			if strings.Contains(value, substring) {
				return true
			}
		}
	}
	return false
}
