package quota

import (
	"testing"
	"time"
)

func TestFailoverReturnsOnlyToAReceiverThatResponds(t *testing.T) {
	var f Failover
	if rank, due := f.Succeeded(time.Second); due || f.Rank() != 0 {
		t.Fatalf("rank %d, tries %d: %v", f.Rank(), rank, due)
	}
	f.Failed(time.Second)
	f.Failed(time.Second)
	if f.Rank() != 2 {
		t.Fatalf("rank %d after two failures, want 2", f.Rank())
	}
	if _, due := f.Succeeded(time.Second + trialInterval - 1); due {
		t.Error("a trial is due before its interval has passed")
	}
	at := time.Second
	for _, want := range []int{0, 1, 0} {
		at += trialInterval
		if rank, due := f.Succeeded(at); !due || rank != want {
			t.Errorf("tries %d, %v, want %d", rank, due, want)
		}
		if f.Rank() != 2 {
			t.Errorf("rank %d although no preferred one has responded", f.Rank())
		}
	}
	f.TrialSucceeded(1)
	if f.Rank() != 1 {
		t.Errorf("rank %d, want 1", f.Rank())
	}
	if rank, due := f.Succeeded(at + trialInterval); !due || rank != 0 {
		t.Errorf("tries %d, %v, want 0", rank, due)
	}
	f.TrialSucceeded(0)
	if _, due := f.Succeeded(at + time.Minute); due || f.Rank() != 0 {
		t.Errorf("rank %d, trial %v", f.Rank(), due)
	}
}
