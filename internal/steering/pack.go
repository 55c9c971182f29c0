package steering

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/turmericfield/turmericfield/api/steeringpb"
)

const (
	// ShardCount is the number of shards that the blocks are divided into.
	// Shards are stored and sent one by one, so that a change does not need a
	// write or transfer of the whole table.
	ShardCount = ipv4ShardCount + ipv6ShardCount

	shardBits      = 9
	ipv4ShardCount = 1 << shardBits // selected by the leading bits of the address
	ipv6ShardCount = 1 << shardBits // selected by a hash of the leading bits
)

// ErrNotBlock is returned for an address prefix whose length is not that of a
// block, or that has bits set beyond its length.
var ErrNotBlock = errors.New("is not an IPv4 /24 or an IPv6 /48")

// NamedAssignment assigns a block to a site by the site's name. An empty name
// removes the block.
type NamedAssignment struct {
	Block Block
	Site  string
}

// ParseBlock parses a block in CIDR notation, such as 192.0.2.0/24.
func ParseBlock(text string) (Block, error) {
	prefix, err := netip.ParsePrefix(text)
	if err != nil {
		return 0, errors.Wrapf(err, "block %q", text)
	}
	block := BlockOf(prefix.Addr())
	if block.Prefix() != prefix {
		return 0, errors.Wrapf(ErrNotBlock, "block %q", text)
	}
	return block, nil
}

// Shard returns the number of the shard that the block belongs to, from 0 to
// ShardCount-1.
func (b Block) Shard() int {
	if b&ipv6Flag == 0 {
		return int(b >> (ipv4BlockBits - shardBits))
	}
	return ipv4ShardCount + int((b>>pageBits).hash()%ipv6ShardCount)
}

// PackShard encodes the assignments of one shard for storage, as a BlockShard
// message. The same assignments in any order give the same bytes.
func PackShard(shard int, assignments []NamedAssignment) ([]byte, error) {
	sorted := slices.Clone(assignments)
	slices.SortFunc(sorted, func(a, b NamedAssignment) int { return cmp.Compare(a.Block, b.Block) })
	m := &steeringpb.BlockShard{Shard: uint32(shard), Sites: siteNames(sorted)}
	previous := Block(0)
	for _, a := range sorted {
		if a.Block.Shard() != shard {
			return nil, errors.Newf("block %s belongs to shard %d, not %d", a.Block.Prefix(), a.Block.Shard(), shard)
		}
		position := uint32(0)
		if a.Site != "" {
			i, _ := slices.BinarySearch(m.Sites, a.Site)
			position = uint32(i + 1)
		}
		m.BlockDeltas = append(m.BlockDeltas, uint64(a.Block-previous))
		m.SitePositions = append(m.SitePositions, position)
		previous = a.Block
	}
	return proto.MarshalOptions{Deterministic: true}.Marshal(m)
}

// siteNames returns the distinct site names of the assignments in sorted order.
func siteNames(assignments []NamedAssignment) []string {
	var names []string
	for _, a := range assignments {
		if a.Site != "" {
			names = append(names, a.Site)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// UnpackShard decodes and checks the output of PackShard.
func UnpackShard(data []byte) (shard int, assignments []NamedAssignment, err error) {
	m := &steeringpb.BlockShard{}
	if err := proto.Unmarshal(data, m); err != nil {
		return 0, nil, errors.Wrap(err, "block shard")
	}
	shard = int(m.GetShard())
	if shard >= ShardCount || len(m.GetBlockDeltas()) != len(m.GetSitePositions()) {
		return 0, nil, errors.Newf("block shard %d is malformed", shard)
	}
	assignments = make([]NamedAssignment, len(m.GetBlockDeltas()))
	block := Block(0)
	for i, delta := range m.GetBlockDeltas() {
		block += Block(delta)
		position := int(m.GetSitePositions()[i])
		if position > len(m.GetSites()) || block.Shard() != shard {
			return 0, nil, errors.Newf("block shard %d is malformed at entry %d", shard, i)
		}
		assignments[i].Block = block
		if position > 0 {
			assignments[i].Site = m.GetSites()[position-1]
		}
	}
	return shard, assignments, nil
}

// ShardOf returns the number of a packed shard without decoding the rest of it.
// It relies on PackShard writing the number first.
func ShardOf(data []byte) (int, error) {
	const shardField = 1
	field, kind, n := protowire.ConsumeTag(data)
	if n < 0 {
		return 0, errors.Wrap(protowire.ParseError(n), "block shard")
	}
	if field != shardField || kind != protowire.VarintType {
		return 0, nil // protobuf omits fields with the value 0
	}
	shard, n := protowire.ConsumeVarint(data[n:])
	if n < 0 || shard >= ShardCount {
		return 0, errors.Newf("block shard %d is malformed", shard)
	}
	return int(shard), nil
}

// MergeAssignments applies changes to the assignments of a shard and returns the
// result in the order of the blocks. If a block is changed more than once, the
// last change counts. Removed blocks are not in the result.
func MergeAssignments(assignments, changes []NamedAssignment) []NamedAssignment {
	sites := make(map[Block]string, len(assignments)+len(changes))
	for _, list := range [][]NamedAssignment{assignments, changes} {
		for _, a := range list {
			sites[a.Block] = a.Site
		}
	}
	out := make([]NamedAssignment, 0, len(sites))
	for block, site := range sites {
		if site != "" {
			out = append(out, NamedAssignment{block, site})
		}
	}
	slices.SortFunc(out, func(a, b NamedAssignment) int { return cmp.Compare(a.Block, b.Block) })
	return out
}

// ReplaceShard replaces the assignments of a shard in the table. before holds
// the shard's present assignments and after its new ones. siteIDOf returns the
// number of a site name; blocks of a site that it does not know are removed.
func (t *Table) ReplaceShard(before, after []NamedAssignment, siteIDOf func(name string) (SiteID, bool)) {
	changes := make([]Assignment, 0, len(before)+len(after))
	for _, a := range before {
		changes = append(changes, Assignment{a.Block, NoSite})
	}
	for _, a := range after {
		id, ok := siteIDOf(a.Site)
		if !ok {
			id = NoSite
		}
		changes = append(changes, Assignment{a.Block, id})
	}
	slices.SortStableFunc(changes, func(a, b Assignment) int { return cmp.Compare(a.Block, b.Block) })
	t.Assign(changes)
}
