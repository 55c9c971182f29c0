package changefeed

import "time"

const (
	// peerWaitRatio times the store's watch wait is how long another instance may hold a
	// call that has no changes to return. It is short because each instance between
	// the copy and the store adds one such time to the age of the confirmation.
	peerWaitRatio = 0.7
	// batchDelayRatio times the watch wait is the pause after a response with changes, in
	// which further changes accumulate for the next one, since the platform charges
	// for each watch call. It is at most one wait from one response of the store to the
	// next, pause included.
	batchDelayRatio = 0.8
	// slowResponses is what two responses of a slow store add to the age of a confirmation.
	slowResponses = 500 * time.Millisecond
	// AskTimeout bounds a call of a search to another instance that returns at once.
	AskTimeout = 300 * time.Millisecond
	// MaxReceiveTime is how long a source that is receiving a large response may be without
	// proof beyond MaxAge before its followers leave it. On a link as narrow as the source's
	// they would not have that response sooner.
	MaxReceiveTime = 3 * time.Second
	// ReceivePatience is how long a large response of the store may take to arrive before
	// other instances are asked for what it has, and the pause between such searches.
	ReceivePatience = 500 * time.Millisecond
	// CallMargin is how much longer a call may take than the receiver may hold it:
	// several round trips between regions, or a response of a slow store.
	CallMargin = 300 * time.Millisecond
)

// Timing holds the times by which instances follow the store and one another. All
// derive from how long the store may hold a watch that has no changes to return.
type Timing struct{ WatchWait time.Duration }

// PeerWait is how long another instance may hold a call that has no changes to return.
func (t Timing) PeerWait() time.Duration {
	return time.Duration(peerWaitRatio * float64(t.WatchWait))
}

// BatchDelay is the pause after a response of the store with changes.
func (t Timing) BatchDelay() time.Duration {
	return time.Duration(batchDelayRatio * float64(t.WatchWait))
}

// MaxAge is the age of its last confirmation above which a source's copy does not count
// as current to an instance, given that one's SourceChooser.Hops. It is the age that a
// healthy way leads to: a response of the store confirms what was asked for one wait
// earlier, and the next one comes another wait later. It does not grow with the way that
// the copy has taken, or else instances without a current source would accept one another.
func (t Timing) MaxAge(hops int) time.Duration {
	return 2*t.WatchWait + time.Duration(hops)*t.PeerWait() + slowResponses
}
