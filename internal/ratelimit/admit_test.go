package ratelimit

import (
	"testing"
	"time"

	"github.com/turmericfield/turmericfield/internal/config"
	"github.com/turmericfield/turmericfield/internal/seat"
)

// TestNewWorkspaceNeedNotSettle adds two workspaces in one configuration. Requests
// of the one whose name is new are admitted at once. Instances may still use older
// limits for the one whose name was used before, so it must wait for SettleTime.
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
		t.Error("a workspace with a new name waits for SettleTime")
	}
	if l.Take("known", soon).Allowed {
		t.Error("a workspace whose name was used before does not wait for SettleTime")
	}
	settled := start.Add(testSettle)
	l.Tick(settled)
	l.RefreshShares(settled)
	if !l.Take("known", settled.Add(time.Second)).Allowed {
		t.Error("a workspace whose name was used before is still refused after SettleTime")
	}
}
