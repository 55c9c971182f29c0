package limit

import "time"

// Ask asks the owner of a part of a workspace's rate for tokens.
type Ask struct {
	// ID is unique among the asks of all processes.
	ID        uint64
	Workspace string
	// Asker is the name of the instance that gets the grant.
	Asker string
	// Tokens are wanted by requests that wait, Extra by those to come.
	Tokens, Extra int
	// Wait is how long the ask may wait at the owner for tokens.
	Wait time.Duration
	// Forwarded says that an instance of the owner's zone passed the ask on.
	Forwarded bool
}

// Grant answers an ask. The tokens may be used until GrantLife after the ask
// was sent, by the asker's clock.
type Grant struct {
	// ID is unique among the grants of all processes.
	ID        uint64
	AskID     uint64
	Workspace string
	Tokens    int
	// Level is the number of tokens that the owner has left, less those that
	// waiting asks want.
	Level float64
}

// Report tells an owner that none of a grant's tokens will be used any more.
type Report struct {
	Workspace string
	GrantID   uint64
	// Returned is the number of tokens that were not used.
	Returned int
}

// Message is what one instance's limiter sends to another's.
type Message struct {
	Asks    []Ask
	Grants  []Grant
	Reports []Report
}

// Outgoing is a message to send. Either Instance or AvailabilityZone is set;
// with the latter, any live instance of the zone will do.
type Outgoing struct {
	Instance         string
	AvailabilityZone string
	Message          Message
}

// Resolution is the final decision on a request that waited.
type Resolution struct {
	Ticket   uint64
	Decision Decision
}
