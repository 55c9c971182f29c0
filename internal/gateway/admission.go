package gateway

import (
	"context"
	"net/http"
	"net/textproto"
	"strconv"
	"time"

	"github.com/turmericfield/turmericfield/internal/callerserver"
	"github.com/turmericfield/turmericfield/internal/clock"
	"github.com/turmericfield/turmericfield/internal/quota"
)

// maxQuotaWait bounds how long a request waits for newer quota levels: several round trips
// between regions, or the loss of one hub whose machine still responds.
const maxQuotaWait = 150 * time.Millisecond

// admit checks, in this order, the configuration, route, body size, deadline,
// draining, API key, home regions and quota. Key and quota are skipped for open routes
// and on platforms without keys. It returns nil if the request may be sent.
func (c *call) admit() *refusal {
	if refused := c.resolveRoute(); refused != nil {
		return refused
	}
	c.repeatable = c.route.Repeatable
	if limit := c.table.Limits.BodyBytes; limit > 0 && c.request.ContentLength > limit {
		return c.deny(http.StatusRequestEntityTooLarge, "body-too-large")
	}
	c.setDeadline()
	if end := c.drainEnd.Load(); end != nil && c.deadline.After(*end) {
		return &refusal{http.StatusServiceUnavailable, "leaving", retryAfterDraining}
	}
	if refused := c.resolveWorkspace(); refused != nil {
		return refused
	}
	if refused := c.resolveHomeRegions(); refused != nil {
		return refused
	}
	return c.takeQuota()
}

// resolveRoute makes the call follow the configuration in force and finds its route. A
// request that runs ahead of its turn by another configuration and may not by this one is
// refused: the caller may send it again if its connection ends before its turn.
func (c *call) resolveRoute() *refusal {
	c.table = c.Table()
	if c.table == nil {
		return &refusal{http.StatusServiceUnavailable, "no-configuration", retryAfterStaleConfig}
	}
	if c.route = c.table.Route(c.request.Host, c.request.URL.EscapedPath()); c.route == nil {
		return c.deny(http.StatusNotFound, "no-route")
	}
	if !c.route.Repeatable && callerserver.Ahead(c.request) {
		return &refusal{http.StatusServiceUnavailable, "ahead-of-its-turn", retryAfterRejected}
	}
	return nil
}

// deny returns a refusal after which callers do not send the request again. If the
// configuration may be outdated, another one may allow the request, and callers are
// asked to send it again.
func (c *call) deny(status int, reason string) *refusal {
	if !c.configurationTrusted() {
		return &refusal{http.StatusServiceUnavailable, "configuration-stale", retryAfterStaleConfig}
	}
	return &refusal{status, reason, 0}
}

// resolveWorkspace finds the workspace that holds the request's API key, unless the
// route needs none.
func (c *call) resolveWorkspace() *refusal {
	c.workspace = nil
	if !c.table.RequiresKey || c.route.Open {
		return nil
	}
	if !c.keysTrusted() {
		return &refusal{http.StatusServiceUnavailable, "keys-stale", retryAfterStaleConfig}
	}
	keys := c.apiKeys()
	if len(keys) != 1 {
		return c.deny(http.StatusUnauthorized, "one-key-needed")
	}
	if c.workspace = c.table.WorkspaceOf(keys[0]); c.workspace == nil {
		return c.deny(http.StatusUnauthorized, "unknown-key")
	}
	return nil
}

// resolveHomeRegions finds the regions that may run the request: those of its route and
// of the workspace of its key, also on a route that needs none. Like keys, they are not
// trusted once the configuration may be outdated.
func (c *call) resolveHomeRegions() *refusal {
	c.homeRegions = c.route.HomeRegions
	for _, key := range c.apiKeys() {
		if w := c.table.WorkspaceOf(key); w != nil {
			c.homeRegions = c.homeRegions.Intersect(w.HomeRegions)
		}
	}
	if c.homeRegions.Bound() && !c.configurationTrusted() {
		return &refusal{http.StatusServiceUnavailable, "homes-stale", retryAfterStaleConfig}
	}
	return nil
}

// apiKeys returns the values of the request's API key header.
func (c *call) apiKeys() []string {
	return c.request.Header[textproto.CanonicalMIMEHeaderKey(c.HeaderNames.APIKey)]
}

// takeQuota takes the request from the quota of its workspace, if it has one. If this
// instance knows too little of the quota's use, the request waits for newer levels.
func (c *call) takeQuota() *refusal {
	if c.workspace == nil {
		return nil
	}
	verdict, wait := c.tryQuota()
	if verdict == quota.Undecided && c.RefreshQuota != nil {
		c.Metrics.Add("quota_asks_total", 1)
		ctx, cancel := context.WithTimeout(c.request.Context(), min(maxQuotaWait, c.remaining()))
		defer cancel()
		for verdict == quota.Undecided && c.RefreshQuota(ctx) {
			verdict, wait = c.tryQuota()
		}
	}
	if verdict != quota.Admitted {
		return &refusal{http.StatusTooManyRequests, "quota", wait}
	}
	c.charged = c.workspace.Name
	return nil
}

// tryQuota takes the request from the quota of its workspace as far as this instance knows
// that. If it does not admit the request, it records why for the log.
func (c *call) tryQuota() (quota.Verdict, time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := clock.SinceBoot()
	verdict, wait := c.limiter.Take(c.workspace, now)
	if verdict != quota.Admitted {
		c.exceededQuota = c.limiter.Status(c.workspace, now)
	} else {
		c.exceededQuota = quota.Status{}
	}
	return verdict, wait
}

// followConfiguration resolves the request again if another configuration has come
// into force since it was last resolved. A request that another workspace would have to
// be charged for is refused; the caller's next request will be.
func (c *call) followConfiguration(object string) *refusal {
	if c.Table() == c.table {
		return nil
	}
	if refused := c.resolveRoute(); refused != nil {
		return refused
	}
	if refused := c.resolveWorkspace(); refused != nil {
		return refused
	}
	if refused := c.resolveHomeRegions(); refused != nil {
		return refused
	}
	if c.workspace == nil && c.charged != "" || c.workspace != nil && c.workspace.Name != c.charged {
		return &refusal{http.StatusServiceUnavailable, "withdrawn", retryAfterStaleConfig}
	}
	c.repeatable = c.repeatable && c.route.Repeatable
	c.shortenDeadline()
	if !c.route.SendsTo(c.service) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.service = c.splitter.Choose(c.route, object)
	}
	return nil
}

// shortenDeadline moves the deadline forward if the route's timeout is shorter now than
// when the request was resolved first.
func (c *call) shortenDeadline() {
	before := c.deadline
	if c.setDeadline(); !c.deadline.Before(before) {
		c.deadline = before
		return
	}
	ctx, cancel := context.WithDeadline(c.ctx, c.deadline)
	context.AfterFunc(c.ctx, cancel)
	c.ctx = ctx
}

// setDeadline sets the deadline from the shortest of defaultTimeout, the
// route's timeout and the time that the caller waits.
func (c *call) setDeadline() {
	limit := defaultTimeout
	if t := c.route.Timeout(); t > 0 {
		limit = min(limit, t)
	}
	if ms, err := strconv.ParseInt(c.request.Header.Get(c.HeaderNames.Deadline), 10, 32); err == nil && ms > 0 {
		limit = min(limit, max(time.Duration(ms)*time.Millisecond-responseTransit, time.Millisecond))
	}
	c.deadline = c.start.Add(limit)
}
