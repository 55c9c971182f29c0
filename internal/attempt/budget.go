package attempt

// Limits of a budget.
const (
	retriesPerRequest = 0.1 // retries earned by each request
	maxSavedRetries   = 10  // retries that can be saved up
)

// Budget bounds the retries of one instance to a share of its requests, so
// that retries cannot multiply an overload. It is not safe for concurrent use.
type Budget struct {
	savedRetries float64
}

// NewBudget returns a budget with a full reserve.
func NewBudget() *Budget { return &Budget{savedRetries: maxSavedRetries} }

func (b *Budget) earn() { b.savedRetries = min(b.savedRetries+retriesPerRequest, maxSavedRetries) }

func (b *Budget) spend() bool {
	if b.savedRetries < 1 {
		return false
	}
	b.savedRetries--
	return true
}
