package edge

import "github.com/turmericfield/turmericfield/internal/platform"

// logOmitted logs an entry whose value exceeds the limit of what is read, once for each revision of
// it. The entry counts as unreadable. The caller holds the lock.
func (f *follower) logOmitted(e platform.Entry) {
	if e.OmittedBytes == 0 {
		return
	}
	if known, ok := f.mirror.Get(e.Key); !ok || known.Revision < e.Revision {
		f.log.Error().Str("key", e.Key).Int("bytes", e.OmittedBytes).Int("limit", f.limits.ValueBytes).
			Uint64("revision", platform.RevisionNumber(e.Revision)).Msg("store: entry exceeds the limit, its value is not read")
	}
}
