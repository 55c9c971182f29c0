// Package operator serves the operators' API: intent, plan, confirm, status.
package operator

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/turmericfield/turmericfield/internal/config"
	"github.com/turmericfield/turmericfield/internal/freshness"
	"github.com/turmericfield/turmericfield/internal/intent"
	"github.com/turmericfield/turmericfield/internal/platform"
	"github.com/turmericfield/turmericfield/internal/statechart"
)

const planPrefix = "plan/"

const (
	planIDBytes      = 6
	planTTL          = time.Hour // a plan that is not confirmed by then is forgotten
	confirmRetryWait = 100 * time.Millisecond
)

// ErrNoWriter refuses a confirm that no listed writer could be asked for.
var ErrNoWriter = errors.New("no instance that may write the configuration can be reached; nothing was changed")

// Confirmation is the answer to a confirm.
type Confirmation struct {
	PlanID  string `json:"plan_id"`
	Version uint64 `json:"version"`
	// AlreadyConfirmed says that an earlier confirm of the same plan took effect.
	AlreadyConfirmed bool `json:"already"`
}

// InstanceStatus is what is known of one instance.
type InstanceStatus struct {
	Name             string `json:"name"`
	AvailabilityZone string `json:"availability_zone"`
	Version          uint64 `json:"version"`
	Reachable        bool   `json:"reachable"`
	InFlight         int64  `json:"in_flight"`
}

// Status is the answer to a status request.
type Status struct {
	// AcceptedVersion is the newest version in the store; 0 if not known.
	AcceptedVersion uint64           `json:"accepted_version"`
	StoreReachable  bool             `json:"store_reachable"`
	InForce         bool             `json:"in_force_everywhere"`
	Instances       []InstanceStatus `json:"instances"`
	Violations      map[string]int64 `json:"violations,omitempty"`
	// Writers are the instances that may write the next record.
	Writers []config.Writer `json:"writers,omitempty"`
}

// Fleet tells what the instances report and passes confirms on to writers.
type Fleet interface {
	Instances(ctx context.Context) []InstanceStatus
	// ConfirmAt confirms a plan at a writer. The error is marked ErrNoWriter if
	// the writer surely did nothing, or ErrUnknownOutcome.
	ConfirmAt(ctx context.Context, writer config.Writer, planID string) (Confirmation, error)
}

// Author accounts for the control records that this process writes.
type Author interface {
	Self() config.Writer
	// BeginWrite is called before a write of the record; an error forbids it.
	BeginWrite() error
	// EndWrite is called after it, with the record revision that it was made on.
	EndWrite(base uint64, outcome freshness.Outcome)
}

// Service carries out operators' requests on the platform's store.
type Service struct {
	Store  platform.Store
	Fleet  Fleet
	Author Author
	Now    func() time.Time
	// PlanChart is the life of a plan's confirm.
	PlanChart *statechart.Chart

	mu   sync.Mutex // guards held, and lets one write run at a time
	held config.HeldRecord
}

// Plan works out and stores the plan of an intent.
func (s *Service) Plan(ctx context.Context, in intent.Intent) (intent.Plan, error) {
	record, err := s.readRecord(ctx)
	if err != nil {
		return intent.Plan{}, err
	}
	id, err := newPlanID()
	if err != nil {
		return intent.Plan{}, err
	}
	plan := intent.NewPlan(id, in, record.Record, s.Now())
	value, err := json.Marshal(plan)
	if err != nil {
		return intent.Plan{}, err
	}
	return plan, writePlan(ctx, s.Store, id, value)
}

// Confirm makes a plan the next accepted configuration, or has a writer do so.
func (s *Service) Confirm(ctx context.Context, id string) (Confirmation, error) {
	record, err := s.readRecord(ctx)
	if err != nil {
		return Confirmation{}, err
	}
	if record.MayWrite(s.Author.Self()) {
		return s.ConfirmLocally(ctx, id)
	}
	for _, w := range record.Writers {
		confirmation, err := s.Fleet.ConfirmAt(ctx, w, id)
		if !errors.Is(err, ErrNoWriter) {
			return confirmation, err
		}
	}
	return Confirmation{}, ErrNoWriter
}

