package bench

import (
	"math"
	"time"

	"github.com/turmericfield/turmericfield/internal/config"
	"github.com/turmericfield/turmericfield/internal/placement"
)

// A request waits for a free slot as it does in package entry.
const (
	slotWait = 150 * time.Millisecond
	slotPoll = 10 * time.Millisecond
)

// request is one caller's request on its way through the model.
type request struct {
	*work
	instance, workspace int
	sent                time.Time
	factor              float64 // of the mean service time
	tried               []*target
	waited              time.Duration // for a free slot
}

// try places a request; without a place it is refused.
func (m *model) try(r *request) {
	t, done := (*target)(nil), func(placement.Outcome, time.Time) {}
	if len(r.tried) < maxTries && m.alive[r.instance] {
		t, done = m.choosers[r.instance].choose(r.work, r.tried, m.now)
	}
	if t == nil && m.policy == SharesAndLoans && r.waited < slotWait {
		r.waited += slotPoll
		m.after(slotPoll, func() { m.try(r) })
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
	t.peak = max(t.peak, t.granted)
	m.useLinks(r, t, 1)
	end := func(o placement.Outcome) {
		t.granted--
		m.useLinks(r, t, -1)
		done(o, m.now)
	}
	delay := delayOf(t.hops(zoneOf(r.instance)))
	if t.lost {
		m.after(deadTimeout, func() { end(placement.NotRun); m.try(r) })
		return
	}
	m.after(delay, func() { m.reach(r, t, delay, end) })
}

// reach brings a request to its target, which runs or sheds it.
func (m *model) reach(r *request, t *target, delay time.Duration, end func(placement.Outcome)) {
	if t.running >= t.slots || t.lost {
		m.after(delay, func() { end(placement.NotRun); m.try(r) })
		return
	}
	t.running++
	took := time.Duration(float64(r.MeanServiceTime) * r.factor * m.slowdown(t))
	m.after(took, func() { m.answer(r, t, delay, end) })
}

// answer sends the answer back. The slot is in use until it is sent.
func (m *model) answer(r *request, t *target, delay time.Duration, end func(placement.Outcome)) {
	across := t.hops(zoneOf(r.instance)) == 2
	mbps, flows := localMbps, 1
	if across {
		from, to := t.zone%regions, zoneOf(r.instance)%regions
		m.flows[from]++
		m.flows[to]++
		mbps, flows = m.deployment.Document.Regions[from].LinkMbps, max(m.flows[from], m.flows[to])
	}
	m.after(transfer(r.route.TypicalResponseBytes, mbps, flows), func() {
		t.running--
		if across {
			m.flows[t.zone%regions]--
			m.flows[zoneOf(r.instance)%regions]--
		}
		m.after(delay, func() {
			end(placement.Answered)
			m.record(r)
		})
	})
}

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

func (m *model) slowdown(t *target) float64 {
	factor := 1.0
	if t.lying {
		factor = lyingFactor
	}
	if !t.coldAt.IsZero() {
		factor *= 1 + coldFactor*math.Exp(-m.now.Sub(t.coldAt).Seconds()/coldDecay.Seconds())
	}
	return factor
}

// useLinks counts the bytes that are granted on the links, over both classes,
// as a part of what the links carry in a second.
func (m *model) useLinks(r *request, t *target, sign float64) {
	from, to := t.zone%regions, zoneOf(r.instance)%regions
	if from == to {
		return
	}
	part := float64(r.route.TypicalResponseBytes) * 8 / float64(m.deployment.Document.Regions[from].LinkMbps) / 1e6
	for _, region := range []int{from, to} {
		m.link[region] += sign * part
		m.result.PeakLinkFraction = max(m.result.PeakLinkFraction, m.link[region])
	}
}

func delayOf(hops int) time.Duration {
	return [...]time.Duration{delayInZone, delayInRegion, delayAcross}[hops]
}
