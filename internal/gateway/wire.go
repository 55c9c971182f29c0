package gateway

import (
	"bytes"
	"context"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/turmericfield/turmericfield/internal/affinity"
	"github.com/turmericfield/turmericfield/internal/callerserver"
	"github.com/turmericfield/turmericfield/internal/hopbyhop"
	"github.com/turmericfield/turmericfield/internal/logging"
	"github.com/turmericfield/turmericfield/internal/metrics"
)

// head returns the request line and headers to be sent to the chosen target.
func (c *call) head() []byte {
	r, names := c.request, c.HeaderNames
	var b bytes.Buffer
	target := r.RequestURI
	if len(target) == 0 || target[0] != '/' {
		target = r.URL.RequestURI()
	}
	b.WriteString(r.Method + " " + target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	header := make(http.Header, len(r.Header))
	hopbyhop.CopyEndToEnd(header, r.Header)
	for _, name := range []string{"Content-Length", "Expect", names.Deadline, names.ExpectedInstance, names.Workspace, names.APIKey} {
		header.Del(name) // set below, or meant for this instance only
	}
	for name, values := range header {
		for _, v := range values {
			b.WriteString(name + ": " + v + "\r\n")
		}
	}
	remainingMillis := max(c.remaining().Milliseconds(), 1)
	b.WriteString(names.Deadline + ": " + strconv.FormatInt(remainingMillis, 10) + "\r\n")
	b.WriteString(names.ExpectedInstance + ": " + c.grant.Target.ID + "\r\n")
	if c.workspace != nil {
		b.WriteString(names.Workspace + ": " + c.workspace.Name + "\r\n")
	}
	switch {
	case c.streamedBody == nil && (len(c.bufferedBody) > 0 || r.ContentLength > 0 || methodHasBody(r.Method)):
		b.WriteString("Content-Length: " + strconv.Itoa(len(c.bufferedBody)) + "\r\n")
	case c.streamedBody != nil && r.ContentLength >= 0:
		b.WriteString("Content-Length: " + strconv.FormatInt(r.ContentLength, 10) + "\r\n")
	case c.streamedBody != nil:
		b.WriteString("Transfer-Encoding: chunked\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

func methodHasBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// writeResponse returns a target's response to the caller.
func (c *call) writeResponse(x *exchange) {
	response := x.response
	defer callerserver.Hold(c.request, len(x.body))()
	h := c.writer.Header()
	ownConnection := h.Get("Connection")
	hopbyhop.CopyEndToEnd(h, response.Header)
	h.Del("Content-Length") // set below
	if ownConnection != "" {
		h.Set("Connection", ownConnection)
	}
	if response.Header.Get("Content-Type") == "" {
		h["Content-Type"] = nil // keeps the server from guessing a type
	}
	if c.streamedBody != nil && !c.bodyComplete.Load() {
		h.Set("Connection", "close")
	}
	if x.bodyComplete {
		switch {
		case !x.isHead():
			h.Set("Content-Length", strconv.Itoa(len(x.body)))
		case response.ContentLength >= 0:
			h.Set("Content-Length", strconv.FormatInt(response.ContentLength, 10))
		}
		c.finish(x)
		c.writer.WriteHeader(response.StatusCode)
		_, err := c.writer.Write(x.body)
		c.recordAnswered(response.StatusCode, err)
		return
	}
	if response.ContentLength >= 0 {
		h.Set("Content-Length", strconv.FormatInt(response.ContentLength, 10))
	}
	c.writer.WriteHeader(response.StatusCode)
	if whole, err := c.passOn(x); err != nil {
		c.recordAnswered(response.StatusCode, err)
		if !whole {
			x.discard()
		}
		c.abortResponse()
		return
	}
	c.recordAnswered(response.StatusCode, nil)
}

// passOn writes the body of a long response to the caller. If it has been read to its end,
// which whole reports, the exchange is finished. At the deadline it ends also for a caller
// that has yet to take what is held.
func (c *call) passOn(x *exchange) (whole bool, err error) {
	hold := func(bytes int) (func(), bool) { return callerserver.TryHold(c.request, bytes) }
	received := func() (uint64, bool) { return callerserver.Received(c.request) }
	body := newUnreadBody(x.body, x.response.Body, hold, received, func() { c.finish(x) }, func() { _ = x.conn.Close() })
	// The context also ends when the reading of a streamed request body is interrupted.
	timer := time.AfterFunc(c.remaining(), func() { body.end(context.DeadlineExceeded) })
	_, err = io.Copy(c.writer, body)
	timer.Stop()
	if whole = body.end(io.ErrClosedPipe); !whole {
		_ = x.conn.Close() // ends the read of a body that the caller does not get
	}
	<-body.done
	c.unreadHeld = body.held * pieceSize
	if body.held > 0 {
		c.Metrics.Add("answers_held_unread_total", 1)
	}
	if body.brokenOff {
		c.Metrics.Add("answers_unread_broken_off_total", 1)
	}
	return whole, err
}

// abortResponse ends the caller's connection so that a cut response does not look complete.
// Callers by HTTP/1.0 take the close of a connection for the end of a response without a
// length, so theirs is reset.
func (c *call) abortResponse() {
	if !c.request.ProtoAtLeast(1, 1) {
		if conn, _, err := http.NewResponseController(c.writer).Hijack(); err == nil {
			if tcp, ok := conn.(interface{ SetLinger(int) error }); ok {
				_ = tcp.SetLinger(0) // fails only if the connection has ended already
			}
			_ = conn.Close() // nobody can be told of an error
			return
		}
	}
	panic(http.ErrAbortHandler)
}

// recordAnswered logs and counts a response returned to the caller; err is set
// if it was cut off.
func (c *call) recordAnswered(status int, err error) {
	outcome := ""
	if err != nil {
		outcome = logging.DescribeCopyError(err)
		c.Metrics.Add("answers_cut_total", 1)
	}
	c.log("answered", status, outcome)
	c.Metrics.Add(metrics.Label("requests_total", "outcome", "answered"), 1)
	c.Metrics.Observe(metrics.Label("request", "route_class", c.routeClass()), time.Since(c.start))
}

// routeClass returns whether the route's requests may be repeated, as a metric
// label.
func (c *call) routeClass() string {
	switch {
	case c.route == nil:
		return "none"
	case c.route.Repeatable:
		return "repeatable"
	}
	return "once"
}

// writeRefusal sends an error response of the gateway itself to the caller.
func (c *call) writeRefusal(refused refusal) {
	h := c.writer.Header()
	if refused.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(jitter(refused.retryAfter).Seconds(), 'f', 3, 64))
	}
	if c.id != "" {
		h.Set(c.HeaderNames.RequestID, c.id)
	}
	if c.streamedBody != nil || refused.status == http.StatusRequestTimeout {
		h.Set("Connection", "close")
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	message := refused.reason + "\n"
	h.Set("Content-Length", strconv.Itoa(len(message)))
	c.writer.WriteHeader(refused.status)
	_, _ = io.WriteString(c.writer, message) // the caller may have disconnected
	c.log("refused", refused.status, refused.reason)
	c.Metrics.Add(metrics.Label("requests_total", "outcome", refused.reason), 1)
}

// log writes a log entry for a decision about the request, with everything that
// the decision was based on.
func (c *call) log(decision string, status int, reason string) {
	line := c.Log.Info().Str("request", c.id).Str("decision", decision)
	if status != 0 {
		line = line.Int("status", status)
	}
	if reason != "" {
		line = line.Str("reason", reason)
	}
	if c.route != nil {
		line = line.Str("route", c.route.Name).Int("priority", c.priority())
	}
	if c.service != "" {
		line = line.Str("service", c.service)
	}
	if c.grant.Reason == affinity.Unavailable {
		line = line.Int64("wait_ms", c.grant.Wait.Milliseconds())
	}
	if c.workspace != nil {
		line = line.Str("workspace", c.workspace.Name)
	}
	if c.pace > 0 {
		line = line.Float64("pace", c.pace)
	}
	if c.waited > 0 {
		line = line.Int64("waited_ms", c.waited.Milliseconds())
	}
	if reason == string(affinity.Full) && c.yield.Share > 0 {
		line = line.Int64("yields_to_ms", c.yield.Objective.Milliseconds())
	}
	if q := c.exceededQuota; q.Rate > 0 {
		line = line.Float64("quota_rate", q.Rate).Int("quota_burst", q.Burst).Float64("quota_left", round(q.Left)).
			Uint64("quota_taken", q.Taken).Bool("quota_hub", q.Hub).Int64("quota_age_ms", q.Age.Milliseconds())
	}
	if c.table != nil {
		line = line.Uint64("version", c.table.Version).Int64("evidence_age_ms", c.Staleness().Milliseconds())
		if newest := c.Table(); newest.Version != c.table.Version {
			line = line.Uint64("in_force", newest.Version)
		}
	}
	if c.homeRegions.Bound() {
		line = line.Strs("homes", c.homeRegions)
	}
	if object := c.request.Header.Get(c.HeaderNames.Object); object != "" {
		line = line.Str("object", object)
	}
	if c.grant.Target.ID != "" {
		line = line.Str("target", c.grant.Target.ID).Str("zone", c.grant.Target.AvailabilityZone).Str("region", c.grant.Target.Region).
			Str("placement", string(c.grant.Reason)).Float64("load", c.grant.Load).Int("attempt", c.attempts)
	}
	if c.unreadHeld > 0 {
		line = line.Int("held_unread_bytes", c.unreadHeld)
	}
	if callerserver.Ahead(c.request) || c.age >= time.Millisecond {
		line = line.Bool("ahead", callerserver.Ahead(c.request)).Int64("age_ms", c.age.Milliseconds())
	}
	line.Int64("elapsed_ms", time.Since(c.start).Milliseconds()).Msg("request: decided")
}

// round rounds to two decimal places, for logs.
func round(x float64) float64 { return math.Round(100*x) / 100 }
