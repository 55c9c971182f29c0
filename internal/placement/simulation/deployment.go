// Package simulation compares policies for choosing targets. It is a discrete-event
// simulation, in virtual time, of callers, instances that choose targets without
// knowing each other's requests, links between regions, and targets. All policies
// get the same arrivals for a seed.
package simulation

import (
	"fmt"
	"time"

	"github.com/turmericfield/turmericfield/internal/config"
	"github.com/turmericfield/turmericfield/internal/seat"
)

const (
	// One-way network delays between an instance and a target.
	delayInZone      = 100 * time.Microsecond
	delayInRegion    = 500 * time.Microsecond
	delayOtherRegion = 20 * time.Millisecond
	// inRegionMbps is the rate of a transfer inside a region, in megabits per
	// second.
	inRegionMbps = 1000
	// The size of the fleet.
	instances = 7
	regions   = 3
	zones     = 6
)

// RouteLoad describes the requests of one route.
type RouteLoad struct {
	Route string
	// LoadFraction is the fraction of the service's load that this route carries.
	LoadFraction float64
	// MeanServiceTime is the mean time that a target works on a request, once it
	// is no longer cold.
	MeanServiceTime time.Duration
}

// Deployment is a system of services, regions and links of certain sizes, and its
// load. Name is that of the kind of user that it stands for.
type Deployment struct {
	Name string
	// ClientDelay is the one-way network delay between callers and instances.
	ClientDelay time.Duration
	Document    *config.Document
	RouteLoads  []RouteLoad
}

// Deployments returns two deployments: one with many targets and fast links, and
// one with fewer targets and slow links.
func Deployments() []Deployment {
	cooperative := Deployment{Name: "cooperative", ClientDelay: 3 * time.Millisecond, Document: newDocument(4000)}
	addService(cooperative.Document, "listings", 32, 6)
	addService(cooperative.Document, "records", 12, 3)
	cooperative.addRoute("listings", config.ClassInteractive, 20_000, 1, 30*time.Millisecond)
	cooperative.addRoute("records", config.ClassInteractive, 40_000, 0.6, 50*time.Millisecond)
	cooperative.addRoute("records", config.ClassBulk, 2_000_000, 0.4, 80*time.Millisecond)
	association := Deployment{Name: "association", ClientDelay: 8 * time.Millisecond, Document: newDocument(280)}
	addService(association.Document, "scoring", 24, 3)
	addService(association.Document, "media", 12, 3)
	association.addRoute("scoring", config.ClassInteractive, 30_000, 1, 25*time.Millisecond)
	association.addRoute("media", config.ClassInteractive, 10_000, 0.5, 40*time.Millisecond)
	association.addRoute("media", config.ClassBulk, 5_000_000, 0.5, 100*time.Millisecond)
	return []Deployment{cooperative, association}
}

// newDocument returns a configuration of regions and zones, without services. The
// zone with the number z is in the region z mod regions.
func newDocument(mbps int) *config.Document {
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

// addService adds a service whose targets are spread evenly over the zones.
func addService(doc *config.Document, name string, targets, slots int) {
	s := config.Service{Name: name, Slots: slots}
	for i := range targets {
		s.Targets = append(s.Targets, config.Target{Name: fmt.Sprintf("%s-%d", name, i), AvailabilityZone: fmt.Sprintf("zone-%d", i%zones)})
	}
	doc.Services = append(doc.Services, s)
}

// addRoute adds a route of a service and its load; see RouteLoad.
func (d *Deployment) addRoute(service string, class config.Class, responseBytes int, loadFraction float64, meanServiceTime time.Duration) {
	name := service + "-" + string(class)
	d.Document.Routes = append(d.Document.Routes, config.Route{
		Name: name, Service: service, Class: class, TimeoutMillis: 2000, TypicalResponseBytes: responseBytes,
	})
	d.RouteLoads = append(d.RouteLoads, RouteLoad{Route: name, LoadFraction: loadFraction, MeanServiceTime: meanServiceTime})
}

// zoneOf returns the number of an instance's zone.
func zoneOf(instance int) int { return instance % zones }

// seatOf returns the seat of an instance; the seats' numbers are those of the
// instances.
func seatOf(instance int) seat.Seat {
	zone := zoneOf(instance)
	return seat.Seat{
		AvailabilityZone: fmt.Sprintf("zone-%d", zone), Index: instance / zones,
		ZoneSeats: (instances - zone + zones - 1) / zones,
		Number:    instance, FleetSeats: instances, TableVersion: 1, Clean: true,
	}
}
