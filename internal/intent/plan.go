package intent

import (
	"fmt"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/turmericfield/turmericfield/internal/config"
)

// maxHistoryOperations is the number of latest operations that a record lists. A
// confirmation that is retried late finds its own earlier success among them.
const maxHistoryOperations = 256

// Errors of confirming a plan.
var (
	ErrUnknownPlan = errors.New("plan does not exist")
	ErrStalePlan   = errors.New("plan is stale: the configuration has changed since it was made; make a new plan")
	ErrRefused     = errors.New("plan was refused and cannot be confirmed")
)

// Record is the accepted configuration.
type Record = config.Record

// Operation is one accepted change of the configuration.
type Operation = config.Operation

// Plan shows what an intent will change. Nothing changes until it is confirmed.
type Plan struct {
	// ID identifies the plan, and the operation that results from confirming it.
	ID     string `json:"id"`
	Intent Intent `json:"intent"`
	// BaseVersion is the version of the configuration that the plan was made for.
	BaseVersion uint64    `json:"base_version"`
	CreatedAt   time.Time `json:"created_at"`
	// Changes describes the changes, one line each.
	Changes []string `json:"changes"`
	// Headroom lists the capacity of each service in each region.
	Headroom []Headroom `json:"headroom"`
	// Refusals lists the reasons why the plan cannot be confirmed; empty if it can.
	Refusals []string `json:"refusals,omitempty"`
}

// Headroom is the capacity of a service in a region before and after a plan. It is
// given in slots, that is, requests that the service's targets can run at once;
// drained targets do not count.
type Headroom struct {
	Service     string `json:"service"`
	Region      string `json:"region"`
	SlotsBefore int    `json:"slots_before"`
	SlotsAfter  int    `json:"slots_after"`
}

// NewPlan returns the plan for an intent, made for the accepted configuration. If
// the intent cannot be carried out, the plan has Refusals.
func NewPlan(id string, in Intent, record Record, now time.Time) Plan {
	plan := Plan{ID: id, Intent: in, BaseVersion: record.Version, CreatedAt: now}
	current := record.Document
	if current == nil {
		current = &config.Document{}
	}
	next, err := in.Apply(current)
	if err != nil {
		plan.Refusals = refusalLines(err)
		return plan
	}
	_, counts, err := assignBlocks(record.BlockShards, in.Blocks, next)
	if err != nil {
		plan.Refusals = refusalLines(err)
		return plan
	}
	plan.Changes = append(describe(in, current, next), counts.describe()...)
	plan.Headroom = headroom(current, next)
	plan.Refusals = refuseExhausted(plan.Headroom)
	return plan
}

// Confirm returns the record that results from a plan. alreadyConfirmed is true if
// the plan has taken effect before; the record's history then lists its version,
// and the record is returned unchanged.
func Confirm(plan Plan, record Record) (next Record, alreadyConfirmed bool, err error) {
	if _, ok := record.VersionOf(plan.ID); ok {
		return record, true, nil
	}
	if len(plan.Refusals) > 0 {
		return record, false, errors.Wrapf(ErrRefused, "%s", plan.Refusals[0])
	}
	if record.Version != plan.BaseVersion {
		return record, false, errors.Wrapf(ErrStalePlan, "made on version %d, now at %d", plan.BaseVersion, record.Version)
	}
	current := record.Document
	if current == nil {
		current = &config.Document{}
	}
	doc, err := plan.Intent.Apply(current)
	if err != nil {
		return record, false, errors.Mark(err, ErrRefused)
	}
	next = record
	if next.BlockShards, _, err = assignBlocks(record.BlockShards, plan.Intent.Blocks, doc); err != nil {
		return record, false, errors.Mark(err, ErrRefused)
	}
	next.Revision++
	next.Version++
	next.Document = doc
	next.RemovedWorkspaces = markNewWorkspaces(current, doc, record.RemovedWorkspaces, next.Version)
	next.SeatGenerations = config.NextSeatGenerations(current, doc, record.SeatGenerations)
	next.History = append(slices.Clone(record.History), Operation{ID: plan.ID, Version: next.Version})
	if extra := len(next.History) - maxHistoryOperations; extra > 0 {
		next.History = next.History[extra:]
	}
	return next, false, nil
}

