package placement

import (
	"time"

	"github.com/turmericfield/turmericfield/internal/config"
)

// Update takes over a configuration. What is in flight goes on to count, also
// on targets that the configuration no longer names.
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
		if p.targets[name] == nil && t.used+t.lent+t.borrowed > 0 {
			t.drained = true
			p.targets[name] = t
		}
	}
	p.updateShifts(snapshot, now)
	p.shares++
}

func (p *Placer) updateRegions(snapshot *config.Snapshot) {
	settle := map[config.Class]time.Duration{}
	for _, r := range snapshot.Document.Routes {
		settle[r.Class] = max(settle[r.Class], r.Timeout())
		p.settle = max(p.settle, r.Timeout()+loanTime)
	}
	for _, c := range snapshot.Document.Regions {
		if p.regions[c.Name] == nil {
			p.regions[c.Name] = newRegion(c.Name)
		}
		p.regions[c.Name].set(c, settle)
	}
	home := snapshot.RegionOf(p.options.AvailabilityZone)
	if p.regions[home] == nil {
		p.regions[home] = newRegion(home)
	}
	p.home = p.regions[home]
}

func (p *Placer) updateService(c *config.Service, known map[string]*target, first bool, now time.Time) {
	s := &service{}
	p.services[c.Name] = s
	settle := time.Duration(0)
	for _, r := range p.snapshot.Document.Routes {
		if r.Service == c.Name {
			settle = max(settle, r.Timeout())
		}
	}
	s.settle = settle
	for _, ct := range c.Targets {
		t := known[ct.Name]
		if t == nil {
			t = &target{}
			t.slots.offset = offsetOf("slots/"+c.Name, ct.Name)
			if !first {
				t.coldSince = now
			}
		}
		p.updateTarget(t, ct, now)
		t.service = s
		s.used += t.used
		t.slots.set(c.Slots, settle+loanTime)
		s.targets = append(s.targets, t)
		s.latency = max(s.latency, t.latency)
		p.targets[ct.Name] = t
	}
}

func (p *Placer) updateTarget(t *target, c config.Target, now time.Time) {
	t.Target = c
	drained := p.snapshot.Drained(c.Name)
	if t.drained && !drained {
		t.coldSince = now
	}
	t.drained = drained
	t.region = p.regions[p.snapshot.RegionOf(c.AvailabilityZone)]
	t.distance = p.distanceTo(c.AvailabilityZone)
}

func (p *Placer) distanceTo(zone string) distance {
	switch {
	case zone == p.options.AvailabilityZone:
		return distanceZone
	case p.snapshot.RegionOf(zone) == p.home.name:
		return distanceRegion
	}
	return distanceAcross
}
