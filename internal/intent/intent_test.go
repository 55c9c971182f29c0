package intent

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"github.com/turmericfield/turmericfield/internal/config"
)

// exampleRecord returns a record with the configuration of an example file.
func exampleRecord(t testing.TB) Record {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("..", "..", "examples", "cooperative.yaml"))
	if err != nil {
		t.Fatal(err)
	}
	doc, err := config.Parse("cooperative.yaml", text)
	if err != nil {
		t.Fatal(err)
	}
	return Record{Revision: 4, Version: 3, Document: doc}
}

func drain(kind config.DrainKind, name string) Intent {
	return Intent{Kind: KindDrain, Drain: &config.Drain{Kind: kind, Name: name}}
}

// shift returns an intent to shift a share of up to cap of a route of the example.
func shift(cap float64) Intent {
	return Intent{Kind: KindShift, Shift: &config.Shift{
		Name: "s", Route: "listings-read", From: "sierra", To: "costa", Cap: cap, Step: 0.1, StepSeconds: 30,
	}}
}

// TestPlansShowChangesAndRefusals checks the text of the changes or refusals in the
// plans of valid and invalid intents.
func TestPlansShowChangesAndRefusals(t *testing.T) {
	record := exampleRecord(t)
	cases := []struct {
		in      Intent
		change  string
		refusal string
	}{
		{drain(config.DrainAvailabilityZone, "sierra-1"), "drain zone sierra-1", ""},
		{drain(config.DrainRegion, "nowhere"), "", `region "nowhere" does not exist`},
		{Intent{Kind: KindUndrain, Drain: &config.Drain{Kind: config.DrainRegion, Name: "costa"}}, "", "is not drained"},
		{shift(0.3), "shift at most 0.3 of route listings-read", ""},
		{shift(1.5), "", "must be above 0 and at most 1"},
		{Intent{Kind: KindUnshift, ShiftName: "s"}, "", "does not exist"},
		{Intent{Kind: KindAdmit, Workspace: &config.Workspace{Name: "new", Rate: 1, Burst: 1}}, "admit workspace new", ""},
		{Intent{Kind: KindAdmit, Workspace: &config.Workspace{Name: "new", Rate: -1, Burst: 1}}, "", "rate: must be above 0"},
		{Intent{Kind: KindCutOff, WorkspaceName: "schools"}, "cut off workspace schools", ""},
		{Intent{Kind: KindCutOff, WorkspaceName: "none"}, "", "does not exist"},
		{Intent{Kind: KindWithdrawKey, KeyID: "schools-1"}, "withdraw key schools-1", ""},
		{Intent{Kind: KindWithdrawKey, KeyID: "none"}, "", "does not exist"},
		{Intent{Kind: "dance"}, "", "is unknown or lacks its fields"},
		{Intent{Kind: KindDrain}, "", "is unknown or lacks its fields"},
	}
	for _, c := range cases {
		plan := NewPlan("p", c.in, record, time.Unix(0, 0))
		if got := strings.Join(plan.Changes, "\n"); c.change != "" && !strings.Contains(got, c.change) {
			t.Errorf("%s: changes are %q, want %q among them", c.in.Kind, got, c.change)
		}
		got := strings.Join(plan.Refusals, "\n")
		if (c.refusal == "") != (got == "") || !strings.Contains(got, c.refusal) {
			t.Errorf("%s: refusals are %q, want %q", c.in.Kind, got, c.refusal)
		}
	}
}

// TestHeadroomOfADrain checks that a plan to drain a region shows no slots left in
// it and unchanged slots elsewhere.
func TestHeadroomOfADrain(t *testing.T) {
	plan := NewPlan("p", drain(config.DrainRegion, "sierra"), exampleRecord(t), time.Unix(0, 0))
	for _, row := range plan.Headroom {
		gone := row.Region == "sierra"
		if row.SlotsBefore == 0 || (gone && row.SlotsAfter != 0) || (!gone && row.SlotsAfter != row.SlotsBefore) {
			t.Errorf("unexpected headroom %+v", row)
		}
	}
	if len(plan.Headroom) != 6 {
		t.Errorf("plan has %d rows of headroom, want one for each of 2 services and 3 regions", len(plan.Headroom))
	}
}

