package callerserver

// class is how a request may run beside others of its connection.
type class int

const (
	// exclusive requests run alone: after all before them have been answered, and before
	// any after them starts.
	exclusive class = iota
	// concurrent requests run beside other concurrent ones.
	concurrent
)

// order decides which requests of one connection may run. Requests start in the order in
// which they arrive. The first of those that are not answered runs on the connection itself
// or ahead of its turn, all others ahead of their turn.
type order struct {
	running int   // started and not answered
	class   class // of those running
	stopped bool  // no further request may start ahead of its turn
}

// mayStartAhead reports whether the next request may start ahead of its turn. One that
// would be the first is served in its turn.
func (o *order) mayStartAhead(c class, limit int) bool {
	return !o.stopped && o.running > 0 && o.running < limit && o.class == concurrent && c == concurrent
}

// start records that a request of the class runs.
func (o *order) start(c class) {
	o.running++
	o.class = c
}

// answered records that the first of those running was answered. last says that its
// response closes the connection.
func (o *order) answered(last bool) {
	o.running--
	o.stopped = o.stopped || last
}
