// Package traffic counts the bytes and calls that instances exchange with one another, with
// the store and with look-ups, by purpose and by the borders that they cross. It exists
// because these grow with the fleet while callers' traffic does not, and because links
// between availability zones and regions are the ones that are narrow and paid for.
package traffic

import (
	"cmp"
	"net"
	"slices"
	"sync"
	"sync/atomic"
)

// Purpose is what a connection is used for.
type Purpose string

// The purposes of connections.
const (
	Follow  Purpose = "follow"   // changes of the followed instance
	Search  Purpose = "search"   // questions for a current source
	Copy    Purpose = "copy"     // whole copies of the store
	ZoneSum Purpose = "zone_sum" // quota reports to the zone's aggregator, and levels
	Hub     Purpose = "hub"      // quota reports to the fleet's hub, and levels
	Store   Purpose = "store"    // calls of the platform's store
	Lookup  Purpose = "lookup"   // callers' look-ups of instances
)

// Reach is the farthest border between the two ends of a connection.
type Reach string

// The reaches of connections.
const (
	InZone         Reach = "in_zone"
	BetweenZones   Reach = "between_zones" // of one region
	BetweenRegions Reach = "between_regions"
	Unknown        Reach = "unknown" // the other end's place is not known
)

// Meter counts one purpose and reach. It is safe for concurrent use.
type Meter struct {
	Purpose Purpose
	Reach   Reach
	bytes   atomic.Int64
	calls   atomic.Int64
}

// Bytes returns the bytes read and written, without those of TCP and IP headers.
func (m *Meter) Bytes() int64 { return m.bytes.Load() }

// Calls returns the number of calls.
func (m *Meter) Calls() int64 { return m.calls.Load() }

// AddCall counts a call.
func (m *Meter) AddCall() { m.calls.Add(1) }

// Table holds the meters of an instance. It is safe for concurrent use.
type Table struct {
	added func(*Meter)

	mu     sync.Mutex
	meters []*Meter
}

// NewTable returns an empty table. It calls added for each new meter.
func NewTable(added func(*Meter)) *Table { return &Table{added: added} }

// Meter returns the meter of a purpose and reach.
func (t *Table) Meter(p Purpose, r Reach) *Meter {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range t.meters {
		if m.Purpose == p && m.Reach == r {
			return m
		}
	}
	m := &Meter{Purpose: p, Reach: r}
	t.meters = append(t.meters, m)
	t.added(m)
	return m
}

// Meters returns all meters, ordered by purpose and reach.
func (t *Table) Meters() []*Meter {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.SortedFunc(slices.Values(t.meters), func(a, b *Meter) int {
		return cmp.Or(cmp.Compare(a.Purpose, b.Purpose), cmp.Compare(a.Reach, b.Reach))
	})
}

// Use is the meter that a connection counts in at present. It may change between calls.
type Use struct{ meter atomic.Pointer[Meter] }

// Set makes the connection count in a meter.
func (u *Use) Set(m *Meter) { u.meter.Store(m) }

// AddCall counts a call on the connection.
func (u *Use) AddCall() {
	if m := u.meter.Load(); m != nil {
		m.AddCall()
	}
}

// Conn returns a connection that counts its bytes in the meter of u.
func (u *Use) Conn(c net.Conn) net.Conn { return &conn{c, u} }

type conn struct {
	net.Conn
	use *Use
}

func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.count(n)
	return n, err
}

func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.count(n)
	return n, err
}

func (c *conn) count(n int) {
	if m := c.use.meter.Load(); m != nil {
		m.bytes.Add(int64(n))
	}
}

// Listener returns a listener whose connections count their bytes in the meter of u.
func (u *Use) Listener(l net.Listener) net.Listener { return &listener{l, u} }

type listener struct {
	net.Listener
	use *Use
}

func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.use.Conn(c), nil
}