// ConfirmLocally makes a plan the next accepted configuration. It follows the
// plan chart, and retries while the outcome of its write is unknown, until the
// context ends.
func (s *Service) ConfirmLocally(ctx context.Context, id string) (Confirmation, error) {
	plan, err := readPlan(ctx, s.Store, id)
	if err != nil {
		return Confirmation{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &confirmRun{service: s, plan: plan, machine: statechart.NewMachine(s.PlanChart)}
	for {
		if done, err := c.step(ctx); done {
			return c.result, err
		}
		select {
		case <-time.After(confirmRetryWait):
		case <-ctx.Done():
			return Confirmation{}, c.timeOut(ctx.Err())
		}
	}
}

// ReplaceWriters lists other writers if choose, given the present record,
// returns true. It reports whether the record was changed.
func (s *Service) ReplaceWriters(ctx context.Context, choose func(config.Record) ([]config.Writer, bool)) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	stored, err := s.readRecordLocked(ctx)
	if err != nil || stored.Revision == 0 {
		return false, err
	}
	writers, ok := choose(stored.Record)
	if !ok {
		return false, nil
	}
	return s.write(ctx, stored, intent.WithWriters(stored.Record, writers))
}

// ReplaceVacantZones lists the zones without a live instance, unless the record
// lists them already. It reports whether the record was changed.
func (s *Service) ReplaceVacantZones(ctx context.Context, zones []string) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	stored, err := s.readRecordLocked(ctx)
	if err != nil || stored.Revision == 0 || slices.Equal(stored.VacantZones, zones) || !stored.MayWrite(s.Author.Self()) {
		return false, err
	}
	return s.write(ctx, stored, intent.WithVacantZones(stored.Record, zones))
}

// write replaces the record between the author's Begin and End.
func (s *Service) write(ctx context.Context, old storedRecord, next intent.Record) (bool, error) {
	if err := s.Author.BeginWrite(); err != nil {
		return false, err
	}
	swapped, err := writeRecord(ctx, s.Store, old.manifest, old.storeRevision, next)
	outcome := freshness.OutcomeRejected
	switch {
	case errors.Is(err, platform.ErrUnknownOutcome):
		outcome = freshness.OutcomeUnknown
	case swapped:
		outcome = freshness.OutcomeAccepted
	}
	s.Author.EndWrite(old.Revision, outcome)
	return swapped, err
}

// Status reports which version is accepted and which is in force where.
func (s *Service) Status(ctx context.Context) Status {
	status := Status{Instances: s.Fleet.Instances(ctx)}
	record, err := s.readRecord(ctx)
	if err == nil {
		status.StoreReachable = true
		status.AcceptedVersion = record.Version
		status.Writers = record.Writers
	}
	status.InForce = err == nil
	for _, in := range status.Instances {
		if !in.Reachable || in.Version != record.Version {
			status.InForce = false
		}
	}
	return status
}

// storedRecord is a record with its place in the store.
type storedRecord struct {
	intent.Record
	manifest      config.Manifest
	storeRevision uint64
}

func (s *Service) readRecord(ctx context.Context) (storedRecord, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.readRecordLocked(ctx)
}

// readRecordLocked reads the record; the caller holds mu.
func (s *Service) readRecordLocked(ctx context.Context) (storedRecord, error) {
	m, revision, err := ReadRecord(ctx, s.Store, &s.held)
	if err != nil {
		return storedRecord{}, err
	}
	record, err := config.JoinRecord(m, s.held.Chunk)
	return storedRecord{Record: record, manifest: m, storeRevision: revision}, err
}

func newPlanID() (string, error) {
	id := make([]byte, planIDBytes)
	_, err := rand.Read(id)
	return hex.EncodeToString(id), err
}
