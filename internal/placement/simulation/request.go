package simulation

import (
	"math"
	"time"

	"github.com/turmericfield/turmericfield/internal/config"
	"github.com/turmericfield/turmericfield/internal/placement"
)

// A request without a free slot waits for one as in package entry: it is placed
// again every slotPollInterval for up to maxSlotWait.
const (
	maxSlotWait      = 150 * time.Millisecond
	slotPollInterval = 10 * time.Millisecond
)

// request is one caller's request on its way through the model.
type request struct {
	*routeTraffic
	instance, workspace int
	sent                time.Time
	serviceTimeFactor   float64 // random, 1 on average; multiplies the mean service time
	tried               []*target
	waited              time.Duration // for a free slot
}

// place chooses a target for a request and sends it there. Without a target, the
// request waits or is refused.
func (m *model) place(r *request) {
	t, done := (*target)(nil), func(placement.Outcome, time.Time) {}
	if len(r.tried) < maxTries && m.alive[r.instance] {
		t, done = m.choosers[r.instance].choose(r.routeTraffic, r.tried, m.now)
	}
	if t == nil && m.policy == SharesAndLoans && r.waited < maxSlotWait {
		r.waited += slotPollInterval
		m.after(slotPollInterval, func() { m.place(r) })
		return
	}
	if t == nil {
		m.result.refused[r.workspace]++
		if r.route.Class == config.ClassInteractive {
			_ = m.result.InteractiveWithRefused.RecordValue(r.route.Timeout().Microseconds())
		}
		return
	}
	r.tried = append(r.tried, t)
	t.granted++
	t.peakGranted = max(t.peakGranted, t.granted)
	m.addLinkUse(r, t, 1)
	end := func(o placement.Outcome) {
		t.granted--
		m.addLinkUse(r, t, -1)
		done(o, m.now)
	}
	delay := networkDelay(t.distanceFrom(zoneOf(r.instance)))
	if t.lost {
		m.after(lostTargetTimeout, func() { end(placement.NotRun); m.place(r) })
		return
	}
	m.after(delay, func() { m.arriveAtTarget(r, t, delay, end) })
}

// arriveAtTarget lets the target of a request run it or, without a free slot,
// refuse it.
func (m *model) arriveAtTarget(r *request, t *target, delay time.Duration, end func(placement.Outcome)) {
	if t.running >= t.slots || t.lost {
		m.after(delay, func() { end(placement.NotRun); m.place(r) })
		return
	}
	t.running++
	took := time.Duration(float64(r.MeanServiceTime) * r.serviceTimeFactor * m.slowdown(t))
	m.after(took, func() { m.sendAnswer(r, t, delay, end) })
}

// sendAnswer sends the answer back. The target's slot stays in use until the last
// byte is sent.
func (m *model) sendAnswer(r *request, t *target, delay time.Duration, end func(placement.Outcome)) {
	otherRegion := t.distanceFrom(zoneOf(r.instance)) == 2
	mbps, transfers := inRegionMbps, 1
	if otherRegion {
		from, to := t.zone%regions, zoneOf(r.instance)%regions
		m.linkTransfers[from]++
		m.linkTransfers[to]++
		mbps, transfers = m.deployment.Document.Regions[from].LinkMbps, max(m.linkTransfers[from], m.linkTransfers[to])
	}
	m.after(transferTime(r.route.TypicalResponseBytes, mbps, transfers), func() {
		t.running--
		if otherRegion {
			m.linkTransfers[t.zone%regions]--
			m.linkTransfers[zoneOf(r.instance)%regions]--
		}
		m.after(delay, func() {
			end(placement.Answered)
			m.record(r)
		})
	})
}

// record adds the time of an answered request to the result.
func (m *model) record(r *request) {
	histogram := m.result.Interactive
	if r.route.Class == config.ClassBulk {
		histogram = m.result.Bulk
	}
	took := (m.now.Sub(r.sent) + 2*m.deployment.ClientDelay).Microseconds()
	_ = histogram.RecordValue(took)
	if r.route.Class == config.ClassInteractive {
		_ = m.result.InteractiveWithRefused.RecordValue(took)
	}
}

// slowdown returns the factor by which a target is slower than normal.
func (m *model) slowdown(t *target) float64 {
	factor := 1.0
	if t.lying {
		factor = lyingTargetSlowdown
	}
	if !t.coldSince.IsZero() {
		factor *= 1 + coldExtraTimeFactor*math.Exp(-m.now.Sub(t.coldSince).Seconds()/coldDecayTime.Seconds())
	}
	return factor
}

// addLinkUse adds (sign 1) or removes (sign -1) the response bytes of a granted
// request, of either class, on the links of both regions, and records the peak.
// The unit is what a link carries in a second.
func (m *model) addLinkUse(r *request, t *target, sign float64) {
	from, to := t.zone%regions, zoneOf(r.instance)%regions
	if from == to {
		return
	}
	linkSeconds := float64(r.route.TypicalResponseBytes) * 8 / float64(m.deployment.Document.Regions[from].LinkMbps) / 1e6
	for _, region := range []int{from, to} {
		m.linkLoad[region] += sign * linkSeconds
		m.result.PeakLinkFraction = max(m.result.PeakLinkFraction, m.linkLoad[region])
	}
}

// networkDelay returns the one-way delay for a result of target.distanceFrom.
func networkDelay(distance int) time.Duration {
	return [...]time.Duration{delayInZone, delayInRegion, delayOtherRegion}[distance]
}
