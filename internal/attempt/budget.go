package attempt

// Limits of a budget.
const (
	retryShare   = 0.1 // retries earned by each request
	retryReserve = 10  // retries that can be saved up
)

// Budget bounds the retries of one instance to a share of its requests, so
// that retries cannot multiply an overload. It is not safe for concurrent use.
type Budget struct {
	saved float64
}

// NewBudget returns a budget with a full reserve.
func NewBudget() *Budget { return &Budget{saved: retryReserve} }

func (b *Budget) deposit() { b.saved = min(b.saved+retryShare, retryReserve) }

func (b *Budget) withdraw() bool {
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}
