package placement

import (
	"time"

	"github.com/turmericfield/turmericfield/internal/config"
)

// Update applies a configuration. Requests in flight and loans go on to count, as
// do those on targets that the configuration no longer has. Until these have
// ended, their targets are kept as drained.
func (p *Placer) Update(snapshot *config.Snapshot, now time.Time) {
	first := p.snapshot == nil
	p.snapshot = snapshot
	p.observeSeat(now)
	p.updateRegions(snapshot)
	p.services = make(map[string]*service, len(snapshot.Services))
	known := p.targets
	p.targets = make(map[string]*target, len(known))
	for i := range snapshot.Document.Services {
		p.updateService(&snapshot.Document.Services[i], known, first, now)
	}
	for name, t := range known {
		if p.targets[name] == nil && t.inFlight+t.lent+t.borrowed > 0 {
			t.drained = true
			p.targets[name] = t
		}
	}
	p.updateShifts(snapshot, now)
	p.shareVersion++
}

// updateRegions resizes the regions' pools and finds the instance's own region.
func (p *Placer) updateRegions(snapshot *config.Snapshot) {
	maxHold := map[config.Class]time.Duration{}
	for _, r := range snapshot.Document.Routes {
		maxHold[r.Class] = max(maxHold[r.Class], r.Timeout())
		p.maxHold = max(p.maxHold, r.Timeout()+loanDuration)
	}
	for _, c := range snapshot.Document.Regions {
		if p.regions[c.Name] == nil {
			p.regions[c.Name] = newRegion(c.Name)
		}
		p.regions[c.Name].configure(c, maxHold)
	}
	home := snapshot.RegionOf(p.options.AvailabilityZone)
	if p.regions[home] == nil {
		p.regions[home] = newRegion(home)
	}
	p.homeRegion = p.regions[home]
}

// updateService builds a service anew and keeps the state of its known targets.
// Targets begin with a slow start unless this is the first configuration.
func (p *Placer) updateService(c *config.Service, known map[string]*target, first bool, now time.Time) {
	s := &service{}
	p.services[c.Name] = s
	maxRequestTime := time.Duration(0)
	for _, r := range p.snapshot.Document.Routes {
		if r.Service == c.Name {
			maxRequestTime = max(maxRequestTime, r.Timeout())
		}
	}
	s.maxRequestTime = maxRequestTime
	for _, ct := range c.Targets {
		t := known[ct.Name]
		if t == nil {
			t = &target{}
			t.slotPool.offset = poolOffset("slots/"+c.Name, ct.Name)
			if !first {
				t.slowStartSince = now
			}
		}
		p.updateTarget(t, ct, now)
		t.service = s
		s.inFlight += t.inFlight
		t.slotPool.resize(c.Slots, maxRequestTime+loanDuration)
		s.targets = append(s.targets, t)
		s.meanLatencySeconds = max(s.meanLatencySeconds, t.meanLatencySeconds)
		p.targets[ct.Name] = t
	}
}

// updateTarget applies a target's configuration. At another address there is another
// process. A target that is no longer drained or leaving begins a slow start.
func (p *Placer) updateTarget(t *target, c config.Target, now time.Time) {
	if t.Address != "" && t.Address != c.Address {
		if t.leaving(now) {
			t.slowStartSince = now
		}
		t.process = nil
		t.report, t.reportedAt = Report{}, now
	}
	t.Target = c
	drained := p.snapshot.Drained(c.Name)
	if t.drained && !drained {
		t.slowStartSince = now
	}
	t.drained = drained
	t.region = p.regions[p.snapshot.RegionOf(c.AvailabilityZone)]
	t.distance = p.distanceTo(c.AvailabilityZone)
}

// distanceTo returns the distance of an availability zone from this instance.
func (p *Placer) distanceTo(zone string) distance {
	switch {
	case zone == p.options.AvailabilityZone:
		return distanceSameZone
	case p.snapshot.RegionOf(zone) == p.homeRegion.name:
		return distanceSameRegion
	}
	return distanceOtherRegion
}
