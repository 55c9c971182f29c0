package changefeed

const (
	// budgetShare is the fraction 1/budgetShare of the instance's memory that may be held
	// for followers. The rest is for requests and the copy of the store itself.
	budgetShare = 8
	// logShare is the fraction 1/logShare of the budget that the log of changes may take.
	logShare = 4
	// answerShare is the fraction 1/answerShare of the budget that copies leave free for
	// answers, so that those who follow in calm are not refused because of some that copy.
	answerShare = 8
	// defaultMemoryBytes is the memory of an instance whose settings give no limit.
	defaultMemoryBytes = 512 << 20
	// MaxChangeBytes is the size in bytes of key and value, or difference, above which a
	// change is not logged and the changes of one response are not sent: the follower needs
	// a whole copy.
	MaxChangeBytes = 128 << 10
	// minDifferenceBytes is the size in bytes from which a value is passed on as a difference.
	minDifferenceBytes = 4 << 10
	// changeOverheadBytes is what a logged change takes beside its key and value.
	changeOverheadBytes = 128
)

// Budget bounds the bytes that an instance holds for its followers: the log of changes,
// and what is being sent. It answers a fast sequence of large values while followers read
// slowly. The log has a fixed share, which it keeps by forgetting its oldest changes;
// what does not fit into the rest is refused, so that the follower asks another source.
// It is not safe for concurrent use.
type Budget struct {
	limit   int64
	log     int64 // kept by the Feed, LogLimit at most
	sending int64
	refused int64
}

// NewBudget returns the budget of an instance with this memory limit in bytes; 0 for
// none.
func NewBudget(memoryBytes int64) *Budget {
	if memoryBytes <= 0 {
		memoryBytes = defaultMemoryBytes
	}
	return &Budget{limit: memoryBytes / budgetShare}
}

// Limit returns the bound on Held in bytes.
func (b *Budget) Limit() int64 { return b.limit }

// LogLimit returns the bound on the log in bytes.
func (b *Budget) LogLimit() int64 { return b.limit / logShare }

// Held returns the bytes held for followers.
func (b *Budget) Held() int64 { return b.log + b.sending }

// Logged returns the bytes of the log.
func (b *Budget) Logged() int64 { return b.log }

// Refused returns how many reservations were refused.
func (b *Budget) Refused() int64 { return b.refused }

// Reserve takes bytes for an answer and reports whether they were free.
func (b *Budget) Reserve(bytes int64) bool { return b.reserve(bytes, b.limit-b.LogLimit()) }

// ReserveCopy takes bytes for a whole copy and reports whether they were free.
func (b *Budget) ReserveCopy(bytes int64) bool {
	return b.reserve(bytes, b.limit-b.LogLimit()-b.limit/answerShare)
}

func (b *Budget) reserve(bytes, limit int64) bool {
	if b.sending+bytes > limit {
		b.refused++
		return false
	}
	b.sending += bytes
	return true
}

// Release gives reserved bytes back.
func (b *Budget) Release(bytes int64) { b.sending -= bytes }
