package edge

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/turmericfield/turmericfield/internal/traffic"
)

// trafficLogInterval is the time between two log lines of what was exchanged.
const trafficLogInterval = 10 * time.Second

// countedStore is a store that can count its connections' bytes.
type countedStore interface{ Count(use *traffic.Use) }

// newTraffic returns the meters of the instance, which register their metrics, and makes
// the store count.
func (e *Edge) newTraffic() *traffic.Table {
	table := traffic.NewTable(func(m *traffic.Meter) {
		labels := fmt.Sprintf("{purpose=%q,reach=%q}", m.Purpose, m.Reach)
		e.metrics.Gauge("control_bytes_total"+labels, m.Bytes)
		e.metrics.Gauge("control_calls_total"+labels, m.Calls)
	})
	if s, ok := e.store.(countedStore); ok {
		use := &traffic.Use{}
		use.Set(table.Meter(traffic.Store, traffic.Unknown))
		s.Count(use)
	}
	return table
}

// meter returns the meter of a purpose on connections to an instance's internal address.
func (e *Edge) meter(p traffic.Purpose, peerAddress string) *traffic.Meter {
	return e.traffic.Meter(p, e.members.reach(peerAddress))
}

// reach returns the farthest border between this instance and the one that serves
// instances at an IP:port.
func (m *members) reach(peerAddress string) traffic.Reach {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, list := range [][]member{m.list, m.departed} {
		for _, instance := range list {
			switch {
			case instance.PeerAddress != peerAddress:
			case instance.Region != m.self.Region:
				return traffic.BetweenRegions
			case instance.AvailabilityZone != m.self.AvailabilityZone:
				return traffic.BetweenZones
			default:
				return traffic.InZone
			}
		}
	}
	return traffic.Unknown
}

// logTraffic logs what was exchanged so far with other instances, the store and look-ups.
func (e *Edge) logTraffic() {
	line := e.log.Info()
	for _, m := range e.traffic.Meters() {
		line = line.Int64(fmt.Sprintf("%s_%s_bytes", m.Purpose, m.Reach), m.Bytes()).Int64(fmt.Sprintf("%s_%s_calls", m.Purpose, m.Reach), m.Calls())
	}
	line.Msg("control: exchanged")
}

// logTrafficOften calls logTraffic every trafficLogInterval until the context ends. A process
// that is killed logs nothing at its end.
func (e *Edge) logTrafficOften(ctx context.Context) {
	ticks := time.NewTicker(trafficLogInterval)
	defer ticks.Stop()
	for {
		select {
		case <-ticks.C:
			e.logTraffic()
		case <-ctx.Done():
			return
		}
	}
}

// countLookups returns a listener that counts bytes if the address is that of look-ups.
func (e *Edge) countLookups(address string, l net.Listener) net.Listener {
	if address != e.DirectoryListen {
		return l
	}
	use := &traffic.Use{}
	use.Set(e.traffic.Meter(traffic.Lookup, traffic.Unknown))
	return use.Listener(l)
}
