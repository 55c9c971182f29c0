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

// confirm is one run of the plan chart.
type confirm struct {
	service *Service
	plan    intent.Plan
	life    *statechart.Machine
	// uncertain says that a write has no answer.
	uncertain bool
	cause     error // of the last step
	result    Confirmation
}

// step reads the record and writes its successor once. It reports whether the
// confirm has ended, and with which error.
func (c *confirm) step(ctx context.Context) (bool, error) {
	stored, err := c.service.load(ctx)
	if err != nil {
		return c.unsure(err)
	}
	next, found, err := intent.Confirm(c.plan, stored.Record)
	switch {
	case errors.Is(err, intent.ErrStalePlan):
		return c.end(eventConflict, err)
	case err != nil:
		return c.refuse(err)
	case found:
		version, _ := stored.VersionOf(c.plan.ID)
		c.result = Confirmation{PlanID: c.plan.ID, Version: version, AlreadyConfirmed: !c.uncertain}
		return c.end(eventFound, nil)
	case !stored.MayWrite(c.service.Author.Self()):
		return c.refuse(ErrNoWriter)
	}
	if stored.Revision == 0 {
		next.Writers = []config.Writer{c.service.Author.Self()}
	}
	return c.write(ctx, stored, next)
}

func (c *confirm) write(ctx context.Context, stored storedRecord, next intent.Record) (bool, error) {
	if err := c.life.Fire(eventWrite); err != nil {
		return true, err
	}
	swapped, err := c.service.write(ctx, stored, next)
	c.cause = err
	c.uncertain = c.uncertain || errors.Is(err, platform.ErrUnknownOutcome)
	switch {
	case swapped:
		c.result = Confirmation{PlanID: c.plan.ID, Version: next.Version}
		return c.end(eventAccepted, nil)
	case c.uncertain:
		return false, c.life.Fire(eventNoAnswer)
	case err != nil:
		return true, errors.CombineErrors(err, c.life.Fire(eventRejected))
	}
	return false, c.life.Fire(eventRejected)
}

// unsure ends the confirm after an error that leaves no doubt, and lets it go
// on if an earlier write may have taken effect.
func (c *confirm) unsure(err error) (bool, error) {
	c.cause = err
	if c.uncertain {
		return false, nil
	}
	return c.refuse(err)
}

// refuse ends the confirm by an error that says that nothing was changed.
func (c *confirm) refuse(err error) (bool, error) {
	if c.uncertain {
		return c.end(eventGiveUp, err)
	}
	return c.end(eventRefuse, err)
}

func (c *confirm) end(event string, err error) (bool, error) {
	return true, errors.CombineErrors(err, c.life.Fire(event))
}

// giveUp ends the confirm because its time is over.
func (c *confirm) giveUp(over error) error {
	err := errors.CombineErrors(c.cause, over)
	if c.uncertain {
		err = errors.Mark(err, platform.ErrUnknownOutcome)
		return errors.CombineErrors(err, c.life.Fire(eventGiveUp))
	}
	return errors.CombineErrors(err, c.life.Fire(eventRefuse))
}
