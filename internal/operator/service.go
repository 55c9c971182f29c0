// Package operator serves the operators' API: intent, plan, confirm, status.
package operator

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/turmericfield/turmericfield/internal/intent"
	"github.com/turmericfield/turmericfield/internal/platform"
)

// Keys of the store.
const (
	RecordKey  = "config/current"
	planPrefix = "plan/"
)

const (
	planIDBytes      = 6
	confirmRetryWait = 100 * time.Millisecond
)

// Confirmation is the answer to a confirm.
type Confirmation struct {
	PlanID  string `json:"plan_id"`
	Version uint64 `json:"version"`
	// Already says that an earlier confirm of the same plan took effect.
	Already bool `json:"already"`
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
}

// Fleet tells what the instances report.
type Fleet interface {
	Instances(ctx context.Context) []InstanceStatus
}

// Service carries out operators' requests on the platform's store.
type Service struct {
	Store platform.Store
	Fleet Fleet
	Now   func() time.Time
}

// Plan works out and stores the plan of an intent.
func (s *Service) Plan(ctx context.Context, in intent.Intent) (intent.Plan, error) {
	record, _, err := s.record(ctx)
	if err != nil {
		return intent.Plan{}, err
	}
	id, err := newPlanID()
	if err != nil {
		return intent.Plan{}, err
	}
	plan := intent.NewPlan(id, in, record, s.Now())
	value, err := json.Marshal(plan)
	if err != nil {
		return intent.Plan{}, err
	}
	_, _, err = s.Store.CompareAndSwap(ctx, platform.Write{Key: planPrefix + id, Value: value})
	if errors.Is(err, platform.ErrUnknownOutcome) {
		err = s.planWritten(ctx, id, err)
	}
	return plan, err
}

// planWritten checks whether a plan whose write got no answer is stored.
func (s *Service) planWritten(ctx context.Context, id string, cause error) error {
	entry, err := s.Store.Get(ctx, planPrefix+id)
	if err != nil {
		return errors.CombineErrors(cause, err)
	}
	if entry.Revision == 0 {
		return cause
	}
	return nil
}

// Confirm makes a plan the next accepted configuration. It retries while the
// outcome of its write is unknown, until the context ends.
func (s *Service) Confirm(ctx context.Context, id string) (Confirmation, error) {
	plan, err := s.storedPlan(ctx, id)
	if err != nil {
		return Confirmation{}, err
	}
	for attempt := 0; ; attempt++ {
		confirmation, retry, err := s.tryConfirm(ctx, plan, attempt > 0)
		if !retry {
			return confirmation, err
		}
		select {
		case <-time.After(confirmRetryWait):
		case <-ctx.Done():
			return Confirmation{}, errors.CombineErrors(err, ctx.Err())
		}
	}
}

func (s *Service) tryConfirm(ctx context.Context, plan intent.Plan, retried bool) (Confirmation, bool, error) {
	record, revision, err := s.record(ctx)
	if err != nil {
		return Confirmation{}, retried, err
	}
	next, done, err := intent.Confirm(plan, record)
	if err != nil {
		return Confirmation{}, false, err
	}
	if done {
		version, _ := record.VersionOf(plan.ID)
		return Confirmation{PlanID: plan.ID, Version: version, Already: !retried}, false, nil
	}
	value, err := json.Marshal(next)
	if err != nil {
		return Confirmation{}, false, err
	}
	swapped, _, err := s.Store.CompareAndSwap(ctx, platform.Write{Key: RecordKey, ExpectedRevision: revision, Value: value})
	if err != nil {
		return Confirmation{}, errors.Is(err, platform.ErrUnknownOutcome), err
	}
	return Confirmation{PlanID: plan.ID, Version: next.Version}, !swapped, nil
}

// Status reports which version is accepted and which is in force where.
func (s *Service) Status(ctx context.Context) Status {
	status := Status{Instances: s.Fleet.Instances(ctx)}
	record, _, err := s.record(ctx)
	if err == nil {
		status.StoreReachable = true
		status.AcceptedVersion = record.Version
	}
	status.InForce = err == nil
	for _, in := range status.Instances {
		if !in.Reachable || in.Version != record.Version {
			status.InForce = false
		}
	}
	return status
}

func (s *Service) storedPlan(ctx context.Context, id string) (intent.Plan, error) {
	entry, err := s.Store.Get(ctx, planPrefix+id)
	if err != nil {
		return intent.Plan{}, err
	}
	if entry.Revision == 0 {
		return intent.Plan{}, errors.Wrapf(intent.ErrUnknownPlan, "plan %q", id)
	}
	var plan intent.Plan
	return plan, errors.Wrapf(json.Unmarshal(entry.Value, &plan), "plan %q", id)
}

func (s *Service) record(ctx context.Context) (intent.Record, uint64, error) {
	entry, err := s.Store.Get(ctx, RecordKey)
	if err != nil {
		return intent.Record{}, 0, err
	}
	record, err := DecodeRecord(entry)
	return record, entry.Revision, err
}

// DecodeRecord reads the record from its store entry.
func DecodeRecord(entry platform.Entry) (intent.Record, error) {
	var record intent.Record
	if entry.Revision == 0 {
		return record, nil
	}
	return record, errors.Wrapf(json.Unmarshal(entry.Value, &record), "store key %q", RecordKey)
}

func newPlanID() (string, error) {
	id := make([]byte, planIDBytes)
	_, err := rand.Read(id)
	return hex.EncodeToString(id), err
}
