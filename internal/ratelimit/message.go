package ratelimit

import "time"

// Ask is a request for tokens, sent to the owner of a part of a workspace's
// limit.
type Ask struct {
	// ID is unique among the asks of all processes.
	ID        uint64
	Workspace string
	// Asker is the name of the instance that the grant is sent to.
	Asker string
	// Tokens is the number of tokens for requests that already wait, Extra the
	// number for requests expected soon, which the owner may grant if it has
	// plenty.
	Tokens, Extra int
	// Wait is how long the owner may hold the ask back until it has a token.
	Wait time.Duration
	// Forwarded says that an instance in the owner's zone received the ask first
	// and passed it on. An ask is forwarded only once.
	Forwarded bool
}

// Grant answers an ask. Its tokens may be used until Options.GrantLifetime has
// passed since the ask was sent, by the asker's clock.
type Grant struct {
	// ID is unique among the grants of all processes. A grant without tokens has
	// none.
	ID        uint64
	AskID     uint64
	Workspace string
	// Tokens is the number of tokens granted; 0 refuses the ask.
	Tokens int
	// Level is the number of tokens that the owner has left, less those wanted
	// by asks that wait there. It is negative if they want more than it has.
	Level float64
}

// Report tells an owner that none of a grant's tokens will be used from now on.
type Report struct {
	Workspace string
	GrantID   uint64
	// Returned is the number of the grant's tokens that were not used.
	Returned int
}

// Message is what one instance's limiter sends to another's. It may carry
// several asks, grants and reports at once.
type Message struct {
	Asks    []Ask
	Grants  []Grant
	Reports []Report
}

// Outgoing is a message to send. Either Instance or AvailabilityZone is set; a
// message to a zone may go to any live instance in it, which forwards it to the
// owner.
type Outgoing struct {
	Instance         string
	AvailabilityZone string
	Message          Message
}

// Resolution is the final decision on a request that waited for a token. Ticket
// is that of the Decision that Take returned.
type Resolution struct {
	Ticket   uint64
	Decision Decision
}
