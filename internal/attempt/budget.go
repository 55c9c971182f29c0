package attempt

const (
	retriesPerRequest = 0.1 // retries that each request adds to the budget
	maxSavedRetries   = 10  // largest number of retries that the budget saves up
)

// Budget bounds the retries of one instance to a share of its requests, so that
// retries cannot multiply the load on targets that are overloaded. It is not safe
// for concurrent use.
type Budget struct {
	savedRetries float64
}

// NewBudget returns a budget with maxSavedRetries.
func NewBudget() *Budget { return &Budget{savedRetries: maxSavedRetries} }

// earn adds the share of a retry that a new request brings.
func (b *Budget) earn() { b.savedRetries = min(b.savedRetries+retriesPerRequest, maxSavedRetries) }

// spend takes one retry from the budget and tells whether there was one.
func (b *Budget) spend() bool {
	if b.savedRetries < 1 {
		return false
	}
	b.savedRetries--
	return true
}
