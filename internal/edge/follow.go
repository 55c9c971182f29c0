package edge

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/turmericfield/turmericfield/internal/mirror"
	"github.com/turmericfield/turmericfield/internal/platform"
	"github.com/turmericfield/turmericfield/internal/relay"
)

const (
	// minPause and maxPause bound the time between two tries to reach the store.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 500 * time.Millisecond
	// gatherShare times the wait of a watch is the pause after a change in which
	// more may gather, since each watch is a priced call; it is a small part of
	// the bounds on changes.
	batchDelayRatio = 0.8
	// lostWaits is the age of the proof, in waits of a watch, from which an instance
	// whose source failed tells its followers to leave: more than it is while a watch
	// is held and a pause is made.
	lostAfterWaits = 3
)

// follower copies the store, from the store itself or from another instance that
// does.
type follower struct {
	*Edge
	peer       peerConn
	retryDelay time.Duration

	mu          sync.Mutex // guards what follows and the order of its effects
	mirror      *mirror.Mirror
	feed        *relay.Feed
	chooser     *relay.SourceChooser
	source      string        // followed last
	via         []string      // instances between this copy and the store
	currentAsOf time.Duration // when the copy was surely complete; 0 if unknown
	lost        bool
	updated     chan struct{} // closed when followers should hear something
}

func newFollower(e *Edge) *follower {
	return &follower{
		Edge: e, chooser: relay.NewSourceChooser(), feed: relay.NewFeed(e.sameEntry), updated: make(chan struct{}),
		mirror: mirror.New(mirror.Options{
			LeasedPrefixes: []string{e.keys.TargetPrefix, e.keys.OwnPrefix}, Grace: registrationGrace, OutageThreshold: outageThreshold,
			InstancePrefix: e.keys.OwnPrefix + instancePrefix, SelfKey: e.keys.OwnPrefix + instancePrefix + e.Name,
		}),
	}
}

// run lists the store, then follows it or another instance, until the context ends.
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
		name := relay.StoreSource
		var err error
		switch {
		case list:
			err = f.list(ctx)
			list = err != nil
		default:
			if name = f.chooseSource(); name == relay.StoreSource {
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

// rest pauses until a source may be tried again.
func (f *follower) backOff() {
	f.mu.Lock()
	at := now()
	wait := f.chooser.RetryDelay(f.chooser.Choose(at), at)
	f.mu.Unlock()
	if wait <= 0 {
		return // another source may do better
	}
	f.retryDelay = min(max(2*f.retryDelay, minRetryDelay), maxRetryDelay)
	time.Sleep(min(f.retryDelay, wait))
}

func (f *follower) list(ctx context.Context) error {
	askedAt := now()
	entries, revision, err := f.store.List(ctx, "")
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.markCurrent(relay.StoreSource, nil, askedAt)
	f.feed.Replace(entries, revision)
	f.apply(f.mirror, f.mirror.Replace(entries, revision, now()))
	f.gateway.SetCurrentAsOf(f.currentAsOf) // not before the changes are in force
	f.notifyFollowers()
	return nil
}

// watch takes changes from the store until the watch breaks or another source is
// better. An answer proves that the copy was complete when it was asked for.
func (f *follower) watch(ctx context.Context) error {
	watching, cancel := context.WithCancel(ctx)
	defer cancel()
	askedAt := now()
	err := f.store.Watch(watching, "", f.revision(), func(changes []platform.Change, revision uint64) {
		f.applyCurrent(changes, revision, askedAt, nil)
		if f.chooseSource() != relay.StoreSource {
			cancel()
			return
		}
		if len(changes) > 0 {
			time.Sleep(time.Duration(batchDelayRatio * float64(f.WatchWait())))
		}
		askedAt = now()
	})
	if watching.Err() != nil {
		return nil // another source is better, or the process ends
	}
	return err
}

// take puts changes into use that prove the copy complete as of a moment.
func (f *follower) applyCurrent(changes []platform.Change, revision uint64, currentAsOf time.Duration, via []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	source := relay.StoreSource
	if len(via) > 0 {
		source = via[0]
	}
	regained := f.lost
	f.markCurrent(source, via, currentAsOf)
	hasNews := f.feed.Apply(changes, revision)
	f.apply(f.mirror, f.mirror.Apply(changes, revision, now()))
	f.gateway.SetCurrentAsOf(f.currentAsOf) // not before the changes are in force
	if hasNews || regained {
		f.notifyFollowers()
	}
}

// learn puts changes into use that prove nothing.
func (f *follower) applyUnconfirmed(changes []platform.Change, revision uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	hasNews := f.feed.Apply(changes, revision)
	f.apply(f.mirror, f.mirror.ApplyUnconfirmed(changes, revision, now()))
	if hasNews {
		f.notifyFollowers()
	}
}

// expire puts into use that entries have not come back.
func (f *follower) expire() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.apply(f.mirror, f.mirror.Expire(now()))
}

// revision returns the store's revision that the copy has reached.
func (f *follower) revision() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.mirror.Revision()
}

// noteCurrent notes that a source proved the copy complete as of a moment.
func (f *follower) markCurrent(source string, via []string, currentAsOf time.Duration) {
	f.retryDelay = 0
	f.chooser.MarkCurrent(source)
	if source != f.source || f.currentAsOf == 0 {
		f.log.Info().Str("source", sourceName(source)).Strs("via", via).Msg("store: followed")
	}
	if f.lost {
		f.lost = false
		f.log.Info().Str("source", sourceName(source)).Int64("evidence_age_ms", f.gateway.Staleness().Milliseconds()).Msg("store: regained")
	}
	f.source, f.via = source, via
	f.currentAsOf = max(f.currentAsOf, currentAsOf)
}

// noteFailed notes that a source failed. Followers hear of it at once if there is no
// other to try, or if the proof has grown old meanwhile; else they would leave an
// instance that is current again in a moment.
func (f *follower) markFailed(source string, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	at := now()
	f.chooser.MarkFailed(source, at)
	if source == relay.StoreSource {
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

// sourceName returns how logs name a source.
func sourceName(source string) string {
	if source == relay.StoreSource {
		return "store"
	}
	return source
}
