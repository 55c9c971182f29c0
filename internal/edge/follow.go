package edge

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/turmericfield/turmericfield/internal/changefeed"
	"github.com/turmericfield/turmericfield/internal/mirror"
	"github.com/turmericfield/turmericfield/internal/platform"
)

const (
	// minRetryDelay and maxRetryDelay bound the backoff between two attempts to reach
	// a source of the copy: the store or another instance.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 500 * time.Millisecond
	// batchDelayRatio times WatchWait is the pause after a response with changes, in
	// which further changes accumulate for the next one, since the platform charges
	// for each watch call. The pause is a small part of the time within which changes
	// must take effect.
	batchDelayRatio = 0.8
	// lostAfterWaits times WatchWait is the age of the last confirmation from which an
	// instance whose source failed tells its followers to choose another source. It
	// is more than the age that a held watch and the pause after it lead to.
	lostAfterWaits = 3
)

// follower keeps a copy of the store up to date, either from the store itself or
// from another instance that has a copy, and serves it to other instances.
type follower struct {
	*Edge
	peer       peerConn
	retryDelay time.Duration // last delay of backOff; 0 once a source is current

	mu          sync.Mutex // guards the fields below and keeps their effects in order
	mirror      *mirror.Mirror
	feed        *changefeed.Feed
	chooser     *changefeed.SourceChooser
	source      string        // current or last source: changefeed.StoreSource or an instance's name
	via         []string      // instances between this copy and the store, nearest first
	currentAsOf time.Duration // time since boot at which the copy was known to be current; 0 if never
	lost        bool          // no source may be tried now or the copy's last confirmation is too old (see markFailed); sent to followers
	updated     chan struct{} // closed and replaced when there is something to tell followers

	heardOf atomic.Int64 // newest store revision that a source has told of, current or not
}

func newFollower(e *Edge) *follower {
	return &follower{
		Edge: e, chooser: changefeed.NewSourceChooser(), feed: changefeed.NewFeed(e.sameEntry), updated: make(chan struct{}),
		mirror: mirror.New(mirror.Options{
			LeasedPrefixes: []string{e.storeKeys.TargetPrefix, e.storeKeys.OwnPrefix}, Grace: registrationGrace, OutageThreshold: outageThreshold,
			InstancePrefix: e.storeKeys.OwnPrefix + instancePrefix, SelfKey: e.storeKeys.OwnPrefix + instancePrefix + e.Name,
		}),
	}
}

// run lists the store, then follows it or another instance, until the context ends.
// It lists again when its source no longer has the changes that the copy lacks.
func (f *follower) run(ctx context.Context) {
	defer f.peer.close()
	go func() {
		for ctx.Err() == nil {
			time.Sleep(expireInterval)
			f.expire()
		}
	}()
	list := true
	for ctx.Err() == nil {
		name := changefeed.StoreSource
		var err error
		switch {
		case list:
			err = f.list(ctx)
			list = err != nil
		default:
			if name = f.chooseSource(); name == changefeed.StoreSource {
				err = f.watch(ctx)
			} else {
				err = f.followPeer(ctx, name)
			}
		}
		if errors.Is(err, platform.ErrHistoryGone) {
			f.log.Info().Str("source", name).Uint64("revision", f.revision()).Msg("store: history is gone, listing again")
			list = true
			continue
		}
		if err == nil || ctx.Err() != nil {
			continue
		}
		f.markFailed(name, err)
		f.backOff()
	}
}

// backOff sleeps if no source may be tried now, with an exponential delay, at most
// until the first source may be tried again.
func (f *follower) backOff() {
	f.mu.Lock()
	at := now()
	wait := f.chooser.RetryDelay(f.chooser.Choose(at), at)
	f.mu.Unlock()
	if wait <= 0 {
		return // another source can be tried at once
	}
	f.retryDelay = min(max(2*f.retryDelay, minRetryDelay), maxRetryDelay)
	time.Sleep(min(f.retryDelay, wait))
}

// list replaces the copy by a listing of the whole store.
func (f *follower) list(ctx context.Context) error {
	askedAt := now()
	entries, revision, err := f.store.List(ctx, "")
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.noteRevision(revision)
	f.markCurrent(changefeed.StoreSource, nil, askedAt)
	f.feed.Replace(entries, revision)
	f.apply(f.mirror, f.mirror.Replace(entries, revision, now()))
	f.confirmConfiguration() // not before the changes are in force
	f.notifyFollowers()
	return nil
}

