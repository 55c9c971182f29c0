package operator

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/turmericfield/turmericfield/internal/config"
	"github.com/turmericfield/turmericfield/internal/intent"
	"github.com/turmericfield/turmericfield/internal/platform"
	"github.com/turmericfield/turmericfield/internal/statechart"
)

// Events of the plan chart.
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

// confirmRun is one run of the plan chart.
type confirmRun struct {
	service *Service
	plan    intent.Plan
	machine *statechart.Machine
	// uncertain says that a write has no answer.
	uncertain bool
	lastErr   error // of the last step
	result    Confirmation
}

// step reads the record and writes its successor once. It reports whether the
// confirm has ended, and with which error.
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
		c.result = Confirmation{PlanID: c.plan.ID, Version: version, AlreadyConfirmed: !c.uncertain}
		return c.finish(eventFound, nil)
	case !stored.MayWrite(c.service.Author.Self()):
		return c.fail(ErrNoWriter)
	}
	if stored.Revision == 0 {
		next.Writers = []config.Writer{c.service.Author.Self()}
	}
	return c.write(ctx, stored, next)
}

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

// endUnlessUncertain ends the confirm after an error that leaves no doubt, and lets it go
// on if an earlier write may have taken effect.
func (c *confirmRun) endUnlessUncertain(err error) (bool, error) {
	c.lastErr = err
	if c.uncertain {
		return false, nil
	}
	return c.fail(err)
}

// fail ends the confirm by an error that says that nothing was changed.
func (c *confirmRun) fail(err error) (bool, error) {
	if c.uncertain {
		return c.finish(eventGiveUp, err)
	}
	return c.finish(eventRefuse, err)
}

func (c *confirmRun) finish(event string, err error) (bool, error) {
	return true, errors.CombineErrors(err, c.machine.Fire(event))
}

// timeOut ends the confirm because its time is over.
func (c *confirmRun) timeOut(ctxErr error) error {
	err := errors.CombineErrors(c.lastErr, ctxErr)
	if c.uncertain {
		err = errors.Mark(err, platform.ErrUnknownOutcome)
		return errors.CombineErrors(err, c.machine.Fire(eventGiveUp))
	}
	return errors.CombineErrors(err, c.machine.Fire(eventRefuse))
}
