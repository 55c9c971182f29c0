// Package dissemination brings the accepted configuration and the seat tables
// to every instance. It is a deterministic core without I/O.
//
// A few instances of each availability zone, the watchers, read the store. The
// others pull from them through a tree of small fan-out, and the answers carry
// what changed and evidence of how recent it is (see package freshness). A
// watcher that cannot read the store pulls from watchers of other zones. After
// a change an instance hints at it to those that pull from it, and they pull
// at once. An instance that knows no version learns the newest from any peer.
package dissemination

import (
	"math/rand/v2"
	"time"

	"github.com/turmericfield/turmericfield/api/peerpb"
	"github.com/turmericfield/turmericfield/internal/freshness"
	"github.com/turmericfield/turmericfield/internal/invariant"
	"github.com/turmericfield/turmericfield/internal/membership"
)

const (
	// StoreReadPeriod is the time between two reads of the store by a watcher.
	StoreReadPeriod = 500 * time.Millisecond
	// PullPeriod is the time between two pulls of the others, and
	// RelayPullPeriod that of those among them that others pull from.
	PullPeriod      = 750 * time.Millisecond
	RelayPullPeriod = 500 * time.Millisecond
	// PullTimeout is how long an answer is waited for.
	PullTimeout = 400 * time.Millisecond
	// staleAge is the age of the evidence from which other sources than the
	// usual one are asked as well.
	staleAge = 3 * time.Second
	// maxOpenReads bounds the reads of the store that wait for an answer.
	maxOpenReads = 4
	// reportLifetime is how long a report of a puller counts.
	reportLifetime = 3 * time.Second
)

// Options set up a core.
type Options struct {
	Self       membership.Member
	Tracker    *freshness.Tracker
	Invariants *invariant.Recorder
	Rand       *rand.Rand
	Now        time.Time
	// Seeds are IP:ports that are pulled from while no member is known.
	Seeds []string
	// AsOfReceipt takes evidence as of the arrival of the answer and
	// LowerVersions accepts lower versions. Both are wrong; tests show what
	// the rules prevent.
	AsOfReceipt, LowerVersions bool
}

// Pull is one request to another instance. Every pull must be concluded by
// Pulled or Failed, with an answer that came after PullTimeout as Failed.
type Pull struct {
	ID          uint64
	PeerAddress string // IP:port
	Request     *peerpb.SyncRequest
}

// Actions is what the shell is asked to do.
type Actions struct {
	// ReadStore asks for a read that is concluded by StoreRead or StoreFailed.
	ReadStore bool
	Pulls     []Pull
	// Hints are IP:ports to send the hint to.
	Hints []string
	Hint  *peerpb.Hint
}

// Core is the dissemination of one instance. It is not safe for concurrent
// use.
type Core struct {
	options Options
	tree    tree
	history history
	// fetching is a newer version whose chunks are still being pulled.
	fetching *Record
	inForce  uint64 // version in force
	seats    seatTables
	// allZonesAsOf is the moment up to which the seat tables of all zones and the
	// configuration in force are known.
	allZonesAsOf time.Time
	// pendingClaim is the newest claim whose version is not in force yet.
	pendingClaim claim

	nextRead, nextPull  time.Time
	openReads           int // reads of the store without an answer yet
	storeReachable      bool
	openPulls           map[uint64]openPull
	lastID              uint64
	sourceTurn          int // rotates over the sources
	consecutiveFailures int // pulls in a row that failed
	hintDue             bool
	childReports        map[string]childReport
}

type openPull struct {
	sent     time.Time
	allZones bool
}

// claim says that all that was accepted before asOf is in the versions.
type claim struct {
	asOf     time.Time
	versions freshness.Versions
	allZones bool // also in the seat tables of all zones
}

type childReport struct {
	receivedAt time.Time
	report     *peerpb.InForceReport
}

// New returns a core that holds nothing.
func New(o Options) *Core {
	c := &Core{
		options: o, openPulls: map[uint64]openPull{}, childReports: map[string]childReport{},
		seats:    seatTables{ownZone: o.Self.AvailabilityZone, tables: map[string]*peerpb.SeatTable{}},
		nextRead: o.Now, nextPull: o.Now, storeReachable: true,
	}
	c.SetMembers(nil)
	return c
}

// SetMembers takes the members that are not gone, this instance among them.
func (c *Core) SetMembers(members []membership.Member) {
	if len(members) == 0 {
		members = []membership.Member{c.options.Self}
	}
	c.consecutiveFailures = 0
	c.tree.build(c.options.Self, members)
}

// IsWatcher tells whether this instance reads the store.
func (c *Core) IsWatcher() bool { return c.tree.isWatcher() }

