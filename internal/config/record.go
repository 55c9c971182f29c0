package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

const (
	// MaxChunkBytes bounds the payload of one chunk, below the limit of the
	// platform's store.
	MaxChunkBytes = 900 << 10
	// softMaxChunkBytes is the size at which a chunk is closed at the latest,
	// unless a single item is larger.
	softMaxChunkBytes = 256 << 10
	// meanChunkItems is the mean number of items in a chunk. Boundaries depend only
	// on the items' content, so that one changed item changes one chunk.
	meanChunkItems = 64
)

// Errors of manifests and chunks.
var (
	ErrItemTooLarge = errors.New("one entry of the configuration is too large for the store")
	ErrChunkMissing = errors.New("chunk is missing")
	ErrChunkCorrupt = errors.New("chunk does not match its hash")
)

// Operation is one accepted change.
type Operation struct {
	ID      string `json:"id"`
	Version uint64 `json:"version"`
}

// Writer names one process that may write the next record.
type Writer struct {
	Instance    string `json:"instance"`
	Incarnation uint64 `json:"incarnation"`
}

// Record is the accepted configuration.
type Record struct {
	// Revision counts the accepted records, from 1. Evidence speaks of it.
	Revision uint64 `json:"revision"`
	// Version counts the accepted documents, from 1. A change of the writers
	// alone leaves it, so that it makes no plan stale.
	Version uint64 `json:"version"`
	// History lists the newest operations, oldest first.
	History []Operation `json:"history"`
	// Writers may write the next record; any process may write the first one.
	Writers  []Writer  `json:"writers"`
	Document *Document `json:"document"`
	// SeatGenerations counts the changes of the number of seats of each
	// availability zone since it was first defined, and, below FleetGeneration,
	// those of the whole fleet. One that is not listed has never changed.
	SeatGenerations map[string]int `json:"seat_generations,omitempty"`
	// VacantZones names the availability zones without any live instance, in
	// order. Their seats own no part of any rate.
	VacantZones []string `json:"vacant_zones,omitempty"`
	// VacancyVersion is the version at which VacantZones last changed.
	VacancyVersion uint64 `json:"vacancy_version,omitempty"`
	// RemovedWorkspaces names the workspaces that were removed and not defined again.
	// When it is full, no workspace counts as new any more.
	RemovedWorkspaces []string `json:"removed,omitempty"`
	// BlockShards are the shards of the table of client blocks, in the stored form
	// of package steering, ordered by their hashes.
	BlockShards []Chunk `json:"-"`
}

// VersionOf returns the version that an operation led to.
func (r Record) VersionOf(operation string) (uint64, bool) {
	for _, o := range r.History {
		if o.ID == operation {
			return o.Version, true
		}
	}
	return 0, false
}

// MayWrite tells whether a process may write the record that follows.
func (r Record) MayWrite(w Writer) bool {
	return r.Revision == 0 || slices.Contains(r.Writers, w)
}

// Manifest is the stored form of a record without its document.
type Manifest struct {
	Revision uint64      `json:"revision"`
	Version  uint64      `json:"version"`
	History  []Operation `json:"history"`
	Writers  []Writer    `json:"writers"`
	// SeatGenerations is the record's field of that name.
	SeatGenerations map[string]int `json:"seat_generations,omitempty"`
	// VacantZones and VacancyVersion are the record's fields of those names.
	VacantZones    []string `json:"vacant_zones,omitempty"`
	VacancyVersion uint64   `json:"vacancy_version,omitempty"`
	// RemovedWorkspaces is the record's field of that name.
	RemovedWorkspaces []string `json:"removed,omitempty"`
	// Chunks lists the SHA-256 digests of the document's chunks, in order.
	Chunks []string `json:"chunks"`
}

// Chunk is one content-addressed piece of a document.
type Chunk struct {
	// Hash is the SHA-256 digest of Data, in lower-case hexadecimal.
	Hash string
	Data []byte
}

// chunkBody is the stored form of a chunk: some items of one field.
type chunkBody struct {
	Field string            `json:"field"`
	Items []json.RawMessage `json:"items"`
}

// SplitRecord returns the stored form of a record.
func SplitRecord(r Record) (Manifest, []Chunk, error) {
	m := Manifest{Revision: r.Revision, Version: r.Version, History: r.History, Writers: r.Writers, SeatGenerations: r.SeatGenerations, RemovedWorkspaces: r.RemovedWorkspaces,
		VacantZones: r.VacantZones, VacancyVersion: r.VacancyVersion}
	if r.Document == nil {
		return m, nil, nil
	}
	chunks, err := splitDocument(r.Document)
	if err != nil {
		return m, nil, err
	}
	chunks = append(chunks, r.BlockShards...)
	for _, c := range chunks {
		m.Chunks = append(m.Chunks, c.Hash)
	}
	return m, chunks, nil
}

