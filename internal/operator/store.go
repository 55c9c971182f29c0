package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/turmericfield/turmericfield/internal/config"
	"github.com/turmericfield/turmericfield/internal/intent"
	"github.com/turmericfield/turmericfield/internal/platform"
)

// Keys of the store. Everything that freshness evidence speaks of is below
// ControlPrefix.
const (
	ControlPrefix = "control/"
	RecordKey     = ControlPrefix + "config"
	ChunkPrefix   = ControlPrefix + "chunk/"
)

// maxAttempts bounds how often a read starts again because a newer record
// has replaced the chunks of the one that was being read.
const maxAttempts = 3

// DecodeManifest reads the manifest from its store entry. An entry that does
// not exist is the empty manifest.
func DecodeManifest(entry platform.Entry) (config.Manifest, error) {
	var m config.Manifest
	if entry.Revision == 0 {
		return m, nil
	}
	return m, errors.Wrapf(json.Unmarshal(entry.Value, &m), "store key %q", RecordKey)
}

// ReadRecord reads the manifest and the chunks that held lacks, and makes them
// the held record if they are newer. It returns the manifest that the store
// had, and the store's revision of it.
func ReadRecord(ctx context.Context, store platform.Store, held *config.HeldRecord) (config.Manifest, uint64, error) {
	var err error
	for range maxAttempts {
		var entry platform.Entry
		if entry, err = store.Get(ctx, RecordKey); err != nil {
			return config.Manifest{}, 0, err
		}
		var m config.Manifest
		if m, err = DecodeManifest(entry); err != nil {
			return m, 0, err
		}
		if err = fetchChunks(ctx, store, held, m); !errors.Is(err, config.ErrChunkMissing) {
			return m, entry.Revision, err
		}
	}
	return config.Manifest{}, 0, err
}

func fetchChunks(ctx context.Context, store platform.Store, held *config.HeldRecord, m config.Manifest) error {
	chunks, err := ReadChunks(ctx, store, held.MissingChunks(m))
	if err != nil {
		return err
	}
	_, _, err = held.ReplaceIfNewer(m, chunks)
	return err
}

// ReadChunks reads chunks by their hashes. The error is marked
// config.ErrChunkMissing if one has been removed.
func ReadChunks(ctx context.Context, store platform.Store, hashes []string) ([]config.Chunk, error) {
	chunks := make([]config.Chunk, 0, len(hashes))
	for _, hash := range hashes {
		entry, err := store.Get(ctx, ChunkPrefix+hash)
		if err != nil {
			return nil, err
		}
		if entry.Revision == 0 {
			return nil, errors.Wrapf(config.ErrChunkMissing, "store key %q", entry.Key)
		}
		chunks = append(chunks, config.Chunk{Hash: hash, Data: entry.Value})
	}
	return chunks, nil
}

// writeRecord writes the chunks that a record adds to its predecessor, then
// its manifest, then removes the chunks that are not used any more. It reports
// whether the manifest took effect. An error is marked ErrUnknownOutcome only
// if the write of the manifest has no answer.
func writeRecord(ctx context.Context, store platform.Store, old config.Manifest, revision uint64, next config.Record) (bool, error) {
	m, chunks, err := config.SplitRecord(next)
	if err != nil {
		return false, err
	}
	value, err := json.Marshal(m)
	if err != nil {
		return false, err
	}
	added := m.ChunksNotIn(old)
	for _, c := range chunks {
		if slices.Contains(added, c.Hash) {
			if err := writeChunk(ctx, store, c); err != nil {
				return false, err
			}
		}
	}
	unused, err := readChunkEntries(ctx, store, old.ChunksNotIn(m))
	if err != nil {
		return false, err
	}
	swapped, _, err := store.CompareAndSwap(ctx, platform.Write{Key: RecordKey, ExpectedRevision: revision, Value: value})
	if err == nil && swapped {
		removeChunks(ctx, store, unused)
	}
	return swapped, err
}