// TestSecondShiftOfARouteIsRefused checks that a route cannot be shifted twice from
// the same region: the two shifts would add up to more than either cap.
func TestSecondShiftOfARouteIsRefused(t *testing.T) {
	record := exampleRecord(t)
	first, _, err := Confirm(NewPlan("p1", shift(0.3), record, time.Unix(0, 0)), record)
	if err != nil {
		t.Fatal(err)
	}
	again := shift(0.3)
	again.Shift.Name = "other"
	if plan := NewPlan("p2", again, first, time.Unix(0, 0)); len(plan.Refusals) == 0 {
		t.Error("the second shift is not refused")
	}
}

// TestLastDrainIsRefused drains one region after another and checks that the last
// drain is refused, as it would leave a service without a target.
func TestLastDrainIsRefused(t *testing.T) {
	record := exampleRecord(t)
	for i, region := range []string{"sierra", "costa", "oriente"} {
		id := fmt.Sprint("p", i)
		plan := NewPlan(id, drain(config.DrainRegion, region), record, time.Unix(0, 0))
		next, _, err := Confirm(plan, record)
		if refused := errors.Is(err, ErrRefused); refused != (i == 2) {
			t.Fatalf("drain %d: confirmation returned error %v", i, err)
		}
		record = next
	}
}

// TestRandomIntents plans and confirms random intents. Neither may modify the
// record they are given. A confirmation must fail exactly if the plan has
// refusals; otherwise it must return a valid document of the next version, and a
// second confirmation of the same plan must report that it was confirmed before.
func TestRandomIntents(t *testing.T) {
	record := exampleRecord(t)
	rapid.Check(t, func(t *rapid.T) {
		for i := range 6 {
			before, _ := json.Marshal(record)
			in := randomIntent(t)
			plan := NewPlan(fmt.Sprint("p", record.Version, "-", i), in, record, time.Unix(0, 0))
			next, done, err := Confirm(plan, record)
			if after, _ := json.Marshal(record); string(after) != string(before) {
				t.Fatalf("intent %s modified the given record", in.Kind)
			}
			if (err == nil) != (len(plan.Refusals) == 0) || done {
				t.Fatalf("intent %s: refusals %v, but confirmation returned error %v", in.Kind, plan.Refusals, err)
			}
			if err != nil {
				continue
			}
			if findings := config.Validate(next.Document); len(findings) > 0 || next.Version != record.Version+1 || next.Revision != record.Revision+1 {
				t.Fatalf("intent %s led to a record of the wrong version or to findings %v", in.Kind, findings)
			}
			if _, done, err := Confirm(plan, next); !done || err != nil {
				t.Fatalf("second confirmation: already confirmed %t, error %v", done, err)
			}
			record = next
		}
	})
}

func randomIntent(t *rapid.T) Intent {
	region := rapid.SampledFrom([]string{"sierra", "costa", "oriente", "none"}).Draw(t, "region")
	workspace := rapid.SampledFrom([]string{"schools", "archive", "new", "Bad Name"}).Draw(t, "workspace")
	switch rapid.IntRange(0, 6).Draw(t, "kind") {
	case 0:
		return drain(config.DrainRegion, region)
	case 1:
		return Intent{Kind: KindUndrain, Drain: &config.Drain{Kind: config.DrainRegion, Name: region}}
	case 2:
		return shift(rapid.Float64Range(-0.5, 1.5).Draw(t, "cap"))
	case 3:
		return Intent{Kind: KindUnshift, ShiftName: "s"}
	case 4:
		return Intent{Kind: KindAdmit, Workspace: &config.Workspace{Name: workspace, Rate: rapid.Float64().Draw(t, "rate"), Burst: rapid.Int().Draw(t, "burst")}}
	case 5:
		return Intent{Kind: KindCutOff, WorkspaceName: workspace}
	}
	return Intent{Kind: KindWithdrawKey, KeyID: workspace + "-1"}
}
