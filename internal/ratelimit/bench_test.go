package ratelimit

import (
	"testing"
	"time"
)

// BenchmarkTake measures a decision of an owner whose bucket has tokens left.
func BenchmarkTake(b *testing.B) {
	seated := true
	l, f := singleOwner(&seated)
	f.configure(1, []ZoneSeats{{"a", 1}}, 1e9, 1e9)
	l.Update(f.snapshot, f.now)
	l.RefreshShares(f.now)
	now := f.now.Add(time.Second)
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Microsecond)
		if !l.Take(testWorkspace, now).Allowed {
			b.Fatal("refused")
		}
		l.CollectOutput()
	}
}

// BenchmarkTakeStatic measures the same decision with StaticShares, the baseline.
func BenchmarkTakeStatic(b *testing.B) {
	f := newFleet(1, nil, 1e9, 1e9)
	l := NewStaticShares(1)
	l.Update(f.snapshot, f.now)
	now := f.now
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Microsecond)
		l.Take(testWorkspace, now)
	}
}
