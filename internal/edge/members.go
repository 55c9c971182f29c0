package edge

import (
	"cmp"
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/turmericfield/turmericfield/internal/platform"
)

const (
	// instancePrefix is where instances register, under the product's own keys.
	instancePrefix = "instances/"
	// leaseLife is how long a silent instance stays named; renewals come three
	// times as often.
	leaseTTL      = 3 * time.Second
	renewInterval = time.Second
	// deregisterTimeout bounds the removal of an entry at shutdown; its lease
	// removes it otherwise.
	deregisterTimeout = time.Second
	// wideLink is the link in Mbit/s that carries a download of half a megabyte
	// within a tenth of a second; an instance with less is named less often.
	fullWeightLinkMbps = 50.0
	// flatFleet is the number of instances up to which all report to the hub itself:
	// its reports then take a few percent of a core.
	maxFlatFleet = 48
	// minNamed is how many instances an answer names at least, if there are as
	// many.
	minListed = 2
	// maxNamed is how many it names at most.
	maxListed = 64
)

// member is an instance's entry in the store.
type member struct {
	Name             string `json:"name"`
	Address          string `json:"address"`      // IP:port for callers
	PeerAddress      string `json:"peer_address"` // IP:port for other instances
	AvailabilityZone string `json:"availability_zone"`
	Region           string `json:"region"`
	// Weight is how often the instance is named, relative to one with a wide
	// enough link; 0 to 1.
	Weight float64 `json:"weight"`
}

// weight returns how often an instance with a link is named.
func weight(linkMbps float64) float64 {
	if linkMbps <= 0 {
		return 1
	}
	return min(linkMbps/fullWeightLinkMbps, 1)
}

func decodeMember(value []byte) (member, error) {
	var m member
	if err := json.Unmarshal(value, &m); err != nil {
		return m, errors.Wrap(err, "instance")
	}
	if m.Name == "" || m.Address == "" {
		return m, errors.New("instance without a name or an address")
	}
	return m, nil
}

// members is this instance's view of the others.
type members struct {
	self member
	ttl  time.Duration

	// able tells whether this instance can serve callers with keys.
	canServeKeys func() bool

	mu      sync.Mutex
	list    []member // without this instance, by name
	known   bool     // the store was read
	leaving bool
}

func newMembers(s Settings, canServeKeys func() bool) *members {
	return &members{
		canServeKeys: canServeKeys,
		self:         member{Name: s.Name, Address: s.Listen, PeerAddress: s.PeerListen, AvailabilityZone: s.AvailabilityZone, Region: s.Region, Weight: weight(s.LinkMbps)},
		ttl:          min(lookupTTL, s.MaxLookupTTL),
	}
}

// set takes over the registered instances. It returns the names of all live ones,
// sorted, and whether anything changed.
func (m *members) replace(list []member) ([]string, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	others := make([]member, 0, len(list))
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
	m.list, m.known = others, true
	return names, changed
}

// names returns the names of all live instances.
func (m *members) names() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	names := []string{m.self.Name}
	for _, instance := range m.list {
		names = append(names, instance.Name)
	}
	return names
}

// hub returns the instance of a rank that keeps the fleet's quotas. All
// instances that know the same others have the same order.
func (m *members) hub(rank int) member {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := m.inRankOrder()
	return all[rank%len(all)]
}

// zoneHub returns the instance of a rank that sums the reports of this zone. The
// second result is false if the fleet is so small that there are none.
func (m *members) zoneHub(rank int) (member, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.list)+1 <= maxFlatFleet {
		return member{}, false
	}
	var zone []member
	for _, instance := range m.inRankOrder() {
		if instance.AvailabilityZone == m.self.AvailabilityZone {
			zone = append(zone, instance)
		}
	}
	return zone[rank%len(zone)], true
}

