package quota

import (
	"testing"
	"time"

	"github.com/turmericfield/turmericfield/internal/config"
)

// The hub of a fleet in one availability zone hears only one reporter, the zone's aggregator, and
// its own instance gets the levels a while after they were sent. The hub must not go on with the
// number of instances of before because its own instance learns that from it.
func TestHubOfOneZoneForgetsStoppedInstances(t *testing.T) {
	const growDelay, interval, delay, before, after = 4 * time.Second, 100 * time.Millisecond, 30 * time.Millisecond, 100, 60
	w := &config.Workspace{Name: "w", Rate: 10, Burst: 10}
	h, own := newTestHub(1, w, before), New("a", 1, growDelay)
	own.SetInstances(before, 0)
	stopped := 2 * time.Second
	var echo time.Duration
	for now := interval; now < stopped+3*growDelay; now += interval {
		registered := before
		if now >= stopped {
			registered = after
		}
		h.SetInstances(registered, own.Instances(now))
		l := h.Handle(Report{Instance: "zone", Started: 1, Carries: true, Members: registered, Echo: echo}, now)
		echo = l.SentAt
		if now == stopped {
			own.SetInstances(after, now+delay/2)
		}
		own.Take(w, now+delay)
		own.SetLevels(Report{}, l, now)
		if now >= stopped+growDelay+time.Second && (l.Fleet != after || l.Share < 1) {
			t.Fatalf("%v after the stop the hub divides by %d instances and gives out %.2f of the quotas, want %d and 1", now-stopped, l.Fleet, l.Share, after)
		}
	}
}
