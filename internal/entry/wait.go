package entry

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/turmericfield/turmericfield/internal/placement"
)

const (
	// slotWait is how long a request waits for a free slot before it is refused.
	slotWait = 150 * time.Millisecond
	// slotPoll is the time between two choices of a waiting request.
	slotPoll = 10 * time.Millisecond
)

// place chooses a target. While every target is at its limit it waits a little,
// in which requests end and other instances lend slots. The key is checked
// before each choice.
func (c *call) place() (placement.Grant, *refusal) {
	timeout := time.NewTimer(slotWait)
	defer timeout.Stop()
	for {
		if no := c.keyHolds(); no != nil {
			return placement.Grant{}, no
		}
		grant, err := c.choose(c.placement)
		if err == nil {
			return grant, nil
		}
		no := placementRefusal(err)
		if !errors.Is(err, placement.ErrOverloaded) {
			return grant, &no
		}
		select {
		case <-time.After(slotPoll):
		case <-timeout.C:
			return grant, &no
		case <-c.ctx.Done():
			return grant, &no
		}
	}
}