// ordered returns all live instances, those with wide links first. All instances
// that know the same others have the same order.
func (m *members) inRankOrder() []member {
	all := append([]member{m.self}, m.list...)
	slices.SortFunc(all, func(a, b member) int {
		if a.Weight != b.Weight {
			return cmp.Compare(b.Weight, a.Weight)
		}
		x, y := xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)
		return cmp.Compare(x, y)
	})
	return all
}

// ranked returns the names of the region's live instances in their order, and the
// first ones of the other regions.
func (m *members) rankedNames() (region, elsewhere []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	seen := map[string]bool{m.self.Region: true}
	for _, instance := range m.inRankOrder() {
		switch {
		case instance.Region == m.self.Region:
			region = append(region, instance.Name)
		case !seen[instance.Region]:
			seen[instance.Region] = true
			elsewhere = append(elsewhere, instance.Name)
		}
	}
	return region, elsewhere
}

// peerAddress returns where another instance answers peers.
func (m *members) peerAddress(name string) (string, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, instance := range m.list {
		if instance.Name == name {
			return instance.PeerAddress, true
		}
	}
	return "", false
}

// leave stops naming this instance while another lives.
func (m *members) stopListingSelf() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leaving = true
}

// lookup names the instances of the caller's region, or all if it has none.
func (m *members) lookup(region, _ string) LookupResult {
	m.mu.Lock()
	defer m.mu.Unlock()
	var inRegion, all []member
	add := func(instance member) {
		all = append(all, instance)
		if instance.Region == region {
			inRegion = append(inRegion, instance)
		}
	}
	if !m.leaving && m.canServeKeys() || len(m.list) == 0 {
		add(m.self)
	}
	for _, instance := range m.list {
		add(instance)
	}
	if len(inRegion) == 0 {
		inRegion = all
	}
	return LookupResult{Addresses: sampleAddresses(inRegion), TTL: m.ttl}
}

// draw names each instance as often as its weight says, and some at least.
// Instances with the same weight come in no order.
func sampleAddresses(list []member) []string {
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	slices.SortStableFunc(list, func(a, b member) int { return cmp.Compare(b.Weight, a.Weight) })
	var addresses []string
	for _, instance := range list {
		if len(addresses) < minListed || rand.Float64() < instance.Weight {
			addresses = append(addresses, instance.Address)
		}
	}
	return addresses[:min(len(addresses), maxListed)]
}

// register keeps this instance's entry in the store until the context ends,
// then removes it.
func (e *Edge) register(ctx context.Context) {
	var lease uint64
	written := false
	for ctx.Err() == nil {
		if err := e.renew(ctx, &lease, &written); err != nil && ctx.Err() == nil {
			e.log.Warn().Err(err).Uint64("lease", lease).Msg("registration: not renewed")
		}
		select {
		case <-ctx.Done():
		case <-time.After(renewInterval):
		}
	}
	e.members.stopListingSelf()
	if lease == 0 {
		return
	}
	end, cancel := context.WithTimeout(context.Background(), deregisterTimeout)
	defer cancel()
	if err := e.store.RevokeLease(end, lease); err != nil {
		e.log.Warn().Err(err).Msg("registration: not removed, its lease will end")
	}
}

// renew keeps lease and entry alive, and makes them anew where they ended.
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

// writeMember writes the entry over whatever an earlier process left.
func (e *Edge) writeMember(ctx context.Context, lease uint64, written *bool) error {
	value, err := json.Marshal(e.members.self)
	if err != nil {
		return errors.Wrap(err, "instance")
	}
	key := e.keys.OwnPrefix + instancePrefix + e.Name
	known := platform.Entry{}
	for range 3 {
		ok, now, err := e.store.CompareAndSwap(ctx, platform.Write{Key: key, ExpectedRevision: known.Revision, Value: value, LeaseID: lease})
		switch {
		case err != nil:
			return err
		case ok:
			*written = true
			return nil
		}
		known = now
	}
	return errors.Newf("entry %s changes all the time", key)
}
