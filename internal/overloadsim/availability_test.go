package overloadsim

import "testing"

// maxPerPause is how many requests an instance may send to a target that has asked it for
// a pause, after the first half second of the pause.
const maxPerPause = 2

func TestTargetsThatPauseOrLeaveGetRequests(t *testing.T) {
	for _, s := range AvailabilityScenarios() {
		t.Run(s.Name, func(t *testing.T) {
			t.Parallel()
			const seed = 1
			own, ignoring := Simulate(s.Scenario, seed, Affinity(s.Scenario)), Simulate(s.Scenario, seed, IgnoringNotices(Affinity(s.Scenario)))
			if own.MaxPerPause > maxPerPause || own.SentToLeaving > 0 {
				t.Errorf("%d requests in a pause, want %d at most; %d to leaving targets, want none", own.MaxPerPause, maxPerPause, own.SentToLeaving)
			}
			if ignoring.MaxPerPause <= maxPerPause && ignoring.SentToLeaving == 0 {
				t.Error("a policy that ignores what targets say is not noticed")
			}
			if s.PausedUntil == nil {
				return
			}
			if x, y := own.InTimeShareFrom(NoticesFrom), ignoring.InTimeShareFrom(NoticesFrom); x <= y || own.Refused >= ignoring.Refused {
				t.Errorf("in time %.4f and %d refused; if what targets say is ignored %.4f and %d; want better", x, own.Refused, y, ignoring.Refused)
			}
		})
	}
}
