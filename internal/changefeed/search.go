package changefeed

import "time"

const (
	// searchWidth is the number of sources that a search asks at a time, beside the
	// preferred ones.
	searchWidth = 4
	// searchInterval is the time after which a search asks further sources while the
	// ones asked before have not responded: several round trips between regions.
	searchInterval = 250 * time.Millisecond
	// minSearchInterval is the time after which it asks further ones if all that were
	// asked have failed.
	minSearchInterval = 100 * time.Millisecond
	// fastSearchTime is the time after which the interval grows to slowSearchInterval, so
	// that a fleet without any current instance exchanges few calls.
	fastSearchTime     = 3 * time.Second
	slowSearchInterval = time.Second
	// settleTime is how long a search waits for other sources once it has found a current
	// one.
	settleTime = 100 * time.Millisecond
)

// Search finds a source that is current by asking several side by side, so that silent
// ones cost little time. While nothing has failed, it asks the most preferred source only.
// It is not safe for concurrent use.
type Search struct {
	chooser *SourceChooser
	// fallback is the source that is kept if the search finds none; hasFallback tells whether
	// there is one. The search may only replace it by a preferred one, or, beside a source that
	// is waited for, by any other instance, but not by the store.
	fallback    string
	hasFallback bool
	beside      bool

	asked     map[string]bool // sources that have not responded yet
	rounds    int
	startedAt time.Duration
	askedAt   time.Duration // time of the last round
	askAt     time.Duration // time of the next round
	found     string
	isFound   bool
	endAt     time.Duration // if a source was found or there is a fallback
}

// NewSearch starts a search.
func (c *SourceChooser) NewSearch(now time.Duration) *Search {
	return &Search{chooser: c, asked: map[string]bool{}, startedAt: now, askAt: now}
}

// NewSearchForBetter starts a search for a source that is preferred to the current one.
func (c *SourceChooser) NewSearchForBetter(current string, now time.Duration) *Search {
	s := c.NewSearch(now)
	s.fallback, s.hasFallback, s.endAt = current, true, now+searchInterval
	return s
}

// NewSearchBeside starts a search for an instance that has what the followed one is still
// receiving.
func (c *SourceChooser) NewSearchBeside(followed string, now time.Duration) *Search {
	s := c.NewSearchForBetter(followed, now)
	s.beside = true
	return s
}

// Ask returns the sources to ask now.
func (s *Search) Ask(now time.Duration) []string {
	if s.isFound || now < s.askAt || s.hasFallback && s.rounds > 0 {
		return nil
	}
	names := s.pick(now)
	s.rounds++
	s.askedAt, s.askAt = now, now+searchInterval
	if s.isSlow(now) {
		s.askAt = now + slowSearchInterval
	}
	for _, name := range names {
		s.asked[name] = true
	}
	return names
}

// pick chooses the sources of a round.
func (s *Search) pick(now time.Duration) []string {
	c := s.chooser
	usable := func(name string) bool {
		return !s.asked[name] && now >= c.failed[name].retryAt && !(s.beside && (name == s.fallback || name == StoreSource))
	}
	var names []string
	for _, name := range c.preferred[:c.limit(s)] {
		if usable(name) {
			names = append(names, name)
		}
		if len(names) > 0 && len(c.failed) == 0 && s.rounds == 0 && !s.beside {
			return names
		}
	}
	if s.hasFallback && !s.beside {
		return names
	}
	all := len(names) + searchWidth
	for range c.others {
		if len(names) >= all {
			break
		}
		name := c.others[c.next]
		c.next = (c.next + 1) % len(c.others)
		if usable(name) {
			names = append(names, name)
		}
	}
	return names
}

// limit returns how many of the preferred sources a search may ask.
func (c *SourceChooser) limit(s *Search) int {
	if s.hasFallback && !s.beside {
		return c.preference(s.fallback)
	}
	return len(c.preferred)
}

// isSlow reports whether the search has gone on for so long that it asks less often.
func (s *Search) isSlow(now time.Duration) bool { return now-s.startedAt > fastSearchTime }

// Failed tells the search that a source that was asked has failed. The caller has
// marked it as failed or behind.
func (s *Search) Failed(name string, now time.Duration) {
	delete(s.asked, name)
	// The store may take longer to respond than instances do.
	if (len(s.asked) == 0 || len(s.asked) == 1 && s.asked[StoreSource]) && !s.isSlow(now) {
		s.askAt = min(s.askAt, max(now, s.askedAt+minSearchInterval))
	}
}

// Progress records that a source is sending a whole copy. Further sources are asked once it
// has sent nothing for a while: their copies would come over the same link.
func (s *Search) Progress(now time.Duration) {
	switch {
	case s.isFound:
	case s.hasFallback:
		s.endAt = max(s.endAt, now+searchInterval)
	default:
		s.askedAt, s.askAt = now, max(s.askAt, now+searchInterval)
	}
}

// Current records that a source that was asked is current.
func (s *Search) Current(name string, now time.Duration) {
	delete(s.asked, name)
	s.chooser.MarkCurrent(name)
	if !s.isFound || s.chooser.preference(name) < s.chooser.preference(s.found) {
		s.found = name
	}
	if !s.isFound {
		s.isFound, s.endAt = true, now+settleTime
	}
}

// Result returns the source to follow once the search is over. Preferred sources that have
// not responded by then have failed.
func (s *Search) Result(now time.Duration) (string, bool) {
	source := s.fallback
	switch {
	case s.isFound && (now >= s.endAt || !s.awaitsOthers()):
		source = s.found
	case !s.isFound && s.hasFallback && s.rounds > 0 && (now >= s.endAt || len(s.asked) == 0):
	default:
		return "", false
	}
	for name := range s.asked {
		if s.chooser.preference(name) < s.chooser.preference(source) {
			s.chooser.MarkFailed(name, now)
		}
	}
	return source, true
}

// awaitsOthers reports whether sources have yet to respond that are preferred to the found
// one. Beside the store all are awaited, as they may have the changes as differences, which
// the store sends whole.
func (s *Search) awaitsOthers() bool {
	if s.found == StoreSource {
		return len(s.asked) > 0
	}
	return s.betterAsked(s.found)
}

// betterAsked reports whether a source that is preferred to the given one has yet to respond.
func (s *Search) betterAsked(name string) bool {
	for other := range s.asked {
		if s.chooser.preference(other) < s.chooser.preference(name) {
			return true
		}
	}
	return false
}

// Wait returns the time until Ask or Result may have something new without a response.
func (s *Search) Wait(now time.Duration) time.Duration {
	if s.isFound || s.hasFallback && s.rounds > 0 {
		return max(s.endAt-now, 0)
	}
	return max(s.askAt-now, 0)
}

// Failing reports whether all sources of the first round have failed or taken too long.
func (s *Search) Failing(now time.Duration) bool {
	return !s.isFound && !s.hasFallback && s.rounds > 0 && (len(s.asked) == 0 || now >= s.askedAt+searchInterval || s.rounds > 1)
}
