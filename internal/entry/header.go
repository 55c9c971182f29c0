package entry

import (
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/turmericfield/turmericfield/internal/hopbyhop"
)

// HTTP headers between callers, instances and targets.
const (
	// KeyHeader carries the key of the caller's workspace in the form id.secret. It
	// is not passed on to targets.
	KeyHeader = "Workspace-Key"
	// OutcomeHeader tells a caller, in a response that does not come from a target,
	// whether the request did not run (not-run) or may have run (unknown). In a 503
	// response of a target, not-run says that the target did not run the request.
	OutcomeHeader = "Turmericfield-Outcome"
	// RequestIDHeader carries the id of a request to the target, and back in the
	// response, which proves which request it belongs to.
	RequestIDHeader = "X-Request-Id"
	// TryHeader carries a random id of one try of a request. If a target repeats it
	// in its response, the response cannot be taken for that of another request,
	// even if callers use the same request id for several. A connection is used for
	// several requests only if the target repeats it in each response.
	TryHeader = "Turmericfield-Try"
	// LeavingHeader with the value 1 in a target's response says that the target shuts
	// down and wants no further requests. It is not passed on to callers.
	LeavingHeader = "Turmericfield-Leaving"
	// DeadlineHeader carries the time left for a request, in milliseconds: in a
	// caller's request its own limit, in a request to a target what remains.
	DeadlineHeader = "Turmericfield-Deadline-Ms"
)

const (
	expectHeader      = "Expect"
	expectContinue    = "100-continue"
	maxRequestIDBytes = 128 // a caller's longer id is replaced by a random one
	// minSearchedKeyBytes is the length from which on exposesKey searches for a key
	// or its secret.
	minSearchedKeyBytes = 8
)

// requestHeader returns the header to send to a target: the caller's, without
// hop-by-hop headers, the workspace's key, what only a target says, and Expect.
func requestHeader(from http.Header) http.Header {
	to := make(http.Header, len(from)+4)
	hopbyhop.CopyEndToEnd(to, from)
	to.Del(KeyHeader)
	to.Del(OutcomeHeader)
	to.Del(LeavingHeader)
	to.Del(expectHeader)
	if to.Get("User-Agent") == "" {
		to["User-Agent"] = nil // keeps the transport from adding its own
	}
	return to
}

// copyResponseHeader copies the header of a target's response, without hop-by-hop
// headers and without what a target says only to the instance: the outcome, the id of
// the try and that it leaves.
func copyResponseHeader(to, from http.Header) {
	hopbyhop.CopyEndToEnd(to, from)
	to.Del(OutcomeHeader)
	to.Del(TryHeader)
	to.Del(LeavingHeader)
}

// callerRequestID returns the request id that the caller has set, or "" if there
// is none, or one that is too long or not printable ASCII without spaces.
func callerRequestID(r *http.Request) string {
	id := r.Header.Get(RequestIDHeader)
	if len(id) > maxRequestIDBytes || strings.ContainsFunc(id, func(c rune) bool { return c <= ' ' || c > '~' }) {
		return ""
	}
	return id
}

// callerIdempotencyKey returns the id by which a caller may send a request again,
// with the name of its header in front, or "" if there is none.
func callerIdempotencyKey(r *http.Request) string {
	for _, name := range []string{"Idempotency-Key", "X-Idempotency-Key", RequestIDHeader} {
		if id := r.Header.Get(name); id != "" {
			return name + ":" + id
		}
	}
	return ""
}

// requestTimeout returns the time limit of a request: the route's, or the caller's
// if that is shorter.
func requestTimeout(r *http.Request, routeTimeout time.Duration) time.Duration {
	ms, err := strconv.ParseInt(r.Header.Get(DeadlineHeader), 10, 32)
	if err != nil || ms < 0 {
		return routeTimeout
	}
	return min(routeTimeout, time.Duration(ms)*time.Millisecond)
}

// exposesKey reports whether one of the keys, or its secret, occurs in the URL or
// in a header other than KeyHeader.
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

// urlContains reports whether a string occurs in the path of a URL or in its
// query, escaped or not.
func urlContains(u *url.URL, substring string) bool {
	if strings.Contains(u.Path, substring) || strings.Contains(u.RawQuery, substring) {
		return true
	}
	query, err := url.QueryUnescape(u.RawQuery)
	return err == nil && strings.Contains(query, substring)
}

// headerContains reports whether a string occurs in a value of any header other
// than KeyHeader.
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
