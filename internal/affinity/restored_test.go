package affinity

import (
	"testing"
	"time"
)

// A store that came back as an older copy may list a target as it was before its cold
// start, at a later revision.
func TestEarlierRegistrationDoesNotEndAColdStart(t *testing.T) {
	const coldFor = 3 * time.Second
	warm := Target{ID: "t", Service: service, Address: "10.0.0.1:80", AvailabilityZone: "r0-a", Region: "r0", Slots: 6, Started: 1, Revision: 10}
	cold := warm
	cold.ColdFor, cold.Revision = coldFor, 20
	restored := warm
	restored.Revision = 30
	b := newBalancer("a", "r0", []Target{warm})
	b.SetTargets([]Target{cold}, time.Second)
	b.SetTargets([]Target{restored}, 2*time.Second)
	if s := b.targets["t"]; !s.cold(time.Second+coldFor-1) || s.cold(time.Second+coldFor) {
		t.Errorf("cold until %v, want %v", s.coldUntil, time.Second+coldFor)
	}
}
