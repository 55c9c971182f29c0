// Package operator serves the HTTP API for the fleet's operators. An operator
// sends an intent, that is, a wanted change of the configuration, and gets a plan,
// which shows its effects (see package intent). Confirming the plan makes it the
// accepted configuration. A status request shows which instances have the accepted
// configuration in force.
//
// The package also reads and writes the configuration record in the platform's
// key-value store (see config.Record). Only the processes that the record itself
// lists as writers may write it.
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

// planPrefix is the prefix of the store keys of plans. The ID of the plan follows.
const planPrefix = "plan/"

const (
	planIDBytes = 6         // random bytes in the ID of a plan
	planTTL     = time.Hour // after this time the store deletes a plan
	// confirmRetryWait is the time from a write that was rejected or has an unknown
	// outcome to the next read of the record.
	confirmRetryWait = 100 * time.Millisecond
)

// ErrNoWriter is the error of a confirm if none of the writers that the record
// lists can be reached, and that of ConfirmLocally if this process is not listed.
var ErrNoWriter = errors.New("no instance that may write the configuration can be reached; nothing was changed")

// Confirmation is the answer to a confirm.
type Confirmation struct {
	PlanID string `json:"plan_id"`
	// Version is the version of the configuration that the plan led to.
	Version uint64 `json:"version"`
	// AlreadyConfirmed says that an earlier confirm of the same plan took effect.
	AlreadyConfirmed bool `json:"already"`
}

// InstanceStatus is what an instance reported when it was asked.
type InstanceStatus struct {
	Name             string `json:"name"`
	AvailabilityZone string `json:"availability_zone"`
	// Version is the version of the configuration that the instance has in force.
	Version uint64 `json:"version"`
	// Reachable says that the instance answered. If not, Version and InFlight are 0.
	Reachable bool `json:"reachable"`
	// InFlight is the number of requests that the instance is processing.
	InFlight int64 `json:"in_flight"`
}

// Status is the answer to a status request.
type Status struct {
	// AcceptedVersion is the version of the configuration in the store; 0 if the
	// store could not be read.
	AcceptedVersion uint64 `json:"accepted_version"`
	StoreReachable  bool   `json:"store_reachable"`
	// InForce says that every known instance answered and has the accepted version
	// in force.
	InForce   bool             `json:"in_force_everywhere"`
	Instances []InstanceStatus `json:"instances"`
	// Violations is for numbers of violations by the name of the invariant. Nothing
	// sets it yet.
	Violations map[string]int64 `json:"violations,omitempty"`
	// Writers are the processes that may write the next record.
	Writers []config.Writer `json:"writers,omitempty"`
}

// Fleet gives access to the other instances.
type Fleet interface {
	// Instances asks every known instance for its status.
	Instances(ctx context.Context) []InstanceStatus
	// ConfirmAt has a writer confirm a plan. The error is marked ErrNoWriter if the
	// writer has certainly done nothing, and platform.ErrUnknownOutcome if that is
	// not known.
	ConfirmAt(ctx context.Context, writer config.Writer, planID string) (Confirmation, error)
}

// LocalWriter is told of each write of the configuration record by this process. It
// needs that to know when the process can vouch for the newest revision (see
// freshness.LocalWriter).
type LocalWriter interface {
	// Self identifies this process in the record's list of writers.
	Self() config.Writer
	// BeginWrite is called before a write of the record. After an error the write
	// must not be made.
	BeginWrite() error
	// EndWrite is called after each write, with the revision of the record that the
	// write was to replace.
	EndWrite(base uint64, outcome freshness.Outcome)
}

// Service carries out the requests of the operators' API. It keeps plans and the
// configuration record in the platform's store.
type Service struct {
	Store       platform.Store
	Fleet       Fleet
	LocalWriter LocalWriter
	Now         func() time.Time
	// PlanChart is the state chart of a confirm, charts/plan.yaml.
	PlanChart *statechart.Chart

	mu   sync.Mutex        // guards held, and lets one write run at a time
	held config.HeldRecord // the newest record read; only chunks that it lacks are read again
}

// Plan makes the plan of an intent for the stored record, and stores the plan for
// planTTL.
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

// Confirm makes a plan the next accepted configuration. If this process may not
// write the record, it asks the listed writers one after another, until one of
// them may have acted.
func (s *Service) Confirm(ctx context.Context, id string) (Confirmation, error) {
	record, err := s.readRecord(ctx)
	if err != nil {
		return Confirmation{}, err
	}
	if record.MayWrite(s.LocalWriter.Self()) {
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

// ConfirmLocally makes a plan the next accepted configuration by a write of this
// process. Until the context ends it tries again after a write that was rejected
// or has an unknown outcome.
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

// ReplaceWriters replaces the list of processes that may write the record, if
// choose returns true for the stored record. It reports whether the record was
// changed.
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

// ReplaceVacantZones stores which availability zones have no live instance, unless
// the record says the same already or this process may not write it. It reports
// whether the record was changed.
func (s *Service) ReplaceVacantZones(ctx context.Context, zones []string) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	stored, err := s.readRecordLocked(ctx)
	if err != nil || stored.Revision == 0 || slices.Equal(stored.VacantZones, zones) || !stored.MayWrite(s.LocalWriter.Self()) {
		return false, err
	}
	return s.write(ctx, stored, intent.WithVacantZones(stored.Record, zones))
}

// write replaces the stored record old by next and tells LocalWriter of the write.
func (s *Service) write(ctx context.Context, old storedRecord, next intent.Record) (bool, error) {
	if err := s.LocalWriter.BeginWrite(); err != nil {
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
	s.LocalWriter.EndWrite(old.Revision, outcome)
	return swapped, err
}

// Status returns the accepted version and the state of every instance.
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

// AcceptedConfiguration is the answer to a request for the accepted configuration.
type AcceptedConfiguration struct {
	// Version is 0 if no configuration was accepted yet; the document is empty then.
	Version  uint64           `json:"version"`
	Document *config.Document `json:"document"`
}

// Configuration returns the accepted configuration from the store. It has the digests
// of keys, not their secrets.
func (s *Service) Configuration(ctx context.Context) (AcceptedConfiguration, error) {
	record, err := s.readRecord(ctx)
	if err != nil {
		return AcceptedConfiguration{}, err
	}
	accepted := AcceptedConfiguration{Version: record.Version, Document: record.Document}
	if accepted.Document == nil {
		accepted.Document = &config.Document{}
	}
	return accepted, nil
}

// storedRecord is a record as it was read from the store.
type storedRecord struct {
	intent.Record
	manifest      config.Manifest
	storeRevision uint64 // the store's revision of the manifest, for a compare-and-swap
}

// readRecord reads the record from the store.
func (s *Service) readRecord(ctx context.Context) (storedRecord, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.readRecordLocked(ctx)
}

// readRecordLocked reads the record from the store. The caller must hold mu.
func (s *Service) readRecordLocked(ctx context.Context) (storedRecord, error) {
	m, revision, err := ReadRecord(ctx, s.Store, &s.held)
	if err != nil {
		return storedRecord{}, err
	}
	record, err := config.JoinRecord(m, s.held.Chunk)
	return storedRecord{Record: record, manifest: m, storeRevision: revision}, err
}

// newPlanID returns a random ID.
func newPlanID() (string, error) {
	id := make([]byte, planIDBytes)
	_, err := rand.Read(id)
	return hex.EncodeToString(id), err
}