// writeChunk writes a chunk even if it exists, so that a concurrent removal,
// which names the revision that it has read, fails.
func writeChunk(ctx context.Context, store platform.Store, c config.Chunk) error {
	key := ChunkPrefix + c.Hash
	expected := uint64(0)
	for range maxAttempts {
		swapped, entry, err := store.CompareAndSwap(ctx, platform.Write{Key: key, ExpectedRevision: expected, Value: c.Data})
		if err != nil {
			return errors.Wrapf(platform.ErrUnavailable, "write %s: %v", key, err)
		}
		if swapped {
			return nil
		}
		expected = entry.Revision
	}
	return errors.Wrapf(platform.ErrUnavailable, "write %s: others keep changing it", key)
}

func readChunkEntries(ctx context.Context, store platform.Store, hashes []string) ([]platform.Entry, error) {
	entries := make([]platform.Entry, 0, len(hashes))
	for _, hash := range hashes {
		entry, err := store.Get(ctx, ChunkPrefix+hash)
		if err != nil {
			return nil, err
		}
		entries = append(entries, entry)
	}
	return entries, nil
}

// removeChunks removes chunks as they were read before the record changed. A
// chunk that was written again meanwhile stays; one that cannot be removed
// stays as garbage.
func removeChunks(ctx context.Context, store platform.Store, entries []platform.Entry) {
	for _, e := range entries {
		if e.Revision != 0 {
			_, _, _ = store.CompareAndSwap(ctx, platform.Write{Key: e.Key, ExpectedRevision: e.Revision, Delete: true})
		}
	}
}

// planHeader is the stored form of a plan too large for one value: the plan is
// the concatenation of its pieces.
type planHeader struct {
	Pieces int `json:"pieces"`
}

const maxPlanPieceBytes = config.MaxChunkBytes

// writePlan stores a plan until its lease expires.
func writePlan(ctx context.Context, store platform.Store, id string, value []byte) error {
	lease, err := store.GrantLease(ctx, planTTL)
	if err != nil {
		return err
	}
	pieces := 0
	for piece := range slices.Chunk(value, maxPlanPieceBytes) {
		if err := createKey(ctx, store, pieceKey(id, pieces), piece, lease); err != nil {
			return err
		}
		pieces++
	}
	head, err := json.Marshal(planHeader{Pieces: pieces})
	if err != nil {
		return err
	}
	return createKey(ctx, store, planPrefix+id, head, lease)
}

// createKey creates a key. If the answer is lost it looks whether the key is
// there, which only its own write can have created.
func createKey(ctx context.Context, store platform.Store, key string, value []byte, lease uint64) error {
	_, _, err := store.CompareAndSwap(ctx, platform.Write{Key: key, Value: value, LeaseID: lease})
	if !errors.Is(err, platform.ErrUnknownOutcome) {
		return err
	}
	entry, readErr := store.Get(ctx, key)
	if readErr != nil || entry.Revision == 0 {
		return errors.CombineErrors(err, readErr)
	}
	return nil
}

func readPlan(ctx context.Context, store platform.Store, id string) (intent.Plan, error) {
	var plan intent.Plan
	head, err := store.Get(ctx, planPrefix+id)
	if err != nil {
		return plan, err
	}
	var stored planHeader
	if head.Revision == 0 {
		return plan, errors.Wrapf(intent.ErrUnknownPlan, "plan %q", id)
	}
	if err := json.Unmarshal(head.Value, &stored); err != nil {
		return plan, errors.Wrapf(err, "plan %q", id)
	}
	var value []byte
	for i := range stored.Pieces {
		entry, err := store.Get(ctx, pieceKey(id, i))
		if err != nil {
			return plan, err
		}
		value = append(value, entry.Value...)
	}
	return plan, errors.Wrapf(json.Unmarshal(value, &plan), "plan %q", id)
}

func pieceKey(id string, i int) string { return fmt.Sprintf("%s%s/%d", planPrefix, id, i) }