// NewestRecord returns the newest whole record; version 0 if there is none.
func (c *Core) NewestRecord() *Record { return c.history.newest() }

// SetInForce says that a version is in force, so that evidence for it counts.
func (c *Core) SetInForce(version uint64) {
	if !c.options.LowerVersions && !c.options.Invariants.Check(version >= c.inForce, invariant.VersionNeverReverts, "%d after %d", version, c.inForce) {
		return
	}
	c.hintDue = c.hintDue || version != c.inForce
	c.inForce = version
	c.observe(c.pendingClaim)
}

func (c *Core) versionsInForce() freshness.Versions {
	return freshness.Versions{Config: c.inForce, Seats: c.seats.version(c.options.Self.AvailabilityZone)}
}

// Tick returns what is due. Call it several times per ReadPeriod.
func (c *Core) Tick(now time.Time) Actions {
	var a Actions
	if c.tree.isWatcher() && c.openReads < maxOpenReads && !now.Before(c.nextRead) {
		c.openReads++
		c.nextRead = now.Add(StoreReadPeriod)
		a.ReadStore = true
	}
	if !now.Before(c.nextPull) {
		c.nextPull = now.Add(c.pullPeriod())
		if peer, ok := c.chooseSource(now); ok {
			a.Pulls = append(a.Pulls, c.newPull(now, peer))
		}
	}
	if c.hintDue {
		c.hintDue = false
		a.Hint = &peerpb.Hint{ConfigVersion: c.inForce}
		for _, m := range c.tree.children() {
			a.Hints = append(a.Hints, m.PeerAddress)
		}
	}
	return a
}

// pullPeriod is shorter for a relay, as its evidence ages on the way to all
// below it.
func (c *Core) pullPeriod() time.Duration {
	if len(c.tree.children()) > 0 {
		return RelayPullPeriod
	}
	return PullPeriod
}

// chooseSource chooses whom to pull from next. While the evidence is stale, other
// sources than the usual ones take turns with them.
func (c *Core) chooseSource(now time.Time) (string, bool) {
	if c.tree.isWatcher() && c.storeReachable && c.fetching == nil {
		return "", false
	}
	c.sourceTurn++
	parents := c.tree.parents()
	fresh := c.options.Tracker.Fresh(now, staleAge)
	if len(parents) == 0 || !fresh && c.sourceTurn%2 == 0 {
		return c.alternativeSource()
	}
	if c.consecutiveFailures == 0 {
		return parents[0].PeerAddress, true
	}
	return parents[c.options.Rand.IntN(len(parents))].PeerAddress, true
}

// alternativeSource returns a watcher of another zone, an instance of the own zone
// or a seed.
func (c *Core) alternativeSource() (string, bool) {
	candidates := c.tree.otherWatchers
	if len(candidates) == 0 || c.sourceTurn%4 == 0 && len(c.tree.zone) > 1 {
		candidates = c.tree.zone
	}
	if len(candidates) > 0 {
		m := candidates[c.options.Rand.IntN(len(candidates))]
		if m.Name != c.options.Self.Name {
			return m.PeerAddress, true
		}
	}
	if len(c.options.Seeds) > 0 {
		return c.options.Seeds[c.options.Rand.IntN(len(c.options.Seeds))], true
	}
	return "", false
}

func (c *Core) newPull(now time.Time, address string) Pull {
	c.lastID++
	c.openPulls[c.lastID] = openPull{sent: now, allZones: c.tree.isWatcher()}
	r := &peerpb.SyncRequest{
		From: c.options.Self.Name, ConfigVersion: c.history.newest().Version,
		AvailabilityZone: c.options.Self.AvailabilityZone, Seats: c.seats.versions(c.tree.isWatcher()),
		AllZones: c.tree.isWatcher(), Report: c.Report(now),
	}
	if c.fetching != nil {
		for _, h := range c.fetching.missing() {
			r.WantedChunks = append(r.WantedChunks, []byte(h))
		}
	}
	return Pull{ID: c.lastID, PeerAddress: address, Request: r}
}

// PullFailed concludes a pull without an answer; another source is asked soon.
func (c *Core) PullFailed(now time.Time, id uint64) {
	if _, ok := c.openPulls[id]; !ok {
		return
	}
	delete(c.openPulls, id)
	c.consecutiveFailures++
	c.nextPull = earlier(c.nextPull, now)
}

// HintReceived makes this instance pull at once if the hint is news.
func (c *Core) HintReceived(now time.Time, h *peerpb.Hint) {
	if h.GetConfigVersion() > c.history.newest().Version && len(c.openPulls) == 0 {
		c.nextPull = earlier(c.nextPull, now)
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
