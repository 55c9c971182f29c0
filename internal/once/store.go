package once

import (
	"context"
	"crypto/rand"
	"sync"
	"time"

	"github.com/turmericfield/turmericfield/internal/platform"
)

const (
	// MinClaimLifetime is the least time that a claim lasts.
	MinClaimLifetime = 10 * time.Minute
	// leasePeriod is how long an instance attaches its claims to one lease.
	leasePeriod = 5 * time.Minute
	// callTimeout bounds one call to the store.
	callTimeout = 2 * time.Second
)

// Store claims requests in the platform's store. All claims of a period share
// one lease, so that they expire without a call for each. It is safe for
// concurrent use.
type Store struct {
	store platform.Store
	now   func() time.Time

	mu           sync.Mutex // guards the fields below and the grant of a lease
	leaseID      uint64
	leaseAskedAt time.Time // moment before the lease was asked for
}

// NewStore returns the claims of one instance.
func NewStore(store platform.Store, now func() time.Time) *Store {
	return &Store{store: store, now: now}
}

// Claim claims a workspace's request id.
func (s *Store) Claim(ctx context.Context, workspace, id string) (Claim, Result) {
	claim, attempt := Claim{Key: Key(workspace, id)}, Attempt{Nonce: rand.Text()}
	var leaseAskedAt time.Time
	for call := attempt.Start(); call != Done; {
		switch call {
		case ReadBack:
			current, err := s.read(ctx, claim.Key)
			call = attempt.HandleRead(current, err)
		case RenewLease, Create:
			leaseID, askedAt, err := s.currentLease(ctx, call == RenewLease)
			if err != nil {
				return claim, Unavailable
			}
			leaseAskedAt = askedAt
			call = attempt.HandleCreate(s.create(ctx, claim.Key, attempt.Nonce, leaseID))
		}
	}
	result, revision := attempt.Result()
	claim.Revision = revision
	if result == Claimed && s.now().Sub(leaseAskedAt) > leasePeriod {
		return claim, Unavailable // the lease may end before the claim's lifetime
	}
	return claim, result
}

// Release gives back the claim of a request that surely did not run, so that
// its caller may send it again. If that fails, the claim stays until it
// expires.
func (s *Store) Release(ctx context.Context, claim Claim) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, _, _ = s.store.CompareAndSwap(ctx, platform.Write{Key: claim.Key, ExpectedRevision: claim.Revision, Delete: true})
}

func (s *Store) read(ctx context.Context, key string) (platform.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return s.store.Get(ctx, key)
}

func (s *Store) create(ctx context.Context, key, nonce string, leaseID uint64) (bool, platform.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return s.store.CompareAndSwap(ctx, platform.Write{Key: key, Value: []byte(nonce), LeaseID: leaseID})
}

// currentLease returns the lease of this period and the moment before it was
// asked for.
func (s *Store) currentLease(ctx context.Context, renew bool) (uint64, time.Time, error) {
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