// watch applies changes from the store until the watch fails or another source is
// preferred. A response confirms that the copy was current when it was requested.
func (f *follower) watch(ctx context.Context) error {
	watching, cancel := context.WithCancel(ctx)
	defer cancel()
	askedAt := now()
	err := f.store.Watch(watching, "", f.revision(), func(changes []platform.Change, revision uint64) {
		f.applyCurrent(changes, revision, askedAt, nil)
		if f.chooseSource() != changefeed.StoreSource {
			cancel()
			return
		}
		if len(changes) > 0 {
			time.Sleep(time.Duration(batchDelayRatio * float64(f.WatchWait())))
		}
		askedAt = now()
	})
	if watching.Err() != nil {
		return nil // another source is preferred, or the process ends
	}
	return err
}

// applyCurrent applies changes that make the copy current as of a time since boot.
// via lists the instances they came through, nearest first; it is empty if they came
// from the store itself.
func (f *follower) applyCurrent(changes []platform.Change, revision uint64, currentAsOf time.Duration, via []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	source := changefeed.StoreSource
	if len(via) > 0 {
		source = via[0]
	}
	regained := f.lost
	f.noteRevision(revision)
	f.markCurrent(source, via, currentAsOf)
	hasNew := f.feed.Apply(changes, revision)
	f.apply(f.mirror, f.mirror.Apply(changes, revision, now()))
	f.confirmConfiguration() // not before the changes are in force
	if hasNew || regained {
		f.notifyFollowers()
	}
}

// confirmConfiguration tells the gateway as of when its configuration was current, if
// it is the one in the copy. The caller holds the lock.
func (f *follower) confirmConfiguration() {
	if f.configurationApplied {
		f.gateway.SetCurrentAsOf(f.currentAsOf)
	}
}

// noteRevision records that a source has told of a store revision.
func (f *follower) noteRevision(revision uint64) {
	f.heardOf.Store(max(f.heardOf.Load(), int64(revision)))
}

// applyUnconfirmed applies changes that do not show whether the copy is current.
func (f *follower) applyUnconfirmed(changes []platform.Change, revision uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.noteRevision(revision)
	hasNew := f.feed.Apply(changes, revision)
	f.apply(f.mirror, f.mirror.ApplyUnconfirmed(changes, revision, now()))
	if hasNew {
		f.notifyFollowers()
	}
}

// expire removes the entries whose grace period has ended.
func (f *follower) expire() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.apply(f.mirror, f.mirror.Expire(now()))
}

// revision returns the store revision of the copy.
func (f *follower) revision() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.mirror.Revision()
}

// markCurrent records that a source confirmed the copy as current as of a time since
// boot. The caller holds the lock.
func (f *follower) markCurrent(source string, via []string, currentAsOf time.Duration) {
	f.retryDelay = 0
	f.chooser.MarkCurrent(source)
	if source != f.source || f.currentAsOf == 0 {
		f.log.Info().Str("source", sourceName(source)).Strs("via", via).Uint64("revision", f.mirror.Revision()).
			Int64("source_age_ms", (now() - currentAsOf).Milliseconds()).Msg("store: followed")
	}
	if f.lost {
		f.lost = false
		f.log.Info().Str("source", sourceName(source)).Int64("evidence_age_ms", f.gateway.Staleness().Milliseconds()).Msg("store: regained")
	}
	f.source, f.via = source, via
	f.currentAsOf = max(f.currentAsOf, currentAsOf)
}

// markFailed records that a source failed. Followers are told at once if no other
// source may be tried now, or if the last confirmation is too old. Otherwise they are
// not told, since this instance is probably current again after the next attempt.
func (f *follower) markFailed(source string, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	at := now()
	f.chooser.MarkFailed(source, at)
	if source == changefeed.StoreSource {
		f.metrics.Add("store_failures_total", 1)
	} else {
		f.metrics.Add("relay_failures_total", 1)
	}
	if f.lost {
		return
	}
	next := f.chooser.Choose(at)
	f.lost = f.chooser.RetryDelay(next, at) > 0 || at-f.currentAsOf > lostAfterWaits*f.WatchWait()
	f.log.Warn().Err(err).Str("source", sourceName(source)).Str("next", sourceName(next)).Bool("lost", f.lost).
		Int64("evidence_age_ms", f.gateway.Staleness().Milliseconds()).Msg("store: source failed")
	if f.lost {
		f.log.Warn().Err(err).Int64("evidence_age_ms", f.gateway.Staleness().Milliseconds()).Msg("store: lost")
		f.notifyFollowers()
	}
}

// sourceName returns the name of a source in log lines.
func sourceName(source string) string {
	if source == changefeed.StoreSource {
		return "store"
	}
	return source
}
