package edge

import (
	"testing"
	"time"
)

// A request that is sent at the last moment must reach its target within the bound on a
// new configuration.
func TestHomeRegionsAreNotTrustedForTheTransitOfARequest(t *testing.T) {
	const transit = 100 * time.Millisecond // between regions, with a stall of a small machine
	for _, bound := range []time.Duration{time.Second, 2500 * time.Millisecond, 3 * time.Second} {
		s := Settings{MaxRevocationDelay: 20 * time.Second, MaxConfigurationDelay: bound}
		if got := s.maxConfigurationStaleness(); got+transit > bound {
			t.Errorf("bound %v: home regions are trusted for %v", bound, got)
		}
		if got := s.maxConfigurationStaleness(); got < 3*s.WatchWait() {
			t.Errorf("bound %v: home regions are trusted for %v, which normal service needs %v of", bound, got, 3*s.WatchWait())
		}
	}
	s := Settings{MaxRevocationDelay: time.Second, MaxConfigurationDelay: 3 * time.Second}
	if got := s.maxConfigurationStaleness(); got > s.maxKeyStaleness() {
		t.Errorf("home regions are trusted for %v, keys for %v", got, s.maxKeyStaleness())
	}
}
