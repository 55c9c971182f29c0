package quota

import (
	"time"

	"github.com/turmericfield/turmericfield/internal/config"
)

// Hub keeps the token buckets of the whole fleet, scaled down to the fraction of the
// instances that report to it. It is not safe for concurrent use.
type Hub struct {
	instances  int // all that share the quotas, reporting or not
	workspaces map[string]*config.Workspace
	buckets    map[string]*fleetBucket
	reporters  reporters
}

// fleetBucket is the token bucket of one workspace.
type fleetBucket struct {
	left       float64 // tokens; may be below 0, since it is charged after the fact
	refilledAt time.Duration
}

// NewHub returns a hub without workspaces.
func NewHub() *Hub {
	return &Hub{instances: 1, buckets: map[string]*fleetBucket{}, reporters: reporters{}}
}

// SetWorkspaces sets the workspaces, by name, whose quotas are in force.
func (h *Hub) SetWorkspaces(workspaces map[string]*config.Workspace) {
	h.workspaces = workspaces
	for name := range h.buckets {
		if workspaces[name] == nil {
			delete(h.buckets, name)
		}
	}
}

// SetInstances sets the number of instances that share the quotas.
func (h *Hub) SetInstances(n int) { h.instances = max(n, 1) }

// Handle takes the tokens for the newly admitted requests of a report and returns the
// levels of all buckets that are not full. The first report of a reporter only sets
// where counting starts.
func (h *Hub) Handle(r Report, now time.Duration) Levels {
	from, first := h.reporters.record(r, now)
	share := min(float64(h.reporters.members(now))/float64(h.instances), 1)
	newRequests := 0.0
	for _, u := range r.Usages {
		// Counted also while the workspace is unknown, or else all of it would be charged
		// once the hub has learned the configuration.
		n := from.admitted(u)
		w := h.workspaces[u.Workspace]
		if w == nil || w.Rate <= 0 {
			continue
		}
		if b := h.refill(w, share, now); !first {
			b.left -= n
			newRequests += n
		}
	}
	from.addUsage(newRequests, now)
	out := Levels{Share: share, Part: h.reporters.usageShare(from, now)}
	for name, b := range h.buckets {
		w := h.workspaces[name]
		h.refill(w, share, now)
		if full := float64(w.Burst) * share; b.left < full {
			out.Levels = append(out.Levels, Level{name, b.left})
		}
	}
	return out
}

// refill returns the workspace's bucket, filled up to now. share is the fraction of
// the quota that this hub gives out.
func (h *Hub) refill(w *config.Workspace, share float64, now time.Duration) *fleetBucket {
	b := h.buckets[w.Name]
	full := float64(w.Burst) * share
	if b == nil {
		b = &fleetBucket{left: full * initialFill, refilledAt: now}
		h.buckets[w.Name] = b
	}
	b.left = min(b.left+w.Rate*share*(now-b.refilledAt).Seconds(), full)
	b.refilledAt = now
	return b
}
