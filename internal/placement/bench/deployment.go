// Package bench compares policies of choosing targets in virtual time: a small
// discrete-event model of callers, deciders that don't see each other, links
// and targets. It replays the same arrivals to each policy.
package bench

import (
	"fmt"
	"time"

	"github.com/turmericfield/turmericfield/internal/config"
	"github.com/turmericfield/turmericfield/internal/seat"
)

// One-way network delays.
const (
	delayInZone   = 100 * time.Microsecond
	delayInRegion = 500 * time.Microsecond
	delayAcross   = 20 * time.Millisecond
	// localMbps is the rate of a transfer inside a region.
	localMbps = 1000
	instances = 7
	regions   = 3
	zones     = 6
)

// Work is the traffic of one route.
type Work struct {
	Route string
	// Part of the service's load that comes over this route.
	Part float64
	// Service is the mean time that a warm target works on a request.
	Service time.Duration
}

// Deployment is one user's sizes.
type Deployment struct {
	Name string
	// Client is the one-way delay to callers.
	Client   time.Duration
	Document *config.Document
	Work     []Work
}

// Deployments returns the sizes of the two users.
func Deployments() []Deployment {
	cooperative := Deployment{Name: "cooperative", Client: 3 * time.Millisecond, Document: document(4000)}
	addService(cooperative.Document, "listings", 32, 6)
	addService(cooperative.Document, "records", 12, 3)
	cooperative.addWork("listings", config.ClassInteractive, 20_000, 1, 30*time.Millisecond)
	cooperative.addWork("records", config.ClassInteractive, 40_000, 0.6, 50*time.Millisecond)
	cooperative.addWork("records", config.ClassBulk, 2_000_000, 0.4, 80*time.Millisecond)
	association := Deployment{Name: "association", Client: 8 * time.Millisecond, Document: document(280)}
	addService(association.Document, "scoring", 24, 3)
	addService(association.Document, "media", 12, 3)
	association.addWork("scoring", config.ClassInteractive, 30_000, 1, 25*time.Millisecond)
	association.addWork("media", config.ClassInteractive, 10_000, 0.5, 40*time.Millisecond)
	association.addWork("media", config.ClassBulk, 5_000_000, 0.5, 100*time.Millisecond)
	return []Deployment{cooperative, association}
}

func document(mbps int) *config.Document {
	doc := &config.Document{}
	for r := range regions {
		name := fmt.Sprintf("region-%d", r)
		doc.Regions = append(doc.Regions, config.Region{Name: name, LinkMbps: mbps})
	}
	for z := range zones {
		doc.AvailabilityZones = append(doc.AvailabilityZones, config.AvailabilityZone{Name: fmt.Sprintf("zone-%d", z), Region: fmt.Sprintf("region-%d", z%regions)})
	}
	return doc
}

func addService(doc *config.Document, name string, targets, slots int) {
	s := config.Service{Name: name, Slots: slots}
	for i := range targets {
		s.Targets = append(s.Targets, config.Target{Name: fmt.Sprintf("%s-%d", name, i), AvailabilityZone: fmt.Sprintf("zone-%d", i%zones)})
	}
	doc.Services = append(doc.Services, s)
}

func (d *Deployment) addWork(service string, class config.Class, bytes int, part float64, mean time.Duration) {
	name := service + "-" + string(class)
	d.Document.Routes = append(d.Document.Routes, config.Route{
		Name: name, Service: service, Class: class, TimeoutMillis: 2000, TypicalResponseBytes: bytes,
	})
	d.Work = append(d.Work, Work{Route: name, Part: part, Service: mean})
}

// zoneOf returns the zone of an instance.
func zoneOf(instance int) int { return instance % zones }

// seatOf returns the seat of an instance.
func seatOf(instance int) seat.Seat {
	zone := zoneOf(instance)
	return seat.Seat{
		AvailabilityZone: fmt.Sprintf("zone-%d", zone), Index: instance / zones,
		ZoneSeats: (instances - zone + zones - 1) / zones,
		Number:    instance, FleetSeats: instances, Version: 1, Clean: true,
	}
}
