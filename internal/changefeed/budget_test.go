package changefeed

import (
	"math/rand/v2"
	"testing"

	"github.com/turmericfield/turmericfield/internal/platform"
)

// Whatever the size of the changes, the log stays within its bytes, and a follower gets
// all changes since its copy or is told at once that it needs a whole one.
func TestLogIsBoundedInBytes(t *testing.T) {
	random := rand.NewChaCha8([32]byte{}) // two values of it have no useful difference
	for _, valueBytes := range []int{1 << 10, 100 << 10, 1 << 20} {
		budget := NewBudget(284 << 20)
		f := NewFeed(sameFirstByte)
		f.SetBudget(budget)
		f.Replace(nil, 1)
		const versions = 1000
		for r := uint64(2); r <= versions+1; r++ {
			value := make([]byte, valueBytes)
			_, _ = random.Read(value) // it never fails
			value[0] = byte(r)
			if !f.Apply([]platform.Change{{Entry: platform.Entry{Key: "c", Value: value, Revision: r}}}, r) {
				t.Fatalf("%d bytes: nothing to pass on at revision %d", valueBytes, r)
			}
			kept := int64(0)
			for _, c := range f.log {
				kept += int64(len(c.change.Entry.Value))
				if c.change.Difference != nil {
					kept += int64(len(c.change.Difference.Data))
				}
			}
			if kept > budget.Logged() || budget.Logged() > budget.LogLimit() || budget.Held() > budget.Limit() {
				t.Fatalf("%d bytes: %d in the log, %d counted, limit %d", valueBytes, kept, budget.Logged(), budget.LogLimit())
			}
		}
		for after := uint64(1); after <= versions+1; after++ {
			batch, ok := f.ChangesSince(after)
			if ok && !batch.More && uint64(len(batch.Changes)) != versions+1-after {
				t.Errorf("%d bytes: %d changes after revision %d", valueBytes, len(batch.Changes), after)
			}
		}
		if _, ok := f.ChangesSince(versions + 1); !ok {
			t.Errorf("%d bytes: a current follower needs a whole copy", valueBytes)
		}
		if _, ok := f.ChangesSince(versions); ok != (valueBytes <= MaxChangeBytes) {
			t.Errorf("%d bytes: changes for a follower that lacks one: %v", valueBytes, ok)
		}
	}
}

func TestBudgetRefusesWhatExceedsIt(t *testing.T) {
	b := NewBudget(0)
	room := b.Limit() - b.LogLimit()
	if !b.Reserve(room) || b.Reserve(1) || b.Refused() != 1 || b.Held() != room {
		t.Errorf("held %d of %d, refused %d", b.Held(), b.Limit(), b.Refused())
	}
	b.Release(room)
	copies := 0
	for b.ReserveCopy(1 << 20) {
		copies++
	}
	if copies == 0 || !b.Reserve(b.Limit()/answerShare) {
		t.Errorf("%d copies leave no room for answers", copies)
	}
	b.Release(b.Held())
	if b.Held() != 0 || !b.Reserve(1) {
		t.Errorf("held %d after the release", b.Held())
	}
}