// WithWriters returns a copy of the record with another list of the processes that
// may write the next record. The version does not change, so that plans made for
// the given record stay valid.
func WithWriters(record Record, writers []config.Writer) Record {
	next := record
	next.Revision++
	next.Writers = slices.Clone(writers)
	return next
}

// WithVacantZones returns a copy of the record with another list of the
// availability zones that have no live instance. The version does not change, so
// that plans made for the given record stay valid.
func WithVacantZones(record Record, zones []string) Record {
	next := record
	next.Revision++
	next.VacantZones = slices.Clone(zones)
	next.VacancyVersion = record.Version
	return next
}

// refusalLines returns a line for each finding in an error, or the error's text if
// it holds no findings.
func refusalLines(err error) []string {
	var findings config.Findings
	if !errors.As(err, &findings) {
		return []string{err.Error()}
	}
	lines := make([]string, len(findings))
	for i, f := range findings {
		lines[i] = f.String()
	}
	return lines
}

// describe returns the lines that a plan shows for the change of the document.
func describe(in Intent, before, after *config.Document) []string {
	switch in.Kind {
	case KindDrain:
		return []string{fmt.Sprintf("drain %s %s: its targets get no new work", in.Drain.Kind, in.Drain.Name)}
	case KindUndrain:
		return []string{fmt.Sprintf("end the drain of %s %s", in.Drain.Kind, in.Drain.Name)}
	case KindShift:
		s := in.Shift
		return []string{fmt.Sprintf("shift at most %g of route %s from %s to %s, %g every %d s", s.Cap, s.Route, s.From, s.To, s.Step, s.StepSeconds)}
	case KindUnshift:
		return []string{fmt.Sprintf("end shift %s", in.ShiftName)}
	case KindAdmit:
		w := in.Workspace
		return []string{fmt.Sprintf("admit workspace %s: rate %g/s, burst %d, %d routes, %d keys", w.Name, w.Rate, w.Burst, len(w.Routes), len(w.Keys))}
	case KindCutOff:
		return []string{fmt.Sprintf("cut off workspace %s", in.WorkspaceName)}
	case KindWithdrawKey:
		return []string{fmt.Sprintf("withdraw key %s", in.KeyID)}
	case KindAssignBlocks:
		return nil
	}
	return []string{fmt.Sprintf("replace the configuration: %d services, %d routes, %d workspaces become %d, %d, %d",
		len(before.Services), len(before.Routes), len(before.Workspaces),
		len(after.Services), len(after.Routes), len(after.Workspaces))}
}

// headroom lists the capacity of each service and region that has any before or
// after the change.
func headroom(before, after *config.Document) []Headroom {
	type serviceRegion struct{ service, region string }
	old, next := slotsByServiceAndRegion(before), slotsByServiceAndRegion(after)
	var rows []Headroom
	for _, s := range after.Services {
		for _, r := range after.Regions {
			p := serviceRegion{s.Name, r.Name}
			if old[p] == 0 && next[p] == 0 {
				continue
			}
			rows = append(rows, Headroom{Service: s.Name, Region: r.Name, SlotsBefore: old[p], SlotsAfter: next[p]})
		}
	}
	return rows
}

// slotsByServiceAndRegion sums the slots of the targets that are not drained.
func slotsByServiceAndRegion(doc *config.Document) map[struct{ service, region string }]int {
	snapshot := config.Compile(0, doc)
	slots := map[struct{ service, region string }]int{}
	for _, s := range doc.Services {
		for _, t := range s.Targets {
			if !snapshot.Drained(t.Name) {
				slots[struct{ service, region string }{s.Name, snapshot.RegionOf(t.AvailabilityZone)}] += s.Slots
			}
		}
	}
	return slots
}

// refuseExhausted returns a refusal for each service that has slots before the
// plan and none in any region after it.
func refuseExhausted(rows []Headroom) []string {
	before, after := map[string]int{}, map[string]int{}
	var names []string
	for _, row := range rows {
		if _, seen := before[row.Service]; !seen {
			names = append(names, row.Service)
		}
		before[row.Service] += row.SlotsBefore
		after[row.Service] += row.SlotsAfter
	}
	var out []string
	for _, name := range names {
		if before[name] > 0 && after[name] == 0 {
			out = append(out, fmt.Sprintf("service %q would have no target left", name))
		}
	}
	return out
}
