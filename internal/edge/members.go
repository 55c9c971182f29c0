package edge

import (
	"cmp"
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/turmericfield/turmericfield/internal/config"
	"github.com/turmericfield/turmericfield/internal/lookup"
	"github.com/turmericfield/turmericfield/internal/platform"
)

const (
	// instancePrefix follows StoreKeys.OwnPrefix in the keys under which instances
	// register.
	instancePrefix = "instances/"
	// leaseTTL is how long an instance that has stopped renewing its lease stays in
	// lookup results. Leases are renewed every renewInterval, a third of leaseTTL.
	leaseTTL      = 3 * time.Second
	renewInterval = time.Second
	// maxReregisterDelay spreads the registrations of all instances after the store came
	// back as an older copy, since it takes a limited number of writes per second.
	maxReregisterDelay = 250 * time.Millisecond
	// deregisterTimeout bounds the removal of the instance's entry at shutdown. If the
	// removal fails, the entry disappears when its lease expires.
	deregisterTimeout = time.Second
	// fullWeightLinkMbps is the link bandwidth that transfers a download of half a
	// megabyte in about a tenth of a second. An instance with less has a lower weight.
	fullWeightLinkMbps = 50.0
	// maxFlatFleet is the largest number of instances in a fleet in which all
	// instances report their quota usage to the quota hub directly. Handling that
	// many reports takes a few percent of a core.
	maxFlatFleet = 48
	// maxDeparted is the number of instances that are remembered after their entries have
	// gone from the store.
	maxDeparted = 32
)

// member is an instance's entry in the store, by which callers and other instances
// find it.
type member struct {
	Name             string `json:"name"`
	Address          string `json:"address"`      // IP:port for callers
	PeerAddress      string `json:"peer_address"` // IP:port for other instances
	AvailabilityZone string `json:"availability_zone"`
	Region           string `json:"region"`
	// Weight is 1 if the link has at least fullWeightLinkMbps, and less, but not below 0,
	// if it is narrower. It decides the order of inRankOrder, on which instances of all
	// versions must agree.
	Weight float64 `json:"weight"`
	// Capacity is how much the instance can carry in cores, see lookup.Resources. It is 0
	// if an earlier version wrote the entry.
	Capacity float64 `json:"capacity,omitempty"`
	// Configuration is the version of the configuration in force when the entry was
	// written. It tells instances that start after the store came back as an older copy
	// of versions that the store may lack.
	Configuration uint64 `json:"configuration,omitempty"`
}

// weight returns the Weight of an instance with this link bandwidth; 0 Mbit/s means
// that the bandwidth is unknown.
func weight(linkMbps float64) float64 {
	if linkMbps <= 0 {
		return 1
	}
	return min(linkMbps/fullWeightLinkMbps, 1)
}

// decodeMember decodes the entry of the instance with the given name and checks that it
// can be used. Instances write all fields; earlier versions write no capacity.
func decodeMember(name string, value []byte) (member, error) {
	var entry struct {
		member
		Weight *float64 `json:"weight"` // nil if missing
	}
	if err := json.Unmarshal(value, &entry); err != nil {
		return member{}, errors.Wrap(err, "instance")
	}
	m := entry.member
	switch {
	case m.Name != name:
		return m, errors.Newf("entry names another instance, %q", m.Name)
	case m.Address == "" || m.PeerAddress == "":
		return m, errors.New("address or peer_address is missing")
	case m.AvailabilityZone == "" || m.Region == "":
		return m, errors.New("availability_zone or region is missing")
	case entry.Weight == nil:
		return m, errors.New("weight is missing")
	case *entry.Weight < 0 || *entry.Weight > 1:
		return m, errors.Newf("weight %g is not between 0 and 1", *entry.Weight)
	case m.Capacity < 0:
		return m, errors.Newf("capacity %g is negative", m.Capacity)
	}
	for _, address := range []string{m.Address, m.PeerAddress} {
		if a, err := netip.ParseAddrPort(address); err != nil || a.Port() == 0 {
			return m, errors.Newf("%q is not an IP address and port", address)
		}
	}
	m.Weight = *entry.Weight
	m.Capacity = min(m.Capacity, lookup.MaxCapacity) // a later version may allow more
	return m, nil
}

