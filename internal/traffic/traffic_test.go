package traffic

import (
	"net"
	"slices"
	"testing"
)

// Bytes of both directions count in the meter that is set at the time.
func TestConnectionCountsByItsPresentUse(t *testing.T) {
	var added []Purpose
	table := NewTable(func(m *Meter) { added = append(added, m.Purpose) })
	here, there := net.Pipe()
	go func() {
		b := make([]byte, 8)
		n, _ := there.Read(b)
		_, _ = there.Write(b[:n])
		n, _ = there.Read(b)
		_, _ = there.Write(b[:n])
	}()
	var use Use
	c := use.Conn(here)
	for _, p := range []Purpose{Search, Copy} {
		use.Set(table.Meter(p, InZone))
		use.AddCall()
		if _, err := c.Write([]byte("abc")); err != nil {
			t.Fatal(err)
		}
		if _, err := c.Read(make([]byte, 8)); err != nil {
			t.Fatal(err)
		}
	}
	for _, m := range table.Meters() {
		if m.Bytes() != 6 || m.Calls() != 1 {
			t.Errorf("%s: %d bytes, %d calls, want 6 and 1", m.Purpose, m.Bytes(), m.Calls())
		}
	}
	if table.Meter(Copy, InZone) != table.Meters()[0] || !slices.Equal(added, []Purpose{Search, Copy}) {
		t.Errorf("meters were added for %v", added)
	}
}
