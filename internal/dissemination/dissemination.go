// Package dissemination brings the accepted configuration and the seat tables
// to every instance. A seat table records which instance holds which share of
// an availability zone's capacity (see package seat). The package is
// deterministic and does no I/O: its caller carries out the Actions that it
// returns and reports their results.
//
// A few instances of each availability zone, the watchers, read the store. The
// other instances of the zone form a tree below the watchers, in which each
// pulls from its parent. An answer carries what changed and evidence, that is, a
// moment up to which all accepted changes are known to be included (see package
// freshness). A watcher that cannot read the store pulls from watchers of other
// zones.
//
// When a new version is in force at an instance, it sends a hint to its
// children, and they pull at once. Any instance answers the pull of any other,
// so one that holds no version yet can start with any peer.
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
	// StoreReadPeriod is the time between the starts of two reads of the store
	// by a watcher.
	StoreReadPeriod = 500 * time.Millisecond
	// PullPeriod is the time between two pulls of an instance without children,
	// and RelayPullPeriod that of an instance with children.
	PullPeriod      = 750 * time.Millisecond
	RelayPullPeriod = 500 * time.Millisecond
	// PullTimeout is how long the caller waits for the answer to a pull.
	PullTimeout = 400 * time.Millisecond
	// staleAge is the age of the evidence above which every other pull goes to
	// another source than the parents.
	staleAge = 3 * time.Second
	// maxOpenReads bounds the reads of the store that have no result yet.
	maxOpenReads = 4
	// reportLifetime is how long the report in a child's last pull counts.
	reportLifetime = 3 * time.Second
)

// Options configures a Core.
type Options struct {
	Self       membership.Member
	Tracker    *freshness.Tracker
	Invariants *invariant.Recorder
	Rand       *rand.Rand
	Now        time.Time
	// Seeds are addresses (IP:port) to pull from while no other member is known.
	Seeds []string
	// AsOfReceipt and LowerVersions each switch off a safety rule, so that tests
	// can show what the rule prevents. AsOfReceipt dates evidence at the arrival
	// of the answer instead of the sending of the pull, which makes it look
	// newer than it is. LowerVersions accepts a version below the one held.
	AsOfReceipt, LowerVersions bool
}

// Pull is one request to another instance. Every pull must be concluded by a
// call of PullAnswered, or of PullFailed if no answer came within PullTimeout.
type Pull struct {
	ID          uint64
	PeerAddress string // IP:port of the instance to ask
	Request     *peerpb.SyncRequest
}

// Actions lists what the caller of Tick has to do.
type Actions struct {
	// ReadStore asks for one read of the store, to be concluded by a call of
	// StoreReadAnswered or StoreReadFailed.
	ReadStore bool
	Pulls     []Pull
	// Hints are the addresses (IP:port) to send Hint to.
	Hints []string
	Hint  *peerpb.Hint
}

// Core is the dissemination state of one instance. It is not safe for concurrent
// use.
type Core struct {
	options Options
	tree    tree
	history history
	// fetching is a newer version of which chunks are still missing; nil if
	// there is none.
	fetching *Record
	inForce  uint64 // Record.Version of the record in force
	seats    seatTables
	// allZonesAsOf is the moment up to which all changes of the configuration and
	// of the seat tables of all zones are known and in force; zero if unknown.
	allZonesAsOf time.Time
	// pendingObservation is the latest observation whose versions are not in force
	// yet.
	pendingObservation observation

	nextRead, nextPull  time.Time
	openReads           int // reads of the store without a result yet
	storeReachable      bool
	openPulls           map[uint64]openPull
	lastID              uint64
	sourceTurn          int // counts choices of a source, to alternate between kinds
	consecutiveFailures int // failed pulls since the last answered one
	hintDue             bool
	childReports        map[string]childReport
}

// openPull is a pull that is not concluded yet.
type openPull struct {
	sent     time.Time
	allZones bool // the seat tables of all zones were asked for
}

