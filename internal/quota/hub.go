package quota

import (
	"maps"
	"time"

	"github.com/turmericfield/turmericfield/internal/config"
)

// Hub keeps the token buckets of the whole fleet, scaled down to the fraction of the
// instances that report to it. It is not safe for concurrent use.
type Hub struct {
	instances  int           // all that share the quotas, reporting or not
	lately     int           // the same with those that were registered lately
	begunAt    time.Duration // arrival of the first report after a silence
	carried    int           // shares given out after the last report, of reporters that carry levels
	workspaces map[string]*config.Workspace
	buckets    map[string]*fleetBucket
	reporters  reporters
	leaving    bool
	generation uint64
	taken      map[string]heldMark // by reporter: the levels of a former hub that were added last
}

// heldMark identifies the levels that a reporter brings from a former hub, which it brings
// again until it gets a response.
type heldMark struct {
	generation uint64
	sentAt     time.Duration
}

// heldTTL is the age from which the levels of a former hub tell nothing of the present.
const heldTTL = reporterTTL + levelTTL

// fleetBucket is the token bucket of one workspace.
type fleetBucket struct {
	left       float64 // tokens; may be below 0, since it is charged after the fact
	refilledAt time.Duration
}

// NewHub returns a hub without workspaces.
func NewHub() *Hub {
	return &Hub{instances: 1, buckets: map[string]*fleetBucket{}, reporters: reporters{}, taken: map[string]heldMark{}}
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

// SetInstances sets the number of registered instances, and the number by which the hub's own
// instance sets its equal share. Some of the latter may be about to stop and not be registered
// any more. They count until they have had the time to report (see Report.Fleet), and as long
// as only one reporter is heard, since the hub may be cut off from the others.
func (h *Hub) SetInstances(registered, lately int) {
	h.instances, h.lately = max(registered, 1), max(registered, lately, 1)
}

// fleet returns the number of instances that share the quotas.
func (h *Hub) fleet(now time.Duration) int {
	if now-h.begunAt < reporterTTL || h.reporters.heard(now) < 2 {
		return h.reporters.fleet(h.lately, now)
	}
	return h.reporters.fleet(h.instances, now)
}

// SetGeneration sets Levels.Generation.
func (h *Hub) SetGeneration(started uint64) { h.generation = started }

// SetLeaving says whether the hub is about to stop. It then hands back the shares of its
// reporters, each at its next report.
func (h *Hub) SetLeaving(leaving bool) { h.leaving = leaving }

// HasReporters reports whether any instance or aggregator has reported within reporterTTL.
func (h *Hub) HasReporters(now time.Duration) bool { return h.reporters.heard(now) > 0 }

// Handle takes the tokens for the newly admitted requests of a report and returns the
// levels of all buckets that are not full. A reporter that comes from another hub brings
// its share of that one's levels; one that leaves, or is sent away because this hub is
// about to stop, takes its share along.
func (h *Hub) Handle(r Report, now time.Duration) Levels {
	if h.reporters.heard(now) == 0 {
		h.begunAt = now
	}
	before := h.reporters.members(now)
	h.takeLapsed(h.carried-h.reporters.carried(now), before)
	shareBefore := min(float64(before)/float64(h.fleet(now)), 1)
	for name, w := range h.workspaces {
		if h.buckets[name] == nil && w.Rate > 0 {
			h.refill(w, shareBefore, now)
		}
	}
	had := h.reporters.membersOf(r.Instance, now)
	from, _ := h.reporters.record(r, now)
	if had == 0 && h.leaving {
		from.members = 0
	}
	members := h.reporters.members(now)
	if had > 0 && from.members == 0 && r.Carries {
		h.takeLapsed(had, members)
	}
	defer func() { h.carried = h.reporters.carried(now) }()
	fleet := h.fleet(now)
	share := min(float64(members)/float64(fleet), 1)
	newRequests := 0.0
	for _, u := range r.Usages {
		// Counted also while the workspace is unknown, or else all of it would be charged
		// once the hub has learned the configuration.
		n := from.admitted(u)
		w := h.workspaces[u.Workspace]
		if w == nil || w.Rate <= 0 {
			continue
		}
		if newRequests += n; from.members == 0 {
			from.owed[w.Name] += n
			continue
		}
		h.refill(w, share, now).left -= n
	}
	if from.members > 0 {
		for name, n := range from.owed {
			if w := h.workspaces[name]; w != nil {
				h.refill(w, share, now).left -= n
			}
		}
		clear(from.owed)
	}
	if had == 0 && from.members > 0 && r.Held != nil {
		h.add(r, from.members, share, now)
	}
	from.addUsage(newRequests, now)
	out := Levels{Share: share, Part: h.reporters.usageShare(from, now), Members: members, Joined: from.members > 0, SentAt: now, Fleet: fleet, Generation: h.generation}
	for name, b := range h.buckets {
		w := h.workspaces[name]
		h.refill(w, share, now)
		if left, full := b.left-from.owed[name], float64(w.Burst)*share; left < full {
			out.Levels = append(out.Levels, Level{name, left})
		}
	}
	if (r.Release || h.leaving) && from.members > 0 {
		out.Released, out.Joined = true, false
		for _, b := range h.buckets {
			b.left *= float64(members-from.members) / float64(members)
		}
		// Later than any response before, which a report on its way may name.
		out.SentAt = now + 1
		from.members, from.releasedAt = 0, out.SentAt
	}
	return out
}

// takeLapsed takes from the buckets what belongs to shares whose right has lapsed, since their
// reporters bring it to another hub. rest are the shares that are left.
func (h *Hub) takeLapsed(lapsed, rest int) {
	if lapsed <= 0 {
		return
	}
	for _, b := range h.buckets {
		if b.left > 0 {
			b.left *= float64(rest) / float64(rest+lapsed)
		}
	}
}

// add adds to the buckets what the levels that a reporter held with its former hub leave
// to n instances, and what has been refilled since.
func (h *Hub) add(r Report, n int, share float64, now time.Duration) {
	age := now - r.HeldAt
	if age > heldTTL || r.Held.Members == 0 || r.Held.Generation == h.generation && h.generation != 0 {
		return
	}
	mark := heldMark{r.Held.Generation, r.Held.SentAt}
	if h.taken[r.Instance] == mark {
		return
	}
	maps.DeleteFunc(h.taken, func(name string, _ heldMark) bool { return h.reporters[name] == nil })
	h.taken[r.Instance] = mark
	left := make(map[string]float64, len(r.Held.Levels))
	for _, l := range r.Held.Levels {
		left[l.Workspace] = l.Left
	}
	fraction := float64(n) / float64(max(r.Held.Members, n))
	for name, w := range h.workspaces {
		if w.Rate <= 0 {
			continue
		}
		full := float64(w.Burst) * r.Held.Share
		tokens, listed := left[name]
		if !listed {
			tokens = full
		}
		tokens = min(tokens+w.Rate*r.Held.Share*min(age, levelTTL).Seconds(), full)
		b := h.refill(w, share, now)
		b.left = min(b.left+tokens*fraction, float64(w.Burst)*share)
	}
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
