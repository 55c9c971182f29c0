package edge

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/turmericfield/turmericfield/internal/changefeed"
	"github.com/turmericfield/turmericfield/internal/platform"
)

// markTimeout bounds the write of the mark, after which the lease is renewed.
const markTimeout = renewInterval / 2

// eraKey follows StoreKeys.OwnPrefix in the key of the mark of the store's era.
const eraKey = "era"

// eraMark is an entry in the store that tells instances that start that the store has not
// just come back as an older copy. Such a copy has the mark of an earlier era. It has no
// lease, so that it outlasts a stop of all instances.
type eraMark struct {
	// Settled is the store's era, once the instance that wrote the mark had known for
	// restoredProofDelay that a copy of that era was settled.
	Settled uint64 `json:"settled"`
}

// settledEra tells since when, as a time since boot, the copy has been known to be settled
// in an era; 0 if it is not.
type settledEra struct {
	era   uint64
	since time.Duration
}

// noteSettled records what another instance, whose answer makes this copy current, has told
// of its era.
func (f *follower) noteSettled(a answer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if a.settled {
		f.mirror.NoteSettled(platform.RevisionEra(a.revision), a.currentAsOf)
	}
}

// checkEraMark ends the proof delay if the copy, which the store has confirmed as current as
// of a time, has the mark of its era. The pages of a listing are not one snapshot. As the mark
// is written restoredProofDelay after the era was settled, all pages of a listing that took
// less were read in a settled era. The caller holds the lock.
func (f *follower) checkEraMark(currentAsOf time.Duration) {
	at, era := now(), platform.RevisionEra(f.mirror.Revision())
	if f.mirror.IsSettled(currentAsOf) || f.markedEra() != era {
		return
	}
	if at-currentAsOf > restoredProofDelay {
		currentAsOf = at
	}
	f.mirror.NoteSettled(era, currentAsOf)
}

// markedEra returns the era of the mark in the copy; 0 if there is none. The caller holds
// the lock.
func (f *follower) markedEra() uint64 {
	entry, _ := f.mirror.Get(f.storeKeys.OwnPrefix + eraKey)
	return eraOfMark(entry)
}

// eraOfMark returns the era of a mark; 0 if the entry is none.
func eraOfMark(entry platform.Entry) uint64 {
	var mark eraMark
	if err := json.Unmarshal(entry.Value, &mark); err != nil {
		return 0 // as if it was missing: it is written again
	}
	return mark.Settled
}

// markEra writes the mark of the store's era if this instance follows the store itself and
// the mark is due.
func (f *follower) markEra(ctx context.Context) error {
	era, known := f.dueEraMark(now())
	if era == 0 {
		return nil
	}
	value, err := json.Marshal(eraMark{Settled: era})
	if err != nil {
		return errors.Wrap(err, "era mark")
	}
	ctx, cancel := context.WithTimeout(ctx, markTimeout)
	defer cancel()
	for range 2 {
		ok, now, err := f.store.CompareAndSwap(ctx, platform.Write{Key: f.storeKeys.OwnPrefix + eraKey, ExpectedRevision: known, Value: value})
		if ok {
			f.log.Info().Uint64("era", era).Msg("store: era marked as settled")
		}
		if ok || err != nil || eraOfMark(now) == era || platform.RevisionEra(now.Revision) > era {
			return err
		}
		// One that came back with the store may be held back from the copy.
		known = now.Revision
	}
	return errors.New("era mark was changed during each attempt to write it")
}

// dueEraMark returns the era whose mark is to be written, 0 if none is, and the revision of
// the present mark. None is due while the store lacks the configuration that is known here:
// an instance that starts alone would trust the one that it finds.
func (f *follower) dueEraMark(at time.Duration) (era, known uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	era = platform.RevisionEra(f.mirror.Revision())
	if era == 0 || !f.mirror.IsProven(f.storeKeys.Configuration, f.currentAsOf) {
		return 0, 0
	}
	if f.settled.era != era {
		f.settled = settledEra{era, at}
	}
	if f.source != changefeed.StoreSource || f.lost || f.markedEra() == era || at-f.settled.since < restoredProofDelay {
		return 0, 0
	}
	entry, _ := f.mirror.Get(f.storeKeys.OwnPrefix + eraKey)
	return era, entry.Revision
}
