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

// steeringPeriod is how often the directory is compared with the members.
const steeringPeriod = 250 * time.Millisecond

// steerer keeps the directory that answers look-ups.
type steerer struct {
	log       *log.Logger
	directory atomic.Pointer[steering.Directory]

	mu       sync.Mutex // serializes rebuilds
	snapshot *config.Snapshot
	members  []membership.Member
	table    *steering.Table
	shards   map[int]config.Chunk // in the table
	sites    []steering.Site
}

func newSteerer(logger *log.Logger) *steerer {
	s := &steerer{log: logger}
	s.rebuild(config.Compile(0, &config.Document{}), nil)
	return s
}

// rebuild makes the directory of a configuration and its members, unless it is
// the one in use.
func (s *steerer) rebuild(snapshot *config.Snapshot, members []membership.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.snapshot == snapshot && slices.Equal(s.members, members) {
		return
	}
	if s.snapshot != snapshot {
		s.takeTable(snapshot)
	}
	s.snapshot, s.members = snapshot, members
	candidates := make([]steering.Candidate, len(members))
	for i, m := range members {
		candidates[i] = steering.Candidate{Member: m, Weight: 1}
	}
	s.directory.Store(steering.BuildDirectory(s.table, s.sites, snapshot, candidates, s.directory.Load()))
}

// takeTable brings the table to a configuration. While the sites stay the same
// only the shards that differ are replaced.
func (s *steerer) takeTable(snapshot *config.Snapshot) {
	sites := snapshot.Document.Sites
	if s.snapshot == nil || !slices.EqualFunc(s.snapshot.Document.Sites, sites, equalSites) {
		s.table, s.shards = &steering.Table{}, map[int]config.Chunk{}
		s.sites = steeringSites(sites, s.table)
	}
	number := map[string]steering.SiteID{}
	for i, site := range sites {
		number[site.Name] = steering.SiteID(i)
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
			s.replaceShard(s.shards[shard].Data, next[shard].Data, number)
		}
	}
	s.shards = next
}

func (s *steerer) replaceShard(before, after []byte, number map[string]steering.SiteID) {
	_, old, err := steering.UnpackShard(before)
	if err == nil {
		var current []steering.NamedAssignment
		if _, current, err = steering.UnpackShard(after); err == nil {
			s.table.ReplaceShard(old, current, func(name string) (steering.SiteID, bool) {
				id, ok := number[name]
				return id, ok
			})
		}
	}
	if err != nil {
		s.log.Error().Err(err).Msg("steering: cannot read a shard of client blocks")
	}
}

func equalSites(a, b config.Site) bool {
	return a.Name == b.Name && a.AvailabilityZone == b.AvailabilityZone && a.Demand == b.Demand && slices.Equal(a.Clients, b.Clients)
}

func (s *steerer) lookup(caller netip.Addr) steering.Answer {
	answer := s.directory.Load().Lookup(caller)
	entry := s.log.Info().IPAddr("caller", caller.AsSlice())
	if names := answer.Instances(); len(names) > 0 {
		entry = entry.Str("instance", names[0].Name)
	}
	entry.Msg("steering: answered a look-up")
	return answer
}

// steeringSites returns the sites of a configuration, and enters their client
// prefixes into the table. Assigned blocks go before these prefixes.
func steeringSites(sites []config.Site, table *steering.Table) []steering.Site {
	out := make([]steering.Site, len(sites))
	for i, site := range sites {
		out[i] = steering.Site{Name: site.Name, AvailabilityZone: site.AvailabilityZone, Demand: site.Demand}
		if site.Demand == 0 {
			out[i].Demand = 1
		}
		for _, text := range site.Clients {
			table.AssignPrefix(netip.MustParsePrefix(text), steering.SiteID(i))
		}
	}
	return out
}

// followSteering rebuilds the directory when the configuration or the members
// have changed.
func (s *Server) followSteering(ctx context.Context) {
	for ctx.Err() == nil {
		s.rebuildSteering()
		sleep(ctx, steeringPeriod)
	}
}

func (s *Server) rebuildSteering() {
	s.steering.rebuild(s.snapshot.Load(), s.members())
}
