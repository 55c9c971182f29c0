package edge

import (
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/turmericfield/turmericfield/internal/platform"
)

// errLeftOut is the answer to a caller that asks for a copy without the configuration.
var errLeftOut = status.Error(codes.FailedPrecondition, "the configuration exceeds what this instance reads")

// lacksConfiguration reports whether the copy's configuration was left out. Its followers
// must take it from elsewhere, as they may have room for it. The caller holds the lock.
func (f *follower) lacksConfiguration() bool {
	e, _ := f.mirror.Get(f.storeKeys.Configuration)
	return e.OmittedBytes > 0
}

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
