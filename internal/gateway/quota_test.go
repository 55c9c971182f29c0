package gateway

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/turmericfield/turmericfield/internal/affinity"
	"github.com/turmericfield/turmericfield/internal/clock"
	"github.com/turmericfield/turmericfield/internal/config"
	"github.com/turmericfield/turmericfield/internal/logging"
	"github.com/turmericfield/turmericfield/internal/metrics"
	"github.com/turmericfield/turmericfield/internal/quota"
)

// quotaCall returns a call of a workspace with a rate of 10 and a burst of 100 in a fleet of
// 100 instances, at an instance that has used its equal share.
func quotaCall(t *testing.T, refresh func(g *Gateway) bool) *call {
	t.Helper()
	logs := logging.New(t.Output(), "error")
	var g *Gateway
	g = New(Options{
		HeaderNames: testHeaders, MaxKeyStaleness: time.Hour, MaxConfigurationStaleness: time.Hour, Metrics: metrics.New(), Log: logs.Part("gateway"),
		RefreshQuota: func(ctx context.Context) bool {
			if refresh != nil && refresh(g) {
				return true
			}
			<-ctx.Done()
			return false
		},
	}, "self")
	g.SetInstances(make([]string, 100))
	w := &config.Workspace{Name: "w", Rate: 10, Burst: 100}
	g.WithState(func(_ *affinity.Balancer, q *quota.Limiter, now time.Duration) {
		for verdict := quota.Admitted; verdict == quota.Admitted; {
			verdict, _ = q.Take(w, now)
		}
	})
	now := time.Now()
	return &call{Gateway: g, request: httptest.NewRequest("GET", "http://h/a/1", nil), start: now, deadline: now.Add(time.Second), startSinceBoot: clock.SinceBoot(), workspace: w}
}

// setLevels gives the gateway levels with so many tokens left.
func setLevels(g *Gateway, left float64) {
	g.WithState(func(_ *affinity.Balancer, q *quota.Limiter, now time.Duration) {
		q.SetLevels(q.Report(), quota.Levels{Share: 1, Part: 0.01, Levels: []quota.Level{{Workspace: "w", Left: left}}}, now)
	})
}

func TestRequestWaitsForLevelsBeforeItIsRefused(t *testing.T) {
	c := quotaCall(t, func(g *Gateway) bool { setLevels(g, 90); return true })
	if refused := c.takeQuota(); refused != nil || c.charged != "w" {
		t.Errorf("refused %+v although the fleet has tokens", refused)
	}
	if c.exceededQuota.Rate != 0 {
		t.Errorf("the log of an admitted request would tell %+v", c.exceededQuota)
	}
}

func TestRequestBeyondTheQuotaIsRefusedAtOnce(t *testing.T) {
	asked := 0
	c := quotaCall(t, func(g *Gateway) bool { asked++; return false })
	setLevels(c.Gateway, -5)
	if refused := c.takeQuota(); refused == nil || refused.status != 429 || c.charged != "" {
		t.Errorf("got %+v", refused)
	}
	if asked > 0 {
		t.Error("levels were asked for although they show that the quota is used up")
	}
}

func TestRequestIsRefusedIfNoLevelsCome(t *testing.T) {
	c := quotaCall(t, nil)
	begin := time.Now()
	if refused := c.takeQuota(); refused == nil || refused.status != 429 || c.charged != "" {
		t.Errorf("got %+v", refused)
	}
	if time.Since(begin) < maxQuotaWait {
		t.Error("the request did not wait for levels")
	}
	c = quotaCall(t, func(g *Gateway) bool { setLevels(g, -5); return true })
	if refused := c.takeQuota(); refused == nil {
		t.Error("admitted although the levels that came show that the quota is used up")
	}
}
