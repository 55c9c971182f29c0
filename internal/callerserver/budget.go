package callerserver

// budget bounds the bytes that an instance holds for its callers' connections beyond the
// request that each is served with: requests read ahead, the state of those that run, and
// responses that wait for their turn. A connection may hold as much as is free at the
// moment, so that n connections that take all they can get have 1/(n+1) of the limit each,
// and the largest holders are the first that must stop.
type budget struct {
	limit int64 // bytes
	held  int64 // bytes
}

// allows reports whether a connection that holds the given number of bytes may hold need
// more.
func (b *budget) allows(holds, need int64) bool { return holds+need <= b.limit-b.held-need }

// change adds n bytes, which may be negative.
func (b *budget) change(n int64) { b.held += n }
