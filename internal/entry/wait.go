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
// in which requests end and other instances lend slots.
func (c *call) place() (placement.Grant, error) {
	timeout := time.NewTimer(slotWait)
	defer timeout.Stop()
	for {
		grant, err := c.choose(c.placement)
		if !errors.Is(err, placement.ErrOverloaded) {
			return grant, err
		}
		select {
		case <-time.After(slotPoll):
		case <-timeout.C:
			return grant, err
		case <-c.ctx.Done():
			return grant, err
		}
	}
}
