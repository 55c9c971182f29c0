package config

// HeldRecord is the newest record that an instance holds, in its stored form, so
// that it can be passed on piece by piece. It is not safe for concurrent use.
type HeldRecord struct {
	manifest Manifest
	chunks   map[string][]byte
}

// Manifest returns the manifest of the newest record; its Revision is 0 if
// there is none.
func (h *HeldRecord) Manifest() Manifest { return h.manifest }

// Chunk returns the data of a chunk of the newest record, or nil.
func (h *HeldRecord) Chunk(hash string) []byte { return h.chunks[hash] }

// MissingChunks lists the chunks of an offered manifest that are not held.
func (h *HeldRecord) MissingChunks(m Manifest) []string {
	return m.MissingChunks(func(hash string) bool { return h.chunks[hash] != nil })
}

// ReplaceIfNewer replaces the record by a newer one, whose chunks are held or among the
// given ones. It reports false, and changes nothing, if the manifest is not
// newer.
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