// members is this instance's view of the fleet, from the instances' entries in the
// store.
type members struct {
	self member
	ttl  time.Duration // of lookup results

	// canServeKeys reports whether this instance can serve requests with API keys for
	// as long as callers cache a lookup result.
	canServeKeys func() bool
	// homeRegions returns the home regions of each of the host's routes that has some.
	homeRegions func(host string) []config.RegionSet

	mu      sync.Mutex
	random  *rand.Rand
	list    []member // the other instances, sorted by name
	known   bool     // replace was called at least once
	leaving bool     // this instance is shutting down
	// departed are instances that were registered, the last ones first. One that the
	// store turns away is not, and may be the only one that this instance reaches.
	departed []member
}

func newMembers(s Settings, canServeKeys func() bool, homeRegions func(host string) []config.RegionSet) *members {
	return &members{
		canServeKeys: canServeKeys, homeRegions: homeRegions,
		self: member{
			Name: s.Name, Address: s.Listen, PeerAddress: s.PeerListen, AvailabilityZone: s.AvailabilityZone, Region: s.Region,
			Weight: weight(s.LinkMbps), Capacity: s.resources().Capacity(),
		},
		ttl:    min(lookupTTL, s.MaxLookupTTL),
		random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}

// replace sets the registered instances, which may include this one. It returns the
// names of all live instances, this one included, sorted, and whether anything
// changed.
func (m *members) replace(list []member) ([]string, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	others := make([]member, 0, len(list))
	var departed []member
	names := []string{m.self.Name}
	for _, instance := range list {
		if instance.Name != m.self.Name {
			others = append(others, instance)
			names = append(names, instance.Name)
		}
	}
	slices.Sort(names)
	slices.SortFunc(others, func(a, b member) int { return cmp.Compare(a.Name, b.Name) })
	changed := !m.known || !slices.Equal(others, m.list)
	for _, old := range slices.Concat(m.list, m.departed) {
		if !slices.Contains(names, old.Name) {
			departed = append(departed, old)
		}
	}
	m.list, m.known, m.departed = others, true, departed[:min(len(departed), maxDeparted)]
	return names, changed
}

// names returns the names of all live instances, this one included.
func (m *members) names() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	names := []string{m.self.Name}
	for _, instance := range m.list {
		names = append(names, instance.Name)
	}
	return names
}

// hub returns the instance to use as the quota hub of the whole fleet. rank is a
// position in the order of inRankOrder, from 0: the instance at position 0 is the hub,
// and the instance at a later position takes its place if all instances before it do
// not respond. After the last instance, the positions start over.
func (m *members) hub(rank int) member {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := m.inReportOrder()
	return all[rank%len(all)]
}

// zoneAggregator returns the instance to use as the aggregator of this availability zone: it
// adds up the quota reports of the zone's instances and forwards the total to the
// fleet's hub. rank counts only the instances of this zone, and has the same meaning
// as for hub otherwise. The second result is false if the fleet is small enough for
// all instances to report to the fleet's hub directly.
func (m *members) zoneAggregator(rank int) (member, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.list)+1 <= maxFlatFleet {
		return member{}, false
	}
	var zone []member
	for _, instance := range m.inReportOrder() {
		if instance.AvailabilityZone == m.self.AvailabilityZone {
			zone = append(zone, instance)
		}
	}
	return zone[rank%len(zone)], true
}

// inReportOrder returns the instances in the order in which quota usage is reported to
// them. One that is about to stop puts itself behind those that are registered, and beside
// those that may be about to stop as well. The caller holds the lock.
func (m *members) inReportOrder() []member {
	if !m.leaving {
		return m.inRankOrder()
	}
	registered := byRank(slices.Clone(m.list))
	return append(registered, byRank(append([]member{m.self}, m.departed...))...)
}

// hands reports whether this instance is about to stop and another one can take its
// place: in its availability zone if zone is true.
func (m *members) hands(zone bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leaving && slices.ContainsFunc(m.list, func(other member) bool {
		return !zone || other.AvailabilityZone == m.self.AvailabilityZone
	})
}

// isRegistered reports whether an instance is registered, or is this one.
func (m *members) isRegistered(name string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return name == m.self.Name || slices.ContainsFunc(m.list, func(other member) bool { return other.Name == name })
}

// inRankOrder returns all live instances, those with the highest weight first, then
// ordered by a hash of their names. All instances that know the same fleet get the
// same order. The caller holds the lock.
func (m *members) inRankOrder() []member {
	return byRank(append([]member{m.self}, m.list...))
}

