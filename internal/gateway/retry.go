package gateway

const (
	// retryBudgetShare is the share of the fleet's retry budget that is divided
	// among the instances. The rest is a reserve, since the windows of the
	// instances are not aligned.
	retryBudgetShare = 0.6
	// minRetryCap is the least value of the cap on saved retries. Where an
	// instance's part of the extra retries is below it, in a large fleet,
	// retries are in effect earned by requests alone.
	minRetryCap = 1.0
)

// retryBudget limits one instance's retries, which are sends of a request to a
// further target, to its part of the fleet's budget. Each service has its own
// budget, a token bucket: each request adds a fraction of a retry, each retry
// takes one. It is not safe for concurrent use.
type retryBudget struct {
	// ratio (retries per request) and extra (retries per window) are the parts
	// of the fleet's budget that the instances together may use.
	ratio, extra   float64
	retryCap       float64            // cap on a service's saved retries
	initialSaved   float64            // retries that a service starts with
	savedByService map[string]float64 // saved retries
}

// newRetryBudget returns a budget for this instance, given the fleet's: retries
// per request (ratio) and additional retries in each window (extra).
func newRetryBudget(ratio, extra float64) *retryBudget {
	return &retryBudget{ratio: ratio * retryBudgetShare, extra: extra * retryBudgetShare, retryCap: minRetryCap, savedByService: map[string]float64{}}
}

// setInstances divides the extra retries among n live instances.
func (b *retryBudget) setInstances(n int) {
	instanceExtra := b.extra / float64(max(n, 1))
	b.retryCap, b.initialSaved = max(instanceExtra, minRetryCap), instanceExtra/2
}

// earn adds the fraction of a retry that a new request to a service earns.
func (b *retryBudget) earn(service string) {
	saved, ok := b.savedByService[service]
	if !ok {
		saved = b.initialSaved
	}
	b.savedByService[service] = min(saved+b.ratio, b.retryCap)
}

// allows reports whether a retry to the service is left.
func (b *retryBudget) allows(service string) bool { return b.savedByService[service] >= 1 }

// spend takes one retry from the service's budget. It returns false if none
// is left.
func (b *retryBudget) spend(service string) bool {
	if !b.allows(service) {
		return false
	}
	b.savedByService[service]--
	return true
}

// giveBack returns a retry that was taken but not sent.
func (b *retryBudget) giveBack(service string) {
	b.savedByService[service] = min(b.savedByService[service]+1, b.retryCap)
}
