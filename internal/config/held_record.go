package config

// HeldRecord is the newest record that an instance has, as a manifest and chunks,
// so that the instance can pass single chunks on and needs to fetch only those that
// a newer record adds. It is not safe for concurrent use.
type HeldRecord struct {
	manifest Manifest
	chunks   map[string][]byte // data by hash
}

// Manifest returns the manifest of the record. Its Revision is 0 if there is no
// record yet.
func (h *HeldRecord) Manifest() Manifest { return h.manifest }

// Chunk returns the data of one of the record's chunks, or nil if the record does
// not have the chunk.
func (h *HeldRecord) Chunk(hash string) []byte { return h.chunks[hash] }

// MissingChunks returns the hashes of those chunks of a manifest that the record
// does not have.
func (h *HeldRecord) MissingChunks(m Manifest) []string {
	return m.MissingChunks(func(hash string) bool { return h.chunks[hash] != nil })
}

// ReplaceIfNewer replaces the record by that of the manifest m and returns it, if m
// is newer. Each chunk of m must be among the given ones or in the present record.
// It reports whether the record was replaced; if not, or after an error, nothing
// has changed.
func (h *HeldRecord) ReplaceIfNewer(m Manifest, chunks []Chunk) (Record, bool, error) {
	if m.Revision <= h.manifest.Revision {
		return Record{}, false, nil
	}
	given := make(map[string][]byte, len(chunks))
	for _, c := range chunks {
		given[c.Hash] = c.Data
	}
	next := make(map[string][]byte, len(m.Chunks))
	record, err := JoinRecord(m, func(hash string) []byte {
		data := given[hash]
		if data == nil {
			data = h.chunks[hash]
		}
		next[hash] = data
		return data
	})
	if err != nil {
		return Record{}, false, err
	}
	h.manifest, h.chunks = m, next
	return record, true, nil
}
