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
	// MaxChunkBytes is the largest size of one chunk. It is below the limit of the
	// platform's store for a value.
	MaxChunkBytes = 900 << 10
	// softMaxChunkBytes bounds the size of the items of a chunk, unless a single
	// item is larger.
	softMaxChunkBytes = 256 << 10
	// meanChunkItems is the mean number of items in a chunk. A chunk ends after an
	// item whose hash is divisible by meanChunkItems. The ends depend on the items' content and
	// not on their position, so that one changed item changes only a chunk or two.
	meanChunkItems = 64
)

// Errors of manifests and chunks.
var (
	ErrItemTooLarge = errors.New("one entry of the configuration is too large for the store")
	ErrChunkMissing = errors.New("chunk is missing")
	ErrChunkCorrupt = errors.New("chunk does not match its hash")
)

// Operation is one accepted change of the configuration document (Record.Document).
type Operation struct {
	// ID is the ID of the confirmed plan that made the change.
	ID string `json:"id"`
	// Version is Record.Version after the change.
	Version uint64 `json:"version"`
}

// Writer identifies one process that may write the next record. A restarted instance
// has the same name but another incarnation, and is another writer.
type Writer struct {
	Instance    string `json:"instance"`
	Incarnation uint64 `json:"incarnation"`
}

// Record is the accepted configuration with the data about it that is stored and
// replaced together with it.
type Record struct {
	// Revision counts the accepted records, from 1; 0 means that there is none. It
	// is the version in freshness evidence (see package freshness).
	Revision uint64 `json:"revision"`
	// Version counts the accepted documents, from 1. A change of Writers or
	// VacantZones alone does not raise it, and so makes no plan stale.
	Version uint64 `json:"version"`
	// History lists the latest operations, oldest first.
	History []Operation `json:"history"`
	// Writers lists the processes that may write the next record. Any process may
	// write the first one.
	Writers  []Writer  `json:"writers"`
	Document *Document `json:"document"`
	// SeatGenerations counts, for each availability zone, how often its number of
	// seats has changed since the zone was first defined; FleetGenerationKey stands
	// for the whole fleet. Without an entry, the number of seats has never changed.
	// The seat tables refer to these counts to tell whether all instances use the
	// newest number of seats (see seat.Table).
	SeatGenerations map[string]int `json:"seat_generations,omitempty"`
	// VacantZones names the availability zones without any live instance, sorted.
	// Their seats get no part of the workspaces' rates.
	VacantZones []string `json:"vacant_zones,omitempty"`
	// VacancyVersion is the value of Version when VacantZones last changed.
	VacancyVersion uint64 `json:"vacancy_version,omitempty"`
	// RemovedWorkspaces names workspaces that were removed and not defined again. If
	// one of them is defined again, it does not count as new (see
	// Workspace.FirstVersion). The list is bounded: once it is full, no workspace
	// counts as new any more.
	RemovedWorkspaces []string `json:"removed,omitempty"`
	// BlockShards are the shards of the table that assigns blocks of client
	// addresses (IPv4 /24 and IPv6 /48 prefixes) to sites, as encoded by
	// steering.PackShard, ordered by hash.
	BlockShards []Chunk `json:"-"`
}

// VersionOf returns the version that an operation in the history led to, and whether
// it is there.
func (r Record) VersionOf(operation string) (uint64, bool) {
	for _, o := range r.History {
		if o.ID == operation {
			return o.Version, true
		}
	}
	return 0, false
}

// MayWrite tells whether a process may write the next record.
func (r Record) MayWrite(w Writer) bool {
	return r.Revision == 0 || slices.Contains(r.Writers, w)
}

// Manifest is the stored form of a record, but for its document and block shards,
// which are stored in the chunks that it lists.
type Manifest struct {
	Revision uint64      `json:"revision"`
	Version  uint64      `json:"version"`
	History  []Operation `json:"history"`
	Writers  []Writer    `json:"writers"`
	// SeatGenerations counts, by availability zone, the changes of its number of
	// seats (see Record.SeatGenerations).
	SeatGenerations map[string]int `json:"seat_generations,omitempty"`
	// VacantZones names the availability zones without any live instance, sorted.
	// VacancyVersion is the value of Version when VacantZones last changed.
	VacantZones    []string `json:"vacant_zones,omitempty"`
	VacancyVersion uint64   `json:"vacancy_version,omitempty"`
	// RemovedWorkspaces names workspaces that were removed and not defined again
	// (see Record.RemovedWorkspaces).
	RemovedWorkspaces []string `json:"removed,omitempty"`
	// Chunks lists the hashes of the document's chunks, in order, and then those of
	// the block shards.
	Chunks []string `json:"chunks"`
}

// Chunk is a part of a record that is stored under the hash of its data.
type Chunk struct {
	// Hash is the SHA-256 digest of Data, in lower-case hexadecimal.
	Hash string
	Data []byte
}

// chunkBody is the JSON form of a chunk of the document: some consecutive items of
// one of the document's lists.
type chunkBody struct {
	Field string            `json:"field"` // name in the document
	Items []json.RawMessage `json:"items"`
}

// SplitRecord returns the stored form of a record: its manifest and all chunks.
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

// NewChunk returns the chunk with the given data.
func NewChunk(data []byte) Chunk { return Chunk{Hash: hashChunk(data), Data: data} }

// isBlockShard tells whether a chunk is one of Record.BlockShards and not a part of
// the document, which is a JSON object. No encoded shard begins with a brace.
func isBlockShard(data []byte) bool { return len(data) > 0 && data[0] != '{' }

// splitDocument returns the chunks of a document, list by list in the order of their
// names.
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

// splitField returns the chunks of one list of the document.
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

// chunkEnd returns the index after the last item of the chunk that begins with the
// item first.
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

// hashChunk returns Chunk.Hash of some data.
func hashChunk(data []byte) string {
	digest := sha256.Sum256(data)
	return hex.EncodeToString(digest[:])
}

// JoinRecord is the inverse of SplitRecord. chunk returns the data with a hash, or
// nil. The error is marked ErrChunkMissing or ErrChunkCorrupt if the data is missing
// or does not match its hash.
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

// MissingChunks returns the hashes of the chunks for which has returns false, each
// once.
func (m Manifest) MissingChunks(has func(hash string) bool) []string {
	var out []string
	for _, hash := range m.Chunks {
		if !has(hash) && !slices.Contains(out, hash) {
			out = append(out, hash)
		}
	}
	return out
}

// ChunksNotIn returns the hashes of the chunks that m uses and the other manifest
// does not, each once.
func (m Manifest) ChunksNotIn(other Manifest) []string {
	return m.MissingChunks(func(hash string) bool { return slices.Contains(other.Chunks, hash) })
}

// String renders the manifest for logs.
func (m Manifest) String() string {
	return fmt.Sprintf("revision %d, version %d, %d chunks", m.Revision, m.Version, len(m.Chunks))
}
