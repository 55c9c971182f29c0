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

// Keys in the platform's store.
const (
	// ControlPrefix begins the keys of all records that freshness evidence is
	// about: the configuration record and the seat tables.
	ControlPrefix = "control/"
	// RecordKey is the key of the manifest of the configuration record.
	RecordKey = ControlPrefix + "config"
	// ChunkPrefix begins the keys of the record's chunks. The chunk's hash follows.
	ChunkPrefix = ControlPrefix + "chunk/"
)

// maxAttempts bounds how often the record is read because a newer one has replaced
// the chunks of the one being read, and how often a chunk is written because other
// processes write it at the same time.
const maxAttempts = 3

// DecodeManifest decodes the manifest from the store's entry at RecordKey. If the
// entry does not exist, it returns the empty manifest.
func DecodeManifest(entry platform.Entry) (config.Manifest, error) {
	var m config.Manifest
	if entry.Revision == 0 {
		return m, nil
	}
	return m, errors.Wrapf(json.Unmarshal(entry.Value, &m), "store key %q", RecordKey)
}

// ReadRecord reads the manifest and those of its chunks that held lacks, and
// replaces the held record if the one read is newer. It returns the manifest and
// the store's revision of it.
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

// fetchChunks reads the chunks of m that held lacks, and replaces the held record by
// that of m if it is newer.
func fetchChunks(ctx context.Context, store platform.Store, held *config.HeldRecord, m config.Manifest) error {
	chunks, err := ReadChunks(ctx, store, held.MissingChunks(m))
	if err != nil {
		return err
	}
	_, _, err = held.ReplaceIfNewer(m, chunks)
	return err
}

// ReadChunks reads chunks by their hashes. The error is marked
// config.ErrChunkMissing if the store does not have one, because the record has
// changed since its manifest was read.
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

// writeRecord replaces the record of the manifest old, which the store has at a
// revision, by next. It first writes the chunks that next adds, then the manifest,
// and then removes the chunks that next no longer uses, so that a stored manifest
// always has its chunks. It reports whether the manifest was replaced. An error is
// marked platform.ErrUnknownOutcome only if the outcome of the write of the
// manifest is unknown.
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

// writeChunk writes a chunk even if it exists already. That changes its revision in
// the store, so that a concurrent removeChunks, which expects the revision that it
// has read, does not remove it.
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
	return errors.Wrapf(platform.ErrUnavailable, "write %s: other processes keep changing the key", key)
}

// readChunkEntries reads the entries of chunks, whose revisions removeChunks needs.
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

// removeChunks removes chunks that the record no longer uses. The entries were read
// before the record changed: a chunk that was written again since then has another
// revision and stays, because a newer record may use it. A chunk whose removal
// fails stays in the store unused.
func removeChunks(ctx context.Context, store platform.Store, entries []platform.Entry) {
	for _, e := range entries {
		if e.Revision != 0 {
			_, _, _ = store.CompareAndSwap(ctx, platform.Write{Key: e.Key, ExpectedRevision: e.Revision, Delete: true})
		}
	}
}

// planHeader is the value at the key of a plan. The plan may be too large for one
// value of the store, so its JSON text is cut into pieces with keys of their own.
type planHeader struct {
	// Pieces is the number of pieces.
	Pieces int `json:"pieces"`
}

// maxPlanPieceBytes is the size of each piece of a plan but the last.
const maxPlanPieceBytes = config.MaxChunkBytes

// writePlan stores the JSON text of a plan under a lease, so that the store deletes
// it after planTTL. It writes the header last, so that a plan with a header is
// complete.
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

// createKey creates a key that no other process writes. If the answer to the write
// is lost, it reads the key: if the key exists, the write took effect.
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

// readPlan reads a plan. The error is marked intent.ErrUnknownPlan if the store does
// not have it.
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

// pieceKey returns the store key of piece i of a plan, counted from 0.
func pieceKey(id string, i int) string { return fmt.Sprintf("%s%s/%d", planPrefix, id, i) }
