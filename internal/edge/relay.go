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
	// relayWait times a watch's wait is how long another instance may hold a call
	// without news; short, because each instance on the way adds one such time to the
	// age of a proof.
	peerWaitRatio = 0.7
	// relaySlack is what an answer of another instance may take beyond the wait:
	// several times the way between regions and back.
	peerTimeoutMargin = 300 * time.Millisecond
	// maxRelayed is the age from which a copy is not current: two waits of a watch, a
	// pause, two answers of a slow store and the waits of three instances on the way
	// fit in, and the bounds on changes stay in reach.
	maxPeerStaleness = 2500 * time.Millisecond
	// maxPeerAnswer is the size in bytes of an answer: a log of changes with some
	// large configurations among them.
	maxPeerResponseBytes = 16 << 20
)

// errNotCurrent means that an instance answered whose copy cannot be relied on.
var errNotCurrent = errors.New("the instance has lost the store")

// Follow implements fleetpb.FleetServer.
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

// answer returns what a follower lacks whose call arrived at a time, and what is
// closed when there is more.
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

// wake ends the waits of followers.
func (f *follower) notifyFollowers() {
	close(f.updated)
	f.updated = make(chan struct{})
}

// relayed follows another instance until it fails or another source is better.
func (f *follower) followPeer(ctx context.Context, name string) error {
	for ctx.Err() == nil && f.chooseSource() == name {
		address, ok := f.members.peerAddress(name)
		if !ok {
			return errors.Newf("instance %q has left", name)
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

// takeRelayed puts into use what another instance has passed on. That one's proof is
// as old as it said when it answered, which was after the call was made by at least
// the time for which it held the call.
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
		return errors.Wrapf(errNotCurrent, "%s, proof %v old, by way of %q", name, now()-currentAsOf, a.GetVia())
	}
	f.applyCurrent(changes, a.GetRevision(), currentAsOf, append([]string{name}, a.GetVia()...))
	return nil
}

// choose returns the source to follow now; relay.Store for the store.
func (f *follower) chooseSource() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.chooser.Choose(now())
}
