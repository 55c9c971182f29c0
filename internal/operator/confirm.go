package operator

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/turmericfield/turmericfield/internal/config"
	"github.com/turmericfield/turmericfield/internal/intent"
	"github.com/turmericfield/turmericfield/internal/platform"
	"github.com/turmericfield/turmericfield/internal/statechart"
)

// Events of the state chart charts/plan.yaml.
const (
	eventWrite    = "write"
	eventFound    = "found"
	eventConflict = "conflict"
	eventRefuse   = "refuse"
	eventAccepted = "accepted"
	eventRejected = "rejected"
	eventNoAnswer = "no-answer"
	eventGiveUp   = "give-up"
)

// confirmRun is one confirm of a plan that this process carries out. It moves
// through the states of charts/plan.yaml: it reads the record and writes the
// record that results from the plan by a compare-and-swap. It starts again if the
// record has changed in between or if the outcome of the write is unknown.
type confirmRun struct {
	service *Service
	plan    intent.Plan
	machine *statechart.Machine
	// uncertain says that the outcome of an earlier write is unknown, because its
	// answer was lost: it may have taken effect or may do so later.
	uncertain bool
	lastErr   error // the last error of a read or write; nil after a rejected write
	result    Confirmation
}

// step reads the record and tries once to write its successor. It reports whether
// the run has ended, and with which error.
func (c *confirmRun) step(ctx context.Context) (bool, error) {
	stored, err := c.service.readRecordLocked(ctx)
	if err != nil {
		return c.endUnlessUncertain(err)
	}
	next, found, err := intent.Confirm(c.plan, stored.Record)
	switch {
	case errors.Is(err, intent.ErrStalePlan):
		return c.finish(eventConflict, err)
	case err != nil:
		return c.fail(err)
	case found:
		version, _ := stored.VersionOf(c.plan.ID)
		// After a write of unknown outcome, it is taken to be this run that
		// confirmed the plan.
		c.result = Confirmation{PlanID: c.plan.ID, Version: version, AlreadyConfirmed: !c.uncertain}
		return c.finish(eventFound, nil)
	case !stored.MayWrite(c.service.LocalWriter.Self()):
		return c.fail(ErrNoWriter)
	}
	if stored.Revision == 0 {
		// No record exists yet, so no writer is listed: the process that writes the
		// first record lists itself.
		next.Writers = []config.Writer{c.service.LocalWriter.Self()}
	}
	return c.write(ctx, stored, next)
}

// write tries to replace the stored record by next. It reports whether the run has
// ended, and with which error.
func (c *confirmRun) write(ctx context.Context, stored storedRecord, next intent.Record) (bool, error) {
	if err := c.machine.Fire(eventWrite); err != nil {
		return true, err
	}
	swapped, err := c.service.write(ctx, stored, next)
	c.lastErr = err
	c.uncertain = c.uncertain || errors.Is(err, platform.ErrUnknownOutcome)
	switch {
	case swapped:
		c.result = Confirmation{PlanID: c.plan.ID, Version: next.Version}
		return c.finish(eventAccepted, nil)
	case c.uncertain:
		return false, c.machine.Fire(eventNoAnswer)
	case err != nil:
		return true, errors.CombineErrors(err, c.machine.Fire(eventRejected))
	}
	return false, c.machine.Fire(eventRejected)
}

// endUnlessUncertain ends the run after an error of reading the record. If an
// earlier write may have taken effect, the run goes on instead, because only the
// record shows whether it has.
func (c *confirmRun) endUnlessUncertain(err error) (bool, error) {
	c.lastErr = err
	if c.uncertain {
		return false, nil
	}
	return c.fail(err)
}

// fail ends the run with an error that says that nothing was changed. This is true
// even if the outcome of an earlier write is unknown: the write was made because
// the record of that time allowed it, so the record has changed since, and the
// compare-and-swap can no longer succeed.
func (c *confirmRun) fail(err error) (bool, error) {
	if c.uncertain {
		return c.finish(eventGiveUp, err)
	}
	return c.finish(eventRefuse, err)
}

// finish ends the run by an event of the chart, with an error or nil.
func (c *confirmRun) finish(event string, err error) (bool, error) {
	return true, errors.CombineErrors(err, c.machine.Fire(event))
}

// timeOut ends the run because its context has ended with ctxErr. The error that it
// returns is marked platform.ErrUnknownOutcome if a write may have taken effect or
// may do so later.
func (c *confirmRun) timeOut(ctxErr error) error {
	err := errors.CombineErrors(c.lastErr, ctxErr)
	if c.uncertain {
		err = errors.Mark(err, platform.ErrUnknownOutcome)
		return errors.CombineErrors(err, c.machine.Fire(eventGiveUp))
	}
	return errors.CombineErrors(err, c.machine.Fire(eventRefuse))
}
