package edge

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/turmericfield/turmericfield/api/fleetpb"
	"github.com/turmericfield/turmericfield/internal/changefeed"
	"github.com/turmericfield/turmericfield/internal/delta"
	"github.com/turmericfield/turmericfield/internal/platform"
	"github.com/turmericfield/turmericfield/internal/traffic"
)

const (
	// minPeerWait is the least time that another instance may hold a call, so that calls
	// do not follow one another without a pause.
	minPeerWait = 50 * time.Millisecond
	// maxFollowBytes is the size of the changes in bytes above which a follower gets a
	// whole copy in parts instead. A response of that size arrives within a call's timeout
	// also on a narrow link.
	maxFollowBytes = changefeed.MaxChangeBytes
	// receivingTimeout is the time without a part of it after which a large response is no
	// longer coming: a call of a follower, and the decoding of the response.
	receivingTimeout = time.Second
	// maxPeerResponseBytes is the maximum size of a response of another instance: a
	// full log of changes with some large configurations among them.
	maxPeerResponseBytes = 16 << 20
	// maxPeerRequestBytes is the maximum size of a request of another instance: a
	// report of the use of every workspace.
	maxPeerRequestBytes = 4 << 20
)

// errNotCurrent means that the copy of the followed instance is not current.
var errNotCurrent = errors.New("the followed instance's copy of the store is not current")

// errReceiving means that the followed instance is not current since it is receiving a large
// response.
var errReceiving = errors.New("the followed instance is receiving a large response")

