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
	relayWait = 0.7
	// relaySlack is what an answer of another instance may take beyond the wait:
	// several times the way between regions and back.
	relaySlack = 300 * time.Millisecond
	// maxRelayed is the age from which a copy is not current: two waits of a watch, a
	// pause, two answers of a slow store and the waits of three instances on the way
	// fit in, and the bounds on changes stay in reach.
	maxRelayed = 2500 * time.Millisecond
	// maxPeerAnswer is the size in bytes of an answer: a log of changes with some
	// large configurations among them.
	maxPeerAnswer = 16 << 20
)

// errNotCurrent means that an instance answered whose copy cannot be relied on.
var errNotCurrent = errors.New("the instance has lost the store")

// Follow implements fleetpb.FleetServer.
func (f fleetServer) Follow(ctx context.Context, r *fleetpb.FollowRequest) (*fleetpb.FollowResponse, error) {
	f.metrics.Add("follows_total", 1)
	arrived := now()
	end := time.NewTimer(time.Duration(r.GetWaitMs()) * time.Millisecond)
	defer end.Stop()
	for {
		answer, woken := f.follower.answer(r.GetAfter(), arrived)
		if len(answer.GetChanges()) > 0 || answer.GetList() || answer.GetLost() {
			return answer, nil
		}
		select {
		case <-woken:
		case <-end.C:
			answer, _ = f.follower.answer(r.GetAfter(), arrived)
			return answer, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// answer returns what a follower lacks whose call arrived at a time, and what is
// closed when there is more.
func (f *follower) answer(after uint64, arrived time.Duration) (*fleetpb.FollowResponse, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	news, ok := f.feed.ChangesSince(after)
	at := now()
	out := &fleetpb.FollowResponse{
		Revision: news.Revision, More: news.More, List: !ok, Via: f.via, Lost: f.lost || f.evidence == 0,
		AgeNs: int64(at - f.evidence), HeldNs: int64(at - arrived),
	}
	for _, c := range news.Changes {
		out.Changes = append(out.Changes, &fleetpb.Change{Key: c.Entry.Key, Value: c.Entry.Value, Revision: c.Entry.Revision, Deleted: c.Deleted})
	}
	return out, f.woken
}

// wake ends the waits of followers.
func (f *follower) wake() {
	close(f.woken)
	f.woken = make(chan struct{})
}

// relayed follows another instance until it fails or another source is better.
func (f *follower) relayed(ctx context.Context, name string) error {
	for ctx.Err() == nil && f.choose() == name {
		address, ok := f.members.peerAddress(name)
		if !ok {
			return errors.Newf("instance %q has left", name)
		}
		client, err := f.peer.client(address, relaySlack)
		if err != nil {
			return err
		}
		asked := now()
		wait := time.Duration(relayWait * float64(f.WatchWait()))
		call, cancel := context.WithTimeout(ctx, wait+relaySlack)
		answer, err := client.Follow(call, &fleetpb.FollowRequest{After: f.revision(), WaitMs: wait.Milliseconds()})
		cancel()
		if err != nil {
			f.peer.close()
			return errors.Wrap(err, "follow")
		}
		if answer.GetList() {
			return platform.ErrHistoryGone
		}
		if err := f.takeRelayed(name, answer, asked); err != nil {
			return err
		}
	}
	return nil
}

// takeRelayed puts into use what another instance has passed on. That one's proof is
// as old as it said when it answered, which was after the call was made by at least
// the time for which it held the call.
func (f *follower) takeRelayed(name string, a *fleetpb.FollowResponse, asked time.Duration) error {
	changes := make([]platform.Change, len(a.GetChanges()))
	for i, c := range a.GetChanges() {
		changes[i] = platform.Change{
			Entry: platform.Entry{Key: c.GetKey(), Value: c.GetValue(), Revision: c.GetRevision()}, Deleted: c.GetDeleted(),
		}
	}
	if a.GetMore() {
		f.learn(changes, a.GetRevision())
		return nil
	}
	evidence := asked + time.Duration(a.GetHeldNs()-a.GetAgeNs())
	circular := slices.Contains(a.GetVia(), f.Name)
	if a.GetLost() || circular || now()-evidence > maxRelayed {
		f.learn(changes, a.GetRevision())
		return errors.Wrapf(errNotCurrent, "%s, proof %v old, by way of %q", name, now()-evidence, a.GetVia())
	}
	f.take(changes, a.GetRevision(), evidence, append([]string{name}, a.GetVia()...))
	return nil
}

// choose returns the source to follow now; relay.Store for the store.
func (f *follower) choose() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.chooser.Choose(now())
}
