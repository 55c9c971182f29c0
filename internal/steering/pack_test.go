package steering

import (
	"bytes"
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// drawAssignments draws up to 30 assignments and removals of random blocks.
func drawAssignments(t *rapid.T, label string) []NamedAssignment {
	var out []NamedAssignment
	for range rapid.IntRange(0, 30).Draw(t, label) {
		a := NamedAssignment{Block: drawBlock(t)}
		if n := rapid.IntRange(0, 5).Draw(t, "site"); n > 0 {
			a.Site = fmt.Sprintf("site-%d", n)
		}
		out = append(out, a)
	}
	return out
}

func byShard(assignments []NamedAssignment) map[int][]NamedAssignment {
	out := map[int][]NamedAssignment{}
	for _, a := range assignments {
		out[a.Block.Shard()] = append(out[a.Block.Shard()], a)
	}
	return out
}

// TestPackKeepsAssignments packs and unpacks random shards. The assignments must
// survive, and their order must not change the packed bytes.
func TestPackKeepsAssignments(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		for shard, list := range byShard(MergeAssignments(nil, drawAssignments(t, "count"))) {
			data, err := PackShard(shard, list)
			if err != nil {
				t.Fatal(err)
			}
			if n, err := ShardOf(data); err != nil || n != shard {
				t.Fatalf("ShardOf of shard %d returned %d, %v", shard, n, err)
			}
			gotShard, got, err := UnpackShard(data)
			if err != nil || gotShard != shard || !slices.Equal(got, list) {
				t.Fatalf("shard %d: got %d %v, %v; want %v", shard, gotShard, got, err, list)
			}
			slices.Reverse(list)
			if again, _ := PackShard(shard, list); !bytes.Equal(again, data) {
				t.Fatal("the order of the assignments changes the packed bytes")
			}
		}
	})
}

// TestReplaceShardEqualsRebuild replaces random shards one after another and
// checks that the table ends with exactly the blocks of the final shards.
func TestReplaceShardEqualsRebuild(t *testing.T) {
	number := func(name string) (SiteID, bool) {
		var n SiteID
		_, err := fmt.Sscanf(name, "site-%d", &n)
		return n, err == nil
	}
	rapid.Check(t, func(t *rapid.T) {
		table, state := &Table{}, map[int][]NamedAssignment{}
		for range rapid.IntRange(1, 4).Draw(t, "rounds") {
			for shard, changes := range byShard(drawAssignments(t, "changes")) {
				next := MergeAssignments(state[shard], changes)
				table.ReplaceShard(state[shard], next, number)
				state[shard] = next
			}
		}
		blocks := 0
		for _, list := range state {
			blocks += len(list)
			for _, a := range list {
				want, _ := number(a.Site)
				if got, _ := table.Lookup(a.Block.Prefix().Addr()); got != want {
					t.Fatalf("block %s: site %d, want %d", a.Block.Prefix(), got, want)
				}
			}
		}
		if table.Blocks() != blocks {
			t.Fatalf("table has %d blocks, want %d", table.Blocks(), blocks)
		}
	})
}

// FuzzUnpack unpacks arbitrary bytes and checks that the result is an error or a
// shard that can be packed again.
func FuzzUnpack(f *testing.F) {
	seed, err := PackShard(0, []NamedAssignment{{Block: 1, Site: "a"}, {Block: 2}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Fuzz(func(t *testing.T, data []byte) {
		shard, assignments, err := UnpackShard(data)
		if err != nil {
			return
		}
		if _, err := PackShard(shard, assignments); err != nil {
			t.Fatal(err)
		}
	})
}

// BenchmarkPack reports the packed size of the whole table and of its largest
// shard.
func BenchmarkPack(b *testing.B) {
	var named []NamedAssignment
	for _, a := range benchmarkAssignments() {
		named = append(named, NamedAssignment{a.Block, fmt.Sprintf("site-%03d", a.Site)})
	}
	shards := byShard(MergeAssignments(nil, named))
	for range b.N {
		total, largest := 0, 0
		for shard, list := range shards {
			data, err := PackShard(shard, list)
			if err != nil {
				b.Fatal(err)
			}
			total += len(data)
			largest = max(largest, len(data))
		}
		b.ReportMetric(float64(total)/(1<<20), "MiB")
		b.ReportMetric(float64(largest), "B/largest-shard")
	}
}