// Follow implements fleetpb.FleetServer: it returns the changes after a store revision,
// and waits for some if there are none yet. It fails if the response exceeds what may be
// held for followers.
func (f fleetServer) Follow(ctx context.Context, r *fleetpb.FollowRequest) (*fleetpb.FollowResponse, error) {
	f.metrics.Add("follows_total", 1)
	call := f.follower.beginCall(ctx)
	defer f.follower.endCall(call)
	arrivedAt := now()
	end := time.NewTimer(time.Duration(r.GetWaitMs()) * time.Millisecond)
	defer end.Stop()
	for {
		response, updated := f.follower.response(r, arrivedAt)
		if len(response.GetChanges()) > 0 || response.GetList() || response.GetLost() {
			return f.follower.reserveResponse(call, response)
		}
		select {
		case <-updated:
		case <-end.C:
			response, _ = f.follower.response(r, arrivedAt)
			return f.follower.reserveResponse(call, response)
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// response returns the changes that a follower lacks whose call arrived at a time since
// boot, and a channel that is closed when there are more.
func (f *follower) response(r *fleetpb.FollowRequest, arrivedAt time.Duration) (*fleetpb.FollowResponse, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lacksConfiguration() {
		return &fleetpb.FollowResponse{Revision: r.GetAfter(), Lost: true, Via: f.via, AgeNs: int64(now() - f.currentAsOf)}, f.updated
	}
	batch, ok := f.feed.ChangesSince(r.GetAfter())
	if !ok {
		batch.Revision = f.mirror.Revision() // by which a follower ahead of it asks for no copy
	}
	at := now()
	out := &fleetpb.FollowResponse{
		Revision: batch.Revision, More: batch.More, List: !ok, Via: f.via, Lost: f.lost || f.currentAsOf == 0,
		AgeNs: int64(at - f.currentAsOf), HeldNs: int64(at - arrivedAt), Settled: f.mirror.IsSettled(f.currentAsOf),
		Receiving: f.receiving(),
	}
	for _, g := range batch.Gaps {
		out.Gaps = append(out.Gaps, &fleetpb.Gap{From: g.From, To: g.To})
	}
	size := 0
	for _, c := range batch.Changes {
		change := &fleetpb.Change{Key: c.Entry.Key, Value: c.Entry.Value, Revision: c.Entry.Revision, Deleted: c.Deleted}
		switch d := c.Difference; {
		case d != nil && r.GetDifferences():
			change.Value, change.Difference, change.Base = nil, d.Data, d.Base
		case d != nil && len(c.Entry.Value) == 0:
			out.List = true // the value is too large for a follower that takes no differences
		}
		out.Changes = append(out.Changes, change)
		size += len(change.GetKey()) + len(change.GetValue()) + len(change.GetDifference())
	}
	if size > maxFollowBytes || out.GetList() {
		out.Changes, out.List = nil, true
	}
	return out, f.updated
}

// notifyFollowers makes the Follow calls that are waiting look for changes again. The
// caller holds the lock.
func (f *follower) notifyFollowers() {
	close(f.updated)
	f.updated = make(chan struct{})
}

// followPeer follows another instance until it fails or another source is preferred.
func (f *follower) followPeer(ctx context.Context, name string) error {
	for ctx.Err() == nil && !f.betterDue(name) {
		client, err := f.peerClient(&f.peer, name, changefeed.CallMargin, traffic.Follow)
		if err != nil {
			return err
		}
		wait := f.peerWait()
		call, cancel := context.WithTimeout(ctx, wait+changefeed.CallMargin)
		a := f.askChanges(call, client, name, wait)
		cancel()
		if a.err != nil {
			f.peer.close()
			return a.err
		}
		err = f.applyChanges(a)
		isWaitedFor := f.isWaitedFor(a)
		if isWaitedFor {
			f.noteReceiving()
		}
		switch {
		case err != nil && isWaitedFor:
			return errors.Mark(err, errReceiving)
		case err != nil:
			return err
		}
	}
	return nil
}

// isWaitedFor reports whether a source is not left for the store though its proof may be
// too old.
func (f *follower) isWaitedFor(a answer) bool {
	return a.receiving && f.isCurrentWithin(a, changefeed.MaxReceiveTime)
}

// peerWait returns how long a followed instance may hold a call: not longer than until
// this copy no longer counts as current or, while the source is receiving, is given up.
func (f *follower) peerWait() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	left := f.currentAsOf + f.timing.MaxAge(f.chooser.Hops()) - now()
	if f.receiving() {
		left += changefeed.MaxReceiveTime
	}
	return min(max(left, minPeerWait), f.timing.PeerWait())
}

// peerClient returns a client of an instance, given its name or, for one of
// Settings.PeerSeeds, its address.
func (f *follower) peerClient(conn *peerConn, name string, timeout time.Duration, purpose traffic.Purpose) (fleetpb.FleetClient, error) {
	address, ok := f.members.peerAddress(name)
	if !ok {
		if !slices.Contains(f.PeerSeeds, name) {
			return nil, errors.Newf("instance %q is no longer registered", name)
		}
		address = name
	}
	return conn.client(address, timeout, f.meter(purpose, address))
}

// answer is what a source has told of the store, or an error.
type answer struct {
	source      string // changefeed.StoreSource, or the instance's name
	err         error
	isCopy      bool              // entries holds the whole store, and changes nothing
	size        int               // bytes of a copy as another instance sent it, or of the store's keys and values
	took        time.Duration     // from the call to the end of its response, for a copy
	begunAt     time.Duration     // time since boot at which the first part of a copy came from another instance
	entries     []platform.Entry  // by the revision
	changes     []platform.Change // since the revision of this instance's copy
	gaps        []changefeed.Gap  // that the changes lead over
	more        bool              // the changes do not lead up to the source's revision yet
	revision    uint64            // up to which the entries, or this copy with the changes, are complete
	currentAsOf time.Duration     // time since boot at which the source's copy was known to be current
	via         []string          // instances between this one and the store, nearest first
	lost        bool              // the source has no current source itself
	settled     bool              // the source's copy is settled in the era of the revision
	receiving   bool              // the source is receiving a large response
}

// ask asks a source during a search. If it has to send its whole copy, it does so once no
// other source that the search has asked is sending one.
func (f *follower) ask(ctx context.Context, name string, copying copySlot) answer {
	if name == changefeed.StoreSource {
		return f.askStore(ctx)
	}
	var conn peerConn
	defer conn.close()
	client, err := f.peerClient(&conn, name, changefeed.AskTimeout, traffic.Search)
	if err != nil {
		return answer{source: name, err: err}
	}
	a := f.askOnce(ctx, client, name)
	if !errors.Is(a.err, platform.ErrHistoryGone) {
		return a
	}
	waited, err := copying.take(ctx)
	if err != nil {
		return answer{source: name, err: err}
	}
	defer copying.release()
	if waited {
		if a = f.askOnce(ctx, client, name); !errors.Is(a.err, platform.ErrHistoryGone) {
			return a
		}
	}
	conn.use.Set(f.meter(traffic.Copy, conn.address))
	conn.use.AddCall()
	return f.askCopy(ctx, client, name, copying)
}

// askOnce asks another instance for the changes that this copy lacks. The error is
// platform.ErrHistoryGone if the instance is current and a whole copy is needed.
func (f *follower) askOnce(ctx context.Context, client fleetpb.FleetClient, name string) answer {
	call, cancel := context.WithTimeout(ctx, changefeed.AskTimeout)
	defer cancel()
	a := f.askChanges(call, client, name, 0)
	if errors.Is(a.err, platform.ErrHistoryGone) {
		if err := f.checkCurrent(a); err != nil {
			a.err = err
		}
	}
	return a
}

// askChanges asks another instance for the changes that this copy lacks. If it needs a
// whole copy, the error is platform.ErrHistoryGone.
func (f *follower) askChanges(ctx context.Context, client fleetpb.FleetClient, name string, wait time.Duration) answer {
	askedAt, after := now(), f.revision()
	r, err := client.Follow(ctx, &fleetpb.FollowRequest{After: after, WaitMs: wait.Milliseconds(), Differences: true})
	if err != nil {
		return answer{source: name, err: errors.Wrap(err, "follow")}
	}
	a := answerFromProto(name, r, askedAt)
	switch era := platform.RevisionEra(after); {
	case a.revision > 0 && platform.RevisionEra(a.revision) < era:
		a.err = olderEraError(name, a.revision, after)
		return a
	case r.GetList(), platform.RevisionEra(a.revision) > era && after > 0:
		a.err = platform.ErrHistoryGone
		return a
	}
	if a.changes, err = f.changesFromProto(r.GetChanges()); err != nil {
		f.metrics.Add("differences_refused_total", 1)
		a.err = errors.Mark(errors.Wrapf(err, "changes of %s", name), platform.ErrHistoryGone)
		return a
	}
	for _, g := range r.GetGaps() {
		a.gaps = append(a.gaps, changefeed.Gap{From: g.GetFrom(), To: g.GetTo()})
	}
	return a
}

// answerFromProto returns an answer without its entries or changes. The age of the
// source's copy applies to the time of the response, which is at least as long after
// askedAt as the call was held. Counted that way, a copy is never taken for newer than
// it is.
func answerFromProto(name string, r *fleetpb.FollowResponse, askedAt time.Duration) answer {
	return answer{
		source: name, revision: r.GetRevision(), more: r.GetMore(), lost: r.GetLost(), settled: r.GetSettled(), receiving: r.GetReceiving(), via: append([]string{name}, r.GetVia()...),
		currentAsOf: askedAt + time.Duration(r.GetHeldNs()-r.GetAgeNs()),
	}
}

// changesFromProto returns changes with their values, which lead on from this copy. The
// error is delta.ErrInvalid if a difference is to another value than this copy's.
func (f *follower) changesFromProto(list []*fleetpb.Change) ([]platform.Change, error) {
	changes := make([]platform.Change, len(list))
	before := map[string]platform.Entry{} // entries by key, of earlier changes
	for i, c := range list {
		changes[i] = platform.Change{Entry: entryFromProto(c), Deleted: c.GetDeleted()}
		if len(c.GetDifference()) > 0 {
			base, known := before[c.GetKey()]
			if !known {
				var copied uint64
				if base, copied = f.held(c.GetKey()); c.GetRevision() <= copied {
					continue // another source has told of it meanwhile
				}
			}
			switch c.GetBase() {
			case 0:
				base = platform.Entry{}
			case base.Revision:
			default:
				return nil, errors.Wrapf(delta.ErrInvalid, "key %q at revision %d, want %d", c.GetKey(), platform.RevisionNumber(base.Revision), platform.RevisionNumber(c.GetBase()))
			}
			value, err := delta.Decode(base.Value, c.GetDifference(), f.limits.CopyBytes)
			if err != nil {
				return nil, errors.Wrapf(err, "key %q", c.GetKey())
			}
			changes[i].Entry.Value = value
			changes[i].Difference = &platform.Difference{Base: c.GetBase(), Data: c.GetDifference()}
		}
		before[c.GetKey()] = changes[i].Entry
		if c.GetDeleted() {
			before[c.GetKey()] = platform.Entry{}
		}
	}
	return changes, nil
}

// held returns this copy's entry of a key, and the copy's revision.
func (f *follower) held(key string) (platform.Entry, uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	entry, _ := f.mirror.Get(key)
	return entry, f.mirror.Revision()
}

func entryFromProto(c *fleetpb.Change) platform.Entry {
	return platform.Entry{Key: c.GetKey(), Value: c.GetValue(), Revision: c.GetRevision()}
}

// applyChanges applies the changes that another instance has passed on. The error is set
// if they do not make this copy current.
func (f *follower) applyChanges(a answer) error {
	if own := f.revision(); platform.RevisionEra(a.revision) != platform.RevisionEra(own) {
		return olderEraError(a.source, a.revision, own) // of a call from before this copy's era
	}
	f.addGaps(a.gaps)
	if a.more {
		f.applyUnconfirmed(a.changes, a.revision)
		return nil
	}
	if err := f.checkCurrent(a); err != nil {
		f.applyUnconfirmed(a.changes, a.revision)
		return err
	}
	f.noteSettled(a)
	f.applyCurrent(a.changes, a.revision, a.currentAsOf, a.via)
	return nil
}

// checkCurrent returns an error if a source's copy does not count as current.
func (f *follower) checkCurrent(a answer) error {
	if a.source == changefeed.StoreSource || f.isCurrentWithin(a, 0) {
		return nil
	}
	return errors.Wrapf(errNotCurrent, "%s, confirmed %v ago, through %q", a.source, a.age(), a.via[1:])
}

// isCurrentWithin reports whether another instance's copy counts as current, or would if
// its proof were younger by more.
func (f *follower) isCurrentWithin(a answer, more time.Duration) bool {
	f.mu.Lock()
	maxAge := f.timing.MaxAge(f.chooser.Hops())
	f.mu.Unlock()
	return !a.lost && !slices.Contains(a.via, f.Name) && a.age() <= maxAge+more
}

// age returns the age of the source's proof, for a copy when it began to come.
func (a answer) age() time.Duration {
	if a.isCopy {
		return a.begunAt - a.currentAsOf
	}
	return now() - a.currentAsOf
}
