package intent

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/turmericfield/turmericfield/internal/config"
	"github.com/turmericfield/turmericfield/internal/steering"
)

// blockCounts summarizes a change of client address blocks.
type blockCounts struct {
	assigned, removed, shards int // numbers of blocks, and of shards that change
}

// describe returns the line that a plan shows for the change, if there is one.
func (c blockCounts) describe() []string {
	if c.shards == 0 {
		return nil
	}
	return []string{fmt.Sprintf("assign %d client blocks to sites and remove %d, in %d of %d shards", c.assigned, c.removed, c.shards, steering.ShardCount)}
}

// assignBlocks applies changes to the shards of the table of client address
// blocks and returns the new shards and a summary. Blocks and changes are encoded
// as by steering.PackShard. It is an error to assign a block to a site that is not
// in the document.
func assignBlocks(blocks []config.Chunk, changes [][]byte, doc *config.Document) ([]config.Chunk, blockCounts, error) {
	var counts blockCounts
	if len(changes) == 0 {
		return blocks, counts, nil
	}
	byShard, err := chunksByShard(blocks)
	if err != nil {
		return nil, counts, err
	}
	sites := map[string]bool{}
	for _, s := range doc.Sites {
		sites[s.Name] = true
	}
	for i, data := range changes {
		shard, assignments, err := steering.UnpackShard(data)
		if err != nil {
			return nil, counts, refuse(fmt.Sprintf("blocks[%d]", i), "%v", err)
		}
		if err := counts.checkAndCount(assignments, sites); err != nil {
			return nil, counts, err
		}
		if err := changeShard(byShard, shard, assignments); err != nil {
			return nil, counts, err
		}
	}
	return orderedChunks(byShard), counts, nil
}

// checkAndCount adds the assignments of one shard to the counts. It returns an
// error if one of their sites is not in sites.
func (c *blockCounts) checkAndCount(assignments []steering.NamedAssignment, sites map[string]bool) error {
	c.shards++
	for _, a := range assignments {
		switch {
		case a.Site == "":
			c.removed++
		case sites[a.Site]:
			c.assigned++
		default:
			return refuse("block "+a.Block.Prefix().String(), "site %q does not exist", a.Site)
		}
	}
	return nil
}

// chunksByShard returns the packed shards by shard number.
func chunksByShard(blocks []config.Chunk) (map[int]config.Chunk, error) {
	byShard := make(map[int]config.Chunk, len(blocks))
	for _, c := range blocks {
		shard, err := steering.ShardOf(c.Data)
		if err != nil {
			return nil, err
		}
		byShard[shard] = c
	}
	return byShard, nil
}

// changeShard applies changes to one of the packed shards. A shard that has no
// assignments left is deleted.
func changeShard(byShard map[int]config.Chunk, shard int, changes []steering.NamedAssignment) error {
	var before []steering.NamedAssignment
	if old, ok := byShard[shard]; ok {
		var err error
		if _, before, err = steering.UnpackShard(old.Data); err != nil {
			return err
		}
	}
	after := steering.MergeAssignments(before, changes)
	if len(after) == 0 {
		delete(byShard, shard)
		return nil
	}
	data, err := steering.PackShard(shard, after)
	byShard[shard] = config.NewChunk(data)
	return err
}

// orderedChunks returns the packed shards in the order of their hashes, which is
// their order in a configuration record.
func orderedChunks(byShard map[int]config.Chunk) []config.Chunk {
	out := make([]config.Chunk, 0, len(byShard))
	for _, c := range byShard {
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b config.Chunk) int { return cmp.Compare(a.Hash, b.Hash) })
	return out
}
