package server

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/turmericfield/turmericfield/internal/config"
	"github.com/turmericfield/turmericfield/internal/membership"
	"github.com/turmericfield/turmericfield/internal/steering"
)

// directoryCheckPeriod is the time between two checks whether the configuration or
// the members have changed, so that the directory must be rebuilt.
const directoryCheckPeriod = 250 * time.Millisecond

// directoryBuilder answers clients' look-ups, which ask which instances to use, and
// rebuilds the directory of the answers when the configuration or the members
// change.
type directoryBuilder struct {
	log       *log.Logger
	directory atomic.Pointer[steering.Directory]

	// mu serializes rebuilds and guards the fields below, from which the directory
	// was built.
	mu       sync.Mutex
	snapshot *config.Snapshot
	members  []membership.Member
	table    *steering.Table
	shards   map[int]config.Chunk // the shards of client blocks in table, by number
	sites    []steering.Site
}

func newDirectoryBuilder(logger *log.Logger) *directoryBuilder {
	s := &directoryBuilder{log: logger}
	s.rebuild(config.Compile(0, &config.Document{}), nil)
	return s
}

// rebuild replaces the directory by that of a configuration and the fleet's
// members, unless both are the same as before. All instances have equal weight.
func (s *directoryBuilder) rebuild(snapshot *config.Snapshot, members []membership.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.snapshot == snapshot && slices.Equal(s.members, members) {
		return
	}
	if s.snapshot != snapshot {
		s.updateTable(snapshot)
	}
	s.snapshot, s.members = snapshot, members
	candidates := make([]steering.Candidate, len(members))
	for i, m := range members {
		candidates[i] = steering.Candidate{Member: m, Weight: 1}
	}
	s.directory.Store(steering.BuildDirectory(s.table, s.sites, snapshot, candidates, s.directory.Load()))
}

// updateTable changes the table of client addresses to that of a configuration. If
// the sites are the same as before, only the shards that differ are replaced. A
// change of the sites needs a new table, because the table refers to sites by their
// index in the configuration.
func (s *directoryBuilder) updateTable(snapshot *config.Snapshot) {
	sites := snapshot.Document.Sites
	if s.snapshot == nil || !slices.EqualFunc(s.snapshot.Document.Sites, sites, equalSites) {
		s.table, s.shards = &steering.Table{}, map[int]config.Chunk{}
		s.sites = steeringSites(sites, s.table)
	}
	siteIDs := map[string]steering.SiteID{}
	for i, site := range sites {
		siteIDs[site.Name] = steering.SiteID(i)
	}
	next := map[int]config.Chunk{}
	for _, chunk := range snapshot.BlockShards {
		shard, err := steering.ShardOf(chunk.Data)
		if err != nil {
			s.log.Error().Err(err).Msg("steering: cannot read a shard of client blocks")
			continue
		}
		next[shard] = chunk
	}
	for shard := range steering.ShardCount {
		if s.shards[shard].Hash != next[shard].Hash {
			s.replaceShard(s.shards[shard].Data, next[shard].Data, siteIDs)
		}
	}
	s.shards = next
}

// replaceShard replaces a shard in the table. before and after are its packed
// contents, which are empty if there is no such shard.
func (s *directoryBuilder) replaceShard(before, after []byte, siteIDs map[string]steering.SiteID) {
	_, old, err := steering.UnpackShard(before)
	if err == nil {
		var current []steering.NamedAssignment
		if _, current, err = steering.UnpackShard(after); err == nil {
			s.table.ReplaceShard(old, current, func(name string) (steering.SiteID, bool) {
				id, ok := siteIDs[name]
				return id, ok
			})
		}
	}
	if err != nil {
		s.log.Error().Err(err).Msg("steering: cannot read a shard of client blocks")
	}
}

// equalSites tells whether two sites are the same in all fields that the table or
// the directory depends on.
func equalSites(a, b config.Site) bool {
	return a.Name == b.Name && a.AvailabilityZone == b.AvailabilityZone && a.Demand == b.Demand && slices.Equal(a.Clients, b.Clients)
}

// lookup returns the instances that a client should use.
func (s *directoryBuilder) lookup(client netip.Addr) steering.Answer {
	answer := s.directory.Load().Lookup(client)
	event := s.log.Info().IPAddr("caller", client.AsSlice())
	if instances := answer.Instances(); len(instances) > 0 {
		event = event.Str("instance", instances[0].Name)
	}
	event.Msg("steering: answered a look-up")
	return answer
}

// steeringSites returns the sites of a configuration, and assigns the address
// prefixes of their clients in the table. For an address whose block is assigned to
// a site, the block counts and not the prefix. A demand of 0 means 1.
func steeringSites(sites []config.Site, table *steering.Table) []steering.Site {
	out := make([]steering.Site, len(sites))
	for i, site := range sites {
		out[i] = steering.Site{Name: site.Name, AvailabilityZone: site.AvailabilityZone, Demand: site.Demand}
		if site.Demand == 0 {
			out[i].Demand = 1
		}
		for _, prefix := range site.Clients {
			table.AssignPrefix(netip.MustParsePrefix(prefix), steering.SiteID(i))
		}
	}
	return out
}

// runSteeringLoop rebuilds the directory whenever the configuration or the members
// have changed.
func (s *Server) runSteeringLoop(ctx context.Context) {
	for ctx.Err() == nil {
		s.rebuildSteering()
		sleep(ctx, directoryCheckPeriod)
	}
}

func (s *Server) rebuildSteering() {
	s.steering.rebuild(s.snapshot.Load(), s.members())
}
