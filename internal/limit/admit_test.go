package limit

import (
	"testing"
	"time"

	"github.com/turmericfield/turmericfield/internal/config"
	"github.com/turmericfield/turmericfield/internal/seat"
)

// TestNewWorkspaceNeedNotSettle admits a workspace beside one whose name was
// used before: only the latter waits until no instance can go by older limits.
func TestNewWorkspaceNeedNotSettle(t *testing.T) {
	start := time.Unix(1000, 0)
	l := New(Options{
		Instance: "i", AvailabilityZone: "z", SettleTime: testSettle, GrantLifetime: testGrantLifetime, MaxWait: testMaxWait, AskTimeout: testAskTimeout,
		Seat: func(time.Time) (seat.Seat, bool) {
			return seat.Seat{AvailabilityZone: "z", ZoneSeats: 1, FleetSeats: 1, AssignedVersion: 1}, true
		},
		SeatHolder: func(int) string { return "i" },
		Layout:     func(*config.Snapshot) []ZoneSeats { return []ZoneSeats{{"z", 1}} },
	})
	update := func(version uint64, workspaces ...config.Workspace) {
		l.Update(config.Compile(version, &config.Document{Workspaces: workspaces}), start)
		l.RefreshShares(start)
	}
	newWorkspace := config.Workspace{Name: "fresh", Rate: 100, Burst: 20, FirstVersion: 8}
	reusedName := config.Workspace{Name: "known", Rate: 100, Burst: 20}
	update(7)
	update(8, newWorkspace, reusedName)
	soon := start.Add(100 * time.Millisecond)
	if !l.Take("fresh", soon).Allowed {
		t.Error("a workspace that never existed waits for older limits to end")
	}
	if l.Take("known", soon).Allowed {
		t.Error("a workspace whose name was used before does not wait")
	}
	settled := start.Add(testSettle)
	l.Tick(settled)
	l.RefreshShares(settled)
	if !l.Take("known", settled.Add(time.Second)).Allowed {
		t.Error("a workspace whose name was used before waits for ever")
	}
}