// observation says that the versions contain every change accepted before asOf.
// It becomes freshness evidence once the versions are in force here.
type observation struct {
	asOf     time.Time
	versions freshness.Versions
	allZones bool // holds for the seat tables of all zones, not only for those of the own one
}

// childReport is the report in the last pull that another instance sent here.
type childReport struct {
	receivedAt time.Time
	report     *peerpb.InForceReport
}

// New returns a core without configuration, seat tables or other members.
func New(o Options) *Core {
	c := &Core{
		options: o, openPulls: map[uint64]openPull{}, childReports: map[string]childReport{},
		seats:    seatTables{ownZone: o.Self.AvailabilityZone, tables: map[string]*peerpb.SeatTable{}},
		nextRead: o.Now, nextPull: o.Now, storeReachable: true,
	}
	c.SetMembers(nil)
	return c
}

// SetMembers sets the members of the fleet that are not gone, including this
// instance. An empty list stands for this instance alone.
func (c *Core) SetMembers(members []membership.Member) {
	if len(members) == 0 {
		members = []membership.Member{c.options.Self}
	}
	c.consecutiveFailures = 0
	c.tree.build(c.options.Self, members)
}

// IsWatcher reports whether this instance reads the store.
func (c *Core) IsWatcher() bool { return c.tree.isWatcher() }

// NewestRecord returns the newest record of which all chunks are held, or an
// empty one of version 0 if there is none.
func (c *Core) NewestRecord() *Record { return c.history.newest() }

// SetInForce tells the core that the record of a version is now in force at
// this instance. Observations count only for versions in force, so a pending
// one is examined again.
func (c *Core) SetInForce(version uint64) {
	if !c.options.LowerVersions && !c.options.Invariants.Check(version >= c.inForce, invariant.VersionNeverReverts, "%d after %d", version, c.inForce) {
		return
	}
	c.hintDue = c.hintDue || version != c.inForce
	c.inForce = version
	c.observe(c.pendingObservation)
}

// versionsInForce returns the versions that observations are compared with.
func (c *Core) versionsInForce() freshness.Versions {
	return freshness.Versions{Config: c.inForce, Seats: c.seats.version(c.options.Self.AvailabilityZone)}
}

// Tick returns the actions that are due at a moment. Call it several times per
// StoreReadPeriod.
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

// pullPeriod returns the time until the next pull. It is shorter for an instance
// with children, because the delay adds to the age of the evidence of every
// instance below it.
func (c *Core) pullPeriod() time.Duration {
	if len(c.tree.children()) > 0 {
		return RelayPullPeriod
	}
	return PullPeriod
}

// chooseSource returns the address (IP:port) to pull from next; false if there is
// nothing to pull or nobody to pull from. A watcher that can read the store pulls
// only to complete a record. While the evidence is stale, the parents and other
// sources take turns.
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

// alternativeSource returns the address (IP:port) of a random watcher of another
// zone or a random instance of the own zone, or of a seed if there is neither.
func (c *Core) alternativeSource() (string, bool) {
	candidates := c.tree.otherWatchers
	if len(candidates) == 0 || c.sourceTurn%4 == 0 && len(c.tree.zoneMembers) > 1 {
		candidates = c.tree.zoneMembers
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

// newPull returns a pull from an address (IP:port) and registers it as open.
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

// PullFailed concludes a pull that got no answer. The next Tick pulls again.
func (c *Core) PullFailed(now time.Time, id uint64) {
	if _, ok := c.openPulls[id]; !ok {
		return
	}
	delete(c.openPulls, id)
	c.consecutiveFailures++
	c.nextPull = earlier(c.nextPull, now)
}

// HintReceived makes the next Tick pull if the hint names a newer version than
// the one held and no pull is open.
func (c *Core) HintReceived(now time.Time, h *peerpb.Hint) {
	if h.GetConfigVersion() > c.history.newest().Version && len(c.openPulls) == 0 {
		c.nextPull = earlier(c.nextPull, now)
	}
}

// earlier returns the earlier of two moments.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
