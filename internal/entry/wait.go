package entry

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/turmericfield/turmericfield/internal/placement"
)

const (
	// maxSlotWait is how long a request waits for a free slot, the right to have one
	// more request in flight on a target, before it is refused.
	maxSlotWait = 150 * time.Millisecond
	// slotRetryInterval is how often a waiting request asks for a target again.
	slotRetryInterval = 10 * time.Millisecond
)

// acquireTarget chooses a target. While every target is at its limit, it retries
// for up to maxSlotWait, because slots become free as requests end and as other
// instances lend theirs. It checks the key before each choice, and returns why
// the try must not be made if there is no target.
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
