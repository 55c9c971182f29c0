package dissemination

import (
	"slices"

	"github.com/turmericfield/turmericfield/api/peerpb"
)

const (
	// historyLength is the number of versions, the newest included, whose chunk
	// lists are kept. A puller that holds one of them is sent only the changes.
	historyLength = 16
	// maxResponseBytes bounds the total size of the chunks in one answer. A
	// single chunk may exceed it.
	maxResponseBytes = 256 << 10
)

// Record is one version of the configuration, stored as a list of
// content-addressed chunks. It does not change once all its chunks are held.
type Record struct {
	// Version increases with every accepted record; it is config.Record.Revision,
	// not config.Record.Version.
	Version uint64
	// Head is the part of the record that is not divided into chunks.
	Head []byte
	// Hashes are the hashes of the chunks, in the order of the chunk list.
	Hashes []string
	// Chunks holds the content of the chunks by hash. The record is whole when
	// it has an entry for each of Hashes.
	Chunks map[string][]byte
}

// missing returns the distinct hashes whose chunks are not held.
func (r *Record) missing() []string {
	var out []string
	seen := map[string]bool{}
	for _, h := range r.Hashes {
		if _, ok := r.Chunks[h]; !ok && !seen[h] {
			seen[h] = true
			out = append(out, h)
		}
	}
	return out
}

// manifest describes the record's chunk list as a change of a base list: how many
// chunks of the base's start and end stay, and the hashes between them. Base
// version 0 stands for the empty list.
func (r *Record) manifest(baseVersion uint64, base []string) *peerpb.Manifest {
	prefix := 0
	for prefix < min(len(base), len(r.Hashes)) && base[prefix] == r.Hashes[prefix] {
		prefix++
	}
	suffix := 0
	for suffix < min(len(base), len(r.Hashes))-prefix && base[len(base)-1-suffix] == r.Hashes[len(r.Hashes)-1-suffix] {
		suffix++
	}
	m := &peerpb.Manifest{Version: r.Version, BaseVersion: baseVersion, Prefix: uint32(prefix), Suffix: uint32(suffix), Head: r.Head}
	for _, h := range r.Hashes[prefix : len(r.Hashes)-suffix] {
		m.Hashes = append(m.Hashes, []byte(h))
	}
	return m
}

// applyManifest returns the chunk list that a manifest describes as a change of
// the base list; false if the manifest is for another base.
func applyManifest(m *peerpb.Manifest, baseVersion uint64, base []string) ([]string, bool) {
	prefix, suffix := int(m.GetPrefix()), int(m.GetSuffix())
	if m.GetBaseVersion() == 0 {
		base = nil
	} else if m.GetBaseVersion() != baseVersion {
		return nil, false
	}
	if prefix+suffix > len(base) {
		return nil, false
	}
	out := slices.Clone(base[:prefix])
	for _, h := range m.GetHashes() {
		out = append(out, string(h))
	}
	return append(out, base[len(base)-suffix:]...), true
}

// history keeps the chunk lists of the newest versions, and the chunks of the
// newest two.
type history struct {
	records []*Record // oldest first; all but the newest without chunks
	// previous is the record before the newest one, with its chunks; nil if it
	// is not held.
	previous *Record
}

// pop drops the newest record and restores the one before it. If the chunks of
// that are no longer held, the whole history is dropped.
func (h *history) pop() {
	h.records = h.records[:len(h.records)-1]
	if h.previous == nil {
		h.records = nil
	} else {
		h.records[len(h.records)-1] = h.previous
	}
	h.previous = nil
}

// push adds a record as the newest one.
func (h *history) push(r *Record) {
	if n := len(h.records); n > 0 {
		h.previous = h.records[n-1]
		h.records[n-1] = &Record{Version: h.previous.Version, Hashes: h.previous.Hashes}
	}
	h.records = append(h.records, r)
	if len(h.records) > historyLength {
		h.records = slices.Delete(h.records, 0, 1)
	}
}

// newest returns the newest record, or an empty one if there is none.
func (h *history) newest() *Record {
	if len(h.records) == 0 {
		return &Record{}
	}
	return h.records[len(h.records)-1]
}

// hashesOf returns the chunk list of a version, or nil if it is not known.
func (h *history) hashesOf(version uint64) []string {
	for _, r := range h.records {
		if r.Version == version {
			return r.Hashes
		}
	}
	return nil
}

// changesSince returns the manifest and the chunks of the newest record for a
// puller that holds the given version. If that version is not known, it returns
// the whole chunk list and no chunks; the puller then asks for those it lacks.
func (h *history) changesSince(held uint64) (*peerpb.Manifest, []*peerpb.Chunk) {
	newest := h.newest()
	base := h.hashesOf(held)
	if base == nil {
		return newest.manifest(0, nil), nil
	}
	var wanted []string
	known := map[string]bool{}
	for _, hash := range base {
		known[hash] = true
	}
	for _, hash := range newest.Hashes {
		if !known[hash] {
			known[hash] = true
			wanted = append(wanted, hash)
		}
	}
	return newest.manifest(held, base), newest.selectChunks(wanted)
}

// selectChunks returns those of the wanted chunks that are held, as many as fit
// into maxResponseBytes.
func (r *Record) selectChunks(wanted []string) []*peerpb.Chunk {
	var out []*peerpb.Chunk
	size := 0
	for _, hash := range wanted {
		data, ok := r.Chunks[hash]
		if !ok || size > 0 && size+len(data) > maxResponseBytes {
			continue
		}
		size += len(data)
		out = append(out, &peerpb.Chunk{Hash: []byte(hash), Data: data})
	}
	return out
}