// NewChunk returns the chunk of some data.
func NewChunk(data []byte) Chunk { return Chunk{Hash: hashChunk(data), Data: data} }

// isBlockShard tells whether a chunk is a shard of client blocks and not a part
// of the document.
func isBlockShard(data []byte) bool { return len(data) > 0 && data[0] != '{' }

func splitDocument(doc *Document) ([]Chunk, error) {
	text, err := json.Marshal(doc)
	if err != nil {
		return nil, err
	}
	var fields map[string][]json.RawMessage
	if err := json.Unmarshal(text, &fields); err != nil {
		return nil, err
	}
	names := make([]string, 0, len(fields))
	for name := range fields {
		names = append(names, name)
	}
	sort.Strings(names)
	var chunks []Chunk
	for _, name := range names {
		more, err := splitField(name, fields[name])
		if err != nil {
			return nil, err
		}
		chunks = append(chunks, more...)
	}
	return chunks, nil
}

func splitField(name string, items []json.RawMessage) ([]Chunk, error) {
	var chunks []Chunk
	for first := 0; first < len(items); {
		end := chunkEnd(items, first)
		data, err := json.Marshal(chunkBody{Field: name, Items: items[first:end]})
		if err != nil {
			return nil, err
		}
		if len(data) > MaxChunkBytes {
			return nil, errors.Wrapf(ErrItemTooLarge, "%s[%d] has %d bytes, more than %d", name, first, len(data), MaxChunkBytes)
		}
		chunks = append(chunks, NewChunk(data))
		first = end
	}
	return chunks, nil
}

// chunkEnd returns the end of the chunk that begins at first.
func chunkEnd(items []json.RawMessage, first int) int {
	size := 0
	for i := first; i < len(items); i++ {
		size += len(items[i])
		if size > softMaxChunkBytes && i > first {
			return i
		}
		if xxhash.Sum64(items[i])%meanChunkItems == 0 {
			return i + 1
		}
	}
	return len(items)
}

func hashChunk(data []byte) string {
	digest := sha256.Sum256(data)
	return hex.EncodeToString(digest[:])
}

// JoinRecord returns the record of a manifest. chunk returns the data of a hash, or
// nil. Data that does not match its hash is an error.
func JoinRecord(m Manifest, chunk func(hash string) []byte) (Record, error) {
	r := Record{Revision: m.Revision, Version: m.Version, History: m.History, Writers: m.Writers, SeatGenerations: m.SeatGenerations, RemovedWorkspaces: m.RemovedWorkspaces,
		VacantZones: m.VacantZones, VacancyVersion: m.VacancyVersion}
	fields := map[string][]json.RawMessage{}
	for _, hash := range m.Chunks {
		data := chunk(hash)
		if data == nil {
			return Record{}, errors.Wrapf(ErrChunkMissing, "chunk %s", hash)
		}
		if hashChunk(data) != hash {
			return Record{}, errors.Wrapf(ErrChunkCorrupt, "chunk %s", hash)
		}
		if isBlockShard(data) {
			r.BlockShards = append(r.BlockShards, Chunk{Hash: hash, Data: data})
			continue
		}
		var body chunkBody
		if err := json.Unmarshal(data, &body); err != nil {
			return Record{}, errors.Wrapf(err, "chunk %s", hash)
		}
		fields[body.Field] = append(fields[body.Field], body.Items...)
	}
	text, err := json.Marshal(fields)
	if err != nil {
		return Record{}, err
	}
	r.Document = &Document{}
	return r, errors.Wrap(json.Unmarshal(text, r.Document), "configuration chunks")
}

// MissingChunks lists the chunks that a holder lacks, each once.
func (m Manifest) MissingChunks(has func(hash string) bool) []string {
	var out []string
	for _, hash := range m.Chunks {
		if !has(hash) && !slices.Contains(out, hash) {
			out = append(out, hash)
		}
	}
	return out
}

// ChunksNotIn lists the chunks that a manifest uses and its successor does not.
func (m Manifest) ChunksNotIn(next Manifest) []string {
	return m.MissingChunks(func(hash string) bool { return slices.Contains(next.Chunks, hash) })
}

// String renders the manifest for logs.
func (m Manifest) String() string {
	return fmt.Sprintf("revision %d, version %d, %d chunks", m.Revision, m.Version, len(m.Chunks))
}
