package overloadsim

import (
	"time"

	"github.com/turmericfield/turmericfield/internal/affinity"
	"github.com/turmericfield/turmericfield/internal/availability"
)

const (
	// leavingTime is how long a target goes on serving once it has begun to leave, and
	// unregisterDelay how long its registration stays after that.
	leavingTime     = 6 * time.Second
	unregisterDelay = 4 * time.Second
	// pauseSlack and leavingSlack are how long after a target's word about a pause, or
	// about leaving, further requests to it do not count.
	pauseSlack   = 500 * time.Millisecond
	leavingSlack = 2500 * time.Millisecond
	// retryRatio is the number of retries that an instance earns with each request, and
	// maxSavedRetries the most that it saves.
	retryRatio      = 0.12
	maxSavedRetries = 8.0
)

// observer is a Policy that is told what targets say about the requests that they want.
type observer interface {
	Observe(g affinity.Grant, n availability.Notice, now time.Duration)
}

// registry is a Policy that is told when registrations change.
type registry interface {
	SetTargets(targets []affinity.Target, now time.Duration)
}

// IgnoringNotices returns the policy without what targets say about the requests that
// they want. It still learns of registrations.
func IgnoringNotices(inner PolicyFactory) PolicyFactory {
	return func(name, region string, targets []affinity.Target) Policy {
		p := inner(name, region, targets)
		if r, ok := p.(registry); ok {
			return struct {
				Policy
				registry
			}{p, r}
		}
		return struct{ Policy }{p}
	}
}

// noticeKey names what one instance knows of one target.
type noticeKey struct {
	instance int
	target   string
}

// noticeState is what a target has told an instance.
type noticeState struct {
	pauseToldAt, pauseEnd time.Duration // of the first response of the present pause, and its end
	sentInPause           int           // requests sent to it from pauseSlack after that on
	leavingToldAt         time.Duration // of the first response that said so; 0 if none
}

// pauseLeft returns how long the target's present pause lasts, 0 if it is in none.
func (w *simulation) pauseLeft(t *target) time.Duration {
	if w.PausedUntil == nil {
		return 0
	}
	return max(w.PausedUntil(t.number, w.now)-w.now, 0)
}

// leaving reports whether the target has begun to leave, and gone whether it has left.
func (w *simulation) leaving(t *target) bool { return w.leftFor(t) > 0 }
func (w *simulation) gone(t *target) bool    { return w.leftFor(t) > leavingTime }

// leftFor returns the time since the target began to leave, 0 if it has not.
func (w *simulation) leftFor(t *target) time.Duration {
	if w.LeavesAt == nil || w.LeavesAt(t.number) == 0 {
		return 0
	}
	return max(w.now-w.LeavesAt(t.number), 0)
}

// scheduleDepartures removes the registrations of the targets that leave.
func (w *simulation) scheduleDepartures(list []affinity.Target) {
	if w.LeavesAt == nil {
		return
	}
	for _, t := range list {
		at := w.LeavesAt(w.targets[t.ID].number)
		if at == 0 {
			continue
		}
		w.after(at+leavingTime+unregisterDelay, func() {
			var registered []affinity.Target
			for _, other := range list {
				if w.leftFor(w.targets[other.ID]) < leavingTime+unregisterDelay {
					registered = append(registered, other)
				}
			}
			for _, p := range w.policies {
				if r, ok := p.(registry); ok {
					r.SetTargets(registered, w.now)
				}
			}
		})
	}
}

// observe passes to the instance what the target's response says about the requests that
// it wants.
func (w *simulation) observe(r *request, pause time.Duration) {
	notice := availability.Notice{Leaving: w.leaving(r.target), Pause: pause}
	if notice == (availability.Notice{}) {
		return
	}
	state := w.noticeState(r)
	if pause > 0 && w.now >= state.pauseEnd {
		state.pauseToldAt, state.pauseEnd, state.sentInPause = w.now, w.now+pause, 0
	}
	if notice.Leaving && state.leavingToldAt == 0 {
		state.leavingToldAt = w.now
	}
	if p, ok := w.policies[r.instance].(observer); ok {
		p.Observe(r.grant, notice, w.now)
	}
}

// noticeState returns what the request's target has told its instance.
func (w *simulation) noticeState(r *request) *noticeState {
	key := noticeKey{r.instance, r.target.ID}
	if w.notices[key] == nil {
		w.notices[key] = &noticeState{}
	}
	return w.notices[key]
}

// checkNotices counts a request that an instance sends although its target has asked the
// instance for none.
func (w *simulation) checkNotices(r *request) {
	state := w.noticeState(r)
	if w.now < state.pauseEnd && w.now >= state.pauseToldAt+pauseSlack {
		state.sentInPause++
		w.result.MaxPerPause = max(w.result.MaxPerPause, state.sentInPause)
	}
	if state.leavingToldAt > 0 && r.sentOnAt > state.leavingToldAt+leavingSlack {
		w.result.SentToLeaving++
	}
}

// retryElsewhere lets the instance send a request again at once that did not run. A retry
// is taken from the instance's budget unless the request reached no target.
func (w *simulation) retryElsewhere(r *request, unreached bool) {
	if !w.Retries || !unreached && w.retries[r.instance] < 1 {
		w.retryOnce(r, rejectionRetryDelay)
		return
	}
	if !unreached {
		w.retries[r.instance]--
		w.result.Retries++
	}
	next := *r
	w.place(&next)
}