// byRank sorts instances as inRankOrder returns them.
func byRank(all []member) []member {
	slices.SortFunc(all, func(a, b member) int {
		if a.Weight != b.Weight {
			return cmp.Compare(b.Weight, a.Weight)
		}
		x, y := xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)
		return cmp.Compare(x, y)
	})
	return all
}

// rankedNames returns the names of the live instances of this region and of the other
// regions, each in rank order, and of those that are not registered any more.
func (m *members) rankedNames() (region, otherRegions, departed []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, instance := range m.inRankOrder() {
		if instance.Region == m.self.Region {
			region = append(region, instance.Name)
		} else {
			otherRegions = append(otherRegions, instance.Name)
		}
	}
	for _, instance := range m.departed {
		departed = append(departed, instance.Name)
	}
	return region, otherRegions, departed
}

// regionZones returns the availability zones of the live instances of this region, by name.
func (m *members) regionZones() map[string]string {
	m.mu.Lock()
	defer m.mu.Unlock()
	zones := map[string]string{}
	for _, instance := range append([]member{m.self}, m.list...) {
		if instance.Region == m.self.Region {
			zones[instance.Name] = instance.AvailabilityZone
		}
	}
	return zones
}

// peerAddress returns the IP:port on which another instance serves instances, or did when
// it was registered. The second result is false if it is not known.
func (m *members) peerAddress(name string) (string, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, instance := range slices.Concat(m.list, m.departed) {
		if instance.Name == name {
			return instance.PeerAddress, true
		}
	}
	return "", false
}

// stopListingSelf removes this instance from lookup results unless it is the only one.
func (m *members) stopListingSelf() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leaving = true
}

// lookup returns the addresses of instances that callers in a region should use for a
// host. Until this instance has read which others there are, it has no answer for callers
// of other regions, who then ask another one.
func (m *members) lookup(host, region string) LookupResult {
	homes := m.homeRegions(host)
	m.mu.Lock()
	defer m.mu.Unlock()
	list := slices.Clone(m.list)
	if !m.leaving && m.canServeKeys() || len(list) == 0 {
		list = append(list, m.self)
	}
	if !m.known {
		list = inRegions(list, []string{region})
	}
	chooser := lookup.NewChooser(withCapacities(suitable(list, region, homes)))
	return LookupResult{Addresses: chooser.Addresses(m.random), TTL: m.ttl}
}

// withCapacities returns the instances for a choice by capacity. One without a capacity
// counts as an average one, or as less if its link is narrow.
func withCapacities(list []member) []lookup.Instance {
	sum, known := 0.0, 0
	for _, instance := range list {
		if instance.Capacity > 0 {
			sum, known = sum+instance.Capacity, known+1
		}
	}
	average := 1.0
	if known > 0 {
		average = sum / float64(known)
	}
	instances := make([]lookup.Instance, len(list))
	for i, instance := range list {
		instances[i] = lookup.Instance{Address: instance.Address, Zone: instance.AvailabilityZone, Capacity: instance.Capacity}
		if instance.Capacity == 0 {
			instances[i].Capacity = instance.Weight * average
		}
	}
	return instances
}

// suitable returns the instances that callers in a region should use for a host with
// these home regions of its routes. They are those in the region itself. If there are
// none, they are those in the regions that are home to the most routes, so that callers
// send as few bodies as possible out of the home regions, or all if none is in a home
// region.
func suitable(list []member, region string, homes []config.RegionSet) []member {
	if own := inRegions(list, []string{region}); len(own) > 0 {
		return own
	}
	routes, most := map[string]int{}, 0 // region with instances → routes that it is home to
	for _, instance := range list {
		if _, counted := routes[instance.Region]; counted {
			continue
		}
		n := 0
		for _, set := range homes {
			if set.Has(instance.Region) {
				n++
			}
		}
		routes[instance.Region], most = n, max(most, n)
	}
	var regions []string
	for r, n := range routes {
		if n == most {
			regions = append(regions, r)
		}
	}
	return inRegions(list, regions)
}

// inRegions returns the instances in these regions.
func inRegions(list []member, regions []string) []member {
	var in []member
	for _, instance := range list {
		if slices.Contains(regions, instance.Region) {
			in = append(in, instance)
		}
	}
	return in
}

