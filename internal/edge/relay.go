package edge

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/turmericfield/turmericfield/api/fleetpb"
	"github.com/turmericfield/turmericfield/internal/platform"
)

const (
	// peerWaitRatio times WatchWait is how long another instance may hold a Follow
	// call that has no changes to return. It is short because each instance between
	// the copy and the store adds one such time to the age of the confirmation.
	peerWaitRatio = 0.7
	// peerTimeoutMargin is how much longer than that wait a Follow call may take:
	// several round trips between regions.
	peerTimeoutMargin = 300 * time.Millisecond
	// maxPeerStaleness is the age of a confirmation above which another instance's
	// copy does not count as current. It leaves room for two waits of a watch, the
	// pause between them, two responses of a slow store and the waits of three
	// instances on the way, and changes still take effect in time.
	maxPeerStaleness = 2500 * time.Millisecond
	// maxPeerResponseBytes is the maximum size of a response of another instance: a
	// full log of changes with some large configurations among them.
	maxPeerResponseBytes = 16 << 20
	// maxPeerRequestBytes is the maximum size of a request of another instance: a
	// report of the use of every workspace.
	maxPeerRequestBytes = 4 << 20
)

// errNotCurrent means that the copy of the followed instance is not current.
var errNotCurrent = errors.New("the followed instance's copy of the store is not current")

// Follow implements fleetpb.FleetServer: it returns the changes after a store revision,
// and waits for some if there are none yet.
func (f fleetServer) Follow(ctx context.Context, r *fleetpb.FollowRequest) (*fleetpb.FollowResponse, error) {
	f.metrics.Add("follows_total", 1)
	arrivedAt := now()
	end := time.NewTimer(time.Duration(r.GetWaitMs()) * time.Millisecond)
	defer end.Stop()
	for {
		response, updated := f.follower.response(r.GetAfter(), arrivedAt)
		if len(response.GetChanges()) > 0 || response.GetList() || response.GetLost() {
			return response, nil
		}
		select {
		case <-updated:
		case <-end.C:
			response, _ = f.follower.response(r.GetAfter(), arrivedAt)
			return response, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// response returns the changes after a store revision for a follower whose call
// arrived at a time since boot, and a channel that is closed when there are more.
func (f *follower) response(after uint64, arrivedAt time.Duration) (*fleetpb.FollowResponse, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	batch, ok := f.feed.ChangesSince(after)
	at := now()
	out := &fleetpb.FollowResponse{
		Revision: batch.Revision, More: batch.More, List: !ok, Via: f.via, Lost: f.lost || f.currentAsOf == 0,
		AgeNs: int64(at - f.currentAsOf), HeldNs: int64(at - arrivedAt),
	}
	for _, c := range batch.Changes {
		out.Changes = append(out.Changes, &fleetpb.Change{Key: c.Entry.Key, Value: c.Entry.Value, Revision: c.Entry.Revision, Deleted: c.Deleted})
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
	for ctx.Err() == nil && f.chooseSource() == name {
		address, ok := f.members.peerAddress(name)
		if !ok {
			return errors.Newf("instance %q is no longer registered", name)
		}
		client, err := f.peer.client(address, peerTimeoutMargin)
		if err != nil {
			return err
		}
		askedAt := now()
		wait := time.Duration(peerWaitRatio * float64(f.WatchWait()))
		call, cancel := context.WithTimeout(ctx, wait+peerTimeoutMargin)
		response, err := client.Follow(call, &fleetpb.FollowRequest{After: f.revision(), WaitMs: wait.Milliseconds()})
		cancel()
		if err != nil {
			f.peer.close()
			return errors.Wrap(err, "follow")
		}
		if response.GetList() {
			return platform.ErrHistoryGone
		}
		if err := f.applyPeerResponse(name, response, askedAt); err != nil {
			return err
		}
	}
	return nil
}

// applyPeerResponse applies the changes that another instance has passed on. The age
// of its copy applies to the time of the response, which is at least as long after
// askedAt as the call was held. Counted that way, the copy is never taken for newer
// than it is.
func (f *follower) applyPeerResponse(name string, a *fleetpb.FollowResponse, askedAt time.Duration) error {
	changes := make([]platform.Change, len(a.GetChanges()))
	for i, c := range a.GetChanges() {
		changes[i] = platform.Change{
			Entry: platform.Entry{Key: c.GetKey(), Value: c.GetValue(), Revision: c.GetRevision()}, Deleted: c.GetDeleted(),
		}
	}
	if a.GetMore() {
		f.applyUnconfirmed(changes, a.GetRevision())
		return nil
	}
	currentAsOf := askedAt + time.Duration(a.GetHeldNs()-a.GetAgeNs())
	circular := slices.Contains(a.GetVia(), f.Name)
	if a.GetLost() || circular || now()-currentAsOf > maxPeerStaleness {
		f.applyUnconfirmed(changes, a.GetRevision())
		return errors.Wrapf(errNotCurrent, "%s, confirmed %v ago, through %q", name, now()-currentAsOf, a.GetVia())
	}
	f.applyCurrent(changes, a.GetRevision(), currentAsOf, append([]string{name}, a.GetVia()...))
	return nil
}

// chooseSource returns the name of the instance to follow now, or changefeed.StoreSource.
func (f *follower) chooseSource() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.chooser.Choose(now())
}
