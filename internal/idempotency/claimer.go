package idempotency

import (
	"context"
	"crypto/rand"
	"sync"
	"time"

	"github.com/turmericfield/turmericfield/internal/platform"
)

const (
	// MinClaimLifetime is the least time that a claim lasts, unless it is
	// released.
	MinClaimLifetime = 10 * time.Minute
	// leasePeriod is how long an instance attaches new claims to one lease.
	leasePeriod = 5 * time.Minute
	// callTimeout bounds one call to the store.
	callTimeout = 2 * time.Second
)

// Claimer claims requests in the platform's store for one instance. All claims of
// a leasePeriod share one lease, so that they expire without a call for each.
// It is safe for concurrent use.
type Claimer struct {
	store platform.Store
	now   func() time.Time

	mu           sync.Mutex // guards the fields below; held while a lease is requested
	leaseID      uint64
	leaseAskedAt time.Time // just before the lease was requested
}

// NewClaimer returns a Claimer that has no lease yet. now returns the current time.
func NewClaimer(store platform.Store, now func() time.Time) *Claimer {
	return &Claimer{store: store, now: now}
}

// Claim claims the request id of a workspace.
func (s *Claimer) Claim(ctx context.Context, workspace, id string) (Claim, Result) {
	claim, attempt := Claim{Key: Key(workspace, id)}, ClaimAttempt{Nonce: rand.Text()}
	var leaseAskedAt time.Time
	for step := attempt.Start(); step != Done; {
		switch step {
		case ReadBack:
			current, err := s.read(ctx, claim.Key)
			step = attempt.HandleRead(current, err)
		case RenewLease, Create:
			leaseID, askedAt, err := s.currentLease(ctx, step == RenewLease)
			if err != nil {
				return claim, Unavailable
			}
			leaseAskedAt = askedAt
			step = attempt.HandleCreate(s.create(ctx, claim.Key, attempt.Nonce, leaseID))
		}
	}
	result, revision := attempt.Result()
	claim.Revision = revision
	if result == Claimed && s.now().Sub(leaseAskedAt) > leasePeriod {
		return claim, Unavailable // the lease may end before MinClaimLifetime
	}
	return claim, result
}

// Release deletes the claim of a request that was surely not run, so that its
// caller may send it again. If that fails, the claim remains until its lease
// expires.
func (s *Claimer) Release(ctx context.Context, claim Claim) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, _, _ = s.store.CompareAndSwap(ctx, platform.Write{Key: claim.Key, ExpectedRevision: claim.Revision, Delete: true})
}

func (s *Claimer) read(ctx context.Context, key string) (platform.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return s.store.Get(ctx, key)
}

func (s *Claimer) create(ctx context.Context, key, nonce string, leaseID uint64) (bool, platform.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return s.store.CompareAndSwap(ctx, platform.Write{Key: key, Value: []byte(nonce), LeaseID: leaseID})
}

// currentLease returns the lease for new claims and the time just before it was
// requested. A new lease is requested if the current one is older than
// leasePeriod, or if renew is set.
func (s *Claimer) currentLease(ctx context.Context, renew bool) (uint64, time.Time, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	askedAt := s.now()
	if !renew && s.leaseID != 0 && askedAt.Sub(s.leaseAskedAt) < leasePeriod {
		return s.leaseID, s.leaseAskedAt, nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	leaseID, err := s.store.GrantLease(ctx, MinClaimLifetime+leasePeriod)
	if err != nil {
		return 0, askedAt, err
	}
	s.leaseID, s.leaseAskedAt = leaseID, askedAt
	return leaseID, askedAt, nil
}
