package quota

import "time"

const (
	// trialInterval is the time between two trials of a preferred receiver while another
	// one takes its place. While two hubs are in use, each gives out only a part of the
	// quotas.
	trialInterval = ReportInterval
	// silentPause is the time after a trial without any response, for which reports had to
	// wait, before the next one.
	silentPause = time.Second
	// TrialTimeout bounds a trial. It is short, since reports wait for its end.
	TrialTimeout = 150 * time.Millisecond
)

// Failover decides to which of several ranked receivers, hubs or aggregators, an instance
// reports. It answers the loss of many receivers at once: levels must not expire while
// one after another is found to be gone. So a receiver that does not respond is replaced
// after its first failure, and stays in use otherwise until a preferred one responds. Its
// zero value prefers rank 0.
type Failover struct {
	rank    int
	trial   int           // next rank to try; below rank
	triedAt time.Duration // last failure or trial
}

// Rank returns the rank of the receiver to report to.
func (f *Failover) Rank() int { return f.rank }

// Failed records that a report got no response.
func (f *Failover) Failed(now time.Duration) {
	f.rank, f.trial, f.triedAt = f.rank+1, 0, now
}

// Succeeded records a response. It returns a preferred rank to try as well, if one is due.
func (f *Failover) Succeeded(now time.Duration) (rank int, due bool) {
	if f.rank == 0 || now-f.triedAt < trialInterval {
		return 0, false
	}
	rank = f.trial
	f.trial, f.triedAt = (f.trial+1)%f.rank, now
	return rank, true
}

// TrialTimedOut records that a preferred receiver has not responded at all.
func (f *Failover) TrialTimedOut(now time.Duration) { f.triedAt = now + silentPause - trialInterval }

// TrialSucceeded records that a preferred receiver has responded.
func (f *Failover) TrialSucceeded(rank int) { f.rank, f.trial = rank, 0 }
