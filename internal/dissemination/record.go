package dissemination

import (
	"slices"

	"github.com/turmericfield/turmericfield/api/peerpb"
)

const (
	// historyLength is the number of earlier versions whose chunk lists are
	// kept, to answer pulls with what changed.
	historyLength = 16
	// maxResponseBytes bounds the chunks of one answer.
	maxResponseBytes = 256 << 10
)

// Record is one version of the configuration: a list of content-addressed
// chunks. A record is immutable.
type Record struct {
	// Version orders the records.
	Version uint64
	// Head is what the record holds beside its chunks.
	Head []byte
	// Hashes of the chunks in order.
	Hashes []string
	// Chunks by hash; holds at least all of Hashes when whole.
	Chunks map[string][]byte
}

// missing returns the distinct hashes whose chunks are absent.
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

// manifest describes the record as a change of a base chunk list.
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

// applyManifest returns the chunk list that a manifest describes on a base; false if
// it does not fit the base.
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

// history keeps the chunk lists of the newest versions.
type history struct {
	records []*Record // oldest first; earlier ones without chunks
	// previous is the whole record before the newest one; nil if there is none.
	previous *Record
}

// pop drops the newest record and brings back the one before it, or none if
// its chunks are no longer held.
func (h *history) pop() {
	h.records = h.records[:len(h.records)-1]
	if h.previous == nil {
		h.records = nil
	} else {
		h.records[len(h.records)-1] = h.previous
	}
	h.previous = nil
}

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

func (h *history) newest() *Record {
	if len(h.records) == 0 {
		return &Record{}
	}
	return h.records[len(h.records)-1]
}

// hashesOf returns the chunk list of a version, nil if not known.
func (h *history) hashesOf(version uint64) []string {
	for _, r := range h.records {
		if r.Version == version {
			return r.Hashes
		}
	}
	return nil
}

// changesSince returns the manifest and chunks for a puller that holds a version.
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
