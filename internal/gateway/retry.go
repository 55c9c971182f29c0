package gateway

const (
	// retryBudgetShare is the part of the fleet's budget that instances hand out, which
	// leaves room for windows that do not line up.
	retryBudgetShare = 0.6
	// minSavedRetriesCap is the least number of sends that can be saved up; the
	// sends of a large fleet are then earned by its requests alone.
	minSavedRetriesCap = 1.0
)

// retryBudget bounds the sends of requests to second targets to this
// instance's part of the fleet's budget. It is not safe for concurrent use.
type retryBudget struct {
	ratio, extra   float64
	maxSaved       float64            // sends that can be saved up
	initialSaved   float64            // sends that a service starts with
	savedByService map[string]float64 // saved up sends
}

func newRetryBudget(ratio, extra float64) *retryBudget {
	return &retryBudget{ratio: ratio * retryBudgetShare, extra: extra * retryBudgetShare, maxSaved: minSavedRetriesCap, savedByService: map[string]float64{}}
}

func (b *retryBudget) setInstances(n int) {
	instanceExtra := b.extra / float64(max(n, 1))
	b.maxSaved, b.initialSaved = max(instanceExtra, minSavedRetriesCap), instanceExtra/2
}

// deposit earns a part of a retry for a first send to a service.
func (b *retryBudget) deposit(service string) {
	saved, ok := b.savedByService[service]
	if !ok {
		saved = b.initialSaved
	}
	b.savedByService[service] = min(saved+b.ratio, b.maxSaved)
}

// allows tells whether a send is left.
func (b *retryBudget) allows(service string) bool { return b.savedByService[service] >= 1 }

// withdraw allows one more send.
func (b *retryBudget) withdraw(service string) bool {
	if !b.allows(service) {
		return false
	}
	b.savedByService[service]--
	return true
}
