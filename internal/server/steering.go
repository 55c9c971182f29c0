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
	sites    []steering.Site
}

func newSteerer(logger *log.Logger) *steerer {
	s := &steerer{log: logger, table: &steering.Table{}}
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
		s.table, s.sites = steeringTable(snapshot.Document.Sites)
	}
	s.snapshot, s.members = snapshot, members
	candidates := make([]steering.Candidate, len(members))
	for i, m := range members {
		candidates[i] = steering.Candidate{Member: m, Weight: 1}
	}
	s.directory.Store(steering.Build(s.table, s.sites, snapshot, candidates, s.directory.Load()))
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

// steeringTable returns the table and the sites of a configuration.
func steeringTable(sites []config.Site) (*steering.Table, []steering.Site) {
	table := &steering.Table{}
	out := make([]steering.Site, len(sites))
	for i, site := range sites {
		out[i] = steering.Site{Name: site.Name, AvailabilityZone: site.AvailabilityZone, Demand: site.Demand}
		if site.Demand == 0 {
			out[i].Demand = 1
		}
		for _, text := range site.Clients {
			assignPrefix(table, netip.MustParsePrefix(text), steering.SiteID(i))
		}
	}
	return table, out
}

func assignPrefix(table *steering.Table, prefix netip.Prefix, site steering.SiteID) {
	block := steering.BlockOf(prefix.Addr())
	if block.Prefix() == prefix {
		table.Assign([]steering.Assignment{{Block: block, Site: site}})
		return
	}
	table.AssignWide(prefix, site)
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