// register keeps this instance's entry in the store until the context ends, then
// removes it from lookup results and from the store.
func (e *Edge) register(ctx context.Context) {
	var lease uint64
	written := false
	for ctx.Err() == nil {
		pause := renewInterval
		if err := e.renew(ctx, &lease, &written); err != nil && ctx.Err() == nil {
			// Instances that the store refuses at the same moment do not come back at the same one.
			pause = renewInterval/2 + rand.N(renewInterval)
			e.log.Warn().Err(err).Uint64("lease", lease).Msg("registration: not renewed")
		}
		if err := e.follower.markEra(ctx); err != nil && ctx.Err() == nil {
			e.log.Warn().Err(err).Msg("store: era not marked as settled")
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		case <-e.reregister:
			time.Sleep(rand.N(maxReregisterDelay))
		}
		if e.entryLost.Swap(false) {
			written = false
		}
	}
	e.members.stopListingSelf()
	if lease == 0 {
		return
	}
	end, cancel := context.WithTimeout(context.Background(), deregisterTimeout)
	defer cancel()
	if err := e.removeMember(end, lease); err != nil {
		e.log.Warn().Err(err).Msg("registration: not removed, its lease will end")
	}
}

// removeMember removes this instance's entry unless another process of the same name has
// replaced it. It does not end the lease: if the store came back as an older copy, its id
// may be that of another instance's lease.
func (e *Edge) removeMember(ctx context.Context, lease uint64) error {
	e.follower.mu.Lock()
	known := platform.Entry{Key: e.storeKeys.OwnPrefix + instancePrefix + e.Name, Revision: e.registeredAt, LeaseID: lease}
	e.registeredAt = 0
	e.follower.mu.Unlock()
	if known.Revision == 0 { // the response to the write may have been lost
		var err error
		if known, err = e.store.Get(ctx, known.Key); err != nil {
			return err
		}
	}
	for range 2 {
		if known.Revision == 0 || known.LeaseID != lease {
			return nil
		}
		ok, now, err := e.store.CompareAndSwap(ctx, platform.Write{Key: known.Key, ExpectedRevision: known.Revision, Delete: true})
		if err != nil || ok {
			return err
		}
		known = now
	}
	return errors.Newf("entry %s was changed during each attempt to remove it", known.Key)
}

// registerAgain makes this instance renew its registration at once, as the store came
// back as an older copy. entryLost says that its entry is gone.
func (e *Edge) registerAgain(entryLost bool) {
	if entryLost {
		e.entryLost.Store(true)
	}
	select {
	case e.reregister <- struct{}{}:
	default: // is about to
	}
}

// renew renews the lease, and creates the lease and the entry if they do not exist or
// have expired. lease is 0 if there is none; written tells whether the entry exists.
func (e *Edge) renew(ctx context.Context, lease *uint64, written *bool) error {
	if *lease != 0 {
		err := e.store.RenewLease(ctx, *lease)
		if errors.Is(err, platform.ErrLeaseExpired) {
			*lease, *written = 0, false
		} else if err != nil {
			return err
		}
	}
	if *lease == 0 {
		id, err := e.store.GrantLease(ctx, leaseTTL)
		if err != nil {
			return err
		}
		*lease = id
	}
	if *written {
		return nil
	}
	return e.writeMember(ctx, *lease, written)
}

// writeMember writes this instance's entry, replacing one that an earlier process of
// the same name left.
func (e *Edge) writeMember(ctx context.Context, lease uint64, written *bool) error {
	self := e.members.self
	if t := e.gateway.Table(); t != nil {
		self.Configuration = t.Version
	}
	value, err := json.Marshal(self)
	if err != nil {
		return errors.Wrap(err, "instance")
	}
	key := e.storeKeys.OwnPrefix + instancePrefix + e.Name
	known := e.knownEntry(key)
	for range 3 {
		ok, now, err := e.store.CompareAndSwap(ctx, platform.Write{Key: key, ExpectedRevision: known.Revision, Value: value, LeaseID: lease})
		switch {
		case err != nil:
			return err
		case ok:
			*written = true
			e.noteRegistered(now.Revision)
			return nil
		}
		known = now
	}
	return errors.Newf("entry %s was changed by another process during each attempt to write it", key)
}

// knownEntry returns the entry of a key in the copy if it can be the store's present one;
// one of an earlier era cannot.
func (e *Edge) knownEntry(key string) platform.Entry {
	e.follower.mu.Lock()
	defer e.follower.mu.Unlock()
	m := e.follower.mirror
	known, _ := m.Get(key)
	if platform.RevisionEra(known.Revision) != platform.RevisionEra(m.Revision()) {
		return platform.Entry{}
	}
	return known
}
