package entry

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/turmericfield/turmericfield/internal/placement"
)

const (
	// slotWait is how long a request waits for a free slot before it is refused.
	maxSlotWait = 150 * time.Millisecond
	// slotPoll is the time between two choices of a waiting request.
	slotRetryInterval = 10 * time.Millisecond
)

// place chooses a target. While every target is at its limit it waits a little,
// in which requests end and other instances lend slots. The key is checked
// before each choice.
func (c *call) acquireTarget() (placement.Grant, *refusal) {
	waitTimer := time.NewTimer(maxSlotWait)
	defer waitTimer.Stop()
	for {
		if refused := c.recheckKey(); refused != nil {
			return placement.Grant{}, refused
		}
		grant, err := c.chooseTarget(c.placementRequest)
		if err == nil {
			return grant, nil
		}
		refused := placementRefusal(err)
		if !errors.Is(err, placement.ErrOverloaded) {
			return grant, &refused
		}
		select {
		case <-time.After(slotRetryInterval):
		case <-waitTimer.C:
			return grant, &refused
		case <-c.ctx.Done():
			return grant, &refused
		}
	}
}
