package quota

import "time"

// Times for which a receiver may give out a share after its last response: each of the
// receivers on the way to the hub counts for reporterTTL.
const (
	FlatTTL = reporterTTL
	ZoneTTL = 2 * reporterTTL
	// unknownTTL is the same for a receiver of a version that does not tell when it
	// responded: it counts from the arrival of the last report, which may be on its way.
	unknownTTL = 1400 * time.Millisecond
)

// Pledge tells which hub or aggregator may give out a reporter's share of the quotas, so
// that no two of them do. The right of a receiver ends when it hands the share back, when
// its process has ended, or a time after its last response. A receiver dates the right by
// the response that the report names (Report.Echo), and the reporter by the arrival of that
// response, which is later; no clocks are compared. Its zero value is that of a reporter
// whose share nobody gives out.
type Pledge struct {
	to      string        // receiver that has the share
	heardAt time.Duration // arrival of its last response
	ttl     time.Duration
	joined  bool // it has confirmed that it gives out the share

	echoOf string        // receiver that has responded last
	echo   time.Duration // Levels.SentAt of that response
	echoAt time.Duration // its arrival
}

// Holder returns the other receiver that may still give out the share, or "".
func (p *Pledge) Holder(to string, now time.Duration) string {
	if p.to == to || now >= p.heardAt+p.ttl {
		return ""
	}
	return p.to
}

// Prepare completes a report to a receiver. ttl is FlatTTL or ZoneTTL.
func (p *Pledge) Prepare(r *Report, to string, ttl, now time.Duration) {
	if p.echoOf == to {
		r.Echo = p.echo
	}
	if p.to == to && p.joined {
		r.Held = nil
	}
	switch {
	case p.Holder(to, now) != "":
		r.Guest = true
	case p.to != to && r.Echo > 0 && !r.Guest && !r.Release:
		p.to, p.heardAt, p.ttl, p.joined = to, p.echoAt, ttl, false
	}
}

// Responded records a response. It reports whether the next report should follow at once,
// because only then the receiver gives out the share.
func (p *Pledge) Responded(r Report, to string, l Levels, now time.Duration) (again bool) {
	p.echoOf, p.echo, p.echoAt = to, l.SentAt, now
	if l.SentAt == 0 {
		p.to, p.heardAt, p.ttl, p.joined = to, now, unknownTTL, true
		return false
	}
	if p.to == to {
		if p.heardAt, p.joined = now, l.Joined; l.Released {
			p.to = ""
		}
	}
	if r.Guest {
		return p.to != "" && p.to != to && now+ReportInterval > p.heardAt+p.ttl
	}
	return !l.Joined && !l.Released
}

// Gone records that a receiver's process has ended.
func (p *Pledge) Gone(to string) {
	if p.to == to {
		p.to = ""
	}
	if p.echoOf == to {
		p.echoOf, p.echo = "", 0
	}
}
